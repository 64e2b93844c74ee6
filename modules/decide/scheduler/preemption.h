// Takes capacity back from running jobs, and starts what waits for it.
#pragma once

#include "modules/decide/reclaim/reclaim_planner.h"
#include "modules/decide/scheduler/job_lifecycle.h"

namespace hemlockdoor::decide {

/// Checkpoints, then stops, whole gangs.
class Preemption {
 public:
  explicit Preemption(SchedulerState& scheduler)
      : state(scheduler),
        lifecycle(scheduler),
        planner(scheduler.fleet, scheduler.jobs) {}

  /// Reclaims the cheapest lent cell of a guarantee for a queued job; false
  /// when none can be reclaimed.
  bool ReclaimCell(JobHandle job, GuaranteeUse use, core::TimePoint now);
  /// Holds places for a queued job and stops the jobs there. False when work
  /// that may not be stopped is in the way.
  bool ReclaimPlaces(JobHandle job,
                     const std::vector<MemberPlace>& places,
                     core::TimePoint now);
  /// Starts jobs whose held places are free by now.
  void StartReclaimed(core::TimePoint now);
  /// Asks a job to leave: checkpoint first when it can, else stop.
  void Preempt(JobHandle victim, JobHandle beneficiary, core::TimePoint now);
  /// The grace of a job is over: stop it, or ask again.
  void OnGraceExpired(JobHandle victim, core::TimePoint now);
  /// A task of the short lane has become long; it loses its place when the
  /// long lane is full.
  void OnOverrun(JobHandle job, core::TimePoint now);
  /// A job has reached the longest run time of its entry.
  void OnMaxRun(JobHandle job, core::TimePoint now);

 private:
  /// Moves the chosen cell when its shape has a cheaper place elsewhere.
  void MoveCellIfCheaper(const JobRecord& job,
                         GuaranteeUse use,
                         ReclaimChoice& best,
                         core::TimePoint now);
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
