#include "modules/entry/catalogue/catalogue_service.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "modules/store/memory/memory_store.h"

namespace hemlockdoor::entry {

namespace {

using core::CatalogueRevision;
using core::ErrorCode;
using Outcome = core::Expected<CatalogueRevision>;

/// A memory store whose watches never report an event, like a watch on a
/// connection that died silently.
class SilentWatchStore : public store::MemoryStore {
 public:
  store::WatchId Watch(
      const std::string& /*prefix*/,
      store::ModRevision /*from*/,
      const store::Callback<std::vector<store::WatchEvent>>& /*on_events*/) {
    return store::WatchId(1);
  }
};

/// The catalogue service of one entry process. Records each catalogue that
/// becomes active.
template <typename Store>
struct FakeEntry {
  FakeEntry(Store& store, const std::string& name)
      : service(
            store,
            {.edit_id_prefix = name},
            [this](const model::Catalogue& catalogue) {
              this->revisions_only_rose =
                  this->revisions_only_rose &&
                  (this->in_force.empty() ||
                   catalogue.revision > this->in_force.back().revision);
              this->in_force.push_back(catalogue);
            },
            [this](const model::Catalogue&) { return this->check_outcome; }) {}

  CatalogueRevision Revision() const {
    return this->in_force.empty() ? CatalogueRevision()
                                  : this->in_force.back().revision;
  }

  std::vector<model::Catalogue> in_force;
  bool revisions_only_rose = true;
  core::Expected<void> check_outcome;
  CatalogueService<Store> service;
};

/// Several entries that share one store and one simulated clock.
template <typename Store>
struct FakeCluster {
  explicit FakeCluster(int entry_count) {
    for (int i = 0; i < entry_count; ++i) {
      this->Add();
    }
    this->Run(core::Duration::Seconds(1));
  }

  void Add() {
    this->entries.push_back(std::make_unique<FakeEntry<Store>>(
        this->store, "entry" + std::to_string(this->entries.size())));
  }

  void Step() {
    this->now = this->now + core::Duration::Milliseconds(20);
    this->store.Advance(this->now);
    for (const auto& entry : this->entries) {
      entry->service.Tick(this->now);
    }
    this->store.Advance(this->now);
  }

  void Run(core::Duration length) {
    const core::TimePoint end = this->now + length;
    while (this->now < end) {
      this->Step();
    }
  }

  /// Puts the entry "lanes" with a priority that identifies this edit, and
  /// waits for the outcome.
  Outcome Put(std::size_t at, CatalogueRevision expected, int priority) {
    std::optional<Outcome> outcome;
    this->entries[at]->service.Edit(
        PutCatalogueEntry{Entry("lanes", priority)}, expected,
        [&](const Outcome& ended) { outcome = ended; });
    for (int i = 0; i < 2000 && !outcome; ++i) {
      this->Step();
    }
    BOOST_REQUIRE_MESSAGE(outcome,
                          "the edit was not answered within 2000 steps");
    return *outcome;
  }

  static model::CatalogueEntry Entry(const std::string& name, int priority) {
    model::CatalogueEntry entry;
    entry.name = core::CatalogueEntryName(name);
    entry.owner = core::OrganisationId("org-" + name);
    entry.job_class = core::JobClass("batch");
    entry.limits.priority = priority;
    return entry;
  }

  int PriorityInForce(std::size_t at) const {
    const model::Catalogue* catalogue = this->entries[at]->service.Current();
    return catalogue->entries.at(core::CatalogueEntryName("lanes"))
        .limits.priority;
  }

