// Messages of the etcd v3 HTTP/JSON gateway. Field names and types follow the
// published protocol (rpc.proto, kv.proto): bytes are base64, 64-bit numbers
// are decimal strings, and fields with their default value are omitted.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/store/port/key_value_store.h"

namespace hemlockdoor::store::etcd {

/// Returns the request body of /v3/kv/range for one key.
std::string EncodeGet(const std::string& key);
/// Returns the request body of /v3/kv/range for all keys with a prefix. An
/// empty prefix stands for all keys.
std::string EncodeList(const std::string& prefix);
/// Returns the request body of /v3/kv/txn.
std::string EncodeTransaction(const Transaction& transaction);
/// Returns the request body of /v3/lease/grant. The protocol has whole seconds,
/// so `ttl` is rounded up.
std::string EncodeLeaseGrant(core::Duration ttl);
/// Returns the request body of /v3/lease/keepalive.
std::string EncodeKeepAlive(LeaseId lease);
/// Returns the request body of /v3/watch. `from` is the first version whose
/// changes are reported.
std::string EncodeWatch(const std::string& prefix, ModRevision from);

/// One message of a watch stream.
struct WatchMessage {
  std::vector<WatchEvent> events;
  /// Store version when the message was sent.
  ModRevision store_revision;
  /// True in the first message of a stream, which confirms the watch.
  bool created = false;
  /// True when the store has ended the watch; no events follow.
  bool cancelled = false;
  /// Not zero when the store has compacted its history: changes before this
  /// version are lost.
  ModRevision compacted_revision;
};

/// All decoders fail with kInvalidArgument when a required field is missing or
/// malformed.
core::Expected<Listing> DecodeRange(const nlohmann::json& answer);
core::Expected<TransactionResult> DecodeTransaction(
    const nlohmann::json& answer);
core::Expected<LeaseId> DecodeLeaseGrant(const nlohmann::json& answer);
/// Returns the remaining time of the lease; zero when the lease has expired.
core::Expected<core::Duration> DecodeKeepAlive(const nlohmann::json& answer);
core::Expected<WatchMessage> DecodeWatch(const nlohmann::json& message);

/// Returns the message of an error answer, or the body when it has no message;
/// at most 200 bytes.
std::string DecodeErrorMessage(std::string_view body);

}  // namespace hemlockdoor::store::etcd
