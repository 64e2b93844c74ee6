#include "modules/batch/planner/preemption_policy.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;

constexpr core::Duration kRun = core::Duration::Seconds(6);

/// A job of one task that has run since At(0), and was accepted then.
Job MakeRunningJob(bool checkpoints, int priority = 2) {
  StepSpec step = MakeStep(1, {8000, 1000, 1});
  step.checkpoints = checkpoints;
  JobRecord record = MakeJob("j", {step}, priority);
  record.slack_factor = 3;
  record.objective = core::Duration::Seconds(3);
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  UnitMember member;
  member.since = At(0);
  job.units.front().members.push_back(member);
  return job;
}

PreemptionLoss LossAfter(const PreemptionPolicy& policy,
                         const Job& job,
                         std::int64_t ran_ms) {
  RunningUnit running;
  running.job = &job;
  running.unit = &job.units.front();
  running.worth = CallerCost().CurveOf(job, 0, kRun);
  running.run = kRun;
  running.remaining = kRun - core::Duration::Milliseconds(ran_ms);
  return policy.LossOf(running, At(ran_ms));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PreemptionPolicyTest)

// Guards against stops of checkpointing work that are taken as free: restores
// and the work since the checkpoint are lost, and the job is delayed.
BOOST_AUTO_TEST_CASE(AStopWithCheckpointsCostsTheRestoreAndTheWorkSince) {
  const PreemptionPolicy policy;
  const Job job = MakeRunningJob(true);
  const PreemptionLoss early = LossAfter(policy, job, 3000);
  // 0.6 s of restore and on average 1 s since the checkpoint, of a run of 6 s.
  BOOST_TEST(early.repeated_work == 1.6 / 6,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(LossAfter(policy, job, 5000).repeated_work == early.repeated_work);
}

BOOST_AUTO_TEST_CASE(AStopWithoutCheckpointsCostsTheWholeRunSoFar) {
  const PreemptionPolicy policy;
  const Job job = MakeRunningJob(false);
  BOOST_TEST(LossAfter(policy, job, 5700).repeated_work == 1.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(LossAfter(policy, job, 5700).Total() >
             LossAfter(policy, MakeRunningJob(true), 5700).Total());
}

// Without the wait for the next start in the loss, a stop of a job that is just
// in time looks harmless on a full fleet.
BOOST_AUTO_TEST_CASE(TheDelayOfTheVictimIncludesItsExpectedWait) {
  PreemptionPolicy policy;
  const Job job = MakeRunningJob(false);
  const double without_wait = LossAfter(policy, job, 3000).delay;
  policy.OnStarted(2, core::Duration::Seconds(10));
  BOOST_TEST(LossAfter(policy, job, 3000).delay > 2 * without_wait);
}

BOOST_AUTO_TEST_CASE(ProtectionGrowsWithEachPreemption) {
  const PreemptionPolicy policy;
  Job job = MakeRunningJob(false);
  const double first = LossAfter(policy, job, 3000).Total();
  job.units.front().preemptions = 1;
  BOOST_TEST(LossAfter(policy, job, 3000).Total() == 2 * first,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(NothingIsGainedByAStopThatIsNoSoonerThanTheEndOfARun) {
  const PreemptionPolicy policy;
  const WorthCurve worth = CallerCost().CurveOf(MakeRunningJob(false), 0, kRun);
  BOOST_TEST(policy.GainOf(worth, At(500), {}, At(0)) == 0.0);
  BOOST_TEST(policy.GainOf(worth, At(20'000), {}, At(0)) >
             policy.GainOf(worth, At(10'000), {}, At(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
