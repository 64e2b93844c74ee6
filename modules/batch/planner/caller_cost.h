// What the end of a job is worth to its caller.
#pragma once

#include <map>

#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// Returns the run time of the longest chain of dependent steps that begins
/// with `step`, if each task runs for `run`.
core::Duration CriticalPathFrom(const Job& job, int step, core::Duration run);

/// Returns the run time of the longest chain of dependent steps of the job.
core::Duration CriticalPath(const Job& job, core::Duration run);

/// Returns the latest start of a unit in `step` with which the job is expected
/// to complete within its objective, if each task runs for `run`.
core::TimePoint LatestStartInTime(const Job& job, int step, core::Duration run);

/// Returns the resources of all tasks of the job, in core-equivalents.
double TotalCoreEquivalents(const JobSpec& spec);

/// The value of jobs to their callers, by which the order of starts counts late
/// jobs and admission finds those without value.
class CallerCost {
 public:
  /// Includes a job in the mean work of its queue.
  void AddJob(const Job& job);

  /// Returns the value of the job if it ends within its objective: the value of
  /// its priority, times 0.3 plus 0.7 of its work relative to the mean of its
  /// queue, at most 4 times.
  double FullWorth(const Job& job) const;
  /// Returns the value of the job if it ends at `end` and each task runs for
  /// `run`: full within its objective, reduced within three times its
  /// objective, then 0.
  double WorthAt(const Job& job, core::Duration run, core::TimePoint end) const;
  /// Returns the value of the job if `step` starts at `start` and each task
  /// runs for `run`. Work without an objective that counts from its acceptance
  /// (long-running tasks, scheduled occurrences) keeps its full value.
  double WorthIfStarted(const Job& job,
                        int step,
                        core::Duration run,
                        core::TimePoint start) const;

 private:
  /// Mean of the core-equivalents of the jobs of a queue.
  struct MeanShape {
    int jobs = 0;
    double core_equivalents = 0;
  };
  std::map<QueueName, MeanShape> shapes;
};

}  // namespace hemlockdoor::batch
