#include "modules/batch/planner/preemption_choice.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// Actual run times as multiples of the expected one, each equally likely: the
/// standard deviation of the logarithm is about 0.5.
constexpr double kRunTimeQuantiles[] = {0.5, 0.75, 1.0, 1.35, 2.0};
/// Mean work since the latest checkpoint: workers save one every 0.5 to 2 s.
constexpr core::Duration kWorkSinceCheckpoint =
    core::Duration::Milliseconds(1000);

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000.0;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

}  // namespace

double PreemptionChoice::ExpectedWorth(const Job& job,
                                       int step,
                                       core::Duration run,
                                       core::TimePoint start) const {
  double sum = 0.0;
  for (const double quantile : kRunTimeQuantiles) {
    const auto actual = core::Duration::Milliseconds(static_cast<std::int64_t>(
        quantile * static_cast<double>(run.InMilliseconds())));
    sum += this->cost->WorthIfStarted(job, step, actual, start);
  }
  return sum / static_cast<double>(std::size(kRunTimeQuantiles));
}

double PreemptionChoice::GainOf(const StartingUnit& starting,
                                core::TimePoint expected_start,
                                core::Duration slowdown,
                                core::TimePoint now) const {
  const core::TimePoint start = now + this->stop_time + slowdown;
  return this->ExpectedWorth(*starting.job, starting.step, starting.run,
                             start) -
         this->ExpectedWorth(*starting.job, starting.step, starting.run,
                             std::max(start, expected_start));
}

core::Duration PreemptionChoice::RepeatedRunTime(
    const RunningUnit& running) const {
  if (!running.job->StepOf(*running.unit).checkpoints) {
    return running.ran;
  }
  return std::min(running.ran, kWorkSinceCheckpoint);
}

PreemptionLoss PreemptionChoice::LossOf(const RunningUnit& running,
                                        double waiting_worth,
                                        core::TimePoint now) const {
  const Job& job = *running.job;
  const Unit& unit = *running.unit;
  const core::Duration repeated =
      this->RepeatedRunTime(running) +
      (unit.checkpoint.Text().empty() && !job.StepOf(unit).checkpoints
           ? core::Duration()
           : this->restore_time);
  const core::Duration wasted = repeated + this->stop_time;
  const double protection = 1.0 + unit.preemptions;
  // The run so far counts as if the unit had started that much earlier.
  const core::TimePoint start = now + running.remaining - running.run;
  PreemptionLoss loss;
  loss.capacity = CoreEquivalents(job.StepOf(unit).need) *
                  static_cast<double>(unit.size) * Seconds(wasted) *
                  waiting_worth * protection;
  loss.delay = (this->ExpectedWorth(job, unit.step, running.run, start) -
                this->ExpectedWorth(job, unit.step, running.run,
                                    start + wasted + running.wait)) *
               protection;
  return loss;
}

}  // namespace hemlockdoor::batch
