#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "modules/decide/queue/fair_share.h"
#include "modules/decide/queue/job_queue.h"
#include "modules/decide/queue/run_time_estimator.h"

namespace hemlockdoor::decide {

BOOST_AUTO_TEST_SUITE(QueueTest)

// Guards against a queue that loses a job, keeps a cancelled job, or loses the
// order of arrival when a job is queued again.
BOOST_AUTO_TEST_CASE(KeepsTheOrderOfArrival) {
  std::mt19937_64 random(5);
  JobQueue queue;
  std::map<std::uint64_t, JobHandle> expected;
  std::vector<std::pair<std::uint64_t, JobHandle>> removed;
  std::uint64_t sequence = 0;
  for (int step = 0; step < 3000; ++step) {
    const auto event = random() % 4;
    if (event < 2) {
      const auto job = static_cast<JobHandle>(sequence);
      queue.Add({}, job, sequence);
      expected[sequence++] = job;
    } else if (event == 2 && !expected.empty()) {
      const auto at =
          std::next(expected.begin(),
                    static_cast<std::ptrdiff_t>(random() % expected.size()));
      queue.Remove(at->second);
      removed.emplace_back(at->first, at->second);
      expected.erase(at);
    } else if (!removed.empty()) {
      queue.Add({}, removed.back().second, removed.back().first);
      expected[removed.back().first] = removed.back().second;
      removed.pop_back();
    }
    BOOST_REQUIRE(queue.Count() == expected.size());
    if (!expected.empty()) {
      const JobHandle first = expected.begin()->second;
      BOOST_REQUIRE(queue.At(queue.BucketOf(first)).first == first);
    }
  }
  JobHandle job = queue.At(queue.BucketOf(expected.begin()->second)).first;
  for (const auto& [number, handle] : expected) {
    BOOST_REQUIRE(job == handle);
    job = queue.NextOf(job);
  }
  BOOST_TEST(job == kNoJob);
}

// Guards against a blocked bucket that is never tried again, or is woken by an
// unrelated event.
BOOST_AUTO_TEST_CASE(BlockedBucketsAreWokenByWhatTheyWaitFor) {
  JobQueue queue;
  BucketKey with_accelerators;
  with_accelerators.shape.accelerators_per_member = 1;
  const BucketHandle plain = queue.Add({}, 0, 0);
  const BucketHandle large = queue.Add(with_accelerators, 1, 1);
  BOOST_TEST(queue.TakeReady().size() == 2);
  queue.Block(plain, BlockReason::kNoCapacity);
  queue.Block(large, BlockReason::kNoCapacity);
  BOOST_TEST(queue.TakeReady().empty());
  queue.WakeForCapacity(false);
  BOOST_TEST((queue.TakeReady() == std::vector<BucketHandle>{plain}));
  queue.Block(plain, BlockReason::kSlotCap);
  queue.WakeForCapacity(true);
  BOOST_TEST((queue.TakeReady() == std::vector<BucketHandle>{large}));
  queue.Block(large, BlockReason::kNoCapacity);
  queue.WakeEntry(1);
  BOOST_TEST(queue.TakeReady().empty());
  queue.WakeEntry(0);
  BOOST_TEST((queue.TakeReady() == std::vector<BucketHandle>{plain}));
}

// Guards against an organisation that gets less than its weighted share, and
// against credit for a time without queued jobs.
BOOST_AUTO_TEST_CASE(WorkIsSharedByWeight) {
  FairShare share;
  share.SetWeight(0, 1);
  share.SetWeight(1, 3);
  share.OnQueued(0, Lane::kLong);
  share.OnQueued(1, Lane::kLong);
  int given[3] = {0, 0, 0};
  const auto serve = [&](int organisations) {
    OrganisationIndex next = 0;
    for (OrganisationIndex i = 1; i < static_cast<unsigned>(organisations);
         ++i) {
      if (share.VirtualTime(i, Lane::kLong) <
          share.VirtualTime(next, Lane::kLong)) {
        next = i;
      }
    }
    share.Charge(next, Lane::kLong, 10);
    ++given[next];
  };
  for (int i = 0; i < 4000; ++i) {
    serve(2);
  }
  BOOST_TEST(std::abs(given[1] - 3 * given[0]) <= 4);
  share.OnQueued(2, Lane::kLong);
  std::fill(std::begin(given), std::end(given), 0);
  for (int i = 0; i < 500; ++i) {
    serve(3);
  }
  BOOST_TEST(std::abs(given[2] - 100) <= 4);
}

// Guards against a lane that follows the declared run time although run times
// have been observed.
BOOST_AUTO_TEST_CASE(ObservedRunTimesDecideTheLane) {
  RunTimeEstimator run_times(core::Duration::Seconds(10));
  const RunTimeGroupIndex group =
      run_times.GroupOf({0, 0, core::JobClass("merge")});
  const core::Duration declared = core::Duration::Seconds(1);
  BOOST_TEST((run_times.LaneOf(group, declared) == Lane::kShort));
  run_times.ObserveOngoingRun(group, core::Duration::Seconds(30));
  BOOST_TEST((run_times.LaneOf(group, declared) == Lane::kLong));
  for (int i = 0; i < 100; ++i) {
    run_times.ObserveRun(group, core::Duration::Seconds(2));
  }
  BOOST_TEST(
      (run_times.LaneOf(group, core::Duration::Seconds(900)) == Lane::kShort));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
