// The error value and result type used by every module.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace hemlockdoor::core {

/// What kind of thing went wrong; callers branch on this, people read the
/// message.
enum class ErrorCode {
  kInvalidArgument,    ///< Input that can never be accepted.
  kNotFound,           ///< The named thing does not exist.
  kConflict,           ///< A compare-and-swap or precondition failed.
  kUnauthorized,       ///< No valid credential.
  kForbidden,          ///< A valid credential without the right.
  kTooLarge,           ///< A size limit was passed.
  kUnavailable,        ///< Try again later; nothing took effect.
  kTimeout,            ///< No answer in time; the effect is not known.
  kStale,              ///< An epoch, revision or incarnation was too old.
  kResourceExhausted,  ///< A queue, quota or capacity is full.
  kInternal,           ///< A fault of this program.
};

/// An error as a value.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// One line for people, without secrets.
  std::string message;
  /// Where in the input, as file and JSON path; empty when not applicable.
  std::string path;

  bool operator==(const Error&) const = default;
};

/// A value or an error.
template <typename T>
using Expected = tl::expected<T, Error>;

/// Makes the unexpected side of an `Expected`.
inline tl::unexpected<Error> MakeError(ErrorCode code,
                                       std::string message,
                                       std::string path = {}) {
  return tl::unexpected<Error>(
      Error{code, std::move(message), std::move(path)});
}

}  // namespace hemlockdoor::core
