// When running work is stopped so that other work can start.
#pragma once

#include <map>

#include "modules/batch/planner/caller_cost.h"
#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// Upper bound on the time from the order to stop a task until its capacity is
/// free; the deployments set limits of up to 900 ms.
inline constexpr core::Duration kMaxStopTime =
    core::Duration::Milliseconds(1000);
/// Expected time from a preemption until the capacity is free. Work that is
/// expected to end within this time is not stopped.
inline constexpr core::Duration kExpectedStopTime =
    core::Duration::Milliseconds(600);

/// A unit that runs, as seen when a stop of it is weighed.
struct RunningUnit {
  const Job* job = nullptr;
  const Unit* unit = nullptr;
  /// Expected value of its job by the start of its step.
  WorthCurve worth;
  /// Expected run time from the beginning, and until it ends.
  core::Duration run;
  core::Duration remaining;
};

/// Value that is lost by a stop of a unit.
struct PreemptionLoss {
  /// Share of the job's value for the work that is repeated, which takes
  /// capacity from other work.
  double repeated_work = 0.0;
  /// Cost of the delay of the job. Lost once if several units of the job are
  /// stopped, which then are delayed together.
  double delay = 0.0;

  double Total() const { return this->repeated_work + this->delay; }
};

/// Weighs the gain of a unit that would start earlier against the loss of those
/// that would be stopped for it. Both are in the unit of `CallerCost`.
class PreemptionPolicy {
 public:
  /// A unit started for which its job had waited.
  void OnStarted(int priority, core::Duration waited);
  /// Returns the time for which a stopped unit is expected to wait until it
  /// starts again.
  core::Duration ExpectedWait(int priority) const;

  /// Returns the expected run time that the unit repeats if it is stopped now:
  /// all of it without checkpoints, otherwise the work since the latest
  /// checkpoint and the time to restore it.
  core::Duration RepeatedRunTime(const RunningUnit& running,
                                 core::TimePoint now) const;
  /// Returns the value lost by a stop of the unit. Grows with each preemption
  /// of the unit.
  PreemptionLoss LossOf(const RunningUnit& running, core::TimePoint now) const;
  /// Returns the value gained by a unit with `worth` if it starts after stops
  /// now, instead of at `expected_start`. `slowdown` is by how much longer it
  /// runs on the workers where runs are stopped than on one of factor 1.0.
  double GainOf(const WorthCurve& worth,
                core::TimePoint expected_start,
                core::Duration slowdown,
                core::TimePoint now) const;

 private:
  /// Moving average of the waiting times, in milliseconds, by priority.
  std::map<int, double> waits_ms;
};

}  // namespace hemlockdoor::batch
