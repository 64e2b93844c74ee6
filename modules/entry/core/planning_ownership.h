// Who plans accelerators, gangs and long work: the planning lease.
#pragma once

#include <optional>
#include <string>

#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::entry {

/// Lifetime of the planning lease without renewal.
inline constexpr core::Duration kPlanningLease =
    core::Duration::Milliseconds(5000);
/// Period of renewals, and of a follower's look at the owner key.
inline constexpr core::Duration kPlanningRenewal =
    core::Duration::Milliseconds(1000);

/// Times of the planning lease.
struct OwnershipTiming {
  core::Duration lease = kPlanningLease;
  core::Duration renewal = kPlanningRenewal;
};

/// The owner as the store names it.
struct PlanningOwner {
  core::EntryId entry;
  std::string endpoint;
  core::SchedulingEpoch epoch;
};

/// The store call that ownership needs next.
enum class OwnershipStep { kNone, kRead, kGrant, kClaim, kRenew };

/// State of the planning lease in one entry. The caller makes the store calls
/// it asks for and reports their ends; at most one is open.
class PlanningOwnership {
 public:
  PlanningOwnership(core::EntryId entry_id,
                    std::string own_endpoint,
                    OwnershipTiming lease_timing = {})
      : entry(std::move(entry_id)),
        endpoint(std::move(own_endpoint)),
        timing(lease_timing) {}

  /// The next store call, if one is due.
  OwnershipStep NextStep(core::TimePoint now);
  /// Ends of the calls.
  void OnRead(const core::Expected<store::Listing>& listing,
              core::TimePoint now);
  void OnGranted(const core::Expected<store::LeaseId>& granted,
                 core::TimePoint now);
  void OnClaimed(const core::Expected<store::TransactionResult>& claimed,
                 core::TimePoint now);
  void OnRenewed(const core::Expected<core::Duration>& renewed,
                 core::TimePoint now);
  /// An agent or a peer told of an epoch: a higher one ends ownership.
  void OnEpochSeen(core::SchedulingEpoch seen, core::TimePoint now);
  /// The entry drains: it takes no lease from now on.
  void Resign() { this->resigned = true; }

  /// The transaction of `kClaim`: takes the owner key, which vanishes with the
  /// lease, and raises the epoch, which stays.
  store::Transaction ClaimTransaction() const;
  /// Removes the owner key when it is still this entry's own.
  store::Transaction ReleaseTransaction() const;

  bool IsOwner() const { return this->is_owner; }
  /// A claim took effect after this entry had resigned: `ReleaseTransaction` is
  /// due, so that others need not wait for the lease to lapse.
  bool MustRelease() const { return this->must_release; }
  /// True when this entry may plan now. After a pause longer than the lease it
  /// may not, until a renewal has ended. It may while the store is down, since
  /// no other entry can take the lease then; an outage counts as seen for the
  /// length of one lease, so that there is no gap before the next renewal
  /// fails.
  bool MayPlan(core::TimePoint now) const;
  /// True while the lease is certain to be held, whatever other entries can
  /// reach. For stores that may turn this entry away and serve the others.
  bool HoldsLease(core::TimePoint now) const {
    return this->is_owner && now < this->held_until;
  }
  store::LeaseId Lease() const { return this->lease; }
  /// Version of this owner's key, for conditions of its writes.
  store::ModRevision OwnerRevision() const { return this->owner_revision; }
  const OwnershipTiming& Timing() const { return this->timing; }
  /// The highest epoch known.
  core::SchedulingEpoch Epoch() const { return this->epoch; }
  /// The owner as last read; nothing when there is none or it is unknown.
  const std::optional<PlanningOwner>& Owner() const { return this->owner; }
  /// False after store calls that failed.
  bool StoreAnswers() const { return this->store_answers; }

  /// Prefix of the two keys below.
  static constexpr const char* kPrefix = "owner";
  static constexpr const char* kOwnerKey = "owner";
  static constexpr const char* kEpochKey = "owner-epoch";

 private:
  void Lose(core::TimePoint now);

  core::EntryId entry;
  std::string endpoint;
  OwnershipTiming timing;
  bool is_owner = false;
  bool resigned = false;
  bool must_release = false;
  bool call_open = false;
  bool store_answers = true;
  OwnershipStep next = OwnershipStep::kRead;
  core::TimePoint due;
  core::TimePoint renew_sent;
  /// Certain to be held until then.
  core::TimePoint held_until;
  /// When a renewal last failed because the store did not answer.
  std::optional<core::TimePoint> outage_seen;
  store::LeaseId lease;
  store::ModRevision owner_revision;
  store::ModRevision epoch_revision;
  core::SchedulingEpoch epoch;
  std::optional<PlanningOwner> owner;
};

}  // namespace hemlockdoor::entry
