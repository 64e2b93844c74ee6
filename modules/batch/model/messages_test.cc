#include "modules/batch/model/messages.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

BOOST_AUTO_TEST_SUITE(MessagesTest)

BOOST_AUTO_TEST_CASE(TaskNameRoundTripsThroughText) {
  const TaskName task{core::JobId("5c0e7a21d94b36f8"), 1, 2, 17};
  BOOST_TEST((TaskName::FromText(task.ToText()) == task));
  for (const char* text : {"", "a", "a.0.1", ".0.1.2", "a.0.x.2", "a.0.-1.2"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!TaskName::FromText(text).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportRoundTripsThroughText) {
  AgentReport report;
  report.agent = core::AgentId("a");
  report.endpoint = "127.0.0.1:1";
  report.sequence = 3;
  report.worker = testing::MakeWorker("w");
  report.is_complete = true;
  ActiveRun run;
  run.key = {{core::JobId("j"), 0, 0, 1}, 2};
  run.percent = 40;
  run.still = core::Duration::Milliseconds(1200);
  report.active = {run};
  report.ends = {{7, run.key, RunEndKind::kGangBroken, "ck"}};
  report.rejections = {{run.key, RejectReason::kNoCapacity}};
  const auto decoded = ReportFromText(ToText(report));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->worker->identity == report.worker->identity));
  BOOST_TEST((decoded->active[0].key == run.key));
  BOOST_TEST((decoded->active[0].still == run.still));
  BOOST_TEST((decoded->ends[0].kind == RunEndKind::kGangBroken));
  BOOST_TEST((decoded->rejections[0].reason == RejectReason::kNoCapacity));
  BOOST_TEST(decoded->is_complete);
}

BOOST_AUTO_TEST_CASE(RejectsMalformedReports) {
  for (const char* text : {"", "[]", "{\"agent\":3}", "{"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!ReportFromText(text).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(ProgressRoundTripKeepsEndsFailuresAndCheckpoints) {
  Job job = Job::Create(
      testing::MakeJob("j", {testing::MakeStep(3, {1000, 1000, 1})}), nullptr);
  job.units[0].phase = UnitPhase::kDone;
  job.units[1].failed_runs = {1, 4};
  job.units[1].checkpoint = "ck";
  job.units[1].highest_run = 4;
  const auto progress = ProgressFromText(ToText(job.Progress(0)));
  BOOST_REQUIRE(progress.has_value());
  const Job restored = Job::Create(job.record, &*progress);
  BOOST_TEST((restored.units[0].phase == UnitPhase::kDone));
  BOOST_TEST((restored.units[1].failed_runs == std::set<std::int64_t>{1, 4}));
  BOOST_TEST(restored.units[1].checkpoint == "ck");
  BOOST_TEST(restored.units[2].highest_run == 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
