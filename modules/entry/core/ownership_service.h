// Planning ownership: store calls for the planning lease, handover of jobs to
// the planning owner, and takeover of open records.
#pragma once

#include <map>
#include <string>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

/// Shortest declared run time of a long job.
inline constexpr core::Duration kMinLongRunTime = core::Duration::Seconds(60);
/// Accelerator jobs with a shorter declared run time need no store record for
/// their accelerators.
inline constexpr core::Duration kMinRecordedRunTime =
    core::Duration::Seconds(1);
/// Period at which the planning owner lists the open records to find jobs that
/// no entry holds.
inline constexpr core::Duration kSweepPeriod =
    core::Duration::Milliseconds(10000);
/// Number of unanswered probes after which the holder of a record counts as
/// gone.
inline constexpr int kMaxHolderProbeFailures = 2;
/// Period at which an entry polls the holder of a job that it follows.
inline constexpr core::Duration kFollowPollPeriod =
    core::Duration::Milliseconds(1000);

/// Returns true for a job that only the planning owner places: it uses
/// accelerators, is a gang or is long.
bool NeedsOwner(const model::JobDescription& job);
/// Returns true for a job that needs a store record: it is not repeatable, is a
/// gang, is long, or uses accelerators and does not declare a run time below
/// `kMinRecordedRunTime`.
bool NeedsRecord(const model::JobDescription& job);

/// Maintains the planning lease, and transfers jobs between this entry and the
/// planning owner.
class OwnershipService {
 public:
  explicit OwnershipService(EntryContext& shared) : context(shared) {}

  /// Submits an accepted job to the scheduler of this entry, or hands it over
  /// to the planning owner. Ends the job when it was cancelled before.
  void Dispatch(Job& job);
  /// Follows a job that the entry at `endpoint` holds: polls that entry for the
  /// end. `endpoint` is empty while the holder is unknown.
  void Follow(Job& job, const std::string& endpoint);
  /// Applies the end of a followed job that another entry sent. Returns false
  /// when the sender is not the entry that holds the job, or when the byte
  /// budget has no room for the result.
  bool OnPushedEnd(Job& job,
                   const model::ResultNotice& notice,
                   const SharedBody& body);
  /// Applies the end of a job that this entry follows. Leaves the job as it is
  /// when the byte budget has no room for the result; a later poll tries again.
  void OnFollowedEnd(Job& job,
                     const model::ResultNotice& notice,
                     const SharedBody& body);
  /// Sends the end of a job to the entry that handed the job over.
  void PushEnd(Job& job);
  void OnTick();
  /// Handles an epoch that was seen in an announcement or a refusal. A higher
  /// epoch than the known one ends ownership.
  void OnEpochSeen(core::SchedulingEpoch seen);
  /// Takes over the job of an open record: queues it, or resumes its attempt.
  /// Does nothing when this entry holds the job already.
  void AdoptRecord(const FoundRecord& found);
  /// Stops claiming the planning lease and releases it when this entry is the
  /// planning owner, so that another entry need not wait until it expires.
  void Resign();
  /// Replaces the scheduler by a new one for the current role, and adds the
  /// workers and the open jobs to it.
  void RebuildScheduler();
  /// Adds a job with an attempt to the scheduler as running.
  void AdoptIntoScheduler(Job& job);
  /// Updates one agent in the scheduler, or removes it when its announcement
  /// has no shape.
  void UpsertWorker(const KnownAgent& agent);

 private:
  void RunStep();
  /// Releases the lease that this entry holds.
  void Release();
  void CheckRole();
  void BecomeOwner();
  void LoseOwnership();
  void SendHandover(Job& job);
  void PollFollowed(Job& job);
  void OnFollowAnswer(Job& job, const wire::HttpResponse& response);
  void OnHolderLost(Job& job);
  void Sweep();
  void OnSweepListed(const store::Listing& listing);
  void ProbeHolder(const FoundRecord& found);

  EntryContext& context;
  bool was_owner = false;
  bool sweep_open = false;
  core::TimePoint next_sweep;
  std::map<core::JobId, int> holder_failures;
};

}  // namespace hemlockdoor::entry
