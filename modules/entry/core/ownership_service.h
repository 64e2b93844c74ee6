// Planning ownership: lease calls, handovers to the owner, takeover.
#pragma once

#include <map>
#include <string>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

/// Declared run time from which a job counts as long.
inline constexpr core::Duration kLongRun = core::Duration::Seconds(60);
/// Accelerator work that declares a shorter run gets no record.
inline constexpr core::Duration kUnrecordedRun = core::Duration::Seconds(1);
/// Period in which the owner looks for open records that no entry works on.
inline constexpr core::Duration kSweepPeriod =
    core::Duration::Milliseconds(10000);
/// Unanswered questions after which a record's holder counts as gone.
inline constexpr int kHolderFailures = 2;
/// Period of questions about a job that another entry holds.
inline constexpr core::Duration kFollowPeriod =
    core::Duration::Milliseconds(1000);

/// True for work that only the planning owner places.
bool NeedsOwner(const model::JobDescription& job);
/// True for work that has a store record.
bool NeedsRecord(const model::JobDescription& job);

/// Keeps the planning lease, and moves jobs to and from the owner.
class OwnershipService {
 public:
  explicit OwnershipService(EntryContext& shared) : context(shared) {}

  /// Places an accepted job here, or hands it to the owner.
  void Dispatch(Job& job);
  /// Follows a job that another entry holds.
  void Follow(Job& job, const std::string& endpoint);
  /// The entry that holds a job brought its end; false when the sender is not
  /// that entry, or there is no room for the result.
  bool OnPushedEnd(Job& job,
                   const model::ResultNotice& notice,
                   const SharedBody& body);
  /// Takes over the end of a job that this entry follows.
  void OnFollowedEnd(Job& job,
                     const model::ResultNotice& notice,
                     const SharedBody& body);
  /// Sends the end of a job to the entry that handed it over.
  void PushEnd(Job& job);
  void OnTick();
  /// An epoch was seen in an announcement or a refusal.
  void OnEpochSeen(core::SchedulingEpoch seen);
  /// Makes a job of a record and goes on with it.
  void AdoptRecord(const FoundRecord& found);
  /// Gives up the lease at once, so that another entry need not wait for it to
  /// lapse.
  void Resign();
  /// Rebuilds the scheduler for the present role.
  void RebuildScheduler();
  /// Counts a job with an attempt as running in the scheduler.
  void AdoptIntoScheduler(Job& job);
  /// Tells the scheduler about one agent.
  void UpsertWorker(const KnownAgent& agent);

 private:
  void RunStep();
  /// Gives up a lease that is held.
  void Release();
  void CheckRole();
  void BecomeOwner();
  void LoseOwnership();
  void SendHandover(Job& job);
  void PollFollowed(Job& job);
  void OnFollowAnswer(Job& job, const wire::HttpResponse& response);
  void OnFollowedLost(Job& job);
  void Sweep();
  void OnSwept(const store::Listing& listing);
  void ProbeHolder(const FoundRecord& found);

  EntryContext& context;
  bool was_owner = false;
  bool sweep_open = false;
  core::TimePoint next_sweep;
  std::map<core::JobId, int> holder_failures;
};

}  // namespace hemlockdoor::entry
