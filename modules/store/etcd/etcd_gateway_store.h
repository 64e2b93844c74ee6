// Client of a key-value store behind an etcd v3 HTTP/JSON gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/store/port/key_value_store.h"
#include "modules/wire/client/http_client.h"

namespace hemlockdoor::store {

/// Address of the gateway, and limits on the calls to it.
struct EtcdOptions {
  wire::Endpoint endpoint;
  /// Timeout of one HTTP exchange. A call also waits at most this long in the
  /// queue before it ends with kUnavailable.
  core::Duration call_timeout = core::Duration::Seconds(2);
  /// HTTP exchanges per gateway call, including the first. `Commit` makes at
  /// most this many gateway calls for its transaction.
  int max_attempts = 3;
  /// Nominal delay before the second attempt; doubles with each further attempt
  /// up to `longest_backoff`.
  core::Duration first_backoff = core::Duration::Milliseconds(50);
  core::Duration longest_backoff = core::Duration::Seconds(3);
  /// Consecutive failed exchanges after which the circuit breaker opens: calls
  /// then end with kUnavailable without being sent, except for single probes.
  int failures_to_open = 5;
  /// Concurrent exchanges. A QNetworkAccessManager opens at most six
  /// connections to one endpoint.
  std::size_t max_calls_in_progress = 6;
  /// Calls in the queue for an exchange; further calls end with kUnavailable.
  std::size_t max_calls_waiting = 512;
  /// Seed of the backoff jitter; each process uses another one.
  std::uint64_t seed = 1;
};

/// Implements `KeyValueStore`. Lives on a thread with a Qt event loop.
///
/// Reads and lease calls are retried after a transient failure (kUnavailable or
/// kTimeout). A transaction is retried only when the previous attempt provably
/// had no effect, or when a compare on a key that the transaction writes makes
/// a second effect impossible. When the effect of an attempt is unknown,
/// `Commit` reads back the first key that the transaction both compares and
/// stores a value under. If that key does not show whether the transaction took
/// effect, `Commit` ends with kTimeout, and the caller looks for its own write
/// id.
class EtcdGatewayStore {
 public:
  /// Fails with kInvalidArgument when an option is out of range.
  static core::Expected<std::unique_ptr<EtcdGatewayStore>> Create(
      const EtcdOptions& options);

  ~EtcdGatewayStore();
  EtcdGatewayStore(const EtcdGatewayStore&) = delete;
  EtcdGatewayStore& operator=(const EtcdGatewayStore&) = delete;

  void Get(const std::string& key, Callback<std::optional<KeyValue>> done);
  void List(const std::string& prefix, Callback<Listing> done);
  void Commit(const Transaction& transaction, Callback<TransactionResult> done);
  void GrantLease(core::Duration ttl, Callback<LeaseId> done);
  void KeepAlive(LeaseId lease, Callback<core::Duration> done);
  /// `from` is the first version whose changes are reported. After a lost
  /// connection, the watch reconnects and continues after the last version that
  /// it reported. The watch ends with kStale when the store no longer has the
  /// changes since that version, or was restored to an older state.
  WatchId Watch(const std::string& prefix,
                ModRevision from,
                Callback<std::vector<WatchEvent>> on_events);
  void CancelWatch(WatchId watch);
  /// Returns the number of exchanges sent so far, by kind, including retries.
  /// Each connection that a watch opens counts as one.
  CallCounts Counts() const;

 private:
  class Backend;
  explicit EtcdGatewayStore(std::unique_ptr<Backend> initial);
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::store
