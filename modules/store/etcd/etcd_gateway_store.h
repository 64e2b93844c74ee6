// Key-value store behind an etcd v3 HTTP/JSON gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/store/port/key_value_store.h"
#include "modules/wire/client/http_client.h"

namespace hemlockdoor::store {

/// How the gateway is called.
struct EtcdOptions {
  wire::Endpoint endpoint;
  /// Longest time of one HTTP exchange.
  core::Duration call_timeout = core::Duration::Seconds(2);
  /// Exchanges for one call of a caller, the first included.
  int max_attempts = 3;
  /// Delay before the second attempt; doubles up to `longest_backoff`.
  core::Duration first_backoff = core::Duration::Milliseconds(50);
  core::Duration longest_backoff = core::Duration::Seconds(3);
  /// Failed exchanges in a row after which calls are refused unsent, except
  /// for single probes.
  int failures_to_open = 5;
  /// Exchanges in progress at once; a network access manager has six
  /// connections to one endpoint.
  std::size_t max_calls_in_progress = 6;
  /// Calls that wait for one of those; further ones end with kUnavailable.
  std::size_t max_calls_waiting = 512;
  /// Seed of the jitter; differs between processes.
  std::uint64_t seed = 1;
};

/// Implements `KeyValueStore`. Lives on a thread with a Qt event loop.
///
/// Reads and lease calls are repeated after any failure. A transaction is
/// repeated only when the previous attempt provably took no effect, or when a
/// compare on a key it writes makes a second effect impossible. After a lost
/// answer the first written key is read back; `Commit` ends with kTimeout when
/// that does not decide, and the caller then looks for its own write id.
class EtcdGatewayStore {
 public:
  /// Fails with kInvalidArgument for options out of range.
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
  /// `from` is the first version that is reported. A lost connection is opened
  /// again from the last version seen; kStale when the store no longer has the
  /// changes since then, or has gone back to an older state.
  WatchId Watch(const std::string& prefix,
                ModRevision from,
                Callback<std::vector<WatchEvent>> on_events);
  void CancelWatch(WatchId watch);
  /// Exchanges sent, by kind; each opening of a watch counts.
  CallCounts Counts() const;

 private:
  class Backend;
  explicit EtcdGatewayStore(std::unique_ptr<Backend> initial);
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::store
