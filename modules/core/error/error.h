// The error value and result type used by every module.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace hemlockdoor::core {

/// Category of an error. Callers branch on the category; the message is for
/// people only.
enum class ErrorCode {
  kInvalidArgument,  ///< Input that can never be accepted.
  kNotFound,         ///< The named thing does not exist.
  kConflict,         ///< A compare-and-swap or a precondition failed.
  kUnauthorized,     ///< The request has no valid credential.
  kForbidden,        ///< The credential is valid but lacks the permission.
  kTooLarge,         ///< A size limit was exceeded.
  kUnavailable,      ///< The operation had no effect; retry later.
  kTimeout,  ///< No answer in time; the operation may have taken effect.
  kStale,    ///< An epoch, revision or incarnation was too old.
  kResourceExhausted,  ///< A queue, quota or capacity is full.
  kInternal,           ///< A fault in this program.
};

/// An error, returned as a value instead of thrown.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// One line of human-readable text; contains no secrets.
  std::string message;
  /// Place of the error in the input, as file and JSON path; empty when the
  /// error does not concern a place in the input.
  std::string path;

  bool operator==(const Error&) const = default;
};

/// Holds either a value or an `Error`.
template <typename T>
using Expected = tl::expected<T, Error>;

/// Returns an error that converts to any `Expected<T>`.
inline tl::unexpected<Error> MakeError(ErrorCode code,
                                       std::string message,
                                       std::string path = {}) {
  return tl::unexpected<Error>(
      Error{code, std::move(message), std::move(path)});
}

}  // namespace hemlockdoor::core
