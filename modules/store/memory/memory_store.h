// Key-value store in the memory of this process.
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

/// Faults of a memory store, for tests of its users.
struct MemoryStoreFaults {
  /// All calls end with kUnavailable and watches are silent.
  bool down = false;
  /// So many writes are applied and then end with kTimeout.
  int lose_next_answers = 0;
  /// Each answer and event comes this much later.
  core::Duration delay;
};

/// A copy of the stored keys, for tests of a store that comes back with an
/// older state.
struct MemoryStoreSnapshot {
  std::map<std::string, KeyValue> items;
  ModRevision revision;
};

/// Implements `KeyValueStore` for standalone processes and tests. Time passes
/// in `Advance` only, or with the event loop after `DriveByTimer`. Several
/// users may share one store on one thread.
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
  /// `from` is the first version that is reported.
  WatchId Watch(const std::string& prefix,
                ModRevision from,
                Callback<std::vector<WatchEvent>> on_events);
  void CancelWatch(WatchId watch);
  CallCounts Counts() const { return this->counts; }

  /// Moves the store's clock to `now`: ends leases, then runs the callbacks
  /// that are due, including those that they cause.
  void Advance(core::TimePoint now);
  /// Advances with the process's clock on the event loop of this thread.
  void DriveByTimer();

  void SetFaults(const MemoryStoreFaults& new_faults);
  /// Ends all leases now.
  void LapseLeases();
  MemoryStoreSnapshot TakeSnapshot() const;
  /// Replaces all keys and loses the history, so that watches end with kStale.
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
  /// Changes before this version are not in `history` any more.
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
