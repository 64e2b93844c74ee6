// Port to the key-value store: compare-and-swap transactions, leases and
// watches.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::store {

namespace detail {
struct ModRevisionTag {};
struct LeaseTag {};
struct WatchTag {};
}  // namespace detail

/// Version of the whole store, which rises with each transaction that changes
/// it, or version of a key: the store version at which the key was last
/// written. As version of a key, 0 means that the key is absent.
using ModRevision = core::StrongNumber<detail::ModRevisionTag>;
/// A lease granted by the store. When a lease expires, the store deletes the
/// keys that are attached to it.
using LeaseId = core::StrongNumber<detail::LeaseTag>;
/// A watch opened by `KeyValueStore::Watch`; unique within one adapter.
using WatchId = core::StrongNumber<detail::WatchTag>;

/// A key with its value and the store version of its last write.
struct KeyValue {
  std::string key;
  std::string value;
  ModRevision mod_revision;
};

/// A condition of a transaction: the key has exactly this version.
struct Compare {
  std::string key;
  ModRevision mod_revision;
};

/// One write of a transaction. Without a value, the write deletes the key.
/// With a lease, the key is attached to that lease.
struct Write {
  std::string key;
  std::optional<std::string> value;
  std::optional<LeaseId> lease;
};

/// Applies all writes atomically if all compares hold, otherwise none.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

/// Result of a transaction that the store has answered.
struct TransactionResult {
  /// False when a compare failed, so that nothing was written.
  bool succeeded = false;
  /// Store version after the transaction.
  ModRevision revision;
};

/// Consistent snapshot of all keys with a prefix, taken at `revision`.
struct Listing {
  std::vector<KeyValue> items;
  ModRevision revision;
};

/// A change reported by a watch. Without a value, the key was deleted.
struct WatchEvent {
  std::string key;
  std::optional<std::string> value;
  ModRevision mod_revision;
};

/// Number of calls made so far, by kind.
struct CallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t lease_calls = 0;
  std::uint64_t watches = 0;
};

template <typename T>
using Callback = std::function<void(core::Expected<T>)>;

/// Operations of an adapter. All calls return immediately; their callbacks run
/// later on the thread that owns the adapter. Errors: kUnavailable (the call
/// had no effect) and kTimeout (a write may have taken effect; the caller reads
/// the key back to find out).
template <typename T>
concept KeyValueStore = requires(T store,
                                 const std::string& key,
                                 const Transaction& transaction,
                                 core::Duration ttl,
                                 LeaseId lease,
                                 ModRevision from,
                                 WatchId watch,
                                 Callback<std::optional<KeyValue>> on_value,
                                 Callback<Listing> on_listing,
                                 Callback<TransactionResult> on_commit,
                                 Callback<LeaseId> on_lease,
                                 Callback<core::Duration> on_alive,
                                 Callback<std::vector<WatchEvent>> on_events) {
  /// Reads one key. An absent key gives an empty optional, not an error.
  store.Get(key, on_value);
  /// Reads all keys with a prefix (`key`).
  store.List(key, on_listing);
  /// Runs a transaction. A failed compare is a result, not an error.
  store.Commit(transaction, on_commit);
  /// Grants a lease that expires after `ttl` unless it is kept alive.
  store.GrantLease(ttl, on_lease);
  /// Renews a lease and gives its remaining time, or kNotFound when the lease
  /// has expired.
  store.KeepAlive(lease, on_alive);
  /// Watches a prefix (`key`) from version `from` on, including that version.
  /// The callback runs for each batch of events. When the watch is lost, the
  /// callback runs one last time, with an error; the caller then lists the
  /// prefix and opens a new watch.
  { store.Watch(key, from, on_events) } -> std::same_as<WatchId>;
  /// Closes a watch; its callback does not run any more.
  store.CancelWatch(watch);
  { store.Counts() } -> std::same_as<CallCounts>;
};

}  // namespace hemlockdoor::store
