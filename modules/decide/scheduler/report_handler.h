// Handles reports about workers and about started jobs.
#pragma once

#include "modules/decide/scheduler/submission_handler.h"

namespace hemlockdoor::decide {

/// Applies reports about workers and started jobs to the scheduler's state,
/// including worker health, concurrency limits and the retry budget.
class ReportHandler {
 public:
  explicit ReportHandler(SchedulerState& scheduler)
      : state(scheduler), lifecycle(scheduler) {}

  void UpsertWorker(const WorkerView& view, core::TimePoint now);
  void RemoveWorker(const core::AgentId& agent, core::TimePoint now);
  void Adopt(const RunningJob& running, core::TimePoint now);
  void OnStarted(const core::JobId& id, core::TimePoint now);
  void OnStartRefused(const core::JobId& id,
                      const core::AgentId& agent,
                      core::TimePoint now);
  void OnEnded(const core::JobId& id,
               model::JobOutcome outcome,
               const std::optional<core::AgentId>& failed_on,
               core::TimePoint now);
  /// Releases the capacity of a granted job whose start was not reported in
  /// time, and requests its stop.
  void OnGrantTimeout(JobHandle job, core::TimePoint now);
  /// Lists the workers that may get a trial job now.
  void BeginTrials(core::TimePoint now);

 private:
  void OnWorkerUnusable(WorkerIndex worker);
  void OnWorkerUsable(WorkerIndex worker);
  void CountFailure(const JobRecord& job,
                    WorkerIndex worker,
                    core::TimePoint now);
  void CountSuccess(const JobRecord& job, core::TimePoint now);
  void WakeAll();
  /// Counts a job as running whose start was reported after the grant timeout,
  /// when its places are still free. Otherwise returns false.
  bool ReviveTimedOutGrant(JobHandle job);

  SchedulerState& state;
  JobLifecycle lifecycle;
};

}  // namespace hemlockdoor::decide
