// Settings of tests that come from the environment.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace hemlockdoor::test_support {

/// Returns the number in the environment variable, or `fallback` when it is not
/// set.
inline std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace hemlockdoor::test_support
