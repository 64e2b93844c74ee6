#include "modules/decide/health/worker_health.h"

#include <boost/test/unit_test.hpp>

#include "modules/decide/health/job_history.h"

namespace hemlockdoor::decide {

namespace {

constexpr WorkerIndex kWorker = 3;

core::TimePoint At(std::int64_t seconds) {
  return core::TimePoint::FromMilliseconds(seconds * 1000);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerHealthTest)

// Guards against quarantining a healthy worker because one faulty job fails on
// it repeatedly.
BOOST_AUTO_TEST_CASE(OneJobAloneNeverQuarantines) {
  WorkerHealth health(1);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(!health.OnFailure(kWorker, 7, At(i)));
  }
  BOOST_TEST((health.StateOf(kWorker) == HealthState::kHealthy));
}

// Guards against a worker that stays in use although every job fails on it, and
// against quarantining a worker with a success on record after as few failures
// as an unknown one.
BOOST_AUTO_TEST_CASE(DistinctFailuresQuarantine) {
  WorkerHealth unknown(1);
  BOOST_TEST(!unknown.OnFailure(kWorker, 1, At(0)));
  BOOST_TEST(unknown.OnFailure(kWorker, 2, At(0)));
  WorkerHealth proven(1);
  proven.OnSuccess(kWorker);
  BOOST_TEST(!proven.OnFailure(kWorker, 1, At(0)));
  BOOST_TEST(!proven.OnFailure(kWorker, 2, At(0)));
  BOOST_TEST(proven.OnFailure(kWorker, 3, At(0)));
}

// Guards against a quarantined worker that never gets a trial, gets trials at
// short intervals, or is not readmitted after a successful trial.
BOOST_AUTO_TEST_CASE(TrialDelayGrowsUntilTrialSucceeds) {
  WorkerHealth health(1);
  health.OnFailure(kWorker, 1, At(0));
  health.OnFailure(kWorker, 2, At(0));
  BOOST_TEST(health.TakeTrials(At(1)).empty());
  core::TimePoint now = At(0);
  core::Duration previous;
  for (JobHandle job = 10; job < 15; ++job) {
    const core::Duration delay = health.NextTrial(kWorker) - now;
    // Each delay doubles, with a jitter of a quarter either way.
    BOOST_TEST((delay > previous));
    previous = delay;
    now = health.NextTrial(kWorker);
    BOOST_REQUIRE(health.TakeTrials(now).size() == 1);
    BOOST_TEST(health.OnFailure(kWorker, job, now));
  }
  now = health.NextTrial(kWorker);
  BOOST_REQUIRE(health.TakeTrials(now).size() == 1);
  BOOST_TEST(health.OnSuccess(kWorker));
  BOOST_TEST((health.StateOf(kWorker) == HealthState::kHealthy));
  BOOST_TEST(health.Quarantined().empty());
}

// Guards against a trial job without a result that keeps a worker out of use.
BOOST_AUTO_TEST_CASE(LostTrialIsRepeated) {
  WorkerHealth health(1);
  health.OnFailure(kWorker, 1, At(0));
  health.OnFailure(kWorker, 2, At(0));
  BOOST_REQUIRE(health.TakeTrials(At(100)).size() == 1);
  BOOST_TEST(health.TakeTrials(At(120)).empty());
  BOOST_TEST(health.TakeTrials(At(161)).size() == 1);
}

// Guards against a job that counts as faulty because of faulty workers, and
// against endless attempts of a job that fails on every worker.
BOOST_AUTO_TEST_CASE(FaultyJobsAreThoseThatFailOnProvenWorkers) {
  JobHistory history;
  WorkerHealth health(1);
  const core::JobId id("job");
  for (WorkerIndex worker = 0; worker < 9; ++worker) {
    const AttemptHistory& attempts = history.AddFailure(id, worker);
    BOOST_TEST(!JobHistory::IsFaulty(attempts, health));
  }
  BOOST_TEST(JobHistory::IsFaulty(history.AddFailure(id, 9), health));
  const core::JobId other("other");
  for (WorkerIndex worker = 20; worker < 23; ++worker) {
    health.OnSuccess(worker);
    const AttemptHistory& attempts = history.AddFailure(other, worker);
    health.OnFailure(worker, attempts.identity, At(0));
    BOOST_TEST(JobHistory::IsFaulty(attempts, health) == (worker == 22));
  }
}

// Guards against unbounded memory use of the history.
BOOST_AUTO_TEST_CASE(HistoryIsBounded) {
  JobHistory history;
  for (int i = 0; i < 30'000; ++i) {
    history.AddFailure(core::JobId(std::to_string(i)), 1);
  }
  BOOST_TEST(history.Count() <= 20'000U);
  BOOST_TEST(history.Find(core::JobId("0")) == nullptr);
  BOOST_TEST(history.Find(core::JobId("29999")) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
