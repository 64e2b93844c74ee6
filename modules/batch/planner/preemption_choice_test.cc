// Guards preemptions under bursts of urgent gangs on fleets where a preemption
// costs the stop, the restore and the work since the latest checkpoint.
#include "modules/batch/planner/preemption_choice.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;

constexpr core::Duration kRun = core::Duration::Seconds(6);
constexpr core::Duration kRestore = core::Duration::Milliseconds(600);
constexpr core::Duration kStop = core::Duration::Milliseconds(900);
/// Value of a core-second of the waiting work.
constexpr double kWaitingWorth = 0.01;

/// A job of one task that was accepted and started at At(0), with an objective
/// of 3 * 6 s + 3 s = 21 s.
Job MakeRunningJob(bool checkpoints, int priority = 2) {
  StepSpec step = MakeStep(1, {8000, 1000, 1});
  step.checkpoints = checkpoints;
  JobRecord record = MakeJob("j", {step}, priority);
  record.slack_factor = 3;
  record.objective = core::Duration::Seconds(3);
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  job.units.front().members.emplace_back();
  return job;
}

PreemptionLoss LossAfter(const Job& job,
                         std::int64_t ran_ms,
                         core::Duration wait = {}) {
  const CallerCost cost;
  RunningUnit running;
  running.job = &job;
  running.unit = &job.units.front();
  running.run = kRun;
  running.ran = core::Duration::Milliseconds(ran_ms);
  running.remaining = kRun - running.ran;
  running.wait = wait;
  return PreemptionChoice(cost, kRestore, kStop)
      .LossOf(running, kWaitingWorth, At(ran_ms));
}

/// Value of the capacity that a task of `MakeRunningJob` holds for a second.
constexpr double kWorthOfASecond = 16 * kWaitingWorth;

}  // namespace

BOOST_AUTO_TEST_SUITE(PreemptionChoiceTest)

// A preemption of a task with checkpoints is not free: the work since the
// checkpoint, the restore and the stop are lost.
BOOST_AUTO_TEST_CASE(TheLossWithCheckpointsIsTheRestoreTheStopAndTheWorkSince) {
  const Job job = MakeRunningJob(true);
  BOOST_TEST(LossAfter(job, 3000).capacity == 2.5 * kWorthOfASecond,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(LossAfter(job, 5000).capacity == LossAfter(job, 3000).capacity);
}

BOOST_AUTO_TEST_CASE(TheLossWithoutCheckpointsIsTheWholeRunSoFar) {
  const Job job = MakeRunningJob(false);
  BOOST_TEST(LossAfter(job, 5100).capacity == 6.0 * kWorthOfASecond,
             boost::test_tools::tolerance(1e-9));
}

// Without the wait for the next start, the preemption of a job that is just in
// time looks harmless on a full fleet.
BOOST_AUTO_TEST_CASE(TheDelayOfTheVictimIncludesItsExpectedWait) {
  const Job job = MakeRunningJob(false);
  BOOST_TEST(LossAfter(job, 3000, core::Duration::Seconds(12)).delay >
             LossAfter(job, 3000).delay);
}

// No unit is stopped again and again.
BOOST_AUTO_TEST_CASE(EachPreemptionOfAUnitMakesTheNextOneMoreExpensive) {
  Job job = MakeRunningJob(false);
  const double first = LossAfter(job, 3000).Total();
  job.units.front().preemptions = 1;
  BOOST_TEST(LossAfter(job, 3000).Total() == 2 * first,
             boost::test_tools::tolerance(1e-9));
}

// A preemption frees the capacity only after the stop, so it gains nothing if a
// run ends by itself as soon.
BOOST_AUTO_TEST_CASE(NothingIsGainedIfTheStartIsNoSooner) {
  const CallerCost cost;
  const PreemptionChoice choice(cost, kRestore, kStop);
  JobRecord record = MakeRunningJob(false, 0).record;
  record.slack_factor = 1.5;
  record.objective = core::Duration::Milliseconds(300);
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  const StartingUnit starting{&job, 0, kRun};
  BOOST_TEST(choice.GainOf(starting, At(800), {}, At(0)) == 0.0);
  BOOST_TEST(choice.GainOf(starting, At(6000), {}, At(0)) > 0.0);
  // Slow workers use up the time that is gained.
  BOOST_TEST(choice.GainOf(starting, At(6000), core::Duration::Seconds(5),
                           At(0)) == 0.0);
}

// Work that has plenty of slack gains nothing by an earlier start.
BOOST_AUTO_TEST_CASE(NothingIsGainedWithinTheSlack) {
  const CallerCost cost;
  const PreemptionChoice choice(cost, kRestore, kStop);
  const Job job = MakeRunningJob(false, 1);
  BOOST_TEST(choice.GainOf({&job, 0, kRun}, At(6000), {}, At(0)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