  core::TimePoint now;
  Store store;
  std::vector<std::unique_ptr<FakeEntry<Store>>> entries;
};

using Cluster = FakeCluster<store::MemoryStore>;

}  // namespace

BOOST_AUTO_TEST_SUITE(CatalogueServiceTest)

// Guards against an accepted edit that one of the entries does not apply.
BOOST_AUTO_TEST_CASE(EditIsInForceOnEveryEntry) {
  Cluster cluster(3);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  BOOST_REQUIRE(first.has_value());
  cluster.Run(core::Duration::Milliseconds(200));
  const Outcome second = cluster.Put(1, *first, 2);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->Number() == 2U);
  cluster.Run(core::Duration::Milliseconds(200));
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST((cluster.entries[i]->Revision() == *second));
    BOOST_TEST(cluster.PriorityInForce(i) == 2);
    BOOST_TEST(cluster.entries[i]->revisions_only_rose);
  }
}

// Guards against a lost update: of two operators that edit the same revision,
// the second must get kConflict.
BOOST_AUTO_TEST_CASE(SecondOperatorGetsConflict) {
  Cluster cluster(2);
  std::vector<Outcome> outcomes;
  for (std::size_t i = 0; i < 2; ++i) {
    cluster.entries[i]->service.Edit(
        PutCatalogueEntry{Cluster::Entry("lanes", static_cast<int>(i))},
        CatalogueRevision(0),
        [&](const Outcome& outcome) { outcomes.push_back(outcome); });
  }
  cluster.Run(core::Duration::Seconds(2));
  BOOST_REQUIRE(outcomes.size() == 2U);
  BOOST_TEST(outcomes[0].has_value() != outcomes[1].has_value());
  const Outcome& refused = outcomes[0] ? outcomes[1] : outcomes[0];
  BOOST_TEST((refused.error().code == ErrorCode::kConflict));
}

// Guards against an edit that is answered as failed, or made twice, when the
// store applied it but the answer was lost.
BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByEditId) {
  Cluster cluster(2);
  cluster.store.SetFaults({.lose_next_answers = 1});
  const Outcome outcome = cluster.Put(0, CatalogueRevision(0), 5);
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome->Number() == 1U);
  cluster.Run(core::Duration::Seconds(1));
  BOOST_TEST(cluster.entries[1]->Revision().Number() == 1U);
  BOOST_TEST(cluster.store.Counts().writes == 1U);
}

// Guards against a store outage that drops the active catalogue, leaves an edit
// unanswered, or reports an edit as made.
BOOST_AUTO_TEST_CASE(OutageKeepsTheCatalogueAndRefusesEdits) {
  Cluster cluster(1);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  cluster.store.SetFaults({.down = true});
  const Outcome refused = cluster.Put(0, *first, 2);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().code == ErrorCode::kUnavailable));
  cluster.Run(core::Duration::Seconds(30));
  BOOST_TEST(cluster.PriorityInForce(0) == 1);
  BOOST_TEST(!cluster.entries[0]->service.Status().store_reachable);
  cluster.store.SetFaults({});
  cluster.Run(core::Duration::Seconds(6));
  BOOST_TEST(cluster.Put(0, *first, 3).has_value());
}

// Guards against a return to an older catalogue when the store is restored from
// an older snapshot. The entries write the newer catalogue back.
BOOST_AUTO_TEST_CASE(OlderStoreIsWrittenBack) {
  Cluster cluster(2);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  const store::MemoryStoreSnapshot older = cluster.store.TakeSnapshot();
  const Outcome second = cluster.Put(0, *first, 2);
  cluster.Run(core::Duration::Milliseconds(500));
  cluster.store.SetFaults({.down = true});
  cluster.Run(core::Duration::Seconds(2));
  cluster.store.Restore(older);
  cluster.store.SetFaults({});
  cluster.Run(core::Duration::Seconds(10));
  for (std::size_t i = 0; i < 2; ++i) {
    const auto& entry = *cluster.entries[i];
    BOOST_TEST(entry.revisions_only_rose);
    BOOST_TEST((entry.Revision() == *second));
    BOOST_TEST(
        (entry.service.Status().condition == CatalogueCondition::kInSync));
  }
  cluster.Add();
  cluster.Run(core::Duration::Seconds(1));
  BOOST_TEST((cluster.entries[2]->Revision() == *second));
  BOOST_TEST(cluster.PriorityInForce(2) == 2);
  BOOST_TEST(cluster.Put(1, *second, 3).has_value());
}

