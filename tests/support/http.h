// HTTP calls of a test that wait for their answer.
#pragma once

#include <functional>
#include <string>

#include "modules/wire/wire.h"

namespace hemlockdoor::test_support {

/// Sends one call and runs the event loop until its answer or error.
core::Expected<wire::HttpResponse> Exchange(const wire::HttpCall& call);

/// Makes a call to 127.0.0.1 with a bearer token.
wire::HttpCall MakeCall(std::uint16_t port,
                        wire::HttpMethod method,
                        const std::string& target,
                        const std::string& body,
                        const std::string& token);

}  // namespace hemlockdoor::test_support
