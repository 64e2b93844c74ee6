// Messages of the etcd v3 HTTP/JSON gateway. Field names and types follow the
// published protocol (rpc.proto, kv.proto): bytes are base64, 64-bit numbers
// are decimal texts, and fields with their default value are left out.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/store/port/key_value_store.h"

namespace hemlockdoor::store::etcd {

/// Body of /v3/kv/range for one key.
std::string EncodeGet(const std::string& key);
/// Body of /v3/kv/range for a prefix.
std::string EncodeList(const std::string& prefix);
/// Body of /v3/kv/txn.
std::string EncodeTransaction(const Transaction& transaction);
/// Body of /v3/lease/grant. The protocol counts whole seconds; rounded up.
std::string EncodeLeaseGrant(core::Duration ttl);
/// Body of /v3/lease/keepalive.
std::string EncodeKeepAlive(LeaseId lease);
/// Body of /v3/watch; `from` is the first version that is reported.
std::string EncodeWatch(const std::string& prefix, ModRevision from);

/// One message of a watch stream.
struct WatchMessage {
  std::vector<WatchEvent> events;
  /// Store version when the message was sent.
  ModRevision store_revision;
  /// First message: the watch is in force.
  bool created = false;
  /// The store ended the watch; no events follow.
  bool cancelled = false;
  /// Not zero: events before this version are lost.
  ModRevision compacted_revision;
};

/// Decoders fail with kInvalidArgument when a required field is missing or has
/// the wrong form.
core::Expected<Listing> DecodeRange(const nlohmann::json& answer);
core::Expected<TransactionResult> DecodeTransaction(
    const nlohmann::json& answer);
core::Expected<LeaseId> DecodeLeaseGrant(const nlohmann::json& answer);
/// Zero when the lease has lapsed.
core::Expected<core::Duration> DecodeKeepAlive(const nlohmann::json& answer);
core::Expected<WatchMessage> DecodeWatch(const nlohmann::json& message);

/// The message of an error answer, cut to a readable length.
std::string DecodeErrorMessage(std::string_view body);

}  // namespace hemlockdoor::store::etcd
