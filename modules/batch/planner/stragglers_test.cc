#include "modules/batch/planner/stragglers.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/load_replay.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::BookkeeperPattern;
using testing::LoadPattern;
using testing::LoadReplay;
using testing::ReplayResult;

core::Duration Ms(std::int64_t count) {
  return core::Duration::Milliseconds(count);
}

/// Runs of 2 s on a worker of factor 1.0.
const TypicalRunTime kSiblings{Ms(2000), 10, true};
const TypicalRunTime kQueue{Ms(2000), 10, false};

/// A run that has made 9% in 1,200 ms, so that it takes 13.3 s.
const ObservedRun kSlowRun{Ms(1200), 9, Ms(300), 1.0, Ms(2000)};

}  // namespace

BOOST_AUTO_TEST_SUITE(StragglersTest)

// One sibling that is fast or slow for its own reasons must not lead to moves.
BOOST_AUTO_TEST_CASE(SingleSiblingsProveNothing) {
  BOOST_TEST(IsStraggler(kSlowRun, kSiblings));
  BOOST_TEST(!IsStraggler(kSlowRun, {Ms(2000), 2, true}));
  BOOST_TEST(!IsStraggler(kSlowRun, MedianOfSiblings({})));
  BOOST_TEST(MedianOfSiblings({Ms(2000), Ms(2100), Ms(14'000), Ms(1900)})
                 .time.InMilliseconds() == 2100);
  QueueRunTimes queues;
  BOOST_TEST(!IsStraggler(kSlowRun, queues.MedianOf(QueueName("q"))));
}

// A slow worker, a job with more work and a run that has just begun are no
// reasons to start again.
BOOST_AUTO_TEST_CASE(ExplainedSlownessIsNoReason) {
  ObservedRun on_slow_worker = kSlowRun;
  on_slow_worker.time_factor = 2.4;
  BOOST_TEST(!IsStraggler(on_slow_worker, kSiblings));
  ObservedRun more_work = kSlowRun;
  more_work.declared = Ms(9000);
  BOOST_TEST(IsStraggler(kSlowRun, kQueue));
  BOOST_TEST(!IsStraggler(more_work, kQueue));
  const ObservedRun just_begun{Ms(300), 1, Ms(0), 1.0, Ms(2000)};
  BOOST_TEST(!IsStraggler(just_begun, kSiblings));
}

BOOST_AUTO_TEST_CASE(IsMovedOnlyIfClearlySooner) {
  BOOST_TEST(IsWorthMoving(kSlowRun, kSiblings, {1.0, 0, Ms(1000)}));
  BOOST_TEST(!IsWorthMoving(kSlowRun, kSiblings, {5.0, 0, Ms(1000)}));
  // 60% done after 8 s: only what a checkpoint keeps makes the move worth it.
  const ObservedRun late{Ms(8000), 60, Ms(0), 1.0, Ms(2000)};
  BOOST_TEST(!IsWorthMoving(late, kSiblings, {1.0, 0, Ms(1000)}));
  BOOST_TEST(IsWorthMoving(late, kSiblings, {1.0, 50, Ms(1000)}));
}

// In an hour in which everything is slow only a few runs are started again.
BOOST_AUTO_TEST_CASE(MovesAreLimited) {
  MoveLimit limit;
  BOOST_TEST(limit.Allows(10, 100, At(0)));
  limit.OnMoved(3, At(0));
  BOOST_TEST(limit.Allows(2, 100, At(100)));
  BOOST_TEST(!limit.Allows(3, 100, At(100)));
  BOOST_TEST(limit.Allows(10, 100, At(2000)));
}

// A third of the workers is slow, siblings differ, estimates are poor, and 3 of
// 100 runs take seven times as long. Without speeds, 60 of 128 urgent gangs
// ended within their objective, with them but without moves 106.
BOOST_AUTO_TEST_CASE(UrgentGangsAreInTimeOnAnUnevenFleetAtLowLoad) {
  constexpr double kMinInObjective = 0.85;
  int jobs = 0;
  int in_objective = 0;
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    LoadPattern pattern = BookkeeperPattern(0.5);
    pattern.knows_speeds = true;
    const ReplayResult result = LoadReplay(pattern, seed).Run();
    jobs += result.classes.at("einvoice-check").jobs;
    in_objective += result.classes.at("einvoice-check").in_objective;
  }
  BOOST_TEST(in_objective >= kMinInObjective * jobs);
}

// Two in three wide steps have a run that takes seven times as long, and wait
// for it. Without moves, 26 of 44 ended within their objective.
BOOST_AUTO_TEST_CASE(WideStepsDoNotWaitForTheLongTail) {
  constexpr double kMinInObjective = 0.8;
  int jobs = 0;
  int in_objective = 0;
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    LoadPattern pattern = BookkeeperPattern(0.5);
    pattern.knows_speeds = true;
    const ReplayResult result = LoadReplay(pattern, seed).Run();
    jobs += result.classes.at("receipt-batch").jobs;
    in_objective += result.classes.at("receipt-batch").in_objective;
  }
  BOOST_TEST(in_objective >= kMinInObjective * jobs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
