#include "modules/batch/planner/admission.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;
using testing::MakeWorker;
using testing::SimulatedFleet;

/// Two workers of 64 cores and 8 accelerators, that is 256 core-equivalents,
/// known for a minute. Tasks run for 2 s. `backlog_seconds` is the time in
/// which the whole fleet does the work of priority 1.
RoomSummary MakeSummary(double backlog_seconds) {
  RoomSummary summary;
  summary.capacity = 256;
  summary.capacity_known = core::Duration::Seconds(60);
  summary.whole_fleet_known = core::Duration::Seconds(60);
  summary.is_complete = true;
  summary.shapes = {{core::ServiceName("service"), {64000, 262144, 8}, 2}};
  summary.labels = {"a"};
  summary.priorities = {{1, 256, backlog_seconds * 256}};
  summary.run_times[QueueName("queue")] = core::Duration::Seconds(2);
  return summary;
}

/// A job of one task with an objective of 3 s plus 1.5 times its run time. With
/// the longest likely run of 4 s it has lost its value after 27 s.
JobRecord MakeRecord(int priority = 1) {
  JobRecord record = MakeJob("j", {MakeStep(1, {1000, 1000, 1})}, priority);
  record.slack_factor = 1.5;
  record.objective = core::Duration::Seconds(3);
  return record;
}

AdmissionReason Decide(const RoomSummary& summary, const JobRecord& job) {
  return DecideAdmission(&summary, core::Duration(), job).reason;
}

struct Case {
  std::string name;
  AdmissionReason expected = AdmissionReason::kAccepted;
  std::function<void(RoomSummary&, JobRecord&)> change;
};

