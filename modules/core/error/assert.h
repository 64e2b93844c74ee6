// Assertion for invariants; active in debug and release builds.
#pragma once

namespace hemlockdoor::core::detail {

/// Prints the violated condition with its file and line to standard error, then
/// aborts the process.
[[noreturn]] void FailInvariant(const char* condition,
                                const char* file,
                                int line);

}  // namespace hemlockdoor::core::detail

/// Aborts the process when `condition` is false. Use it for invariants of the
/// program only; report invalid input as an `Error`.
#define HD_ASSERT(condition)                                 \
  ((condition) ? static_cast<void>(0)                        \
               : ::hemlockdoor::core::detail::FailInvariant( \
                     #condition, __FILE__, __LINE__))
