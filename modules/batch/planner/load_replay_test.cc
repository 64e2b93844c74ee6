// The deployments' loads, replayed on the planner.
#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/load_replay.h"

namespace hemlockdoor::batch {

namespace {

using testing::ClassResult;
using testing::LoadReplay;
using testing::RegistryPattern;
using testing::ReplayResult;

/// The users' target for the mean worth of the grown registry.
constexpr double kRegistryTarget = 0.61;
/// A class counts as served when at most 60% of its jobs are refused or fail.
constexpr double kLeastServedShare = 0.4;

}  // namespace

BOOST_AUTO_TEST_SUITE(LoadReplayTest)

// Bursts of urgent gangs on a fleet that wide and narrow work fills.
BOOST_AUTO_TEST_CASE(RegistryEarnsItsTargetAtUsualLoad) {
  for (const bool grown : {false, true}) {
    for (const std::uint64_t seed : {1U, 2U}) {
      const ReplayResult result =
          LoadReplay(RegistryPattern(grown, 1.0), seed).Run();
      BOOST_TEST_CONTEXT("grown " << grown << " seed " << seed) {
        BOOST_TEST(result.EarnedShare() >= kRegistryTarget);
      }
    }
  }
}

// The grown registry's worst day offers a third more than the fleet can do.
BOOST_AUTO_TEST_CASE(GrownRegistryEarnsItsTargetAtTheCrest) {
  for (const std::uint64_t seed : {1U, 2U}) {
    const ReplayResult result =
        LoadReplay(RegistryPattern(true, 2.0), seed).Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(result.EarnedShare() >= kRegistryTarget);
    }
  }
}

// The crest: one and a half times the usual load for the whole time.
BOOST_AUTO_TEST_CASE(NoClassStarvesAtTheCrest) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const ReplayResult result =
        LoadReplay(RegistryPattern(false, 1.5), seed).Run();
    for (const auto& [name, each] : result.classes) {
      BOOST_TEST_CONTEXT(name << " seed " << seed) {
        const double served =
            1.0 - static_cast<double>(each.unserved) / each.jobs;
        BOOST_TEST(served >= kLeastServedShare);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(SameLoadGivesTheSameDecisions) {
  const ReplayResult first = LoadReplay(RegistryPattern(false, 1.0), 5).Run();
  const ReplayResult second = LoadReplay(RegistryPattern(false, 1.0), 5).Run();
  BOOST_TEST(first.EarnedShare() == second.EarnedShare());
  BOOST_TEST(first.stops == second.stops);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
