// Starts gangs on behalf of the planning owner: reserve, commit, release.
#pragma once

#include <cstddef>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// Coordinates the two-phase start of a gang. The lead, member 0, is the commit
/// point: once `commit` has been sent, only the lead knows whether the gang
/// started.
class GangCoordinator {
 public:
  explicit GangCoordinator(EntryContext& shared) : context(shared) {}

  /// Requests a reservation from every member.
  void Reserve(Job& job);
  /// Sends `commit` to the lead, after all members have granted their
  /// reservations and, for a durable job, the attempt has been recorded.
  /// Releases the reservations instead when the job is cancelled, the start
  /// window is over or this entry is no longer the planning owner.
  void Commit(const core::JobId& id);
  /// Releases all reservations of an attempt that is not committed. A lead that
  /// has not committed then aborts for good.
  void Release(Job& job);
  /// Repeats commits and releases that got no answer.
  void OnTick(Job& job);

 private:
  void SendReserve(Job& job, std::size_t member);
  void OnReserveAnswer(const core::JobId& id,
                       core::AttemptNumber number,
                       std::size_t member,
                       const core::Expected<wire::HttpResponse>& answer);
  void OnReserveRefused(Job& job, std::size_t member, std::string reason);
  void OnAllGranted(Job& job);
  void OnCommitAnswer(const core::JobId& id,
                      core::AttemptNumber number,
                      const core::Expected<wire::HttpResponse>& answer);
  void SendRelease(Job& job, std::size_t member);
  void OnReleaseAnswer(const core::JobId& id,
                       core::AttemptNumber number,
                       std::size_t member,
                       const core::Expected<wire::HttpResponse>& answer);
  void CheckReleased(Job& job);

  EntryContext& context;
};

}  // namespace hemlockdoor::entry
