#include "modules/batch/planner/lateness.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;

constexpr core::Duration kRun = core::Duration::Seconds(2);

/// A job of two dependent steps with a critical path of 4 s. The objective is
/// 1.5 * 4 s + 1 s = 7 s.
Job MakeChain() {
  StepSpec second = MakeStep(1, {1000, 1000, 1});
  second.after = {0};
  JobRecord record = MakeJob("j", {MakeStep(1, {1000, 1000, 1}), second});
  record.slack_factor = 1.5;
  record.objective = core::Duration::Seconds(1);
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  return job;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LatenessTest)

BOOST_AUTO_TEST_CASE(CriticalPathFollowsTheDependenciesOfSteps) {
  const Job job = MakeChain();
  BOOST_TEST((CriticalPathFrom(job, 0, kRun) == kRun * 2));
  BOOST_TEST((CriticalPathFrom(job, 1, kRun) == kRun));
  BOOST_TEST((CriticalPath(job, kRun) == kRun * 2));
}

// Each step depends on all earlier ones, so the number of chains is two to the
// power of the number of steps.
BOOST_AUTO_TEST_CASE(CriticalPathOfManyDependenciesIsFoundAtOnce) {
  constexpr int kSteps = 1000;
  std::vector<StepSpec> steps;
  for (int number = 0; number < kSteps; ++number) {
    StepSpec step = MakeStep(1, {1000, 1000, 1});
    for (int earlier = 0; earlier < number; ++earlier) {
      step.after.push_back(earlier);
    }
    steps.push_back(step);
  }
  const Job job = Job::Create(MakeJob("j", steps), nullptr);
  BOOST_TEST((CriticalPath(job, kRun) == kRun * kSteps));
  BOOST_TEST((CriticalPathFrom(job, kSteps - 2, kRun) == kRun * 2));
}

BOOST_AUTO_TEST_CASE(AJobIsLateUpToThreeTimesItsObjective) {
  const Job job = MakeChain();
  const auto at = [&job](int step, std::int64_t start_ms) {
    return ExpectedLateness(job, step, kRun, At(start_ms));
  };
  BOOST_TEST((at(0, 2800) == Lateness::kOnTime));
  BOOST_TEST((at(0, 3100) == Lateness::kLate));
  // No step depends on the last one.
  BOOST_TEST((at(1, 3100) == Lateness::kOnTime));
  BOOST_TEST((at(1, 18'800) == Lateness::kLate));
  BOOST_TEST((at(1, 19'100) == Lateness::kTooLate));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
