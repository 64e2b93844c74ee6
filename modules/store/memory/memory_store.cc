#include "modules/store/memory/memory_store.h"

#include <algorithm>
#include <utility>

#include "modules/wire/loop/run_later.h"

namespace hemlockdoor::store {

static_assert(KeyValueStore<MemoryStore>);

namespace {

constexpr std::size_t kMaxHistoryEvents = 10'000;
constexpr int kTimerPeriodMilliseconds = 50;

core::Error DownError() {
  return core::Error{core::ErrorCode::kUnavailable, "store is down", ""};
}

}  // namespace

void MemoryStore::RunAfterDelay(std::function<void()> run) {
  this->pending.push_back(
      Pending{this->clock + this->faults.delay, std::move(run)});
  if (this->timer) {
    wire::RunLater(&this->context, this->faults.delay,
                   [this] { this->Advance(core::Clock::Now()); });
  }
}

template <typename T>
void MemoryStore::Answer(Callback<T> done, core::Expected<T> outcome) {
  if (this->faults.down) {
    outcome = tl::unexpected<core::Error>(DownError());
  }
  this->RunAfterDelay([callback = std::move(done),
                       answer = std::move(outcome)] { callback(answer); });
}

void MemoryStore::Get(const std::string& key,
                      Callback<std::optional<KeyValue>> done) {
  ++this->counts.reads;
  const auto found = this->items.find(key);
  std::optional<KeyValue> item;
  if (found != this->items.end()) {
    item = found->second.item;
  }
  this->Answer<std::optional<KeyValue>>(std::move(done), std::move(item));
}

void MemoryStore::List(const std::string& prefix, Callback<Listing> done) {
  ++this->counts.reads;
  Listing listing;
  listing.revision = this->revision;
  for (auto at = this->items.lower_bound(prefix);
       at != this->items.end() && at->first.starts_with(prefix); ++at) {
    listing.items.push_back(at->second.item);
  }
  this->Answer<Listing>(std::move(done), std::move(listing));
}

bool MemoryStore::ComparesHold(const Transaction& transaction) const {
  return std::all_of(transaction.compares.begin(), transaction.compares.end(),
                     [this](const Compare& compare) {
                       const auto found = this->items.find(compare.key);
                       const ModRevision current =
                           found == this->items.end()
                               ? ModRevision()
                               : found->second.item.mod_revision;
                       return current == compare.mod_revision;
                     });
}

bool MemoryStore::LeasesExist(const Transaction& transaction) const {
  return std::all_of(transaction.writes.begin(), transaction.writes.end(),
                     [this](const Write& write) {
                       return !write.lease ||
                              this->leases.contains(*write.lease);
                     });
}

void MemoryStore::Commit(const Transaction& transaction,
                         Callback<TransactionResult> done) {
  ++this->counts.writes;
  if (this->faults.down) {
    this->Answer<TransactionResult>(std::move(done), TransactionResult());
    return;
  }
  const bool compares_hold = this->ComparesHold(transaction);
  if (compares_hold && !this->LeasesExist(transaction)) {
    this->Answer<TransactionResult>(
        std::move(done),
        core::MakeError(
            core::ErrorCode::kNotFound,
            "a lease of the transaction does not exist or has expired"));
    return;
  }
  if (compares_hold && !transaction.writes.empty()) {
    this->revision = this->revision.Next();
    for (const Write& write : transaction.writes) {
      this->Apply(write);
    }
    this->NotifyWatchers();
  }
  core::Expected<TransactionResult> outcome =
      TransactionResult{compares_hold, this->revision};
  if (this->faults.lose_next_answers > 0) {
    --this->faults.lose_next_answers;
    outcome = core::MakeError(core::ErrorCode::kTimeout,
                              "answer of the store was lost");
  }
  this->Answer<TransactionResult>(std::move(done), std::move(outcome));
}

void MemoryStore::Apply(const Write& write) {
  if (!write.value) {
    this->RemoveKey(write.key);
    return;
  }
  this->items[write.key] =
      Stored{KeyValue{write.key, *write.value, this->revision}, write.lease};
  this->Record(WatchEvent{write.key, write.value, this->revision});
}

void MemoryStore::RemoveKey(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->Record(WatchEvent{key, std::nullopt, this->revision});
  }
}

void MemoryStore::Record(WatchEvent event) {
  this->history.push_back(std::move(event));
  if (this->history.size() > kMaxHistoryEvents) {
    this->history_start = this->history.front().mod_revision.Next();
    this->history.pop_front();
  }
}

void MemoryStore::GrantLease(core::Duration ttl, Callback<LeaseId> done) {
  ++this->counts.lease_calls;
  const LeaseId lease(++this->last_lease);
  if (!this->faults.down) {
    this->leases[lease] = Lease{ttl, this->clock + ttl};
  }
  this->Answer<LeaseId>(std::move(done), lease);
}

