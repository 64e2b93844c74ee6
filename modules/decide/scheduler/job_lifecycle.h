// Phase changes of jobs, with the accounting that belongs to them.
#pragma once

#include "modules/decide/scheduler/scheduler_state.h"

namespace hemlockdoor::decide {

/// Moves jobs between phases. Capacity, caps, fair share and queues change for
/// a job only here, so that their counts stay consistent.
class JobLifecycle {
 public:
  explicit JobLifecycle(SchedulerState& scheduler) : state(scheduler) {}

  /// Queues a job at the position of its sequence number.
  void Enqueue(JobHandle job);
  /// Removes a queued job from its queue and drops its reservation; the record
  /// stays.
  void Dequeue(JobHandle job);
  /// Starts a queued job on places outside of guarantees.
  void Grant(JobHandle job,
             std::vector<MemberPlace> places,
             core::TimePoint now);
  /// Starts a queued job in a cell of a guarantee.
  void GrantCell(JobHandle job,
                 GuaranteeUse use,
                 CellHandle cell,
                 core::TimePoint now);
  /// Starts a queued job within a guarantee, but on capacity that no cell
  /// claims.
  void GrantOutsideCell(JobHandle job,
                        GuaranteeUse use,
                        std::vector<MemberPlace> places,
                        core::TimePoint now);
  /// Holds places for a queued job until the jobs that run there have ended.
  /// With `use`, the job gets `cell` of that guarantee.
  void Hold(JobHandle job,
            std::vector<MemberPlace> places,
            std::optional<GuaranteeUse> use,
            CellHandle cell);
  /// Starts a job on the places that are held for it.
  void GrantHeld(JobHandle job, core::TimePoint now);
  /// Releases the places held for a job and queues the job again.
  void RequeueHeld(JobHandle job);
  /// Releases all capacity of a granted or running job, and corrects the
  /// fair-share charge from the expected to the actual run time.
  void Release(JobHandle job, core::TimePoint now);
  /// Releases the queue position or capacity of a job and deletes its record.
  void Remove(JobHandle job, core::TimePoint now);
  /// Drops a queued job and emits a refuse decision.
  void Refuse(JobHandle job, RefusalKind kind, std::string reason);
  /// Counts a job as running on places where it has been started already.
  void Adopt(JobHandle job, std::vector<MemberPlace> places);

 private:
  /// Removes a job from its queue, counts its use of the caps and charges its
  /// expected work.
  void DequeueAndCharge(JobHandle job);
  void Occupy(JobHandle job);
  void DecideStart(JobHandle job, core::TimePoint now);
  void EndCellUse(JobHandle job);
  void CountUse(const JobRecord& job, int sign);

  SchedulerState& state;
};

}  // namespace hemlockdoor::decide
