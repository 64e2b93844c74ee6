#include "modules/batch/planner/lending_limit.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;

constexpr std::int64_t kFleet = 100;

}  // namespace

BOOST_AUTO_TEST_SUITE(LendingLimitTest)

BOOST_AUTO_TEST_CASE(LendsEverythingUntilSomethingIsStopped) {
  LendingLimit limit;
  limit.SetUse(kFleet, 60);
  BOOST_TEST(limit.Allows(40, At(1000)));
  BOOST_TEST(!limit.Allows(41, At(1000)));
  limit.OnStarted(40);
  BOOST_TEST(!limit.Allows(1, At(1000)));
}

BOOST_AUTO_TEST_CASE(FallsBelowTheUseAtAStopAndRisesAgain) {
  LendingLimit limit;
  limit.SetUse(kFleet, 60);
  BOOST_TEST(limit.Allows(0, At(1000)));
  limit.OnStopped(At(1000));
  limit.SetUse(kFleet, 40);
  BOOST_TEST(limit.Allows(8, At(1000)));
  BOOST_TEST(!limit.Allows(9, At(1000)));
  BOOST_TEST(limit.Allows(14, At(3100)));
  BOOST_TEST(!limit.Allows(16, At(3100)));
  BOOST_TEST(limit.Allows(60, At(60'000)));
}

// One burst of urgent work stops many tasks within a moment.
BOOST_AUTO_TEST_CASE(StopsWithOneCauseCutOnce) {
  LendingLimit limit;
  limit.SetUse(kFleet, 60);
  limit.OnStopped(At(1000));
  limit.SetUse(kFleet, 30);
  limit.OnStopped(At(1100));
  BOOST_TEST(limit.Allows(18, At(1100)));
  limit.OnStopped(At(1600));
  BOOST_TEST(!limit.Allows(0, At(1600)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
