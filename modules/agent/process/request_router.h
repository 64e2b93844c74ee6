// Translation between HTTP messages and the state machine's events and
// commands.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// An event for the state machine, or a response to be sent at once.
using RouteResult = std::variant<Event, wire::HttpResponse>;

/// Authenticates requests of the internal and the upstream API and turns them
/// into events. Immutable, so safe from any thread.
class RequestRouter {
 public:
  /// Requests of the internal API must carry `internal_key` as a bearer token;
  /// it is compared in constant time. Requests of the upstream API are accepted
  /// from the IP address `upstream_address` only.
  RequestRouter(std::string internal_key, std::string upstream_address);

  /// Reads one request and puts `call` into the event. Moves the body, which
  /// may be large, out of `request` and frees it as soon as it is parsed.
  RouteResult Route(wire::HttpRequest& request, CallId call) const;

 private:
  bool IsFromUpstream(const wire::HttpRequest& request) const;

  std::string key;
  std::string upstream;
};

/// Returns the HTTP response for an answer command; nothing for commands that
/// answer no request. `is_run` tells that the request was `run`, which is
/// answered 202 instead of 200 when it is granted.
std::optional<wire::HttpResponse> ResponseOf(const Command& command,
                                             bool is_run);
/// Returns the request that an answer command answers; nothing for commands
/// that answer no request.
std::optional<CallId> CallOf(const Command& command);

}  // namespace hemlockdoor::agent
