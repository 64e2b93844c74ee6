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

/// What a request needs besides itself; a snapshot that threads may share.
struct RoutingState {
  std::string internal_key;
  TokenDirectory tokens;
  bool has_catalogue = false;
  bool draining = false;
};

/// An event for the state machine, or the answer at once.
using Routed = std::variant<Event, wire::HttpResponse>;

/// Routes, authenticates and reads one request. Has no effects; safe from any
/// thread. Large texts are moved out of the request, never copied.
Routed RouteRequest(wire::HttpRequest request,
                    RequestId id,
                    const RoutingState& state);

}  // namespace hemlockdoor::entry
