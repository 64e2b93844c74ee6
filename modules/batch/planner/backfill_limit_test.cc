#include "modules/batch/planner/backfill_limit.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;

constexpr std::int64_t kFleet = 100;

}  // namespace

BOOST_AUTO_TEST_SUITE(BackfillLimitTest)

BOOST_AUTO_TEST_CASE(AllowsTheWholeFleetBeforeAnyPreemption) {
  BackfillLimit limit;
  limit.SetUsage(kFleet, 60);
  BOOST_TEST(limit.Allows(40, At(1000)));
  BOOST_TEST(!limit.Allows(41, At(1000)));
  limit.OnStarted(40);
  BOOST_TEST(!limit.Allows(1, At(1000)));
}

BOOST_AUTO_TEST_CASE(FallsBelowTheUsageAtAPreemptionAndRisesAgain) {
  BackfillLimit limit;
  limit.SetUsage(kFleet, 60);
  BOOST_TEST(limit.Allows(0, At(1000)));
  limit.OnPreempted(At(1000));
  limit.SetUsage(kFleet, 40);
  BOOST_TEST(limit.Allows(8, At(1000)));
  BOOST_TEST(!limit.Allows(9, At(1000)));
  BOOST_TEST(limit.Allows(14, At(3100)));
  BOOST_TEST(!limit.Allows(16, At(3100)));
  BOOST_TEST(limit.Allows(60, At(60'000)));
}

// A burst of urgent work preempts many tasks at almost the same time.
BOOST_AUTO_TEST_CASE(PreemptionsWithOneCauseLowerTheLimitOnce) {
  BackfillLimit limit;
  limit.SetUsage(kFleet, 60);
  limit.OnPreempted(At(1000));
  limit.SetUsage(kFleet, 30);
  limit.OnPreempted(At(1100));
  BOOST_TEST(limit.Allows(18, At(1100)));
  limit.OnPreempted(At(1600));
  BOOST_TEST(!limit.Allows(0, At(1600)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