// Guards against a status that reports kInSync although the store has lost the
// active catalogue.
BOOST_AUTO_TEST_CASE(OlderStoreIsReported) {
  Cluster cluster(1);
  const store::MemoryStoreSnapshot empty = cluster.store.TakeSnapshot();
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  cluster.store.Restore(empty);
  // Without this delay the write-back would end within the step that detects
  // the older state.
  cluster.store.SetFaults({.delay = core::Duration::Milliseconds(100)});
  for (int i = 0; i < 100 && cluster.entries[0]->service.Status().condition ==
                                 CatalogueCondition::kInSync;
       ++i) {
    cluster.Step();
  }
  const CatalogueStatus& status = cluster.entries[0]->service.Status();
  BOOST_TEST((status.condition == CatalogueCondition::kStoreBehind));
  BOOST_TEST(!status.text.empty());
  BOOST_TEST(cluster.PriorityInForce(0) == 1);
}

// Guards against a restarted entry that edits a store restored to an older
// state, and so reuses a revision that agents have seen with other content.
BOOST_AUTO_TEST_CASE(EditWaitsWhileAgentsKnowANewerRevision) {
  Cluster cluster(1);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  cluster.entries[0]->service.NoteReportedRevision(CatalogueRevision(9));
  const Outcome early = cluster.Put(0, *first, 2);
  BOOST_REQUIRE(!early.has_value());
  BOOST_TEST((early.error().code == ErrorCode::kUnavailable));
  cluster.Run(core::Duration::Seconds(31));
  const Outcome late = cluster.Put(0, *first, 2);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST(late->Number() == 10U);
}

// Guards against an invalid edit that changes the store or the active
// catalogue.
BOOST_AUTO_TEST_CASE(RefusedEditWritesNothing) {
  Cluster cluster(1);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  const std::uint64_t writes = cluster.store.Counts().writes;
  auto& entry = *cluster.entries[0];
  entry.check_outcome =
      core::MakeError(ErrorCode::kInvalidArgument, "does not fit");
  const Outcome refused = cluster.Put(0, *first, 2);
  BOOST_TEST((refused.error().message == "does not fit"));
  entry.check_outcome = {};
  std::vector<Outcome> outcomes;
  const auto keep = [&](const Outcome& outcome) {
    outcomes.push_back(outcome);
  };
  model::CatalogueEntry twin = Cluster::Entry("lanes", 1);
  twin.name = core::CatalogueEntryName("twin");
  entry.service.Edit(PutCatalogueEntry{twin}, *first, keep);
  entry.service.Edit(DeleteCatalogueEntry{core::CatalogueEntryName("none")},
                     *first, keep);
  cluster.Run(core::Duration::Seconds(1));
  BOOST_REQUIRE(outcomes.size() == 2U);
  BOOST_TEST((outcomes[0].error().code == ErrorCode::kInvalidArgument));
  BOOST_TEST((outcomes[1].error().code == ErrorCode::kNotFound));
  BOOST_TEST(cluster.store.Counts().writes == writes);
  BOOST_TEST(cluster.PriorityInForce(0) == 1);
}

// Guards against replaced or deleted entries that remain in the store.
BOOST_AUTO_TEST_CASE(ReplaceAndDeleteRemoveEntries) {
  Cluster cluster(2);
  model::Catalogue whole;
  for (const char* name : {"a", "b"}) {
    const model::CatalogueEntry entry = Cluster::Entry(name, 1);
    whole.entries.emplace(entry.name, entry);
  }
  whole.operator_token_sha256 = {std::string(64, 'a')};
  auto& service = cluster.entries[0]->service;
  std::vector<Outcome> outcomes;
  const auto keep = [&](const Outcome& outcome) {
    outcomes.push_back(outcome);
  };
  service.Edit(ReplaceCatalogue{whole}, CatalogueRevision(0), keep);
  service.Edit(DeleteCatalogueEntry{core::CatalogueEntryName("a")},
               CatalogueRevision(1), keep);
  cluster.Run(core::Duration::Seconds(1));
  BOOST_REQUIRE(outcomes.size() == 2U);
  BOOST_TEST(outcomes[1].has_value());
  const model::Catalogue* seen = cluster.entries[1]->service.Current();
  BOOST_TEST(seen->entries.size() == 1U);
  BOOST_TEST(seen->operator_token_sha256.size() == 1U);
}

