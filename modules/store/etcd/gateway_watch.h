// A watch on an etcd gateway that reconnects after lost connections.
#pragma once

#include <QObject>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/store/etcd/etcd_codec.h"
#include "modules/store/etcd/etcd_gateway_store.h"
#include "modules/store/retry/backoff.h"
#include "modules/wire/client/http_stream.h"

namespace hemlockdoor::store::etcd {

/// After a lost connection, the watch reconnects with backoff and continues
/// with the version after the last one that it reported. When the store can no
/// longer give all changes, the callback receives kStale as its last call and
/// the watch closes itself. The owner holds the watch by a shared pointer and
/// calls `Close` before it drops the watch. The watch adds one to
/// `open_counter` for each connection; the counter must stay valid until the
/// watch is closed.
class GatewayWatch : public std::enable_shared_from_this<GatewayWatch> {
 public:
  GatewayWatch(const EtcdOptions& watch_options,
               std::string watched_prefix,
               ModRevision from,
               std::uint64_t seed,
               std::uint64_t* open_counter,
               Callback<std::vector<WatchEvent>> events_callback);

  void Open();
  void Close();
  bool IsClosed() const { return this->closed; }

 private:
  void OnData(const std::string& part);
  void OnLine(const std::string& line);
  void OnMessage(WatchMessage message);
  void Deliver(std::vector<WatchEvent> events);
  void Reopen();
  void EndAsStale(const std::string& reason);

  EtcdOptions options;
  std::string prefix;
  ModRevision next_revision;
  Backoff backoff;
  std::uint64_t* open_count;
  Callback<std::vector<WatchEvent>> on_events;
  std::unique_ptr<wire::HttpStream> stream;
  std::string buffer;
  bool closed = false;
  QObject context;
};

}  // namespace hemlockdoor::store::etcd
