#include "modules/store/etcd/etcd_gateway_store.h"

#include <algorithm>
#include <map>
#include <utility>

#include "modules/store/etcd/etcd_codec.h"
#include "modules/store/etcd/gateway_caller.h"
#include "modules/store/etcd/gateway_watch.h"

namespace hemlockdoor::store {

static_assert(KeyValueStore<EtcdGatewayStore>);

namespace {

using etcd::CallKind;

/// Returns a callback that decodes the answer of a gateway call and passes the
/// result, or the error of the call, to `done`.
template <typename T, typename Decode>
etcd::CallDone DecodeInto(Decode decode, Callback<T> done) {
  return [decode,
          callback = std::move(done)](core::Expected<nlohmann::json> answer) {
    if (!answer) {
      callback(tl::unexpected<core::Error>(answer.error()));
      return;
    }
    callback(decode(*answer));
  };
}

/// Returns the version that the transaction requires `key` to have, or nothing
/// when the transaction does not compare that key.
std::optional<ModRevision> ComparedRevision(const Transaction& transaction,
                                            const std::string& key) {
  for (const Compare& compare : transaction.compares) {
    if (compare.key == key) {
      return compare.mod_revision;
    }
  }
  return std::nullopt;
}

/// Returns the first write that stores a value under a key that the transaction
/// also compares, or null. As a transaction is atomic and its effect changes
/// the version of that key, reading the key back usually shows whether the
/// whole transaction took effect.
const Write* FindDecidingWrite(const Transaction& transaction) {
  for (const Write& write : transaction.writes) {
    if (write.value && ComparedRevision(transaction, write.key)) {
      return &write;
    }
  }
  return nullptr;
}

/// A transaction that has not ended yet.
struct PendingCommit {
  Transaction transaction;
  Callback<TransactionResult> done;
  int attempts_left = 0;
  /// True when an attempt ended with kTimeout and so may have taken effect.
  bool in_doubt = false;
  core::Error in_doubt_error;
};

}  // namespace

class EtcdGatewayStore::Backend {
 public:
  explicit Backend(const EtcdOptions& store_options)
      : options(store_options), caller(store_options) {}

  ~Backend() {
    for (const auto& [id, watch] : this->watches) {
      watch->Close();
    }
  }

  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void ReadRange(std::string body, Callback<Listing> done) {
    this->caller.Start(
        {CallKind::kRead, "/v3/kv/range", std::move(body),
         [](const nlohmann::json& answer) {
           return etcd::DecodeRange(answer).has_value();
         }},
        DecodeInto<Listing>(&etcd::DecodeRange, std::move(done)));
  }

  void ReadKey(const std::string& key, Callback<std::optional<KeyValue>> done) {
    this->ReadRange(etcd::EncodeGet(key), [callback = std::move(done)](
                                              core::Expected<Listing> listing) {
      if (!listing) {
        callback(tl::unexpected<core::Error>(listing.error()));
        return;
      }
      std::optional<KeyValue> item;
      if (!listing->items.empty()) {
        item = std::move(listing->items.front());
      }
      callback(std::move(item));
    });
  }

  void SendTransaction(const std::shared_ptr<PendingCommit>& pending) {
    --pending->attempts_left;
    this->caller.Start(
        {CallKind::kWrite, "/v3/kv/txn",
         etcd::EncodeTransaction(pending->transaction),
         [](const nlohmann::json& answer) {
           return etcd::DecodeTransaction(answer).has_value();
         }},
        DecodeInto<TransactionResult>(
            &etcd::DecodeTransaction,
            [this, pending](core::Expected<TransactionResult> result) {
              this->OnTransaction(pending, std::move(result));
            }));
  }

  EtcdOptions options;
  etcd::GatewayCaller caller;
  std::map<WatchId, std::shared_ptr<etcd::GatewayWatch>> watches;
  std::uint64_t last_watch = 0;

 private:
  void OnTransaction(const std::shared_ptr<PendingCommit>& pending,
                     core::Expected<TransactionResult> result) {
    const bool effect_unknown =
        !result && result.error().code == core::ErrorCode::kTimeout;
    if (effect_unknown) {
      pending->in_doubt = true;
      pending->in_doubt_error = result.error();
    }
    const bool succeeded = result && result->succeeded;
    if (!pending->in_doubt || succeeded) {
      pending->done(std::move(result));
      return;
    }
    // The compares of a repeated attempt may have failed because an earlier
    // attempt took effect.
    const std::optional<TransactionResult> refused =
        result ? std::optional(*result) : std::nullopt;
    this->Resolve(pending, refused);
  }

  void Resolve(const std::shared_ptr<PendingCommit>& pending,
               const std::optional<TransactionResult>& refused) {
    const Write* deciding_write = FindDecidingWrite(pending->transaction);
    if (deciding_write == nullptr) {
      pending->done(tl::unexpected<core::Error>(pending->in_doubt_error));
      return;
    }
    this->ReadKey(deciding_write->key,
                  [this, pending,
                   refused](core::Expected<std::optional<KeyValue>> stored) {
                    this->OnReadBack(pending, refused, std::move(stored));
                  });
  }

