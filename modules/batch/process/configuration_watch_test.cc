#include "modules/batch/process/configuration_watch.h"
#include "modules/wire/testing/wait_for.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockdoor::batch {

namespace {

using wire::testing::WaitFor;

constexpr const char* kKey = "configuration";

/// A configuration whose text is its version.
core::Expected<Configuration> Decode(const std::string& text) {
  Configuration configuration;
  configuration.version = std::stoull(text);
  return configuration;
}

struct Watched {
  Watched()
      : watch(
            store,
            {kKey, {}, {}},
            Decode,
            [](const auto&) {},
            [](const auto&) {}) {
    this->store.DriveByTimer();
    this->Put(1);
    BOOST_REQUIRE(WaitFor([this] { return this->Version() == 1U; }));
  }
  void Put(std::uint64_t version) {
    store::Transaction transaction;
    transaction.writes = {{kKey, std::to_string(version), std::nullopt}};
    this->store.Commit(transaction, [](const auto&) {});
  }
  std::uint64_t Version() const {
    const auto current = this->watch.Current();
    return current ? current->version : 0;
  }

  store::MemoryStore store;
  ConfigurationWatch<store::MemoryStore> watch;
};

/// A watch of the configuration and the evacuations, which has read both.
struct WatchedEvacuations {
  WatchedEvacuations()
      : watch(
            store,
            {"operators/config", "operators/", "operators/evacuate/"},
            Decode,
            [](const auto&) {},
            [this](const EvacuationState& read) { this->state = read; }) {
    this->store.DriveByTimer();
    this->Write("operators/config", "1");
    BOOST_REQUIRE(WaitFor([this] { return this->watch.Current() != nullptr; }));
  }
  void Write(const std::string& key, std::optional<std::string> value) {
    this->store.Commit({{}, {{key, std::move(value), std::nullopt}}},
                       [](const auto&) {});
  }