void MemoryStore::KeepAlive(LeaseId lease, Callback<core::Duration> done) {
  ++this->counts.lease_calls;
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    this->Answer<core::Duration>(
        std::move(done),
        core::MakeError(core::ErrorCode::kNotFound,
                        "lease " + std::to_string(lease.Number()) +
                            " does not exist or has expired"));
    return;
  }
  if (!this->faults.down) {
    found->second.deadline = this->clock + found->second.ttl;
  }
  this->Answer<core::Duration>(std::move(done), found->second.ttl);
}

WatchId MemoryStore::Watch(const std::string& prefix,
                           ModRevision from,
                           Callback<std::vector<WatchEvent>> on_events) {
  ++this->counts.watches;
  const WatchId id(++this->last_watch);
  this->watchers[id] = Watcher{prefix, from, std::move(on_events)};
  this->NotifyWatchers();
  return id;
}

void MemoryStore::CancelWatch(WatchId watch) {
  this->watchers.erase(watch);
}

void MemoryStore::NotifyWatchers() {
  if (this->faults.down) {
    return;
  }
  for (auto& [id, watcher] : this->watchers) {
    this->NotifyWatcher(id, watcher);
  }
}

void MemoryStore::NotifyWatcher(WatchId id, Watcher& watcher) {
  const bool history_lost = watcher.next_revision < this->history_start ||
                            this->revision.Next() < watcher.next_revision;
  std::vector<WatchEvent> events;
  for (const WatchEvent& event : this->history) {
    if (event.mod_revision >= watcher.next_revision &&
        event.key.starts_with(watcher.prefix)) {
      events.push_back(event);
    }
  }
  watcher.next_revision =
      std::max(watcher.next_revision, this->revision.Next());
  if (!history_lost && events.empty()) {
    return;
  }
  this->RunAfterDelay([this, id, history_lost, batch = std::move(events)] {
    const auto found = this->watchers.find(id);
    if (found == this->watchers.end()) {
      return;
    }
    const Callback<std::vector<WatchEvent>> callback = found->second.on_events;
    if (history_lost) {
      this->watchers.erase(found);
      callback(
          core::MakeError(core::ErrorCode::kStale,
                          "watch lost: the store was restored or no longer has "
                          "all changes since the last reported version"));
      return;
    }
    callback(batch);
  });
}

void MemoryStore::RemoveLease(LeaseId lease) {
  this->leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, stored] : this->items) {
    if (stored.lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  this->revision = this->revision.Next();
  for (const std::string& key : keys) {
    this->RemoveKey(key);
  }
  this->NotifyWatchers();
}

void MemoryStore::EndExpiredLeases() {
  std::vector<LeaseId> expired;
  for (const auto& [id, lease] : this->leases) {
    if (lease.deadline <= this->clock) {
      expired.push_back(id);
    }
  }
  for (const LeaseId id : expired) {
    this->RemoveLease(id);
  }
}

void MemoryStore::LapseLeases() {
  while (!this->leases.empty()) {
    this->RemoveLease(this->leases.begin()->first);
  }
}

void MemoryStore::RunDue() {
  while (!this->pending.empty() && this->pending.front().due <= this->clock) {
    const Pending next = std::move(this->pending.front());
    this->pending.pop_front();
    next.run();
  }
}

void MemoryStore::Advance(core::TimePoint now) {
  this->clock = std::max(this->clock, now);
  this->EndExpiredLeases();
  this->RunDue();
}

void MemoryStore::DriveByTimer() {
  this->clock = core::Clock::Now();
  this->timer = std::make_unique<QTimer>();
  QObject::connect(this->timer.get(), &QTimer::timeout, &this->context,
                   [this] { this->Advance(core::Clock::Now()); });
  this->timer->start(kTimerPeriodMilliseconds);
}

void MemoryStore::SetFaults(const MemoryStoreFaults& new_faults) {
  this->faults = new_faults;
  this->NotifyWatchers();
}

MemoryStoreSnapshot MemoryStore::TakeSnapshot() const {
  MemoryStoreSnapshot snapshot;
  snapshot.revision = this->revision;
  for (const auto& [key, stored] : this->items) {
    snapshot.items[key] = stored.item;
  }
  return snapshot;
}

void MemoryStore::Restore(const MemoryStoreSnapshot& snapshot) {
  this->items.clear();
  for (const auto& [key, item] : snapshot.items) {
    this->items[key] = Stored{item, std::nullopt};
  }
  this->revision = snapshot.revision;
  this->history.clear();
  this->history_start = this->revision.Next();
  this->NotifyWatchers();
}

}  // namespace hemlockdoor::store