/// Checks the decision on each case, which changes a job and a summary whose
/// backlog takes `backlog_seconds`.
void Check(double backlog_seconds, const std::vector<Case>& cases) {
  for (const Case& each : cases) {
    RoomSummary summary = MakeSummary(backlog_seconds);
    JobRecord job = MakeRecord();
    each.change(summary, job);
    BOOST_TEST_CONTEXT(each.name) {
      BOOST_TEST((Decide(summary, job) == each.expected));
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTest)

// A rejected job that would have been in time costs its caller the job.
BOOST_AUTO_TEST_CASE(RejectsOnlyWhatIsTooLateByAllEstimates) {
  constexpr auto kTooLate = AdmissionReason::kTooLate;
  constexpr auto kAccepted = AdmissionReason::kAccepted;
  Check(22, {{"long runs may be in time", kAccepted, [](auto&, auto&) {}}});
  Check(
      40,
      {{"too late", kTooLate, [](auto&, auto&) {}},
       {"urgent, within the guarantee", kAccepted,
        [](auto& summary, auto& job) {
          job.priority = 0;
          summary.priorities.front().priority = 0;
        }},
       {"urgent, beyond the guarantee", kTooLate,
        [](auto& summary, auto& job) {
          job.priority = 0;
          summary.priorities.front().priority = 0;
          summary.beyond_guarantee = {job.organisation};
        }},
       {"less urgent work is not ahead", kAccepted,
        [](auto& summary, auto&) { summary.priorities.front().priority = 2; }},
       {"scheduled occurrences", kAccepted,
        [](auto&, auto& job) { job.spec.occurrences = 2; }},
       {"long-running step", kAccepted,
        [](auto&, auto& job) { job.spec.steps.front().long_running = true; }},
       {"run time not known", kAccepted,
        [](auto& summary, auto&) { summary.run_times.clear(); }},
       {"workers are still coming back", kAccepted,
        [](auto& summary, auto&) {
          summary.capacity_known = core::Duration::Seconds(9);
        }},
       {"no worker", kAccepted,
        [](auto& summary, auto&) { summary.capacity = 0; }}});
}

BOOST_AUTO_TEST_CASE(TheAgeOfARetriedJobCounts) {
  const RoomSummary summary = MakeSummary(20);
  JobRecord job = MakeRecord();
  job.accepted_wall_ms = 1'000'000;
  BOOST_TEST((Decide(summary, job) == AdmissionReason::kAccepted));
  job.first_attempt_wall_ms = job.accepted_wall_ms - 5'000;
  BOOST_TEST((Decide(summary, job) == AdmissionReason::kTooLate));
}

// After a takeover or at a partition there is no recent summary.
BOOST_AUTO_TEST_CASE(AcceptsEverythingWithoutARecentSummary) {
  const RoomSummary summary = MakeSummary(1'000);
  const JobRecord job = MakeRecord();
  BOOST_TEST(!DecideAdmission(&summary, kMaxSummaryAge, job).IsAccepted());
  BOOST_TEST(DecideAdmission(&summary,
                             kMaxSummaryAge + core::Duration::Milliseconds(1),
                             job)
                 .IsAccepted());
  BOOST_TEST(DecideAdmission(nullptr, core::Duration(), job).IsAccepted());
}

BOOST_AUTO_TEST_CASE(RejectsWhatTheWholeFleetCouldNeverHold) {
  const auto set_step = [](StepSpec step) {
    return [step](RoomSummary&, JobRecord& job) { job.spec.steps = {step}; };
  };
  StepSpec labelled = MakeStep(1, {1000, 1000, 1});
  labelled.required_label = "b";
  StepSpec gang = MakeStep(17, {1000, 1000, 1});
  gang.gang = true;
  StepSpec spread = MakeStep(3, {1000, 1000, 1});
  spread.gang = true;
  spread.max_per_worker = 1;
  const StepSpec large = MakeStep(1, {1000, 1000, 9});
  constexpr auto kAccepted = AdmissionReason::kAccepted;
  Check(0, {{"large task", AdmissionReason::kTaskTooLarge, set_step(large)},
            {"label", AdmissionReason::kNoSuchLabel, set_step(labelled)},
            {"gang", AdmissionReason::kGangTooLarge, set_step(gang)},
            {"spread gang", AdmissionReason::kGangTooLarge, set_step(spread)},
            {"many tasks in turn", kAccepted,
             set_step(MakeStep(1000, {1000, 1000, 8}))},
            {"machines were missing a moment ago", kAccepted,
             [&](auto& summary, auto& job) {
               job.spec.steps = {large};
               summary.whole_fleet_known = core::Duration::Seconds(9);
             }},
            {"too many shapes", kAccepted,
             [&](auto& summary, auto& job) {
               job.spec.steps = {large};
               summary.is_complete = false;
             }},
            {"service without workers", kAccepted, [&](auto&, auto& job) {
               job.spec.steps = {large};
               job.service = core::ServiceName("other");
             }}});
}

BOOST_AUTO_TEST_CASE(RetryAfterIsSpreadBetweenOneAndThreeSeconds) {
  for (const std::int64_t base_ms : {0, 900, 1'500, 2'000, 3'000, 90'000}) {
    std::set<core::Duration> times;
    for (int i = 0; i < 50; ++i) {
      times.insert(SpreadRetryAfter(core::Duration::Milliseconds(base_ms),
                                    core::JobId("job-" + std::to_string(i))));
    }
    BOOST_TEST(times.size() == 2U);
    BOOST_TEST((*times.begin() >= core::Duration::Seconds(1)));
    BOOST_TEST((*times.rbegin() <= core::Duration::Seconds(3)));
  }
}

BOOST_AUTO_TEST_CASE(ASummaryIsUnchangedByItsText) {
  RoomSummary summary = MakeSummary(7);
  summary.beyond_guarantee = {core::OrganisationId("north")};
  const auto read = RoomSummaryFromText(ToText(summary));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(ToText(*read) == ToText(summary));
  for (const char* text : {"", "[]", "{}", R"({"capacity_known":-1})"}) {
    BOOST_TEST(!RoomSummaryFromText(text).has_value());
  }
}

// The summary of a fleet in which a machine is missing must not lead to the
// rejection of jobs that this machine could run.
BOOST_AUTO_TEST_CASE(ThePlannerSummarisesItsFleetAndItsBacklog) {
  SimulatedFleet fleet({MakeWorker("w1"), MakeWorker("w2", "r2")});
  const auto measure = [&fleet] {
    const RoomSummary* summary = fleet.planner.Room(fleet.now);
    BOOST_REQUIRE(summary != nullptr);
    return *summary;
  };
  measure();
  JobRecord urgent = MakeJob("u", {MakeStep(2, {32000, 1000, 8})}, 0);
  fleet.planner.AddJob(urgent, fleet.now);
  JobRecord wide = MakeJob("w", {MakeStep(30, {8000, 1000, 1})}, 2);
  wide.objective = core::Duration::Seconds(60);
  fleet.planner.AddJob(wide, fleet.now);
  fleet.Advance(12'000);
  const RoomSummary summary = measure();
  BOOST_TEST(summary.capacity == 256);
  BOOST_TEST((summary.whole_fleet_known >= core::Duration::Seconds(10)));
  BOOST_TEST(summary.shapes.size() == 1U);
  BOOST_TEST(summary.shapes.front().workers == 2);
  BOOST_TEST(summary.labels.size() == 3U);
  BOOST_TEST(summary.beyond_guarantee.contains(urgent.organisation));
  BOOST_REQUIRE(summary.priorities.size() == 2U);
  BOOST_TEST(summary.priorities.front().drain_rate > 150);
  // 30 tasks of 16 core-equivalents for at least 0.4 s.
  BOOST_TEST(summary.priorities.back().backlog == 192,
             boost::test_tools::tolerance(0.01));

  fleet.DisconnectAgent("w2");
  fleet.Advance(30'000);
  const RoomSummary without = measure();
  BOOST_TEST((without.whole_fleet_known == core::Duration()));
  BOOST_TEST(without.capacity == 256);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
