// Sends spans to an OTLP/HTTP collector from a thread of its own.
#pragma once

#include <QThread>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/observe/metrics/metrics.h"
#include "modules/observe/traces/span_record.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::observe {

/// Where and how spans are sent.
struct TraceExportOptions {
  wire::Endpoint collector;
  /// Id of this entry or agent.
  std::string process;
  /// Spans that wait at most; further ones are dropped and counted.
  std::size_t max_waiting = 2048;
  /// Spans sent in one request at most.
  std::size_t max_batch = 256;
  /// How often waiting spans are sent.
  core::Duration period = core::Duration::Milliseconds(1000);
  /// Longest time one request may take.
  core::Duration timeout = core::Duration::Milliseconds(2000);
};

/// Takes spans from any thread and sends them in batches, one request at a
/// time. Never blocks a caller: a span that finds the ring full, or whose
/// request fails, is dropped and counted.
class TraceExporter {
 public:
  /// Starts the telemetry thread. Fails with kInvalidArgument when a bound is
  /// zero. Drops are counted in `metrics`, which must outlive the exporter.
  static core::Expected<std::unique_ptr<TraceExporter>> Create(
      TraceExportOptions options,
      Metrics& metrics);

  /// Sends what waits, within one request timeout, then ends the thread.
  ~TraceExporter();
  TraceExporter(const TraceExporter&) = delete;
  TraceExporter& operator=(const TraceExporter&) = delete;

  /// Hands over a span; it is dropped when the ring is full.
  void Add(SpanRecord span);

 private:
  class Sender;
  TraceExporter(TraceExportOptions export_options, Metrics& span_metrics);
  void RunThread();

  TraceExportOptions options;
  Metrics& metrics;
  core::BoundedRing<SpanRecord> ring;
  std::atomic<bool> stopping = false;
  std::unique_ptr<QThread> thread;
};

/// Starts exporting the spans of this process; replaces an earlier exporter.
core::Expected<void> StartTraceExport(const TraceExportOptions& options);
/// Sends what waits and stops exporting.
void StopTraceExport();
/// Hands a span to the exporter of this process; without one it is discarded.
void ExportSpan(SpanRecord span);

}  // namespace hemlockdoor::observe
