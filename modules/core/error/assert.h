// Assertion for invariants; active in every build.
#pragma once

namespace hemlockdoor::core::detail {

/// Prints the broken invariant to standard error and aborts.
[[noreturn]] void FailInvariant(const char* condition,
                                const char* file,
                                int line);

}  // namespace hemlockdoor::core::detail

/// Stops the process when an invariant is broken. Not for input checks.
#define HD_ASSERT(condition)                                 \
  ((condition) ? static_cast<void>(0)                        \
               : ::hemlockdoor::core::detail::FailInvariant( \
                     #condition, __FILE__, __LINE__))
