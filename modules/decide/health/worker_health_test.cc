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

// Guards against a good worker that is quarantined for one bad job.
BOOST_AUTO_TEST_CASE(OneJobAloneNeverQuarantines) {
  WorkerHealth health(1);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(!health.OnFailure(kWorker, 7, At(i)));
  }
  BOOST_TEST((health.StateOf(kWorker) == HealthState::kHealthy));
}

// Guards against a worker that fails everything and stays in use, and against
// one that ended work well and is condemned as fast as an unknown one.
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

// Guards against a quarantined worker that never gets a trial, gets trials too
// fast, or is not readmitted by a success.
BOOST_AUTO_TEST_CASE(TrialsComeLaterAndLaterUntilOneSucceeds) {
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

// Guards against a trial job without an end that keeps the worker out.
BOOST_AUTO_TEST_CASE(LostTrialIsRepeated) {
  WorkerHealth health(1);
  health.OnFailure(kWorker, 1, At(0));
  health.OnFailure(kWorker, 2, At(0));
  BOOST_REQUIRE(health.TakeTrials(At(100)).size() == 1);
  BOOST_TEST(health.TakeTrials(At(120)).empty());
  BOOST_TEST(health.TakeTrials(At(161)).size() == 1);
}

// Guards against a job that is called faulty because of bad workers, and
// against one that fails everywhere and is tried for ever.
BOOST_AUTO_TEST_CASE(FaultyJobsAreThoseThatFailOnProvenWorkers) {
  JobHistory history;
  WorkerHealth health(1);
  const core::JobId id("job");
  for (WorkerIndex worker = 0; worker < 9; ++worker) {
    const AttemptHistory& past = history.AddFailure(id, worker);
    BOOST_TEST(!JobHistory::IsFaulty(past, health));
  }
  BOOST_TEST(JobHistory::IsFaulty(history.AddFailure(id, 9), health));
  const core::JobId other("other");
  for (WorkerIndex worker = 20; worker < 23; ++worker) {
    health.OnSuccess(worker);
    const AttemptHistory& past = history.AddFailure(other, worker);
    health.OnFailure(worker, past.identity, At(0));
    BOOST_TEST(JobHistory::IsFaulty(past, health) == (worker == 22));
  }
}

// Guards against a history that grows without bound.
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
