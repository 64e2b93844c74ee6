// Bearer tokens in the Authorization header (RFC 6750).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// Compares two texts in a time that depends on their lengths only, so that
/// the time tells nothing of how much of a key was guessed.
bool EqualInConstantTime(std::string_view left, std::string_view right);

/// Adds `Authorization: Bearer TOKEN`.
void AddBearer(HttpHeaders& headers, const std::string& token);

/// The bearer token of a request, or nothing when there is none, it is empty,
/// or there are several Authorization fields.
std::optional<std::string> FindBearer(const HttpHeaders& headers);

/// True when the request carries `key` as bearer token. An empty key matches
/// nothing.
bool HasBearer(const HttpHeaders& headers, std::string_view key);

}  // namespace hemlockdoor::wire
