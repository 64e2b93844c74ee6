#include "modules/observe/metrics/metrics.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace hemlockdoor::observe {

namespace {

const core::OrganisationId kNorth("north");
const core::JobClass kBatch("batch");

bool Has(Metrics& metrics, const std::string& line) {
  return ("\n" + metrics.ToText()).find("\n" + line + "\n") !=
         std::string::npos;
}

/// Value of a series without labels; -1 when absent.
double ValueOf(Metrics& metrics, const std::string& name) {
  std::istringstream lines(metrics.ToText());
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind(name + " ", 0) == 0) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return -1;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MetricsTest)

// Guards against a value that is counted under the wrong name or label.
BOOST_AUTO_TEST_CASE(EveryMetricHasItsNameLabelsAndUnit) {
  Metrics metrics;
  metrics.SetCatalogueNames({kNorth}, {kBatch});
  metrics.CountJobEnd(kNorth, kBatch, OutcomeLabel::kNotRun);
  metrics.SetQueueLength(kNorth, kBatch, 3);
  metrics.ObserveWait(kBatch, core::Duration::Milliseconds(1500));
  metrics.ObserveCompletion(kBatch, core::Duration::Seconds(2));
  metrics.ObserveShortWait(core::Duration::Milliseconds(500));
  metrics.CountRefusal(RefusalLabel::kDraining);
  metrics.SetReservations(4);
  metrics.CountPreemption(PreemptionLabel::kStop);
  metrics.SetGuaranteeShortfall(kNorth, 2);
  metrics.SetQuarantinedWorkers(1);
  metrics.SetFragmentation(0.25);
  metrics.CountStoreCall(StoreCallLabel::kWatch,
                         StoreResultLabel::kUnavailable);
  metrics.AddControlBytes(TrafficLabel::kReceived, 100);
  metrics.CountDroppedSpans(7);
  const std::vector<std::string> lines = {
      R"(hemlockdoor_jobs_total{class="batch",organisation="north",outcome="not-run"} 1)",
      R"(hemlockdoor_queue_jobs{class="batch",organisation="north"} 3)",
      R"(hemlockdoor_job_wait_seconds_sum{class="batch"} 1.5)",
      R"(hemlockdoor_job_wait_seconds_bucket{class="batch",le="1"} 0)",
      R"(hemlockdoor_job_wait_seconds_bucket{class="batch",le="2"} 1)",
      R"(hemlockdoor_job_completion_seconds_sum{class="batch"} 2)",
      R"(hemlockdoor_short_job_wait_seconds_sum 0.5)",
      R"(hemlockdoor_refusals_total{reason="draining"} 1)",
      R"(hemlockdoor_refusals_total{reason="shed"} 0)",
      R"(hemlockdoor_reservations 4)",
      R"(hemlockdoor_preemptions_total{mode="stop"} 1)",
      R"(hemlockdoor_guarantee_shortfall_gangs{organisation="north"} 2)",
      R"(hemlockdoor_quarantined_workers 1)",
      R"(hemlockdoor_free_accelerator_fragmentation_ratio 0.25)",
      R"(hemlockdoor_store_calls_total{kind="watch",result="unavailable"} 1)",
      R"(hemlockdoor_control_bytes_total{direction="received"} 100)",
      R"(hemlockdoor_trace_spans_dropped_total 7)",
  };
  for (const std::string& line : lines) {
    BOOST_TEST(Has(metrics, line), line);
  }
}

// Guards against callers that add series by inventing names.
BOOST_AUTO_TEST_CASE(UnknownNamesCountAsOther) {
  Metrics metrics;
  metrics.SetCatalogueNames({kNorth}, {kBatch});
  for (int i = 0; i < 100; ++i) {
    metrics.CountJobEnd(core::OrganisationId("o" + std::to_string(i)),
                        core::JobClass("c" + std::to_string(i)),
                        OutcomeLabel::kDone);
  }
  BOOST_TEST(Has(
      metrics,
      R"(hemlockdoor_jobs_total{class="other",organisation="other",outcome="done"} 100)"));
  BOOST_TEST(metrics.ToText().find("\"o1\"") == std::string::npos);
}

