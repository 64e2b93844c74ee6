// What the end of a job is worth to its caller, and what a delay costs.
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

/// Expected value of a job as a function of the start of one of its steps. The
/// run time is uncertain, so the value falls gradually around the objective.
class WorthCurve {
 public:
  /// Returns the expected value if the step starts at `start`.
  double At(core::TimePoint start) const;
  /// Returns the expected value that is lost if the start moves from `start` by
  /// `delay`.
  double DelayCost(core::TimePoint start, core::Duration delay) const {
    return this->At(start) - this->At(start + delay);
  }
  /// Returns the value of the job if it ends within its objective.
  double Full() const { return this->full; }

 private:
  friend class CallerCost;

  double full = 0.0;
  double late = 0.0;
  /// Expected run time of a task in milliseconds.
  double run_ms = 1.0;
  core::TimePoint accepted;
  /// The objective is this many run times longer than the rest of the job, plus
  /// `objective_ms`. The same for three times the objective.
  double objective_runs = 0.0;
  double late_limit_runs = 0.0;
  double objective_ms = 0.0;
  /// The job has no objective that counts from its acceptance: its value falls
  /// linearly with the start, without a lower bound.
  bool is_linear = false;
};

/// The value of jobs to their callers. It is the only measure by which work is
/// ordered, delayed, preempted or rejected.
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
  /// (long-running tasks, scheduled occurrences, queues without one) keeps its
  /// full value.
  double WorthIfStarted(const Job& job,
                        int step,
                        core::Duration run,
                        core::TimePoint start) const;
  /// Returns the expected value of the job by the start of `step`, if each task
  /// is expected to run for `run`.
  WorthCurve CurveOf(const Job& job, int step, core::Duration run) const;
  /// Returns the expected value that is lost if the start of `step` moves from
  /// `start` by `delay`.
  double DelayCost(const Job& job,
                   int step,
                   core::Duration run,
                   core::TimePoint start,
                   core::Duration delay) const {
    return this->CurveOf(job, step, run).DelayCost(start, delay);
  }

 private:
  /// Mean of the core-equivalents of the jobs of a queue.
  struct MeanShape {
    int jobs = 0;
    double core_equivalents = 0;
  };
  std::map<QueueName, MeanShape> shapes;
};

}  // namespace hemlockdoor::batch