  void OnReadBack(const std::shared_ptr<PendingCommit>& pending,
                  const std::optional<TransactionResult>& refused,
                  core::Expected<std::optional<KeyValue>> stored) {
    const Write* deciding_write = FindDecidingWrite(pending->transaction);
    if (!stored) {
      pending->done(tl::unexpected<core::Error>(pending->in_doubt_error));
      return;
    }
    const ModRevision compared =
        *ComparedRevision(pending->transaction, deciding_write->key);
    const ModRevision current =
        *stored ? (*stored)->mod_revision : ModRevision();
    const bool has_our_value =
        *stored && (*stored)->value == *deciding_write->value;
    if (current == compared && refused) {
      // No attempt has written the key, so the compare that failed is on
      // another key. The version of that key can only rise: an earlier attempt
      // that is still in flight cannot take effect either.
      pending->done(*refused);
    } else if (current == compared && pending->attempts_left > 0) {
      this->SendTransaction(pending);
    } else if (current > compared && has_our_value) {
      pending->done(TransactionResult{true, current});
    } else {
      pending->done(tl::unexpected<core::Error>(pending->in_doubt_error));
    }
  }
};

EtcdGatewayStore::EtcdGatewayStore(std::unique_ptr<Backend> initial)
    : backend(std::move(initial)) {}

EtcdGatewayStore::~EtcdGatewayStore() = default;

core::Expected<std::unique_ptr<EtcdGatewayStore>> EtcdGatewayStore::Create(
    const EtcdOptions& options) {
  const core::Duration none;
  if (options.call_timeout <= none || options.first_backoff <= none ||
      options.longest_backoff < options.first_backoff ||
      options.max_attempts < 1 || options.failures_to_open < 1 ||
      options.max_calls_in_progress < 1) {
    return core::MakeError(
        core::ErrorCode::kInvalidArgument,
        "store options are out of range: call_timeout, first_backoff, "
        "max_attempts, failures_to_open and max_calls_in_progress must be "
        "positive, longest_backoff at least first_backoff");
  }
  return std::unique_ptr<EtcdGatewayStore>(
      new EtcdGatewayStore(std::make_unique<Backend>(options)));
}

void EtcdGatewayStore::Get(const std::string& key,
                           Callback<std::optional<KeyValue>> done) {
  this->backend->ReadKey(key, std::move(done));
}

void EtcdGatewayStore::List(const std::string& prefix, Callback<Listing> done) {
  this->backend->ReadRange(etcd::EncodeList(prefix), std::move(done));
}

void EtcdGatewayStore::Commit(const Transaction& transaction,
                              Callback<TransactionResult> done) {
  this->backend->SendTransaction(std::make_shared<PendingCommit>(
      PendingCommit{transaction,
                    std::move(done),
                    this->backend->options.max_attempts,
                    false,
                    {}}));
}

void EtcdGatewayStore::GrantLease(core::Duration ttl, Callback<LeaseId> done) {
  this->backend->caller.Start(
      {CallKind::kLease, "/v3/lease/grant", etcd::EncodeLeaseGrant(ttl),
       [](const nlohmann::json& answer) {
         return etcd::DecodeLeaseGrant(answer).has_value();
       }},
      DecodeInto<LeaseId>(&etcd::DecodeLeaseGrant, std::move(done)));
}

void EtcdGatewayStore::KeepAlive(LeaseId lease, Callback<core::Duration> done) {
  const auto decode =
      [](const nlohmann::json& answer) -> core::Expected<core::Duration> {
    core::Expected<core::Duration> left = etcd::DecodeKeepAlive(answer);
    if (left && *left <= core::Duration()) {
      return core::MakeError(core::ErrorCode::kNotFound,
                             "lease does not exist or has expired");
    }
    return left;
  };
  this->backend->caller.Start(
      {CallKind::kLease, "/v3/lease/keepalive", etcd::EncodeKeepAlive(lease),
       [](const nlohmann::json& answer) {
         return etcd::DecodeKeepAlive(answer).has_value();
       }},
      DecodeInto<core::Duration>(decode, std::move(done)));
}

WatchId EtcdGatewayStore::Watch(const std::string& prefix,
                                ModRevision from,
                                Callback<std::vector<WatchEvent>> on_events) {
  Backend& owner = *this->backend;
  std::erase_if(owner.watches,
                [](const auto& item) { return item.second->IsClosed(); });
  const WatchId id(++owner.last_watch);
  auto watch = std::make_shared<etcd::GatewayWatch>(
      owner.options, prefix, from, owner.options.seed + id.Number(),
      &owner.caller.counts.watches, std::move(on_events));
  owner.watches[id] = watch;
  watch->Open();
  return id;
}

void EtcdGatewayStore::CancelWatch(WatchId watch) {
  const auto found = this->backend->watches.find(watch);
  if (found != this->backend->watches.end()) {
    found->second->Close();
    this->backend->watches.erase(found);
  }
}

CallCounts EtcdGatewayStore::Counts() const {
  return this->backend->caller.counts;
}

}  // namespace hemlockdoor::store
