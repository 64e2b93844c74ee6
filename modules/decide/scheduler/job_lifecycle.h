// Moves jobs between their phases and keeps all counts in step.
#pragma once

#include "modules/decide/scheduler/scheduler_state.h"

namespace hemlockdoor::decide {

/// The only place where capacity, caps, fair share and queues change for a job.
class JobLifecycle {
 public:
  explicit JobLifecycle(SchedulerState& scheduler) : state(scheduler) {}

  /// Queues a job at the place of its sequence number.
  void Enqueue(JobHandle job);
  /// Takes a queued job out of its queue; the record stays.
  void Dequeue(JobHandle job);
  /// Gives places to a queued job and decides its start.
  void Grant(JobHandle job,
             std::vector<MemberPlace> places,
             core::TimePoint now);
  /// Gives a guarantee's cell to a queued job, and decides its start.
  void GrantCell(JobHandle job,
                 GuaranteeUse use,
                 CellHandle cell,
                 core::TimePoint now);
  /// Starts a job within a guarantee on capacity that no cell claims.
  void GrantOutsideCell(JobHandle job,
                        GuaranteeUse use,
                        std::vector<MemberPlace> places,
                        core::TimePoint now);
  /// Holds places for a queued job until the jobs there have left.
  void Hold(JobHandle job,
            std::vector<MemberPlace> places,
            std::optional<GuaranteeUse> use,
            CellHandle cell);
  /// Starts a job that holds its places.
  void GrantHeld(JobHandle job, core::TimePoint now);
  /// Gives up held places and queues the job again.
  void RequeueHeld(JobHandle job);
  /// Gives back all capacity of a job that is granted or running.
  void Release(JobHandle job, core::TimePoint now);
  /// Gives back what a job has and forgets it.
  void Remove(JobHandle job, core::TimePoint now);
  /// Drops a queued job with an answer for its caller.
  void Refuse(JobHandle job, RefusalKind kind, std::string reason);
  /// Counts an adopted job as running.
  void Adopt(JobHandle job, std::vector<MemberPlace> places);

 private:
  void DequeueAndCharge(JobHandle job);
  void Occupy(JobHandle job);
  void DecideStart(JobHandle job, core::TimePoint now);
  void EndCellUse(JobHandle job);
  void CountUse(const JobRecord& job, int sign);

  SchedulerState& state;
};

}  // namespace hemlockdoor::decide
