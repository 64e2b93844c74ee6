#include "modules/entry/core/planning_ownership.h"

#include <algorithm>
#include <utility>

#include "modules/model/model.h"

namespace hemlockdoor::entry {

namespace {

bool IsStoreFailure(const core::Error& error) {
  return error.code == core::ErrorCode::kUnavailable ||
         error.code == core::ErrorCode::kTimeout;
}

std::string OwnerToText(const PlanningOwner& owner) {
  nlohmann::json doc;
  doc["entry"] = owner.entry.Text();
  doc["endpoint"] = owner.endpoint;
  doc["epoch"] = std::to_string(owner.epoch.Number());
  return model::DumpJson(doc);
}

std::optional<PlanningOwner> OwnerFromText(const std::string& text) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(text);
  if (!doc) {
    return std::nullopt;
  }
  model::JsonReader reader(*doc, "$");
  PlanningOwner owner;
  owner.entry = core::EntryId(reader.RequiredString("entry"));
  owner.endpoint = reader.RequiredString("endpoint");
  owner.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  if (!reader.FinishLenient()) {
    return std::nullopt;
  }
  return owner;
}

core::SchedulingEpoch EpochFromText(const std::string& text) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(text);
  if (!doc) {
    return {};
  }
  model::JsonReader reader(*doc, "$");
  return core::SchedulingEpoch(reader.RequiredCounter("epoch"));
}

}  // namespace

OwnershipStep PlanningOwnership::NextStep(core::TimePoint now) {
  if (this->call_open || now < this->due || this->resigned) {
    return OwnershipStep::kNone;
  }
  this->call_open = true;
  if (this->next == OwnershipStep::kRenew ||
      this->next == OwnershipStep::kGrant) {
    this->renew_sent = now;
  }
  return this->next;
}

void PlanningOwnership::OnRead(const core::Expected<store::Listing>& listing,
                               core::TimePoint now,
                               core::Duration claim_delay) {
  this->call_open = false;
  this->due = now + this->timing.renewal;
  this->store_reachable = listing.has_value();
  if (!listing) {
    return;
  }
  this->owner.reset();
  this->owner_revision = store::ModRevision();
  for (const store::KeyValue& item : listing->items) {
    if (item.key == kOwnerKey) {
      this->owner = OwnerFromText(item.value);
      this->owner_revision = item.mod_revision;
    } else if (item.key == kEpochKey) {
      this->epoch = std::max(this->epoch, EpochFromText(item.value));
      this->epoch_revision = item.mod_revision;
    }
  }
  if (this->owner_revision != store::ModRevision() &&
      !this->IsOwnedByPredecessor()) {
    this->absent_since.reset();
    return;
  }
  this->absent_since = this->absent_since.value_or(now);
  if (now >= *this->absent_since + claim_delay) {
    this->absent_since.reset();
    this->next = OwnershipStep::kGrant;
    this->due = now;
  }
}

bool PlanningOwnership::IsOwnedByPredecessor() const {
  return this->timing.replaces_predecessor && this->owner &&
         this->owner->entry == this->entry &&
         this->owner->endpoint == this->endpoint;
}

void PlanningOwnership::OnGranted(const core::Expected<store::LeaseId>& granted,
                                  core::TimePoint now) {
  this->call_open = false;
  this->store_reachable = granted.has_value();
  if (!granted) {
    this->next = OwnershipStep::kRead;
    this->due = now + this->timing.renewal;
    return;
  }
  this->lease = *granted;
  this->next = OwnershipStep::kClaim;
  this->due = now;
}

void PlanningOwnership::OnClaimed(
    const core::Expected<store::TransactionResult>& claimed,
    core::TimePoint now) {
  this->call_open = false;
  this->store_reachable = claimed.has_value();
  // After a lost answer, the next read shows which entry owns the key. A claim
  // of this entry that took effect without its knowledge ends when the lease
  // expires.
  this->next = OwnershipStep::kRead;
  this->due = now;
  if (!claimed) {
    this->due = now + this->timing.renewal;
    return;
  }
  if (!claimed->succeeded) {
    return;
  }
  this->owner_revision = claimed->revision;
  if (this->resigned) {
    this->must_release = true;
    return;
  }
  this->is_owner = true;
  this->outage_seen_at.reset();
  this->epoch = this->epoch.Next();
  this->epoch_revision = claimed->revision;
  this->owner = PlanningOwner{this->entry, this->endpoint, this->epoch};
  this->held_until = this->renew_sent + this->timing.lease;
  this->next = OwnershipStep::kRenew;
  this->due = this->renew_sent + this->timing.renewal;
}

void PlanningOwnership::OnRenewed(const core::Expected<core::Duration>& renewed,
                                  core::TimePoint now) {
  this->call_open = false;
  this->due = now + this->timing.renewal;
  if (!this->is_owner) {
    return;
  }
  if (renewed) {
    this->store_reachable = true;
    this->outage_seen_at.reset();
    this->held_until = this->renew_sent + this->timing.lease;
    return;
  }
  if (IsStoreFailure(renewed.error())) {
    this->store_reachable = false;
    this->outage_seen_at = now;
    return;
  }
  this->store_reachable = true;
  this->Lose(now);
}

void PlanningOwnership::OnEpochSeen(core::SchedulingEpoch seen,
                                    core::TimePoint now) {
  if (seen <= this->epoch) {
    return;
  }
  this->epoch = seen;
  if (this->is_owner) {
    this->Lose(now);
  }
}

store::Transaction PlanningOwnership::ClaimTransaction() const {
  const PlanningOwner claim{this->entry, this->endpoint, this->epoch.Next()};
  nlohmann::json epoch_doc;
  epoch_doc["epoch"] = std::to_string(claim.epoch.Number());
  store::Transaction transaction;
  transaction.compares = {{kOwnerKey, this->owner_revision},
                          {kEpochKey, this->epoch_revision}};
  transaction.writes = {{kOwnerKey, OwnerToText(claim), this->lease},
                        {kEpochKey, model::DumpJson(epoch_doc), std::nullopt}};
  return transaction;
}

store::Transaction PlanningOwnership::ReleaseTransaction() const {
  store::Transaction transaction;
  transaction.compares = {{kOwnerKey, this->owner_revision}};
  transaction.writes = {{kOwnerKey, std::nullopt, std::nullopt}};
  return transaction;
}

bool PlanningOwnership::MayPlan(core::TimePoint now) const {
  const bool outage =
      this->outage_seen_at && now < *this->outage_seen_at + this->timing.lease;
  return this->is_owner && (now < this->held_until || outage);
}

void PlanningOwnership::Lose(core::TimePoint now) {
  this->is_owner = false;
  this->outage_seen_at.reset();
  this->owner.reset();
  this->next = OwnershipStep::kRead;
  this->due = now;
}

}  // namespace hemlockdoor::entry
