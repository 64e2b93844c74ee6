// Preempts running jobs, and starts the jobs that wait for their capacity.
#pragma once

#include "modules/decide/reclaim/reclaim_planner.h"
#include "modules/decide/scheduler/job_lifecycle.h"

namespace hemlockdoor::decide {

/// Preempts jobs, always all members together: a checkpointable job is asked
/// to write a checkpoint first, and stopped after a grace period.
class Preemption {
 public:
  explicit Preemption(SchedulerState& scheduler)
      : state(scheduler),
        lifecycle(scheduler),
        planner(scheduler.fleet, scheduler.jobs) {}

  /// Reclaims a cell of a guarantee for a queued job from the jobs that borrow
  /// it. Chooses the cell with the lowest preemption cost among a bounded
  /// number. False when no cell can be reclaimed.
  bool ReclaimCell(JobHandle job, GuaranteeUse use, core::TimePoint now);
  /// Holds places for a queued job and preempts the jobs there. False when a
  /// place is not usable or a job that must not be preempted runs there.
  bool ReclaimPlaces(JobHandle job,
                     const std::vector<MemberPlace>& places,
                     core::TimePoint now);
  /// Starts the jobs whose held places have become free. Queues a job again
  /// when its places have become unusable or its entry is over its caps.
  void StartReclaimed(core::TimePoint now);
  /// Starts the preemption of a job: by a checkpoint when the job is
  /// checkpointable and running, otherwise by a stop. `beneficiary` may be
  /// kNoJob.
  void Preempt(JobHandle victim, JobHandle beneficiary, core::TimePoint now);
  /// Requests the stop of a job whose grace period is over, or requests it
  /// again.
  void OnGraceExpired(JobHandle victim, core::TimePoint now);
  /// Moves a job that has run for the short limit to the long lane. When the
  /// long lane of a worker is then overfull, the job is preempted, or throttled
  /// if it must not be preempted.
  void OnOverrun(JobHandle job, core::TimePoint now);
  /// Preempts a stoppable job that has reached the run time limit of its entry.
  void OnMaxRun(JobHandle job, core::TimePoint now);

 private:
  /// Moves the chosen cell to other places when preemption costs less there.
  void MoveCellIfCheaper(const JobRecord& job,
                         GuaranteeUse use,
                         ReclaimChoice& best,
                         core::TimePoint now);
  /// Queues the jobs again that hold overlapping places outside of guarantees.
  void CancelHoldsAt(const std::vector<MemberPlace>& places);
  void PreemptAll(const ReclaimChoice& choice,
                  JobHandle beneficiary,
                  core::TimePoint now);
  void EmitPreemption(JobHandle victim,
                      PreemptMode mode,
                      core::Duration grace,
                      core::TimePoint now);

  SchedulerState& state;
  JobLifecycle lifecycle;
  ReclaimPlanner planner;
};

}  // namespace hemlockdoor::decide
