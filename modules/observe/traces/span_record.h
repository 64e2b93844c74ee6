// A finished span as it is exported.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockdoor::observe {

/// One attribute of a span.
struct SpanAttribute {
  std::string key;
  std::string value;
};

/// A finished span. Ids are hexadecimal digits as in `TraceContext`.
struct SpanRecord {
  std::string trace_id;
  std::string span_id;
  /// Empty for the first span of a trace.
  std::string parent_span_id;
  std::string name;
  /// Nanoseconds since the Unix epoch.
  std::int64_t start_ns = 0;
  std::int64_t end_ns = 0;
  bool failed = false;
  std::vector<SpanAttribute> attributes;
};

/// The body of an OTLP/HTTP export request with JSON encoding; `process` is the
/// id of this entry or agent.
std::string ToOtlpJson(const std::vector<SpanRecord>& spans,
                       const std::string& process);

}  // namespace hemlockdoor::observe
