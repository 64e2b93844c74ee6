// Entries that learn of a change of the configuration late, or answer by an
// older one. Environment: HEMLOCKDOOR_BIN, the folder of the program.
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "tests/soak/configuration_rig.h"

namespace hemlockdoor::soak {

namespace {

constexpr int kEntries = 3;
/// Routes of a configuration of about 1 MB in the store's encoding.
constexpr int kManyRoutes = 4200;
/// A link of 10 Mbit/s.
constexpr std::int64_t kSlowLinkBytesPerSecond = 1'250'000;
/// An entry that a change has not reached.
constexpr int kLate = 1;
/// Time from the request of a caller to its answer.
constexpr std::int64_t kCallerMs = 300;

void RequireNoViolation(ConfigurationRig& rig) {
  const std::string violations = rig.Violations();
  const std::string logs = violations.empty() ? "" : rig.KeepLogs();
  BOOST_TEST(violations.empty(), violations + "logs: " + logs);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLagTest)

// The store does not answer one entry and serves the others and the operator.
BOOST_AUTO_TEST_CASE(AnEntryThatTheStoreDoesNotAnswerFollowsItsPeers) {
  ConfigurationRig rig(kEntries);
  rig.Start();
  rig.StoreLink(kLate).SetState(LinkState::kMute);
  for (int change = 0; change < 8; ++change) {
    rig.ChangeConfiguration();
    BOOST_TEST(rig.AwaitNewestVersion(ConfigurationRig::kBoundMs + kCallerMs),
               "change " << change << " is not in force everywhere in time");
    constexpr std::int64_t kPauseMs = 400;
    review::Run(kPauseMs);
  }
  RequireNoViolation(rig);
}

// Guards against an entry that goes on refusing by an old version during a
// partition, and against an attempt to connect from before its end that keeps
// later calls waiting. A single entry learns from nobody else.
BOOST_AUTO_TEST_CASE(AnEntryUsesTheNewestVersionRightAfterALongPartition) {
  for (const int entries : {1, kEntries}) {
    BOOST_TEST_CONTEXT(entries << " entries") {
      ConfigurationRig rig(entries);
      rig.Start();
      rig.SetAllLinks(rig.PlannerIndex(), LinkState::kCut);
      for (int second = 0; second < 10; ++second) {
        constexpr std::int64_t kSecondMs = 1000;
        rig.ChangeConfiguration();
        review::Run(kSecondMs);
      }
      rig.OpenAllLinks();
      BOOST_TEST(rig.AwaitNewestVersion(ConfigurationRig::kBoundMs));
      RequireNoViolation(rig);
    }
  }
}

// Guards against transfers of a large configuration that are given up and begun
// anew for ever. A single entry learns from nobody else.
BOOST_AUTO_TEST_CASE(ALargeConfigurationReachesAnEntryBehindASlowLink) {
  ConfigurationRig rig(1);
  rig.Start();
  rig.LimitBandwidth(rig.PlannerIndex(), kSlowLinkBytesPerSecond);
  rig.SetFurtherRoutes(kManyRoutes);
  for (int change = 0; change < 8; ++change) {
    rig.ChangeConfiguration();
    BOOST_TEST(rig.AwaitNewestVersion(ConfigurationRig::kBoundMs + kCallerMs),
               "change " << change << " is not in force in time");
    // A change may come at any moment of the entry's wait for the next one.
    constexpr std::int64_t kPauseStepMs = 150;
    review::Run(kPauseStepMs * (change + 3));
  }
  RequireNoViolation(rig);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::soak
