#include "modules/entry/core/planning_ownership.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::entry {

namespace {

core::TimePoint At(std::int64_t milliseconds) {
  return core::TimePoint::FromMilliseconds(milliseconds);
}

core::Expected<core::Duration> Renewed(std::int64_t milliseconds) {
  return core::Duration::Milliseconds(milliseconds);
}

core::Expected<core::Duration> Failed(core::ErrorCode code) {
  return core::MakeError(code, "failed");
}

/// Returns the ownership of an entry that took the lease at 1000 ms.
PlanningOwnership Owner() {
  PlanningOwnership ownership(core::EntryId("e1"), "e1:1");
  BOOST_REQUIRE((ownership.NextStep(At(1000)) == OwnershipStep::kRead));
  ownership.OnRead(store::Listing{}, At(1000));
  BOOST_REQUIRE((ownership.NextStep(At(1000)) == OwnershipStep::kGrant));
  ownership.OnGranted(store::LeaseId(7), At(1000));
  BOOST_REQUIRE((ownership.NextStep(At(1000)) == OwnershipStep::kClaim));
  ownership.OnClaimed(store::TransactionResult{true, store::ModRevision(3)},
                      At(1000));
  BOOST_REQUIRE(ownership.IsOwner());
  return ownership;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlanningOwnershipTest)

// Guards against two store calls in flight at once, and against renewals that
// are late or too frequent.
BOOST_AUTO_TEST_CASE(RenewsEachSecondWithOneCallAtATime) {
  PlanningOwnership ownership = Owner();
  BOOST_TEST((ownership.NextStep(At(1999)) == OwnershipStep::kNone));
  BOOST_TEST((ownership.NextStep(At(2000)) == OwnershipStep::kRenew));
  BOOST_TEST((ownership.NextStep(At(9000)) == OwnershipStep::kNone));
  ownership.OnRenewed(Renewed(5000), At(2100));
  BOOST_TEST((ownership.NextStep(At(3100)) == OwnershipStep::kRenew));
  BOOST_TEST((ownership.Epoch() == core::SchedulingEpoch(1)));
}

// Guards against an owner that plans after a pause longer than its lease,
// before it knows whether it still holds the lease.
BOOST_AUTO_TEST_CASE(PlansAfterAPauseOnlyWhenTheLeaseIsCertain) {
  struct Case {
    core::Expected<core::Duration> renewal;
    bool owner;
    bool may_plan;
  };
  const Case cases[] = {
      {Renewed(5000), true, true},
      {Failed(core::ErrorCode::kNotFound), false, false},
      {Failed(core::ErrorCode::kUnavailable), true, true},
      {Failed(core::ErrorCode::kTimeout), true, true},
  };
  for (const Case& each : cases) {
    PlanningOwnership ownership = Owner();
    BOOST_TEST(ownership.MayPlan(At(5999)));
    BOOST_TEST(!ownership.MayPlan(At(6000)));
    BOOST_TEST((ownership.NextStep(At(9000)) == OwnershipStep::kRenew));
    ownership.OnRenewed(each.renewal, At(9100));
    BOOST_TEST(ownership.IsOwner() == each.owner);
    BOOST_TEST(ownership.MayPlan(At(9200)) == each.may_plan);
  }
}

// Guards against an owner that remains owner although a higher epoch exists.
BOOST_AUTO_TEST_CASE(HigherEpochEndsOwnership) {
  PlanningOwnership ownership = Owner();
  ownership.OnEpochSeen(core::SchedulingEpoch(1), At(1500));
  BOOST_TEST(ownership.IsOwner());
  ownership.OnEpochSeen(core::SchedulingEpoch(2), At(1500));
  BOOST_TEST(!ownership.IsOwner());
  BOOST_TEST((ownership.Epoch() == core::SchedulingEpoch(2)));
  BOOST_TEST((ownership.NextStep(At(1500)) == OwnershipStep::kRead));
}

// Guards against an entry that assumes ownership when the answer to its claim
// is lost or another entry claimed first.
BOOST_AUTO_TEST_CASE(FailedClaimIsReadBack) {
  const core::Expected<store::TransactionResult> ends[] = {
      store::TransactionResult{false, store::ModRevision(3)},
      core::MakeError(core::ErrorCode::kTimeout, "lost")};
  for (const auto& end : ends) {
    PlanningOwnership ownership(core::EntryId("e1"), "e1:1");
    ownership.NextStep(At(0));
    ownership.OnRead(store::Listing{}, At(0));
    ownership.NextStep(At(0));
    ownership.OnGranted(store::LeaseId(7), At(0));
    ownership.NextStep(At(0));
    ownership.OnClaimed(end, At(0));
    BOOST_TEST(!ownership.IsOwner());
    BOOST_TEST((ownership.NextStep(At(1000)) == OwnershipStep::kRead));
  }
}

// Guards against a draining entry that claims or renews the lease.
BOOST_AUTO_TEST_CASE(ResignedEntryMakesNoMoreCalls) {
  PlanningOwnership ownership = Owner();
  ownership.Resign();
  BOOST_TEST((ownership.NextStep(At(9000)) == OwnershipStep::kNone));
}

// Guards against a stopping entry that keeps the lease until it expires,
// because its claim was in flight when it resigned.
BOOST_AUTO_TEST_CASE(ClaimThatSucceedsAfterResigningMustBeReleased) {
  PlanningOwnership ownership(core::EntryId("e1"), "e1:1");
  ownership.NextStep(At(1000));
  ownership.OnRead(store::Listing{}, At(1000));
  ownership.NextStep(At(1000));
  ownership.OnGranted(store::LeaseId(7), At(1000));
  BOOST_REQUIRE((ownership.NextStep(At(1000)) == OwnershipStep::kClaim));
  ownership.Resign();
  BOOST_TEST(!ownership.MustRelease());
  ownership.OnClaimed(store::TransactionResult{true, store::ModRevision(3)},
                      At(1010));
  BOOST_TEST(ownership.MustRelease());
  BOOST_TEST(!ownership.HoldsLease(At(1010)));
  BOOST_TEST(!ownership.MayPlan(At(1010)));
}

// A killed entry that starts again need not wait until the lease of its
// predecessor expires. The entry of another machine must.
BOOST_AUTO_TEST_CASE(RestartedOwnerTakesOverFromItsPredecessorAtOnce) {
  struct Case {
    const char* entry;
    const char* endpoint;
    bool replaces_predecessor;
    OwnershipStep next;
  };
  const Case cases[] = {{"e1", "e1:1", true, OwnershipStep::kGrant},
                        {"e1", "e1:1", false, OwnershipStep::kNone},
                        {"e2", "e2:1", true, OwnershipStep::kNone},
                        {"e1", "other:1", true, OwnershipStep::kNone}};
  for (const Case& each : cases) {
    store::Listing listing;
    const store::Transaction claim = [] {
      PlanningOwnership owner(core::EntryId("e1"), "e1:1");
      return owner.ClaimTransaction();
    }();
    for (const store::Write& write : claim.writes) {
      listing.items.push_back({write.key, *write.value, store::ModRevision(3)});
    }
    OwnershipTiming timing;
    timing.replaces_predecessor = each.replaces_predecessor;
    PlanningOwnership restarted(core::EntryId(each.entry), each.endpoint,
                                timing);
    restarted.NextStep(At(1500));
    restarted.OnRead(listing, At(1500));
    BOOST_TEST_CONTEXT(each.entry << " at " << each.endpoint) {
      BOOST_TEST((restarted.NextStep(At(1500)) == each.next));
    }
    if (each.next != OwnershipStep::kGrant) {
      continue;
    }
    restarted.OnGranted(store::LeaseId(8), At(1510));
    BOOST_TEST((restarted.NextStep(At(1510)) == OwnershipStep::kClaim));
    const store::Transaction taken = restarted.ClaimTransaction();
    // The predecessor's writes in flight are conditional on its key.
    BOOST_TEST((taken.compares.front().mod_revision == store::ModRevision(3)));
    restarted.OnClaimed(store::TransactionResult{true, store::ModRevision(4)},
                        At(1520));
    BOOST_TEST(restarted.IsOwner());
    BOOST_TEST((restarted.Epoch() == core::SchedulingEpoch(2)));
  }
}

// An entry that reaches the store only through others is a worse planner.
BOOST_AUTO_TEST_CASE(AnAbsentKeyIsLeftToOthersForTheClaimDelay) {
  constexpr core::Duration kDelay = core::Duration::Milliseconds(1500);
  PlanningOwnership ownership(core::EntryId("e1"), "e1:1");
  std::int64_t now_ms = 0;
  for (; now_ms < 1500; now_ms += 1000) {
    BOOST_TEST((ownership.NextStep(At(now_ms)) == OwnershipStep::kRead));
    ownership.OnRead(store::Listing{}, At(now_ms), kDelay);
    BOOST_TEST((ownership.NextStep(At(now_ms)) == OwnershipStep::kNone));
  }
  BOOST_TEST((ownership.NextStep(At(now_ms)) == OwnershipStep::kRead));
  ownership.OnRead(store::Listing{}, At(now_ms), kDelay);
  BOOST_TEST((ownership.NextStep(At(now_ms)) == OwnershipStep::kGrant));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
