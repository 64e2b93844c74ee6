// Compression of response bodies.
#pragma once

#include <optional>

#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire::detail {

/// Returns whether the client takes responses with `Content-Encoding: deflate`
/// (RFC 9110, section 12.5.3). Names with a weight do not count.
bool AcceptsDeflate(const HttpHeaders& request_headers);

/// Returns the response with a compressed body; nothing if the body is too
/// small to be worth it, so large that it would hold up the event loop, or
/// encoded already.
std::optional<HttpResponse> Compress(const HttpResponse& response);

}  // namespace hemlockdoor::wire::detail
