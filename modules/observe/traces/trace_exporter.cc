#include "modules/observe/traces/trace_exporter.h"

#include <QEventLoop>
#include <QTimer>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <utility>
#include <vector>

namespace hemlockdoor::observe {

namespace {

/// How often the sender looks whether it has to stop.
constexpr core::Duration kStopCheckPeriod = core::Duration::Milliseconds(20);

/// The exporter of this process.
struct ProcessExporter {
  std::shared_mutex mutex;
  std::unique_ptr<TraceExporter> exporter;
};

ProcessExporter& Exporter() {
  static ProcessExporter process_exporter;
  return process_exporter;
}

}  // namespace

/// Lives on the telemetry thread.
class TraceExporter::Sender {
 public:
  explicit Sender(TraceExporter& exporter) : owner(exporter) {}

  void Run() {
    QTimer send_timer;
    QObject::connect(&send_timer, &QTimer::timeout,
                     [this] { this->SendBatch(); });
    send_timer.start(
        static_cast<int>(this->owner.options.period.InMilliseconds()));
    QTimer stop_timer;
    QObject::connect(&stop_timer, &QTimer::timeout,
                     [this] { this->StopWhenAsked(); });
    stop_timer.start(static_cast<int>(kStopCheckPeriod.InMilliseconds()));
    this->loop.exec();
    this->CountUnsent();
  }

 private:
  std::vector<SpanRecord> TakeBatch() {
    std::vector<SpanRecord> batch;
    while (batch.size() < this->owner.options.max_batch) {
      std::optional<SpanRecord> span = this->owner.ring.TryPop();
      if (!span) {
        break;
      }
      batch.push_back(std::move(*span));
    }
    return batch;
  }

  void SendBatch() {
    if (this->in_flight > 0) {
      return;
    }
    const std::vector<SpanRecord> batch = this->TakeBatch();
    if (batch.empty()) {
      return;
    }
    wire::HttpCall call;
    call.endpoint = this->owner.options.collector;
    call.method = wire::HttpMethod::kPost;
    call.target = "/v1/traces";
    call.body = ToOtlpJson(batch, this->owner.options.process);
    call.timeout = this->owner.options.timeout;
    this->in_flight = batch.size();
    this->client.Send(call, [this](core::Expected<wire::HttpResponse> answer) {
      this->OnAnswer(answer);
    });
  }

  void OnAnswer(const core::Expected<wire::HttpResponse>& answer) {
    constexpr int kFirstFailure = 300;
    const std::size_t sent = std::exchange(this->in_flight, 0);
    const bool accepted = answer && answer->status < kFirstFailure;
    if (!accepted) {
      this->owner.metrics.CountDroppedSpans(sent);
      // A collector that is down is tried again with the next period only.
      return;
    }
    this->SendBatch();
  }

  void StopWhenAsked() {
    if (!this->owner.stopping.load()) {
      return;
    }
    const core::TimePoint now = core::Clock::Now();
    if (!this->stop_by) {
      this->stop_by = now + this->owner.options.timeout;
    }
    this->SendBatch();
    const bool idle = this->in_flight == 0 && this->owner.ring.Count() == 0;
    if (idle || now >= *this->stop_by) {
      this->loop.quit();
    }
  }

  /// Spans that were still waiting when the thread had to end.
  void CountUnsent() {
    std::uint64_t unsent = this->in_flight;
    while (this->owner.ring.TryPop()) {
      ++unsent;
    }
    if (unsent > 0) {
      this->owner.metrics.CountDroppedSpans(unsent);
    }
  }

  TraceExporter& owner;
  QEventLoop loop;
  wire::HttpClient client;
  std::size_t in_flight = 0;
  std::optional<core::TimePoint> stop_by;
};

core::Expected<std::unique_ptr<TraceExporter>> TraceExporter::Create(
    TraceExportOptions options,
    Metrics& metrics) {
  if (options.max_waiting == 0 || options.max_batch == 0 ||
      options.period <= core::Duration() ||
      options.timeout <= core::Duration()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "bounds of the trace export must be above zero");
  }
  return std::unique_ptr<TraceExporter>(
      new TraceExporter(std::move(options), metrics));
}

TraceExporter::TraceExporter(TraceExportOptions export_options,
                             Metrics& span_metrics)
    : options(std::move(export_options)),
      metrics(span_metrics),
      ring(this->options.max_waiting),
      thread(QThread::create([this] { this->RunThread(); })) {
  this->thread->setObjectName("telemetry");
  this->thread->start();
}

TraceExporter::~TraceExporter() {
  this->stopping.store(true);
  this->thread->wait();
}

void TraceExporter::RunThread() {
  Sender sender(*this);
  sender.Run();
}

void TraceExporter::Add(SpanRecord span) {
  if (!this->ring.TryPush(std::move(span))) {
    this->metrics.CountDroppedSpans(1);
  }
}

core::Expected<void> StartTraceExport(const TraceExportOptions& options) {
  core::Expected<std::unique_ptr<TraceExporter>> created =
      TraceExporter::Create(options, ProcessMetrics());
  if (!created) {
    return tl::unexpected<core::Error>(created.error());
  }
  std::unique_ptr<TraceExporter> replaced = std::move(*created);
  {
    const std::unique_lock<std::shared_mutex> lock(Exporter().mutex);
    std::swap(Exporter().exporter, replaced);
  }
  return {};
}

void StopTraceExport() {
  std::unique_ptr<TraceExporter> stopped;
  {
    const std::unique_lock<std::shared_mutex> lock(Exporter().mutex);
    std::swap(Exporter().exporter, stopped);
  }
  // The last batch is sent without the lock, so that spans that end meanwhile
  // do not wait for it.
  stopped.reset();
}

void ExportSpan(SpanRecord span) {
  const std::shared_lock<std::shared_mutex> lock(Exporter().mutex);
  if (Exporter().exporter != nullptr) {
    Exporter().exporter->Add(std::move(span));
  }
}

}  // namespace hemlockdoor::observe
