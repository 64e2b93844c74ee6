#include "modules/wire/auth/bearer.h"

#include <algorithm>
#include <cctype>

namespace hemlockdoor::wire {

namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::string_view kField = "authorization";

bool EqualsLowered(std::string_view text, std::string_view lower_case) {
  return std::equal(
      text.begin(), text.end(), lower_case.begin(), lower_case.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
}

}  // namespace

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  // volatile stops the compiler from leaving the loop at the first difference.
  volatile unsigned char difference = left.size() == right.size() ? 0 : 1;
  const std::size_t count = std::min(left.size(), right.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto bits = static_cast<unsigned char>(left[i] ^ right[i]);
    difference = static_cast<unsigned char>(difference | bits);
  }
  return difference == 0;
}

void AddBearer(HttpHeaders& headers, const std::string& token) {
  headers.Add("Authorization", "Bearer " + token);
}

std::optional<std::string> FindBearer(const HttpHeaders& headers) {
  std::optional<std::string> token;
  for (const HttpHeader& field : headers.All()) {
    if (!EqualsLowered(field.name, kField)) {
      continue;
    }
    const std::string_view value = field.value;
    const bool is_bearer =
        value.size() > kScheme.size() &&
        EqualsLowered(value.substr(0, kScheme.size()), kScheme);
    if (token || !is_bearer) {
      return std::nullopt;
    }
    token = std::string(value.substr(kScheme.size()));
  }
  return token;
}

bool HasBearer(const HttpHeaders& headers, std::string_view key) {
  const std::optional<std::string> token = FindBearer(headers);
  return token && !key.empty() && EqualInConstantTime(*token, key);
}

}  // namespace hemlockdoor::wire
