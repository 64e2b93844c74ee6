// Translation between HTTP requests and the state machine's events.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// What to do with a request: an event to be handled, or an answer at once.
using RouteResult = std::variant<Event, wire::HttpResponse>;

/// Reads requests of the internal and the upstream API.
class RequestRouter {
 public:
  /// `internal_key` is compared in constant time; requests of the upstream API
  /// are taken from `upstream_address` only.
  RequestRouter(std::string internal_key, std::string upstream_address);

  /// Reads one request; `call` goes into the event.
  /// Takes the body, which may be large, and frees it when it is parsed.
  RouteResult Route(wire::HttpRequest& request, CallId call) const;

 private:
  bool IsFromUpstream(const wire::HttpRequest& request) const;

  std::string key;
  std::string upstream;
};

/// The HTTP answer that an answer command stands for; nothing for commands
/// that answer no request. `is_run` selects 202 for a granted `run`.
std::optional<wire::HttpResponse> ResponseOf(const Command& command,
                                             bool is_run);
/// The request that an answer command answers.
std::optional<CallId> CallOf(const Command& command);

}  // namespace hemlockdoor::agent