// Guards against an edit that an entry never sees because its watch died
// silently. Every entry must apply an edit within 10 s.
BOOST_AUTO_TEST_CASE(SilentWatchIsCoveredByPolling) {
  FakeCluster<SilentWatchStore> cluster(2);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  BOOST_REQUIRE(first.has_value());
  cluster.Run(core::Duration::Seconds(6));
  BOOST_TEST((cluster.entries[1]->Revision() == *first));
}

// Guards against a malformed stored value that removes or empties the active
// catalogue.
BOOST_AUTO_TEST_CASE(UnreadableStoreKeepsTheLastGoodCatalogue) {
  Cluster cluster(1);
  const Outcome first = cluster.Put(0, CatalogueRevision(0), 1);
  for (const auto& [key, value] :
       {std::pair("catalogue/head", R"({"revision":"7","edits":[]})"),
        std::pair("catalogue/entry/x", "{\"owner\":"),
        std::pair("catalogue/head", R"({"revision":"8"})"),
        std::pair("catalogue/head", "[[[")}) {
    cluster.store.Commit({{}, {{key, value, std::nullopt}}},
                         [](const auto&) {});
    cluster.Run(core::Duration::Seconds(1));
  }
  BOOST_TEST(cluster.PriorityInForce(0) == 1);
  BOOST_TEST((cluster.entries[0]->service.Status().condition ==
              CatalogueCondition::kUnreadable));
}

// Guards against lost or reordered edits under concurrent operators and lost
// answers: each accepted edit has its own revision, no entry goes back to an
// older one, and all entries end with the last edit.
BOOST_AUTO_TEST_CASE(ConcurrentEditsWithLostAnswersStayInOrder) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Cluster cluster(3);
      std::mt19937 random(seed);
      std::set<std::uint64_t> revisions;
      std::uint64_t last_revision = 0;
      int last_priority = -1;
      int unknown = 0;
      for (int i = 0; i < 150; ++i) {
        auto& service = cluster.entries[random() % 3]->service;
        service.Edit(PutCatalogueEntry{Cluster::Entry("lanes", i)},
                     service.Current()->revision,
                     [&, i](const Outcome& outcome) {
                       unknown += !outcome &&
                                  outcome.error().code != ErrorCode::kConflict;
                       if (outcome) {
                         BOOST_TEST(revisions.insert(outcome->Number()).second);
                       }
                       if (outcome && outcome->Number() > last_revision) {
                         last_revision = outcome->Number();
                         last_priority = i;
                       }
                     });
        if (random() % 4 == 0) {
          cluster.store.SetFaults(
              {.lose_next_answers = 1,
               .delay = core::Duration::Milliseconds(
                   static_cast<std::int64_t>(random() % 50))});
        }
        for (unsigned steps = random() % 10; steps > 0; --steps) {
          cluster.Step();
        }
      }
      cluster.store.SetFaults({});
      cluster.Run(core::Duration::Seconds(8));
      BOOST_TEST(unknown == 0);
      BOOST_TEST(revisions.size() > 20U);
      BOOST_TEST(*revisions.rbegin() == revisions.size());
      for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(cluster.entries[i]->revisions_only_rose);
        BOOST_TEST(cluster.entries[i]->Revision().Number() == last_revision);
        BOOST_TEST(cluster.PriorityInForce(i) == last_priority);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
