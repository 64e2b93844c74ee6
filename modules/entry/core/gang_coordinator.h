// The owner's part of starting a gang: reserve, commit to the lead, release.
#pragma once

#include <cstddef>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// Coordinates two-phase starts. The lead member is the commit point; after
/// `commit` was sent only the lead can tell what was decided.
class GangCoordinator {
 public:
  explicit GangCoordinator(EntryContext& shared) : context(shared) {}

  /// Asks every member for its reservation.
  void Reserve(Job& job);
  /// All members granted and the attempt is recorded: tells the lead.
  void Commit(const core::JobId& id);
  /// Gives back all reservations of an attempt that is not committed.
  void Release(Job& job);
  /// Repeats what got no answer.
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
