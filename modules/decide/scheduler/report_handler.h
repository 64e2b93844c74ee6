// Takes in what is reported of workers and of jobs that were started.
#pragma once

#include "modules/decide/scheduler/submission_handler.h"

namespace hemlockdoor::decide {

/// Reports about started jobs, and the workers' state that follows from them.
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
  /// A start was not reported in time: it counts nothing from now on.
  void OnGrantTimeout(JobHandle job, core::TimePoint now);
  /// Readies workers whose quarantine is over for a trial.
  void BeginTrials(core::TimePoint now);

 private:
  void OnWorkerUnusable(WorkerIndex worker);
  void OnWorkerUsable(WorkerIndex worker);
  void CountFailure(const JobRecord& job,
                    WorkerIndex worker,
                    core::TimePoint now);
  void CountSuccess(const JobRecord& job, core::TimePoint now);
  void WakeAll();
  /// Takes back the capacity of a start that lapsed, when it is still free.
  bool ReviveTimedOutGrant(JobHandle job);

  SchedulerState& state;
  JobLifecycle lifecycle;
};

}  // namespace hemlockdoor::decide
