// Bearer tokens in the Authorization header (RFC 6750).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// Compares two texts in a time that depends only on their lengths, so that the
/// time does not reveal how many characters of a guessed key are right.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// Adds `Authorization: Bearer TOKEN`.
void AddBearer(HttpHeaders& headers, const std::string& token);

/// Returns the bearer token of a request. Returns nothing if the request has no
/// Authorization field or several, if the scheme is not Bearer, or if the token
/// is empty.
std::optional<std::string> FindBearer(const HttpHeaders& headers);

/// Returns true if the bearer token of the request equals `key`. An empty key
/// never matches.
bool HasBearer(const HttpHeaders& headers, std::string_view key);

}  // namespace hemlockdoor::wire
