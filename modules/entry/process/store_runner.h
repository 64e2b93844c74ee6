// Runs the state machine's store calls on an adapter.
#pragma once

#include <functional>
#include <type_traits>
#include <utility>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/core/commands.h"
#include "modules/entry/core/events.h"
#include "modules/store/store.h"

namespace hemlockdoor::entry {

/// A store call of the state machine.
using StoreCall = std::
    variant<ReadKey, ReadPrefix, CommitTransaction, GrantLease, RenewLease>;

/// Starts `call` on `adapter`; `done` gets the event that reports its outcome.
template <store::KeyValueStore Store>
void RunStoreCall(Store& adapter,
                  const StoreCall& call,
                  const std::function<void(Event)>& done) {
  std::visit(
      [&adapter, &done](const auto& each) {
        using Call = std::decay_t<decltype(each)>;
        const CallId id = each.call;
        if constexpr (std::is_same_v<Call, ReadKey>) {
          adapter.Get(each.key, [id, done](auto item) {
            done(KeyRead{id, std::move(item)});
          });
        } else if constexpr (std::is_same_v<Call, ReadPrefix>) {
          adapter.List(each.prefix, [id, done](auto listing) {
            done(PrefixRead{id, std::move(listing)});
          });
        } else if constexpr (std::is_same_v<Call, CommitTransaction>) {
          adapter.Commit(each.transaction, [id, done](auto outcome) {
            done(TransactionEnded{id, std::move(outcome)});
          });
        } else if constexpr (std::is_same_v<Call, GrantLease>) {
          adapter.GrantLease(each.ttl, [id, done](auto lease) {
            done(LeaseGranted{id, std::move(lease)});
          });
        } else {
          adapter.KeepAlive(each.lease, [id, done](auto left) {
            done(LeaseRenewed{id, std::move(left)});
          });
        }
      },
      call);
}

/// Returns the event that ends a store call that was not sent, because the
/// inbox of the store thread is full.
inline Event FailStoreCall(const StoreCall& call) {
  return std::visit(
      [](const auto& each) -> Event {
        using Call = std::decay_t<decltype(each)>;
        const auto error =
            core::MakeError(core::ErrorCode::kResourceExhausted,
                            "the store call was not sent: too many are queued");
        if constexpr (std::is_same_v<Call, ReadKey>) {
          return KeyRead{each.call, error};
        } else if constexpr (std::is_same_v<Call, ReadPrefix>) {
          return PrefixRead{each.call, error};
        } else if constexpr (std::is_same_v<Call, CommitTransaction>) {
          return TransactionEnded{each.call, error};
        } else if constexpr (std::is_same_v<Call, GrantLease>) {
          return LeaseGranted{each.call, error};
        } else {
          return LeaseRenewed{each.call, error};
        }
      },
      call);
}

}  // namespace hemlockdoor::entry
