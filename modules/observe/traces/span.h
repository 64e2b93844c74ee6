// A span: one timed step of a job's way through the processes.
#pragma once

#include <cstdint>
#include <string>

#include "modules/core/core.h"
#include "modules/observe/traces/span_record.h"
#include "modules/observe/traces/trace_context.h"

namespace hemlockdoor::observe {

/// A step that is timed from its construction to `End` or its destruction.
/// Costs no lock until it ends; without an exporter it only carries its
/// context.
class Span {
 public:
  /// Starts a step within the trace of `parent`.
  static Span StartChild(const std::string& name, const TraceContext& parent);
  /// Starts a step for a caller's request, within the caller's trace when its
  /// `traceparent` is well formed, else in a new one.
  static Span StartForRequest(const std::string& name,
                              const std::string& traceparent);

  ~Span();
  Span(Span&& other) noexcept;
  Span& operator=(Span&& other) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  /// The context to pass on to what this step calls.
  const TraceContext& Context() const { return this->context; }
  /// Adds an attribute; text beyond `kMaxAttributeBytes` is cut, attributes
  /// beyond `kMaxAttributes` are left out.
  void SetAttribute(const std::string& key, const std::string& value);
  /// Marks the step as failed.
  void SetFailed() { this->record.failed = true; }
  /// Ends the step and hands it to the exporter; later calls do nothing.
  void End();

  static constexpr std::size_t kMaxAttributes = 16;
  static constexpr std::size_t kMaxAttributeBytes = 256;

 private:
  Span(const std::string& name,
       TraceContext own_context,
       std::string parent_span_id);

  TraceContext context;
  SpanRecord record;
  std::int64_t start_steady_ns = 0;
  bool open = true;
};

}  // namespace hemlockdoor::observe
