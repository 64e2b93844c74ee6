// Soak of real entries that follow the operators' configuration under faults of
// the store, of links and of the entries themselves. Guards against answers by
// an older version, and against entries that do not use the newest one soon
// after the last fault. Environment:
// HEMLOCKDOOR_BIN: folder of the program.
// HEMLOCKDOOR_SEED: the first seed; HEMLOCKDOOR_SOAK_RUNS: how many seeds are
// played. The faults follow from the seed, their timing against the processes
// does not, so a failing seed may pass when it is played again.
#include <signal.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "tests/soak/configuration_rig.h"
#include "tests/soak/dice.h"
#include "tests/soak/fault_log.h"
#include "tests/soak/seeded_plays.h"

namespace hemlockdoor::soak {

namespace {

using review::NowMs;

constexpr std::uint64_t kDefaultSeed = 201;
/// A seed takes 25 to 35 s.
constexpr std::uint64_t kDefaultRuns = 2;
constexpr int kFaultPhaseMs = 14000;
/// An entry that was started has read the configuration within this time.
constexpr std::int64_t kStartMs = 1500;

constexpr Range kEntries{1, 6};
constexpr Range kChangePauseMs{200, 1600};
constexpr Range kFaultPauseMs{100, 700};
constexpr Range kStoreTroubleMs{500, 7000};
constexpr Range kPartitionMs{500, 9000};
constexpr Range kPausedMs{300, 6000};
constexpr Range kDownMs{100, 1500};
/// Further routes of a configuration that grows, about 0.2 to 0.4 MB.
constexpr Range kFurtherRoutes{800, 1500};
constexpr std::int64_t kSlowLinkBytesPerSecond = 1'250'000;
/// Keeps the draws of a slow link apart from those of the faults.
constexpr std::uint64_t kSlowLinkSeed = 1'000'003;

/// One seed, from the start of the processes to the checks.
class ConfigurationPlay {
 public:
  explicit ConfigurationPlay(std::uint64_t play_seed)
      : dice(play_seed), rig(this->dice.Draw(kEntries)) {
    this->DrawSlowLink(play_seed);
  }

  /// Returns what is wrong, or nothing.
  std::string Run() {
    this->rig.Start();
    const std::int64_t end = NowMs() + kFaultPhaseMs;
    this->ChangeUntil(end);
    while (NowMs() < end) {
      review::Run(this->dice.Draw(kFaultPauseMs));
      this->InjectFault();
    }
    this->faults.AwaitEnd();
    this->rig.OpenAllLinks();
    const bool is_up_to_date =
        this->rig.AwaitNewestVersion(ConfigurationRig::kBoundMs + kStartMs);
    std::string report = this->rig.Violations();
    if (!is_up_to_date) {
      report += "not all entries use version " +
                std::to_string(this->rig.NewestVersion()) +
                " after the last fault\n";
    }
    return report.empty() ? report : report + "logs: " + this->rig.KeepLogs();
  }

  std::string Summary() const {
    return std::to_string(this->rig.EntryCount()) + " entries, " +
           std::to_string(this->rig.NewestVersion()) + " versions;" +
           this->faults.ToText();
  }

 private:
  /// Lets one entry have a slow link, and the configuration many routes.
  void DrawSlowLink(std::uint64_t play_seed) {
    Dice own(play_seed + kSlowLinkSeed);
    if (!own.Chance(40)) {
      return;
    }
    this->rig.LimitBandwidth(own.Draw({0, this->rig.EntryCount() - 1}),
                             kSlowLinkBytesPerSecond);
    this->rig.SetFurtherRoutes(own.Draw(kFurtherRoutes));
    this->faults.Add("slow_link", 0);
  }

  void ChangeUntil(std::int64_t end) {
    if (NowMs() >= end) {
      return;
    }
    this->rig.ChangeConfiguration();
    review::Later(&this->rig, this->dice.Draw(kChangePauseMs),
                  [this, end] { this->ChangeUntil(end); });
  }

  void InjectFault() {
    const int kind = this->dice.Draw({1, 100});
    const int entry = this->dice.Draw({0, this->rig.EntryCount() - 1});
    if (kind <= 45) {
      this->DisturbStore(entry);
    } else if (kind <= 65) {
      this->Partition(entry);
    } else if (kind <= 80) {
      this->Pause(entry);
    } else if (kind <= 95) {
      this->Restart(entry, this->dice.Chance(50) ? SIGKILL : SIGTERM);
    } else {
      this->faults.Add("reload", 0);
      this->rig.Entry(entry).Signal(SIGHUP);
    }
  }

  void DisturbStore(int entry) {
    constexpr std::array<LinkState, 4> kStates = {
        LinkState::kMute, LinkState::kBusy, LinkState::kReset, LinkState::kCut};
    constexpr std::array<const char*, 4> kNames = {"store_mute", "store_busy",
                                                   "store_reset", "store_cut"};
    const auto index = static_cast<std::size_t>(this->dice.Draw({0, 3}));
    const int length_ms = this->dice.Draw(kStoreTroubleMs);
    this->faults.Add(kNames.at(index), length_ms);
    this->rig.StoreLink(entry).SetState(kStates.at(index));
    review::Later(&this->rig, length_ms, [this, entry] {
      this->rig.StoreLink(entry).SetState(LinkState::kOpen);
    });
  }

  void Partition(int entry) {
    const int length_ms = this->dice.Draw(kPartitionMs);
    this->faults.Add("partition", length_ms);
    this->rig.SetAllLinks(entry, LinkState::kCut);
    review::Later(&this->rig, length_ms, [this, entry] {
      this->rig.SetAllLinks(entry, LinkState::kOpen);
    });
  }

  void Pause(int entry) {
    const int length_ms = this->dice.Draw(kPausedMs);
    this->faults.Add("paused", length_ms);
    this->rig.Entry(entry).Signal(SIGSTOP);
    review::Later(&this->rig, length_ms,
                  [this, entry] { this->rig.Entry(entry).Signal(SIGCONT); });
  }

  void Restart(int entry, int signal) {
    if (!this->rig.Entry(entry).IsRunning()) {
      return;
    }
    // A process that stops gracefully serves callers for some seconds.
    constexpr int kStopMs = 6000;
    const int down_ms = this->dice.Draw(kDownMs);
    this->faults.Add(signal == SIGKILL ? "killed" : "stopped",
                     down_ms + (signal == SIGKILL ? 0 : kStopMs));
    this->rig.Entry(entry).Restart(&this->rig, signal, down_ms);
  }

  Dice dice;
  ConfigurationRig rig;
  FaultLog faults;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationSoakTest)

BOOST_AUTO_TEST_CASE(NoEntryAnswersByAnOlderVersion) {
  PlaySeeds<ConfigurationPlay>(kDefaultSeed, kDefaultRuns);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::soak
