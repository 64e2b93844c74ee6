// Turns HTTP requests into events of the state machine.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/auth/token_directory.h"
#include "modules/entry/core/events.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::entry {

/// The state that routing a request needs. Threads share immutable snapshots.
struct RoutingState {
  std::string internal_key;
  TokenDirectory tokens;
  bool has_catalogue = false;
  bool draining = false;
};

/// An event for the state machine, or the response when none is needed.
using Routed = std::variant<Event, wire::HttpResponse>;

/// Routes, authenticates and parses one request. Has no side effects; may run
/// on any thread. Large strings are moved out of the request, not copied.
Routed RouteRequest(wire::HttpRequest request,
                    RequestId id,
                    const RoutingState& state);

}  // namespace hemlockdoor::entry
