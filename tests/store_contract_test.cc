// One contract for all adapters of the key-value store, with faults.
#include <QElapsedTimer>
#include <QEventLoop>
#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "modules/store/store.h"
#include "tests/support/store_standin_process.h"

namespace hemlockdoor::store {

namespace {

constexpr int kStuckMilliseconds = 20'000;

/// Runs the event loop until `condition` holds; false when it never does.
template <typename Condition>
bool RunUntil(Condition condition, int limit_ms = kStuckMilliseconds) {
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > limit_ms) {
      return false;
    }
    QEventLoop loop;
    wire::RunLater(&loop, core::Duration::Milliseconds(2),
                   [&loop] { loop.quit(); });
    loop.exec();
  }
  return true;
}

struct MemoryAdapter {
  MemoryAdapter() { this->store.DriveByTimer(); }

  MemoryStore& Store() { return this->store; }
  void Apply(const MemoryStoreFaults& faults, int /*unreadable_answers*/) {
    this->store.SetFaults(faults);
  }
  void LapseLeases() { this->store.LapseLeases(); }

  MemoryStore store;
};

struct EtcdAdapter {
  EtcdAdapter() {
    EtcdOptions options;
    options.endpoint = this->process.Endpoint();
    options.call_timeout = core::Duration::Milliseconds(1000);
    options.first_backoff = core::Duration::Milliseconds(10);
    options.longest_backoff = core::Duration::Milliseconds(100);
    this->store = std::move(*EtcdGatewayStore::Create(options));
  }

  EtcdGatewayStore& Store() { return *this->store; }
  void Apply(const MemoryStoreFaults& faults, int unreadable_answers) {
    this->process.Control({{"down", faults.down},
                           {"lose_next_answers", faults.lose_next_answers},
                           {"delay_ms", faults.delay.InMilliseconds()},
                           {"malformed_next_answers", unreadable_answers / 2},
                           {"truncate_next_answers",
                            unreadable_answers - unreadable_answers / 2}});
  }
  void LapseLeases() { this->process.Control({{"lapse_leases", true}}); }

  testing::StoreStandinProcess process;
  std::unique_ptr<EtcdGatewayStore> store;
};

using Adapters = boost::mpl::list<MemoryAdapter, EtcdAdapter>;

/// Starts a call and waits for its outcome.
template <typename T, typename Start>
core::Expected<T> Wait(Start start) {
  auto outcome = std::make_shared<std::optional<core::Expected<T>>>();
  start(Callback<T>(
      [outcome](core::Expected<T> value) { *outcome = std::move(value); }));
  const bool ended = RunUntil([&] { return outcome->has_value(); });
  BOOST_REQUIRE_MESSAGE(ended, "a call never ended");
  return **outcome;
}

template <typename Store>
core::Expected<std::optional<KeyValue>> Get(Store& store,
                                            const std::string& key) {
  return Wait<std::optional<KeyValue>>(
      [&](auto done) { store.Get(key, done); });
}

template <typename Store>
core::Expected<TransactionResult> Commit(Store& store,
                                         const Transaction& transaction) {
  return Wait<TransactionResult>(
      [&](auto done) { store.Commit(transaction, done); });
}

Transaction Create(const std::string& key, const std::string& value) {
  return {{{key, ModRevision()}}, {{key, value, std::nullopt}}};
}

/// A store fault and what a compare-and-swap under it may end with.
struct FaultRow {
  const char* name;
  MemoryStoreFaults faults;
  int unreadable_answers;
  bool may_succeed;
  bool may_fail;
};

const FaultRow kFaultRows[] = {
    {"none", {}, 0, true, false},
    {"down", {.down = true}, 0, false, true},
    {"slower than the timeout",
     {.delay = core::Duration::Milliseconds(1600)},
     0,
     true,
     true},
    {"one lost answer", {.lose_next_answers = 1}, 0, true, true},
    {"many lost answers", {.lose_next_answers = 9}, 0, true, true},
    {"one unreadable answer", {}, 1, true, true},
    {"many unreadable answers", {}, 20, true, true},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreContractTest)

// Guards against a write that is reported as done or as refused when it was
// not: either would lose or repeat a caller's work.
BOOST_AUTO_TEST_CASE_TEMPLATE(OutcomeOfWriteIsTrueUnderFaults,
                              Adapter,
                              Adapters) {
  Adapter adapter;
  for (const FaultRow& row : kFaultRows) {
    BOOST_TEST_CONTEXT(row.name) {
      const std::string key = std::string("k/") + row.name;
      adapter.Apply(row.faults, row.unreadable_answers);
      const auto outcome = Commit(adapter.Store(), Create(key, "written"));
      adapter.Apply({}, 0);
      std::optional<KeyValue> stored;
      BOOST_TEST(RunUntil([&] {
        const auto read = Get(adapter.Store(), key);
        stored = read ? *read : std::nullopt;
        return read.has_value();
      }));
      BOOST_TEST(row.may_succeed >= outcome.has_value());
      BOOST_TEST(row.may_fail >= !outcome.has_value());
      if (outcome) {
        BOOST_TEST(outcome->succeeded);
        BOOST_REQUIRE(stored.has_value());
        BOOST_TEST((outcome->revision == stored->mod_revision));
      } else if (outcome.error().code == core::ErrorCode::kUnavailable) {
        BOOST_TEST(!stored.has_value());
      } else {
        BOOST_TEST((outcome.error().code == core::ErrorCode::kTimeout));
      }
    }
  }
}

