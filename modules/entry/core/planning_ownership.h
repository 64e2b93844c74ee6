// The planning lease. The entry that holds it plans accelerator jobs, gangs and
// long jobs.
#pragma once

#include <optional>
#include <string>

#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::entry {

/// Time to live of the planning lease without renewal.
inline constexpr core::Duration kPlanningLease =
    core::Duration::Milliseconds(5000);
/// Period at which the owner renews the lease, and at which other entries read
/// the owner key.
inline constexpr core::Duration kPlanningRenewal =
    core::Duration::Milliseconds(1000);

/// Time to live and renewal period of the planning lease.
struct OwnershipTiming {
  core::Duration lease = kPlanningLease;
  core::Duration renewal = kPlanningRenewal;
  /// An entry takes the lease over at once from an earlier process of its own.
  /// Only for a planner that finds out by other means than the length of the
  /// lease what its predecessor had started.
  bool replaces_predecessor = false;
};

/// The planning owner according to the store.
struct PlanningOwner {
  core::EntryId entry;
  std::string endpoint;
  core::SchedulingEpoch epoch;
};

/// The next store call that the planning lease needs.
enum class OwnershipStep { kNone, kRead, kGrant, kClaim, kRenew };

/// State machine of the planning lease in one entry. The caller makes the store
/// calls that `NextStep` returns and reports each result with the matching
/// `On...` function. At most one call is in flight.
class PlanningOwnership {
 public:
  PlanningOwnership(core::EntryId entry_id,
                    std::string own_endpoint,
                    OwnershipTiming lease_timing = {})
      : entry(std::move(entry_id)),
        endpoint(std::move(own_endpoint)),
        timing(lease_timing) {}

  /// Returns the next store call, which the caller then has to make. Returns
  /// kNone when no call is due, a call is in flight, or the entry has resigned.
  OwnershipStep NextStep(core::TimePoint now);
  /// Handle the results of the store calls. `claim_delay` is the time for which
  /// this entry leaves an absent owner key to others, for example because it
  /// does not reach the store by itself.
  void OnRead(const core::Expected<store::Listing>& listing,
              core::TimePoint now,
              core::Duration claim_delay = {});
  void OnGranted(const core::Expected<store::LeaseId>& granted,
                 core::TimePoint now);
  void OnClaimed(const core::Expected<store::TransactionResult>& claimed,
                 core::TimePoint now);
  void OnRenewed(const core::Expected<core::Duration>& renewed,
                 core::TimePoint now);
  /// Handles an epoch that an agent or another entry reported. A higher epoch
  /// than the known one ends ownership.
  void OnEpochSeen(core::SchedulingEpoch seen, core::TimePoint now);
  /// Stops all further store calls for the lease, because the entry drains.
  void Resign() { this->resigned = true; }

  /// Returns the transaction of `kClaim`. It creates the owner key, which the
  /// store deletes when the lease ends, and increments the epoch, which
  /// persists. It succeeds only when the epoch key is unchanged, and there is
  /// still no owner key or that of the predecessor of this process.
  store::Transaction ClaimTransaction() const;
  /// Returns the transaction that deletes the owner key if this entry still
  /// owns it.
  store::Transaction ReleaseTransaction() const;

  bool IsOwner() const { return this->is_owner; }
  /// Returns true when a claim took effect after this entry had resigned. The
  /// caller then has to commit `ReleaseTransaction`, so that other entries need
  /// not wait until the lease expires.
  bool MustRelease() const { return this->must_release; }
  /// Returns true when this entry is the owner and may plan now. After a pause
  /// longer than the lease it may not plan until a renewal has ended. It may
  /// plan while the store is down, because no other entry can take the lease
  /// then: a renewal that fails for this reason allows planning for the length
  /// of one lease, so that there is no gap before the next renewal fails.
  bool MayPlan(core::TimePoint now) const;
  /// Returns true while this entry certainly holds the lease. Unlike `MayPlan`
  /// it makes no exception for outages, so it is also safe with a store that
  /// may reject this entry and serve others.
  bool HoldsLease(core::TimePoint now) const {
    return this->is_owner && now < this->held_until;
  }
  store::LeaseId Lease() const { return this->lease; }
  /// Returns the version of the owner key, with which this owner makes its
  /// writes conditional.
  store::ModRevision OwnerRevision() const { return this->owner_revision; }
  const OwnershipTiming& Timing() const { return this->timing; }
  /// Returns the highest known epoch.
  core::SchedulingEpoch Epoch() const { return this->epoch; }
  /// Returns the owner as last read from the store or claimed here; nothing
  /// when there is none or it is unknown.
  const std::optional<PlanningOwner>& Owner() const { return this->owner; }
  /// Returns false after a store call that failed.
  bool IsStoreReachable() const { return this->store_reachable; }

  /// Prefix of `kOwnerKey` and `kEpochKey`.
  static constexpr const char* kPrefix = "owner";
  static constexpr const char* kOwnerKey = "owner";
  static constexpr const char* kEpochKey = "owner-epoch";

 private:
  void Lose(core::TimePoint now);
  /// Returns whether the owner key is that of an earlier process of this entry.
  /// Only one process at a time listens on the endpoint of an entry, so that
  /// one has ended, and its lease need not be waited for.
  bool IsOwnedByPredecessor() const;

  core::EntryId entry;
  std::string endpoint;
  OwnershipTiming timing;
  bool is_owner = false;
  bool resigned = false;
  bool must_release = false;
  bool call_open = false;
  bool store_reachable = true;
  OwnershipStep next = OwnershipStep::kRead;
  /// Earliest time of the next call.
  core::TimePoint due;
  /// When a read first found the owner key absent or that of a predecessor.
  std::optional<core::TimePoint> absent_since;
  /// When the last renewal or grant was sent.
  core::TimePoint renew_sent;
  /// Time until which this entry certainly holds the lease.
  core::TimePoint held_until;
  /// When a renewal last failed because the store did not answer.
  std::optional<core::TimePoint> outage_seen_at;
  store::LeaseId lease;
  store::ModRevision owner_revision;
  store::ModRevision epoch_revision;
  core::SchedulingEpoch epoch;
  std::optional<PlanningOwner> owner;
};

}  // namespace hemlockdoor::entry