  store::MemoryStore store;
  EvacuationState state;
  ConfigurationWatch<store::MemoryStore> watch;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationWatchTest)

// An entry is paused while a key is withdrawn, and a request with this key is
// the first event that it sees afterwards.
BOOST_AUTO_TEST_CASE(ARequestAfterAPauseMeetsTheNewestConfiguration) {
  struct Case {
    std::int64_t pause_ms;
    std::uint64_t version;
  };
  for (const Case& each :
       {Case{300, 1}, Case{1600, 2}, Case{5000, 2}, Case{60'000, 2}}) {
    Watched watched;
    const core::TimePoint now = core::Clock::Now();
    watched.watch.OnTick(now);
    watched.Put(2);
    std::optional<std::uint64_t> seen;
    watched.watch.WhenConfirmed(
        now + core::Duration::Milliseconds(each.pause_ms),
        [&watched, &seen] { seen = watched.Version(); });
    BOOST_TEST_CONTEXT("pause " << each.pause_ms) {
      BOOST_REQUIRE(WaitFor([&seen] { return seen.has_value(); }));
      BOOST_TEST(*seen == each.version);
    }
  }
}

// Without the store, requests are answered with the configuration as it is.
BOOST_AUTO_TEST_CASE(RequestsDoNotWaitForAStoreThatIsAway) {
  Watched watched;
  store::MemoryStoreFaults faults;
  faults.down = true;
  watched.store.SetFaults(faults);
  const core::TimePoint now = core::Clock::Now();
  watched.watch.OnTick(now);
  bool used = false;
  watched.watch.WhenConfirmed(now + core::Duration::Seconds(5),
                              [&used] { used = true; });
  BOOST_TEST(!used);
  BOOST_TEST(WaitFor([&used] { return used; }));
}

// The planner's process is paused while a data centre is evacuated, and a
// decision is the first event afterwards. An answer to a read from before the
// pause confirms nothing.
BOOST_AUTO_TEST_CASE(EvacuationsAreConfirmedOnlyByAReadAfterThePause) {
  WatchedEvacuations watched;
  const core::TimePoint now = core::Clock::Now();
  BOOST_TEST(watched.watch.AreEvacuationsConfirmed(now));
  watched.Write("operators/evacuate/a", "{}");
  BOOST_TEST(
      !watched.watch.AreEvacuationsConfirmed(now + core::Duration::Seconds(5)));
  BOOST_REQUIRE(WaitFor([&] {
    return watched.watch.AreEvacuationsConfirmed(now +
                                                 core::Duration::Seconds(5));
  }));
  BOOST_TEST(watched.state.data_centres.contains(core::DataCentreId("a")));
}

// Without an answer of the store, a state that may be outdated is never taken
// as confirmed.
BOOST_AUTO_TEST_CASE(EvacuationsStayUnconfirmedWhileTheStoreIsAway) {
  WatchedEvacuations watched;
  store::MemoryStoreFaults faults;
  faults.down = true;
  watched.store.SetFaults(faults);
  watched.watch.RequireEvacuations();
  const auto is_confirmed = [&watched] {
    return watched.watch.AreEvacuationsConfirmed(core::Clock::Now());
  };
  BOOST_TEST(!WaitFor(is_confirmed, 1300));
  watched.store.SetFaults({});
  BOOST_TEST(WaitFor(is_confirmed));
}

// Guards against a data centre that stays evacuated for ever: the watch is lost
// and the store has forgotten the removal of the key.
BOOST_AUTO_TEST_CASE(AReturnToServiceIsSeenAfterALostWatch) {
  WatchedEvacuations watched;
  const store::MemoryStoreSnapshot before = watched.store.TakeSnapshot();
  watched.Write("operators/evacuate/a", "{}");
  BOOST_REQUIRE(WaitFor([&] { return !watched.state.data_centres.empty(); }));
  store::MemoryStoreSnapshot after = watched.store.TakeSnapshot();
  after.items = before.items;
  after.revision = after.revision.Next();
  watched.store.Restore(after);
  BOOST_TEST(WaitFor([&] { return watched.state.data_centres.empty(); }));
}

/// The answer of an entry that read `text` at `revision` and has known for
/// `age` that nothing is newer.
SnapshotAnswer PeerAnswer(const std::string& text,
                          std::uint64_t revision,
                          core::Duration age) {
  SnapshotAnswer answer;
  answer.summary = {"127.0.0.1:1", store::ModRevision(revision), age, {}};
  answer.content.emplace(
      store::Listing{{{kKey, text, store::ModRevision(revision)}},
                     store::ModRevision(revision)});
  return answer;
}

BOOST_AUTO_TEST_CASE(AVersionIsTakenFromAPeerAndNeverReplacedByAnOlderOne) {
  Watched watched;
  const core::TimePoint now = core::Clock::Now();
  const std::uint64_t revision = watched.watch.Snapshot().Revision().Number();
  watched.watch.OnPeerAnswer(PeerAnswer("3", revision + 2, {}), now);
  BOOST_TEST(watched.Version() == 3U);
  BOOST_TEST(watched.watch.Status(now).source == "peer 127.0.0.1:1");
  watched.watch.OnPeerAnswer(PeerAnswer("2", revision + 1, {}), now);
  BOOST_TEST(watched.Version() == 3U);
}

/// A store whose watch has delivered all changes up to a given time.
class StoreWithLateWatch : public store::MemoryStore {
 public:
  std::optional<core::TimePoint> WatchedUntil(store::WatchId /*watch*/) const {
    return this->watched_until;
  }
  std::optional<core::TimePoint> watched_until;
};

BOOST_AUTO_TEST_CASE(TheAgeIsThatOfTheMostRecentConfirmation) {
  StoreWithLateWatch store;
  store.DriveByTimer();
  store.Commit({{}, {{kKey, "1", std::nullopt}}}, [](const auto&) {});
  ConfigurationWatch<StoreWithLateWatch> watch(
      store, {kKey, {}, {}}, Decode, [](const auto&) {}, [](const auto&) {});
  BOOST_REQUIRE(WaitFor([&watch] { return watch.Current() != nullptr; }));
  const core::TimePoint start =
      core::Clock::Now() + core::Duration::Seconds(10);
  const auto age_ms = [&watch, start](std::int64_t after_ms) {
    return watch.Status(start + core::Duration::Milliseconds(after_ms))
        .age.InMilliseconds();
  };
  BOOST_TEST(age_ms(0) >= 10'000);
  store.watched_until = start;
  BOOST_TEST(age_ms(3000) == 3000);
  // Another entry knew 200 ms before the call that nothing is newer.
  watch.OnPeerAnswer(PeerAnswer("1", 1, core::Duration::Milliseconds(200)),
                     start + core::Duration::Milliseconds(2000));
  BOOST_TEST(age_ms(3000) == 1200);
  BOOST_TEST(watch.AgeAtStore(start + core::Duration::Milliseconds(3000))
                 .InMilliseconds() == 3000);
  // One that has read nothing confirms nothing.
  watch.OnPeerAnswer(PeerAnswer("1", 0, {}),
                     start + core::Duration::Milliseconds(3000));
  BOOST_TEST(age_ms(3000) == 1200);
}

// Guards against an entry that has just started, learns an old version from
// another entry, and tells others that nothing is newer.
BOOST_AUTO_TEST_CASE(AStartConfirmsNothing) {
  store::MemoryStore store;
  store.DriveByTimer();
  store::MemoryStoreFaults faults;
  faults.down = true;
  store.SetFaults(faults);
  ConfigurationWatch<store::MemoryStore> watch(
      store, {kKey, {}, {}}, Decode, [](const auto&) {}, [](const auto&) {});
  const core::TimePoint now = core::Clock::Now();
  watch.OnPeerAnswer(PeerAnswer("1", 1, core::Duration::Seconds(8)), now);
  BOOST_TEST(watch.Current()->version == 1U);
  BOOST_TEST(watch.Status(now).age.InMilliseconds() == 8000);
}

// After a pause without the store, a peer confirms the configuration for the
// requests that wait, unless its knowledge is from before the end of the pause.
BOOST_AUTO_TEST_CASE(APeerConfirmsTheConfigurationAfterAPause) {
  Watched watched;
  store::MemoryStoreFaults faults;
  faults.down = true;
  watched.store.SetFaults(faults);
  const core::TimePoint resumed_at =
      core::Clock::Now() + core::Duration::Seconds(5);
  watched.watch.OnTick(core::Clock::Now());
  bool used = false;
  watched.watch.WhenConfirmed(resumed_at, [&used] { used = true; });
  const core::Duration late = core::Duration::Milliseconds(100);
  watched.watch.OnPeerAnswer(PeerAnswer("1", 1, late * 2), resumed_at + late);
  BOOST_TEST(!used);
  watched.watch.OnPeerAnswer(PeerAnswer("1", 1, late), resumed_at + late);
  BOOST_TEST(used);
}

// The planner's own reads confirm evacuations; a peer may only add to them.
BOOST_AUTO_TEST_CASE(AnEvacuationIsTakenFromAPeerButNotConfirmedByIt) {
  WatchedEvacuations watched;
  BOOST_REQUIRE(WaitFor([&watched] {
    return watched.watch.AreEvacuationsConfirmed(core::Clock::Now());
  }));
  store::MemoryStoreFaults faults;
  faults.down = true;
  watched.store.SetFaults(faults);
  watched.watch.RequireEvacuations();
  SnapshotAnswer answer = PeerAnswer("1", 100, {});
  answer.content.emplace(
      store::Listing{{{"operators/evacuate/a", "{}", store::ModRevision(99)}},
                     store::ModRevision(100)});
  watched.watch.OnPeerAnswer(answer, core::Clock::Now());
  BOOST_TEST(watched.state.data_centres.contains(core::DataCentreId("a")));
  BOOST_TEST(!watched.watch.AreEvacuationsConfirmed(core::Clock::Now()));
}

// The deployments without evacuations must not see another store call.
BOOST_AUTO_TEST_CASE(WithoutAPrefixEvacuationKeysAreNeitherReadNorWatched) {
  store::MemoryStore store;
  store.DriveByTimer();
  int handled = 0;
  ConfigurationWatch<store::MemoryStore> watch(
      store, {"operators/config", {}, {}}, Decode, [](const auto&) {},
      [&handled](const auto&) { ++handled; });
  store.Commit({{}, {{"operators/evacuate/a", "{}", std::nullopt}}},
               [](const auto&) {});
  store.Commit({{}, {{"operators/config", "1", std::nullopt}}},
               [](const auto&) {});
  BOOST_REQUIRE(WaitFor([&watch] { return watch.Current() != nullptr; }));
  BOOST_TEST(handled == 0);
  BOOST_TEST(store.Counts().reads == 1U);
  BOOST_TEST(store.Counts().watches == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
