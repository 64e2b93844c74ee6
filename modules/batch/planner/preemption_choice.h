// Gain and loss of a preemption, in value to callers.
#pragma once

#include "modules/batch/planner/caller_cost.h"
#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// A unit for which others may be stopped.
struct StartingUnit {
  const Job* job = nullptr;
  int step = 0;
  /// Expected run time of a task on a worker of factor 1.0.
  core::Duration run;
};

/// A unit that may be stopped.
struct RunningUnit {
  const Job* job = nullptr;
  const Unit* unit = nullptr;
  /// Expected run time of a task where it runs, and the rest of it.
  core::Duration run;
  core::Duration remaining;
  /// Time since its present run has started.
  core::Duration ran;
  /// Expected wait until it starts again.
  core::Duration wait;
};

/// Value that is lost by a preemption.
struct PreemptionLoss {
  /// Value of the capacity that is wasted.
  double capacity = 0.0;
  /// Value that the job of the unit loses by the delay. It counts once for
  /// several units of a job, which are delayed together.
  double delay = 0.0;

  double Total() const { return this->capacity + this->delay; }
};

/// Weighs the gain of a start against the loss of the units that are stopped
/// for it. It addresses bursts of urgent gangs on fleets where a preemption
/// costs the stop, the restore and the work since the latest checkpoint.
class PreemptionChoice {
 public:
  /// `restore` is the time that a task needs to resume from a checkpoint,
  /// `stop` the longest time that a stop takes.
  PreemptionChoice(const CallerCost& caller_cost,
                   core::Duration restore,
                   core::Duration stop)
      : cost(&caller_cost), restore_time(restore), stop_time(stop) {}

  /// Returns the value gained if the unit starts after a stop now, on workers
  /// where a task takes longer by `slowdown`, instead of at `expected_start`.
  double GainOf(const StartingUnit& starting,
                core::TimePoint expected_start,
                core::Duration slowdown,
                core::TimePoint now) const;

  /// Returns the value lost if the unit is stopped now. Grows with each
  /// preemption of the unit. `waiting_worth` is the value of a core-second of
  /// the waiting work, to which wasted capacity is lost.
  PreemptionLoss LossOf(const RunningUnit& running,
                        double waiting_worth,
                        core::TimePoint now) const;

 private:
  /// Returns the run time that the unit has to repeat.
  core::Duration RepeatedRunTime(const RunningUnit& running) const;
  /// Returns the expected value of the job by the start of the step. Run times
  /// are uncertain, so it falls gradually around the objective.
  double ExpectedWorth(const Job& job,
                       int step,
                       core::Duration run,
                       core::TimePoint start) const;

  const CallerCost* cost;
  core::Duration restore_time;
  core::Duration stop_time;
};

}  // namespace hemlockdoor::batch
