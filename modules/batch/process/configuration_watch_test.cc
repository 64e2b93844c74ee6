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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
