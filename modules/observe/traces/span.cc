#include "modules/observe/traces/span.h"

#include <chrono>
#include <optional>
#include <utility>

#include "modules/observe/traces/trace_exporter.h"

namespace hemlockdoor::observe {

namespace {

template <typename SourceClock>
std::int64_t NowNanoseconds() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             SourceClock::now().time_since_epoch())
      .count();
}

}  // namespace

Span::Span(const std::string& name,
           TraceContext own_context,
           std::string parent_span_id)
    : context(std::move(own_context)) {
  this->record.name = name;
  this->record.trace_id = this->context.trace_id;
  this->record.span_id = this->context.span_id;
  this->record.parent_span_id = std::move(parent_span_id);
  this->record.start_ns = NowNanoseconds<std::chrono::system_clock>();
  this->start_steady_ns = NowNanoseconds<std::chrono::steady_clock>();
}

Span Span::StartChild(const std::string& name, const TraceContext& parent) {
  return Span(name, ChildOf(parent), parent.span_id);
}

Span Span::StartForRequest(const std::string& name,
                           const std::string& traceparent) {
  const std::optional<TraceContext> caller = ParseTraceparent(traceparent);
  return caller ? StartChild(name, *caller) : Span(name, StartTrace(), {});
}

Span::Span(Span&& other) noexcept
    : context(std::move(other.context)),
      record(std::move(other.record)),
      start_steady_ns(other.start_steady_ns),
      open(std::exchange(other.open, false)) {}

Span& Span::operator=(Span&& other) noexcept {
  if (this != &other) {
    this->End();
    this->context = std::move(other.context);
    this->record = std::move(other.record);
    this->start_steady_ns = other.start_steady_ns;
    this->open = std::exchange(other.open, false);
  }
  return *this;
}

Span::~Span() {
  this->End();
}

void Span::SetAttribute(const std::string& key, const std::string& value) {
  if (this->record.attributes.size() < kMaxAttributes) {
    this->record.attributes.push_back(
        SpanAttribute{key, value.substr(0, kMaxAttributeBytes)});
  }
}

void Span::End() {
  if (!std::exchange(this->open, false) || !this->context.sampled) {
    return;
  }
  // The length comes from the steady clock: the wall clock may be set back
  // between start and end.
  const std::int64_t length_ns =
      NowNanoseconds<std::chrono::steady_clock>() - this->start_steady_ns;
  this->record.end_ns = this->record.start_ns + length_ns;
  ExportSpan(std::move(this->record));
}

}  // namespace hemlockdoor::observe