// Guards against a compare that is not enforced, in one key or across several.
BOOST_AUTO_TEST_CASE_TEMPLATE(TransactionIsAllOrNothing, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  const auto first = Commit(store, Create("a", "1"));
  BOOST_REQUIRE(first.has_value());
  Transaction mixed = Create("b", "2");
  mixed.compares.push_back({"a", ModRevision()});
  const auto refused = Commit(store, mixed);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(!refused->succeeded);
  BOOST_TEST(!Get(store, "b")->has_value());
  mixed.compares.back().mod_revision = first->revision;
  mixed.writes.push_back({"a", std::nullopt, std::nullopt});
  BOOST_TEST(Commit(store, mixed)->succeeded);
  BOOST_TEST(!Get(store, "a")->has_value());
  BOOST_TEST((*Get(store, "b"))->value == "2");
}

// Guards against bytes that JSON or base64 would change, and against a prefix
// that matches its neighbours.
BOOST_AUTO_TEST_CASE_TEMPLATE(ListsExactlyThePrefix, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  const std::string binary("\0\xff\"\n", 4);
  for (const char* key : {"p", "p/1", "p/2", "p0"}) {
    BOOST_REQUIRE(Commit(store, Create(key, binary))->succeeded);
  }
  const auto listing =
      Wait<Listing>([&](auto done) { store.List("p/", done); });
  BOOST_REQUIRE(listing.has_value());
  BOOST_REQUIRE(listing->items.size() == 2U);
  BOOST_TEST(listing->items[0].key == "p/1");
  BOOST_TEST((listing->items[1].value == binary));
}

// Guards against a holder that believes in a lease which the store has ended.
BOOST_AUTO_TEST_CASE_TEMPLATE(LapsedLeaseRemovesItsKeys, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  const auto lease = Wait<LeaseId>(
      [&](auto done) { store.GrantLease(core::Duration::Seconds(30), done); });
  BOOST_REQUIRE(lease.has_value());
  Transaction owned = Create("owner", "me");
  owned.writes.front().lease = *lease;
  BOOST_REQUIRE(Commit(store, owned)->succeeded);
  const auto keep_alive = [&] {
    return Wait<core::Duration>(
        [&](auto done) { store.KeepAlive(*lease, done); });
  };
  BOOST_TEST((*keep_alive() == core::Duration::Seconds(30)));
  adapter.LapseLeases();
  BOOST_TEST((keep_alive().error().code == core::ErrorCode::kNotFound));
  BOOST_TEST(!Get(store, "owner")->has_value());
  BOOST_TEST((Commit(store, owned).error().code == core::ErrorCode::kNotFound));
}

// Guards against a lease that never ends by itself.
BOOST_AUTO_TEST_CASE_TEMPLATE(LeaseEndsWithoutKeepAlive, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  const auto lease = Wait<LeaseId>(
      [&](auto done) { store.GrantLease(core::Duration::Seconds(1), done); });
  Transaction owned = Create("owner", "me");
  owned.writes.front().lease = *lease;
  BOOST_REQUIRE(Commit(store, owned)->succeeded);
  BOOST_TEST(RunUntil([&] { return !Get(store, "owner")->has_value(); }, 5000));
}

// Guards against changes that are missed or seen twice while the connection to
// the store breaks.
BOOST_AUTO_TEST_CASE_TEMPLATE(WatchReportsEachChangeOnce, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  const auto before = Commit(store, Create("w/0", "old"));
  std::vector<WatchEvent> seen;
  bool lost = false;
  const WatchId watch =
      store.Watch("w/", before->revision.Next(),
                  [&](const core::Expected<std::vector<WatchEvent>>& events) {
                    lost = lost || !events;
                    if (events) {
                      seen.insert(seen.end(), events->begin(), events->end());
                    }
                  });
  BOOST_REQUIRE(Commit(store, Create("w/1", "a"))->succeeded);
  BOOST_REQUIRE(RunUntil([&] { return seen.size() == 1; }));
  adapter.Apply({.down = true}, 0);
  RunUntil([] { return false; }, 100);
  adapter.Apply({}, 0);
  BOOST_TEST(RunUntil([&] { return Get(store, "w/1").has_value(); }));
  BOOST_REQUIRE(Commit(store, Create("w/2", "b"))->succeeded);
  Transaction remove;
  remove.writes.push_back({"w/1", std::nullopt, std::nullopt});
  BOOST_REQUIRE(Commit(store, remove)->succeeded);
  BOOST_REQUIRE(RunUntil([&] { return seen.size() >= 3; }));
  store.CancelWatch(watch);
  BOOST_REQUIRE(Commit(store, Create("w/3", "c"))->succeeded);
  RunUntil([] { return false; }, 100);
  BOOST_TEST(!lost);
  BOOST_REQUIRE(seen.size() == 3U);
  BOOST_TEST(seen[0].value.value() == "a");
  BOOST_TEST(seen[1].value.value() == "b");
  BOOST_TEST(seen[2].key == "w/1");
  BOOST_TEST(!seen[2].value.has_value());
}

