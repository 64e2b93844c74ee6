// W3C Trace Context: the `traceparent` header field, version 00.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlockdoor::observe {

/// Which trace and span a piece of work belongs to. Ids are lower-case
/// hexadecimal digits.
struct TraceContext {
  /// 32 digits, not all zero.
  std::string trace_id;
  /// 16 digits, not all zero.
  std::string span_id;
  /// False: the caller does not want this trace recorded.
  bool sampled = true;

  bool operator==(const TraceContext&) const = default;
};

/// Reads a `traceparent` value; nothing when it is malformed. Versions above 00
/// are read by their first four fields, as the standard asks.
std::optional<TraceContext> ParseTraceparent(std::string_view text);

/// A new trace with random ids.
TraceContext StartTrace();

/// The caller's trace with a new span id, or a new trace when `traceparent` is
/// absent or malformed.
TraceContext ContinueTrace(std::string_view traceparent);

/// A new span in the same trace.
TraceContext ChildOf(const TraceContext& parent);

/// The `traceparent` value to send onwards.
std::string ToTraceparent(const TraceContext& context);

}  // namespace hemlockdoor::observe
