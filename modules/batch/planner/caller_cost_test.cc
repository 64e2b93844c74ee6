#include "modules/batch/planner/caller_cost.h"

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

BOOST_AUTO_TEST_SUITE(CallerCostTest)

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
  const CallerCost cost;
  BOOST_TEST(cost.WorthAt(job, kRun, At(7000)) == 3.0);
  BOOST_TEST(cost.WorthAt(job, kRun, At(7001)) == 0.9);
  BOOST_TEST(cost.WorthAt(job, kRun, At(21'000)) == 0.9);
  BOOST_TEST(cost.WorthAt(job, kRun, At(21'001)) == 0.0);
}

// A job of five times the mean work is not worth five times as much, and a job
// of little work is not worthless.
BOOST_AUTO_TEST_CASE(WorthGrowsWithTheWorkRelativeToTheQueue) {
  CallerCost cost;
  Job narrow = Job::Create(MakeJob("a", {MakeStep(1, {8000, 1, 0})}, 0), {});
  Job wide = Job::Create(MakeJob("b", {MakeStep(39, {8000, 1, 0})}, 0), {});
  cost.AddJob(narrow);
  BOOST_TEST(cost.FullWorth(narrow) == 4.0);
  cost.AddJob(wide);
  BOOST_TEST(cost.FullWorth(narrow) == 4.0 * (0.3 + 0.7 / 20),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(cost.FullWorth(wide) == 4.0 * (0.3 + 0.7 * 39 / 20),
             boost::test_tools::tolerance(1e-9));
  wide.record.priority = 7;
  BOOST_TEST(cost.FullWorth(wide) == 0.3 + 0.7 * 39 / 20,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
