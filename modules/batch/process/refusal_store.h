// Stores refusals, which keep a refused job from being stored.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/process/store_keys.h"
#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

/// Writes the refusal of a job on the condition that the job is not stored.
///
/// An entry that refuses a job does not know whether the caller asked another
/// entry before, which may have stored the job or may still be storing it. The
/// conditional write shows that the job is not stored. A job is stored only on
/// the condition that its refusal has not changed since the request for it
/// arrived, so requests that were in flight at the time of the refusal have no
/// effect afterwards. A read alone could not rule them out.
///
/// Refusals are attached to a lease, so that the store removes them. Belongs to
/// one Qt event loop.
template <store::KeyValueStore Store>
class RefusalStore {
 public:
  explicit RefusalStore(Store& store_adapter) : adapter(store_adapter) {}

  /// Stores the refusal. The result is that of the write, which has failed
  /// (`succeeded` is false) if the job is stored. Costs one store call, and one
  /// more for a lease every `kLeaseUse`.
  void Refuse(const core::JobId& job,
              std::int64_t first_attempt_wall_ms,
              store::Callback<store::TransactionResult> done) {
    this->WithLease([this, job, first_attempt_wall_ms, done = std::move(done)](
                        const core::Expected<store::LeaseId>& lease) {
      if (!lease) {
        done(tl::unexpected(lease.error()));
        return;
      }
      store::Transaction transaction;
      transaction.compares = {{store_keys::JobKey(job), store::ModRevision()}};
      transaction.writes = {{store_keys::RefusalKey(job),
                             std::to_string(first_attempt_wall_ms), *lease}};
      this->adapter.Commit(transaction, [this, done](const auto& outcome) {
        if (!outcome && outcome.error().code == core::ErrorCode::kNotFound) {
          // The lease is gone from the store.
          this->lease_until = core::TimePoint();
        }
        done(outcome);
      });
    });
  }

 private:
  /// Refusals outlive all requests that were in flight when they were written:
  /// callers wait for 6 s at most, and calls to the store end within seconds.
  static constexpr core::Duration kLeaseTime = core::Duration::Seconds(60);
  static constexpr core::Duration kLeaseUse = core::Duration::Seconds(20);

  void WithLease(store::Callback<store::LeaseId> step) {
    if (core::Clock::Now() < this->lease_until) {
      step(this->lease);
      return;
    }
    this->waiting.push_back(std::move(step));
    if (this->waiting.size() > 1) {
      return;
    }
    const core::TimePoint sent_at = core::Clock::Now();
    this->adapter.GrantLease(
        kLeaseTime, [this, sent_at](const core::Expected<store::LeaseId>& end) {
          if (end) {
            this->lease = *end;
            this->lease_until = sent_at + kLeaseUse;
          }
          for (const auto& waiter : std::exchange(this->waiting, {})) {
            waiter(end);
          }
        });
  }

  Store& adapter;
  store::LeaseId lease;
  /// Until this time the lease is used for new refusals.
  core::TimePoint lease_until;
  /// Refusals that wait for a lease.
  std::vector<store::Callback<store::LeaseId>> waiting;
};

}  // namespace hemlockdoor::batch
