#include "modules/batch/planner/preemption_policy.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// Time to restore a checkpoint; between 100 and 600 ms on the deployments.
constexpr core::Duration kRestoreTime = core::Duration::Milliseconds(600);
/// Time between checkpoints as long as no run of the unit has reported two;
/// between 0.5 and 2 s on the deployments.
constexpr core::Duration kAssumedCheckpointInterval =
    core::Duration::Seconds(2);
/// Time to start a task again without a checkpoint.
constexpr core::Duration kRestartTime = core::Duration::Milliseconds(300);
/// Weight of a new waiting time in the moving average.
constexpr double kWaitAverageWeight = 0.05;

double InMs(core::Duration duration) {
  return static_cast<double>(duration.InMilliseconds());
}

}  // namespace

void PreemptionPolicy::OnStarted(int priority, core::Duration waited) {
  const auto [found, is_new] =
      this->waits_ms.try_emplace(priority, InMs(waited));
  if (!is_new) {
    found->second += kWaitAverageWeight * (InMs(waited) - found->second);
  }
}

core::Duration PreemptionPolicy::ExpectedWait(int priority) const {
  const auto found = this->waits_ms.find(priority);
  return found == this->waits_ms.end()
             ? core::Duration()
             : core::Duration::Milliseconds(
                   static_cast<std::int64_t>(found->second));
}

core::Duration PreemptionPolicy::RepeatedRunTime(const RunningUnit& running,
                                                 core::TimePoint now) const {
  const Unit& unit = *running.unit;
  const core::Duration ran = now - unit.members.front().since;
  if (!running.job->StepOf(unit).checkpoints) {
    return ran + kRestartTime;
  }
  // Some workers save the progress of a task that is stopped, others do not; a
  // gang whose members stop one after the other does not have it saved either.
  return std::min(ran, kAssumedCheckpointInterval / 2) + kRestoreTime;
}

PreemptionLoss PreemptionPolicy::LossOf(const RunningUnit& running,
                                        core::TimePoint now) const {
  const Job& job = *running.job;
  const Unit& unit = *running.unit;
  const core::Duration repeated = this->RepeatedRunTime(running, now);
  const double work = CoreEquivalents(job.StepOf(unit).need) *
                      static_cast<double>(unit.size) * InMs(repeated);
  const double total =
      TotalCoreEquivalents(job.record.spec) * std::max(1.0, InMs(running.run));
  const core::TimePoint equivalent_start =
      now + running.remaining - running.run;
  const core::Duration delay =
      repeated + kExpectedStopTime + this->ExpectedWait(job.record.priority);
  const double protection = 1.0 + unit.preemptions;
  return {running.worth.Full() * work / total * protection,
          running.worth.DelayCost(equivalent_start, delay) * protection};
}

double PreemptionPolicy::GainOf(const WorthCurve& worth,
                                core::TimePoint expected_start,
                                core::Duration slowdown,
                                core::TimePoint now) const {
  const core::TimePoint start = now + kExpectedStopTime + slowdown;
  return worth.DelayCost(start,
                         std::max(expected_start - start, core::Duration()));
}

}  // namespace hemlockdoor::batch
