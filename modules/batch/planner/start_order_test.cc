// Guards the order of starts under bursts in which two to three times as much
// work arrives as the fleet can process.
#include "modules/batch/planner/start_order.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;

constexpr core::Duration kRun = core::Duration::Seconds(4);
constexpr Resources kFleet{256'000, 1'048'576, 32};

/// A job accepted at At(0), with an objective of 1.5 * 4 s + 1 s = 7 s.
Job MakeWaitingJob(const std::string& id,
                   int priority = 1,
                   int tasks = 1,
                   const std::string& organisation = "north") {
  JobRecord record = MakeJob(id, {MakeStep(tasks, {8000, 8000, 1})}, priority);
  record.slack_factor = 1.5;
  record.objective = core::Duration::Seconds(1);
  record.organisation = core::OrganisationId(organisation);
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  return job;
}

WaitingUnit Waiting(Job& job, bool is_within_guarantee = false) {
  return {&job, &job.units.front(), kRun, is_within_guarantee};
}

std::vector<std::string> Ids(const std::vector<WaitingUnit>& units) {
  std::vector<std::string> ids;
  for (const WaitingUnit& each : units) {
    ids.push_back(each.job->record.spec.id.Text());
  }
  return ids;
}

using Names = std::vector<std::string>;

}  // namespace

BOOST_AUTO_TEST_SUITE(StartOrderTest)

// With the order by priority alone, a burst of wide jobs of the higher priority
// delays a small job that earns more for the capacity it takes.
BOOST_AUTO_TEST_CASE(MoreValueForTheSameCapacityComesFirst) {
  const CallerCost cost;
  Job wide = MakeWaitingJob("wide", 1, 8);
  Job narrow = MakeWaitingJob("narrow", 2);
  const StartRanking order(cost, kFleet);
  BOOST_TEST(Ids(order.Sorted({Waiting(wide), Waiting(narrow)}, At(2000))) ==
             (Names{"narrow", "wide"}));
}

// Nothing that still has value starves: the index rises as the slack falls.
BOOST_AUTO_TEST_CASE(TheIndexRisesUntilTheObjectiveCannotBeMet) {
  const CallerCost cost;
  const Job job = MakeWaitingJob("j");
  const StartRanking order(cost, kFleet);
  const double early = order.IndexOf(job, 0, kRun, At(0));
  const double just_in_time = order.IndexOf(job, 0, kRun, At(2800));
  const double late = order.IndexOf(job, 0, kRun, At(4000));
  const double later = order.IndexOf(job, 0, kRun, At(14'000));
  BOOST_TEST(early > 0.0);
  BOOST_TEST(just_in_time > early);
  BOOST_TEST(late < just_in_time);
  BOOST_TEST(later > late);
  BOOST_TEST(order.IndexOf(job, 0, kRun, At(30'000)) == 0.0);
}

BOOST_AUTO_TEST_CASE(WorkWithoutAnObjectiveKeepsItsFullValue) {
  const CallerCost cost;
  JobRecord record = MakeWaitingJob("service").record;
  record.spec.steps.front().long_running = true;
  Job job = Job::Create(record, nullptr);
  job.accepted = At(0);
  const StartRanking order(cost, kFleet);
  BOOST_TEST(order.IndexOf(job, 0, kRun, At(100'000)) ==
             order.IndexOf(job, 0, kRun, At(0)));
  BOOST_TEST(order.IndexOf(job, 0, kRun, At(0)) > 0.0);
}

// Guarantees of organisations take precedence over the value.
BOOST_AUTO_TEST_CASE(UnitsWithinTheGuaranteeComeFirstAndThoseWithoutValueLast) {
  const CallerCost cost;
  Job worthless = MakeWaitingJob("worthless");
  Job older = MakeWaitingJob("older");
  Job ordinary = MakeWaitingJob("ordinary");
  Job guaranteed = MakeWaitingJob("guaranteed", 0, 8);
  older.accepted = At(-1000);
  ordinary.accepted = At(58'000);
  guaranteed.accepted = At(59'000);
  const StartRanking order(cost, kFleet);
  BOOST_TEST(Ids(order.Sorted({Waiting(worthless), Waiting(older),
                               Waiting(ordinary), Waiting(guaranteed, true)},
                              At(60'000))) ==
             (Names{"guaranteed", "ordinary", "older", "worthless"}));
}

// A part of a job's value does not depend on its work. Ordered by value for
// each core-second alone, the widest jobs of a queue would always come last.
BOOST_AUTO_TEST_CASE(AWideJobIsNotBehindAMeanJobOfItsQueue) {
  CallerCost cost;
  Job mean = MakeWaitingJob("mean", 1, 4);
  Job wide = MakeWaitingJob("wide", 1, 40);
  for (int i = 0; i < 100; ++i) {
    cost.AddJob(mean);
  }
  cost.AddJob(wide);
  const StartRanking order(cost, kFleet);
  const double of_mean = order.IndexOf(mean, 0, kRun, At(0));
  const double of_wide = order.IndexOf(wide, 0, kRun, At(0));
  BOOST_TEST(of_wide >= 0.9 * of_mean);
}

// A large organisation that fills the fleet with a burst must not crowd out a
// small one. By age alone, all of its jobs would come first.
BOOST_AUTO_TEST_CASE(AmongEqualsTheSmallestDominantShareComesFirst) {
  const CallerCost cost;
  Job first = MakeWaitingJob("large1", 1, 1, "large");
  Job second = MakeWaitingJob("large2", 1, 1, "large");
  Job small1 = MakeWaitingJob("small1", 1, 1, "small");
  Job small2 = MakeWaitingJob("small2", 1, 1, "small");
  second.accepted = At(1);
  small1.accepted = At(2);
  small2.accepted = At(3);
  StartRanking order(cost, kFleet);
  order.AddRunning(core::OrganisationId("large"), {8000, 8000, 1});
  BOOST_TEST(
      Ids(order.Sorted(
          {Waiting(first), Waiting(second), Waiting(small1), Waiting(small2)},
          At(10))) == (Names{"small1", "large1", "small2", "large2"}));
}

// The rest of a wide step needs little capacity for the whole value of its job.
BOOST_AUTO_TEST_CASE(OnlyWorkThatHasNotStartedCounts) {
  const CallerCost cost;
  Job job = MakeWaitingJob("j", 1, 8);
  const StartRanking order(cost, kFleet);
  const double before = order.IndexOf(job, 0, kRun, At(0));
  for (std::size_t i = 0; i < 4; ++i) {
    job.units[i].phase = UnitPhase::kDone;
  }
  job.units[4].members.emplace_back();
  job.units[5].members.emplace_back();
  BOOST_TEST(order.IndexOf(job, 0, kRun, At(0)) == 4 * before,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
