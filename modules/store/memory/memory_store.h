// In-memory key-value store.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/store/port/key_value_store.h"

namespace hemlockdoor::store {

/// Faults that a memory store simulates, for tests of its callers.
struct MemoryStoreFaults {
  /// Calls end with kUnavailable and watches report no events.
  bool down = false;
  /// Number of further transactions that are executed but end with kTimeout, as
  /// if their answer was lost.
  int lose_next_answers = 0;
  /// Delay of each answer and of each batch of events.
  core::Duration delay;
};

/// A copy of the stored keys, for tests of a store that is restored to an
/// older state.
struct MemoryStoreSnapshot {
  std::map<std::string, KeyValue> items;
  ModRevision revision;
};

/// Implements `KeyValueStore` for standalone processes and tests. The clock of
/// the store moves only in `Advance`, which callers call themselves or, after
/// `DriveByTimer`, a timer calls. Several callers on one thread may share one
/// store.
class MemoryStore {
 public:
  MemoryStore() = default;
  MemoryStore(const MemoryStore&) = delete;
  MemoryStore& operator=(const MemoryStore&) = delete;

  void Get(const std::string& key, Callback<std::optional<KeyValue>> done);
  void List(const std::string& prefix, Callback<Listing> done);
  void Commit(const Transaction& transaction, Callback<TransactionResult> done);
  void GrantLease(core::Duration ttl, Callback<LeaseId> done);
  void KeepAlive(LeaseId lease, Callback<core::Duration> done);
  /// `from` is the first version whose changes are reported. The watch ends
  /// with kStale when changes that it has not reported are no longer in the
  /// history, or when the store is older than the last version that the watch
  /// has seen.
  WatchId Watch(const std::string& prefix,
                ModRevision from,
                Callback<std::vector<WatchEvent>> on_events);
  void CancelWatch(WatchId watch);
  CallCounts Counts() const { return this->counts; }

  /// Moves the store's clock forward to `now`, ends expired leases, and runs
  /// the callbacks that are due, including those that these callbacks add.
  void Advance(core::TimePoint now);
  /// Starts a timer on the event loop of this thread that advances the store to
  /// the process clock.
  void DriveByTimer();

  void SetFaults(const MemoryStoreFaults& new_faults);
  /// Ends all leases and deletes the keys attached to them.
  void LapseLeases();
  MemoryStoreSnapshot TakeSnapshot() const;
  /// Replaces all keys and clears the history of changes, so that watches end
  /// with kStale unless they have seen exactly the restored version. The
  /// restored keys have no lease.
  void Restore(const MemoryStoreSnapshot& snapshot);

 private:
  struct Lease {
    core::Duration ttl;
    core::TimePoint deadline;
  };
  struct Stored {
    KeyValue item;
    std::optional<LeaseId> lease;
  };
  struct Watcher {
    std::string prefix;
    ModRevision next_revision;
    Callback<std::vector<WatchEvent>> on_events;
  };
  struct Pending {
    core::TimePoint due;
    std::function<void()> run;
  };

  void RunAfterDelay(std::function<void()> run);
  template <typename T>
  void Answer(Callback<T> done, core::Expected<T> outcome);
  void RunDue();
  void EndExpiredLeases();
  void RemoveLease(LeaseId lease);
  void RemoveKey(const std::string& key);
  bool ComparesHold(const Transaction& transaction) const;
  bool LeasesExist(const Transaction& transaction) const;
  void Apply(const Write& write);
  void Record(WatchEvent event);
  void NotifyWatchers();
  void NotifyWatcher(WatchId id, Watcher& watcher);

  std::map<std::string, Stored> items;
  std::map<LeaseId, Lease> leases;
  std::map<WatchId, Watcher> watchers;
  std::deque<WatchEvent> history;
  /// Oldest version from which `history` is complete.
  ModRevision history_start;
  std::deque<Pending> pending;
  ModRevision revision{1};
  std::uint64_t last_lease = 0;
  std::uint64_t last_watch = 0;
  core::TimePoint clock;
  MemoryStoreFaults faults;
  CallCounts counts;
  std::unique_ptr<QTimer> timer;
  QObject context;
};

}  // namespace hemlockdoor::store