// Guards against a counter that differs from what the store is asked.
BOOST_AUTO_TEST_CASE_TEMPLATE(CountsCallsByKind, Adapter, Adapters) {
  Adapter adapter;
  auto& store = adapter.Store();
  BOOST_TEST(Commit(store, Create("c", "1"))->succeeded);
  BOOST_TEST(Get(store, "c").has_value());
  BOOST_TEST(Get(store, "d").has_value());
  Wait<LeaseId>(
      [&](auto done) { store.GrantLease(core::Duration::Seconds(9), done); });
  store.Watch("c", ModRevision(1), [](const auto&) {});
  const CallCounts counts = store.Counts();
  BOOST_TEST(counts.writes == 1U);
  BOOST_TEST(counts.reads == 2U);
  BOOST_TEST(counts.lease_calls == 1U);
  BOOST_TEST(counts.watches == 1U);
}

// Guards against a stalled watcher: changes that the store has dropped must be
// reported as lost, not skipped.
BOOST_AUTO_TEST_CASE(CompactedHistoryIsReportedOnce) {
  EtcdAdapter adapter;
  auto& store = adapter.Store();
  BOOST_REQUIRE(Commit(store, Create("w/0", "a"))->succeeded);
  adapter.process.Control({{"compact", true}});
  int losses = 0;
  store.Watch("w/", ModRevision(1), [&](const auto& events) {
    losses += !events && events.error().code == core::ErrorCode::kStale;
  });
  BOOST_TEST(RunUntil([&] { return losses == 1; }));
  RunUntil([] { return false; }, 150);
  BOOST_TEST(losses == 1);
}

// Guards against a watch that stays silent after the store came back with an
// older state than the one already reported.
BOOST_AUTO_TEST_CASE(OlderStoreIsReportedAsLostHistory) {
  EtcdAdapter adapter;
  bool lost = false;
  adapter.Store().Watch("w/", ModRevision(1000), [&](const auto& events) {
    lost = !events && events.error().code == core::ErrorCode::kStale;
  });
  BOOST_TEST(RunUntil([&] { return lost; }));
}

// Guards against a lost answer of a compare-and-swap that is reported as
// unknown although reading back decides it.
BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByReadingBack) {
  EtcdAdapter adapter;
  adapter.Apply({.lose_next_answers = 1}, 0);
  const auto outcome = Commit(adapter.Store(), Create("k", "v"));
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome->succeeded);
  BOOST_TEST(adapter.process.Counts()["txn"] == 1);
}

// Guards against a call storm: while the store is down the calls that reach it
// stay few, and when it is back the waiting calls do not all arrive at once.
BOOST_AUTO_TEST_CASE(OutageCausesNoCallStorm) {
  EtcdAdapter adapter;
  adapter.Apply({.down = true}, 0);
  constexpr int kCallers = 200;
  int ended = 0;
  int refused = 0;
  for (int i = 0; i < kCallers; ++i) {
    adapter.Store().Get("k", [&](const auto& value) {
      ++ended;
      refused += !value;
    });
  }
  BOOST_TEST(RunUntil([&] { return ended == kCallers; }));
  BOOST_TEST(refused == kCallers);
  const CallCounts during = adapter.Store().Counts();
  BOOST_TEST(during.reads < 30U);
  adapter.Apply({}, 0);
  BOOST_TEST(
      RunUntil([&] { return Get(adapter.Store(), "k").has_value(); }, 5000));
}

// Guards against a refused connection reported as an unknown effect: nothing
// was sent, so the caller may be told that nothing happened.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsWithoutEffect) {
  EtcdOptions options;
  {
    const testing::StoreStandinProcess ended;
    options.endpoint = ended.Endpoint();
  }
  options.first_backoff = core::Duration::Milliseconds(5);
  const auto store = EtcdGatewayStore::Create(options);
  const auto outcome = Commit(**store, Create("k", "v"));
  BOOST_REQUIRE(!outcome.has_value());
  BOOST_TEST((outcome.error().code == core::ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::store