// Guards against series of deleted catalogue entries that stay for good.
BOOST_AUTO_TEST_CASE(SeriesOfRemovedNamesGo) {
  Metrics metrics;
  metrics.SetCatalogueNames({kNorth}, {kBatch});
  metrics.SetQueueLength(kNorth, kBatch, 3);
  metrics.SetCatalogueNames({}, {});
  BOOST_TEST(metrics.ToText().find("north") == std::string::npos);
  metrics.SetCatalogueNames({kNorth}, {kBatch});
  metrics.SetQueueLength(kNorth, kBatch, 2);
  BOOST_TEST(
      Has(metrics,
          R"(hemlockdoor_queue_jobs{class="batch",organisation="north"} 2)"));
}

// Guards against process figures that are not updated or have a wrong unit.
BOOST_AUTO_TEST_CASE(ProcessFiguresAreOfNow) {
  constexpr double kMebibyte = 1024.0 * 1024.0;
  Metrics metrics;
  const double cpu_before =
      ValueOf(metrics, "hemlockdoor_process_cpu_seconds_total");
  volatile double sink = 0;
  while (ValueOf(metrics, "hemlockdoor_process_cpu_seconds_total") <
         cpu_before + 0.05) {
    for (int i = 0; i < 100'000; ++i) {
      sink = sink + i;
    }
  }
  BOOST_TEST(cpu_before >= 0);
  const double resident =
      ValueOf(metrics, "hemlockdoor_process_resident_memory_bytes");
  BOOST_TEST(resident > kMebibyte);
  BOOST_TEST(resident < 4096 * kMebibyte);
}

BOOST_AUTO_TEST_CASE(ConfigurationShowsItsVersionAndAge) {
  Metrics metrics;
  metrics.SetConfiguration(52, core::Duration::Milliseconds(3500));
  metrics.CountConfigurationReadFailure("watch");
  BOOST_TEST(Has(metrics, "hemlockdoor_configuration_version 52"));
  BOOST_TEST(Has(metrics, "hemlockdoor_configuration_age_seconds 3.5"));
  BOOST_TEST(Has(
      metrics,
      R"(hemlockdoor_configuration_read_failures_total{operation="watch"} 1)"));
}

// Guards against a reason that stays on the dashboard after its jobs have
// started.
BOOST_AUTO_TEST_CASE(WaitingJobsAreReplaced) {
  Metrics metrics;
  metrics.SetWaitingJobs({{"no-room", 3}, {"recovery", 2}},
                         core::Duration::Milliseconds(2500));
  BOOST_TEST(Has(metrics, R"(hemlockdoor_waiting_jobs{reason="no-room"} 3)"));
  BOOST_TEST(
      Has(metrics, "hemlockdoor_longest_wait_beside_free_room_seconds 2.5"));
  metrics.SetWaitingJobs({{"no-room", 1}}, core::Duration());
  BOOST_TEST(Has(metrics, R"(hemlockdoor_waiting_jobs{reason="no-room"} 1)"));
  BOOST_TEST(metrics.ToText().find("recovery") == std::string::npos);
}

// Workers come and go; series of gone ones would be alerted on for ever, and
// thousands of workers must not fill the process's memory.
BOOST_AUTO_TEST_CASE(WorkerSpeedsAreReplacedAndBounded) {
  Metrics metrics;
  metrics.SetWorkerSpeeds({{core::AgentId("gone"), 1.0, 0.1, 4},
                           {core::AgentId("slow"), 2.0, 0.25, 7}});
  BOOST_TEST(Has(metrics, R"(hemlockdoor_worker_time_factor{agent="slow"} 2)"));
  BOOST_TEST(
      Has(metrics,
          R"(hemlockdoor_worker_time_factor_uncertainty{agent="slow"} 0.25)"));
  BOOST_TEST(
      Has(metrics, R"(hemlockdoor_worker_time_factor_runs{agent="slow"} 7)"));
  std::vector<WorkerSpeedFigures> many = {
      {core::AgentId("slow"), 1.8, 0.25, 8}};
  for (std::size_t i = 0; i < 2 * Metrics::kMaxWorkerSpeeds; ++i) {
    many.push_back({core::AgentId("a" + std::to_string(i)), 1.0, 0.1, 9});
  }
  metrics.SetWorkerSpeeds(many);
  BOOST_TEST(
      Has(metrics, R"(hemlockdoor_worker_time_factor{agent="slow"} 1.8)"));
  const std::string text = metrics.ToText();
  BOOST_TEST(text.find("gone") == std::string::npos);
  std::size_t series = 0;
  const std::string prefix = "\nhemlockdoor_worker_time_factor{";
  for (auto at = text.find(prefix); at != std::string::npos;
       at = text.find(prefix, at + 1)) {
    ++series;
  }
  BOOST_TEST(series == Metrics::kMaxWorkerSpeeds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::observe
