// Port to the platform's key-value service: compare-and-swap, leases, watches.
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

/// Version of a key or of the whole store; 0 means the key is absent.
using ModRevision = core::StrongNumber<detail::ModRevisionTag>;
/// A lease granted by the store; keys attached to it vanish when it lapses.
using LeaseId = core::StrongNumber<detail::LeaseTag>;
/// A watch that is open on this adapter.
using WatchId = core::StrongNumber<detail::WatchTag>;

/// One key as stored.
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

/// A write of a transaction; nothing as value deletes the key.
struct Write {
  std::string key;
  std::optional<std::string> value;
  std::optional<LeaseId> lease;
};

/// All writes take effect when all compares hold, else none.
struct Transaction {
  std::vector<Compare> compares;
  std::vector<Write> writes;
};

/// The end of a transaction that the store answered.
struct TransactionResult {
  /// False: a compare failed and nothing was written.
  bool succeeded = false;
  /// Store version after the transaction.
  ModRevision revision;
};

/// A prefix as read at one moment.
struct Listing {
  std::vector<KeyValue> items;
  ModRevision revision;
};

/// A change seen by a watch; nothing as value means deleted.
struct WatchEvent {
  std::string key;
  std::optional<std::string> value;
  ModRevision mod_revision;
};

/// Calls made so far, by kind.
struct CallCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t lease_calls = 0;
  std::uint64_t watches = 0;
};

template <typename T>
using Callback = std::function<void(core::Expected<T>)>;

/// What an adapter offers. All calls return at once; callbacks run later on
/// the thread that owns the adapter. Errors: kUnavailable (nothing took
/// effect), kTimeout (a write may have taken effect; the caller reads back).
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
  /// Reads one key; absent is a value, not an error.
  store.Get(key, on_value);
  /// Reads all keys with a prefix.
  store.List(key, on_listing);
  /// Runs a transaction.
  store.Commit(transaction, on_commit);
  /// Grants a lease; keeps one alive (answers the time left; kNotFound when it
  /// has lapsed).
  store.GrantLease(ttl, on_lease);
  store.KeepAlive(lease, on_alive);
  /// Watches a prefix from a version on. The callback runs for each batch of
  /// events, and with an error when the watch is lost: then list and watch
  /// anew.
  { store.Watch(key, from, on_events) } -> std::same_as<WatchId>;
  store.CancelWatch(watch);
  { store.Counts() } -> std::same_as<CallCounts>;
};

}  // namespace hemlockdoor::store
