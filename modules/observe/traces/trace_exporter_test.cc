#include "modules/observe/traces/trace_exporter.h"

#include <QCoreApplication>
#include <QThread>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/observe/traces/span.h"

namespace hemlockdoor::observe {

namespace {

constexpr core::Duration kPatience = core::Duration::Seconds(20);

/// Runs the event loop until `condition` holds; false when it never does.
bool RunUntil(const std::function<bool()>& condition) {
  const core::TimePoint give_up = core::Clock::Now() + kPatience;
  while (!condition() && core::Clock::Now() < give_up) {
    QCoreApplication::processEvents();
    QThread::msleep(1);
  }
  return condition();
}

/// Stands in for a collector: keeps the spans it gets and answers `status`, or
/// never answers when `status` is 0.
class CollectorStandIn {
 public:
  explicit CollectorStandIn(int answer_status) : status(answer_status) {
    auto listening =
        wire::HttpServer::Listen("127.0.0.1", 0, {},
                                 [this](const wire::HttpRequest& request,
                                        const wire::HttpResponder& responder) {
                                   this->Take(request, responder);
                                 });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
  }

  TraceExportOptions Options() const {
    TraceExportOptions options;
    options.collector = {"127.0.0.1", this->server->Port()};
    options.process = "entry-1";
    options.period = core::Duration::Milliseconds(20);
    options.timeout = core::Duration::Milliseconds(300);
    return options;
  }

  std::vector<nlohmann::json> requests;
  std::vector<nlohmann::json> spans;
  std::string path;

 private:
  void Take(const wire::HttpRequest& request,
            const wire::HttpResponder& responder) {
    this->path = request.path;
    const nlohmann::json document =
        nlohmann::json::parse(request.body, nullptr, false);
    BOOST_REQUIRE(document.is_object());
    this->requests.push_back(document);
    for (const nlohmann::json& span :
         document["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
      this->spans.push_back(span);
    }
    wire::HttpResponse response;
    response.status = this->status;
    response.body = "{}";
    if (this->status > 0) {
      responder.Respond(response);
    } else {
      this->unanswered.push_back(responder);
    }
  }

  int status;
  std::vector<wire::HttpResponder> unanswered;
  std::unique_ptr<wire::HttpServer> server;
};

bool HasDropped(Metrics& metrics, int spans) {
  return metrics.ToText().find("hemlockdoor_trace_spans_dropped_total " +
                               std::to_string(spans) + "\n") !=
         std::string::npos;
}

SpanRecord Record(const std::string& name) {
  SpanRecord record;
  record.name = name;
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TraceExporterTest)

// Guards against spans that a collector cannot read or join to their trace.
BOOST_AUTO_TEST_CASE(SpansArriveAsOtlpJson) {
  CollectorStandIn collector(200);
  BOOST_REQUIRE(StartTraceExport(collector.Options()).has_value());
  const TraceContext caller = StartTrace();
  {
    Span span = Span::StartForRequest("submit", ToTraceparent(caller));
    span.SetAttribute("job", "j1");
    span.SetFailed();
    const Span moved = std::move(span);
  }
  BOOST_REQUIRE(RunUntil([&] { return !collector.spans.empty(); }));
  StopTraceExport();
  BOOST_TEST(collector.path == "/v1/traces");
  BOOST_REQUIRE(collector.spans.size() == 1U);
  const nlohmann::json& span = collector.spans[0];
  BOOST_TEST(span["traceId"] == caller.trace_id);
  BOOST_TEST(span["parentSpanId"] == caller.span_id);
  BOOST_TEST(span["spanId"] != caller.span_id);
  BOOST_TEST(span["name"] == "submit");
  BOOST_TEST(span["status"]["code"] == 2);
  BOOST_TEST(span["attributes"][0]["key"] == "job");
  BOOST_TEST(span["attributes"][0]["value"]["stringValue"] == "j1");
  BOOST_TEST(std::stoll(span["endTimeUnixNano"].get<std::string>()) >=
             std::stoll(span["startTimeUnixNano"].get<std::string>()));
  const nlohmann::json& resource =
      collector.requests[0]["resourceSpans"][0]["resource"]["attributes"];
  BOOST_TEST(resource[0]["value"]["stringValue"] == "hemlockdoor");
  BOOST_TEST(resource[1]["value"]["stringValue"] == "entry-1");
}

// Guards against one request per span, and against a batch without bound.
BOOST_AUTO_TEST_CASE(SpansAreSentInBoundedBatches) {
  CollectorStandIn collector(200);
  Metrics metrics;
  TraceExportOptions options = collector.Options();
  options.max_batch = 10;
  auto exporter = TraceExporter::Create(options, metrics);
  BOOST_REQUIRE(exporter.has_value());
  for (int i = 0; i < 25; ++i) {
    (*exporter)->Add(Record("s" + std::to_string(i)));
  }
  BOOST_REQUIRE(RunUntil([&] { return collector.spans.size() == 25U; }));
  BOOST_TEST(collector.requests.size() >= 3U);
  BOOST_TEST(collector.requests.size() < 25U);
  BOOST_TEST(HasDropped(metrics, 0));
}

// Guards against a full ring that blocks the caller or drops silently.
BOOST_AUTO_TEST_CASE(FullRingDropsAndCounts) {
  CollectorStandIn collector(200);
  Metrics metrics;
  TraceExportOptions options = collector.Options();
  options.max_waiting = 4;
  options.period = core::Duration::Seconds(60);
  auto exporter = TraceExporter::Create(options, metrics);
  BOOST_REQUIRE(exporter.has_value());
  for (int i = 0; i < 10; ++i) {
    (*exporter)->Add(Record("s"));
  }
  BOOST_TEST(HasDropped(metrics, 6));
}

// Guards against spans that wait for good on a collector that refuses them.
BOOST_AUTO_TEST_CASE(RefusedBatchIsDroppedAndCounted) {
  CollectorStandIn collector(503);
  Metrics metrics;
  auto exporter = TraceExporter::Create(collector.Options(), metrics);
  BOOST_REQUIRE(exporter.has_value());
  (*exporter)->Add(Record("s"));
  BOOST_TEST(RunUntil([&] { return HasDropped(metrics, 1); }));
}

// Guards against a shutdown that waits for a collector that never answers.
BOOST_AUTO_TEST_CASE(StopIsBoundedWhenTheCollectorHangs) {
  constexpr core::Duration kBound = core::Duration::Seconds(5);
  CollectorStandIn collector(0);
  Metrics metrics;
  auto exporter = TraceExporter::Create(collector.Options(), metrics);
  BOOST_REQUIRE(exporter.has_value());
  (*exporter)->Add(Record("s"));
  BOOST_REQUIRE(RunUntil([&] { return !collector.spans.empty(); }));
  const core::TimePoint before = core::Clock::Now();
  exporter->reset();
  BOOST_TEST((core::Clock::Now() - before < kBound));
  BOOST_TEST(HasDropped(metrics, 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::observe
