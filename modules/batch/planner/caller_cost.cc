#include "modules/batch/planner/caller_cost.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// A job that takes up to this many times its objective is late but still has a
/// reduced value, according to the users' rules.
constexpr std::int64_t kLateFactor = 3;
/// Time from a decision to the start of the task, plus the time from the end of
/// the task to the stored end of the job.
constexpr core::Duration kStartAndRecordOverhead =
    core::Duration::Milliseconds(150);
/// Value of a job of mean work that ends within its objective, and of one that
/// ends late, by priority, according to the users' rules. Further priorities
/// are valued like the last one.
struct PriorityWorth {
  double full;
  double late;
};
constexpr PriorityWorth kPriorityWorth[] = {{4, 0.8}, {3, 0.9}, {1, 0.3}};
/// Value of a job that needs no work, that of each multiple of the queue's mean
/// work, and the highest value, according to the users' rules.
constexpr double kFixedWorth = 0.3;
constexpr double kWorthOfMeanWork = 0.7;
constexpr double kMaxRelativeWorth = 4.0;
/// Weight of a new job in the moving average of a queue's work, once there are
/// enough jobs; the first ones are averaged evenly.
constexpr double kMeanShapeWeight = 0.02;

const PriorityWorth& WorthOfPriority(int priority) {
  constexpr int kLast = static_cast<int>(std::size(kPriorityWorth)) - 1;
  return kPriorityWorth[std::clamp(priority, 0, kLast)];
}

/// Returns the time from acceptance in which the job is expected to complete.
core::Duration ObjectiveOf(const Job& job, core::Duration run) {
  const core::Duration chain = CriticalPath(job, run);
  return core::Duration::Milliseconds(static_cast<std::int64_t>(
             job.record.slack_factor *
             static_cast<double>(chain.InMilliseconds()))) +
         job.record.objective;
}

/// Returns whether the job has an objective that counts from its acceptance.
/// That means nothing for long-running tasks and scheduled occurrences, and a
/// queue without a configured objective allows its jobs no time at all.
bool HasObjective(const Job& job, int step) {
  const StepSpec& spec = job.record.spec.steps[static_cast<std::size_t>(step)];
  const bool is_configured =
      job.record.slack_factor > 1.0 || job.record.objective > core::Duration();
  return is_configured && !spec.long_running &&
         job.record.spec.occurrences == 0;
}

int LongestChain(const Job& job) {
  const auto longest =
      std::max_element(job.chain_lengths.begin(), job.chain_lengths.end());
  return longest == job.chain_lengths.end() ? 0 : *longest;
}

/// Returns the probability that a run takes at least `ms`. Run times are taken
/// as log-logistic with shape 4, which is close to a log-normal distribution
/// with a standard deviation of the logarithm of 0.45.
double ProbabilityOfRun(double ms, double run_ms) {
  if (ms <= 0) {
    return 1.0;
  }
  const double ratio = ms / run_ms;
  const double square = ratio * ratio;
  return 1.0 / (1.0 + square * square);
}

}  // namespace

core::Duration CriticalPathFrom(const Job& job, int step, core::Duration run) {
  return run * job.chain_lengths[static_cast<std::size_t>(step)];
}

core::Duration CriticalPath(const Job& job, core::Duration run) {
  return run * LongestChain(job);
}

core::TimePoint LatestStartInTime(const Job& job,
                                  int step,
                                  core::Duration run) {
  return job.accepted + ObjectiveOf(job, run) - kStartAndRecordOverhead -
         CriticalPathFrom(job, step, run);
}

double TotalCoreEquivalents(const JobSpec& spec) {
  double total = 0.0;
  for (const StepSpec& step : spec.steps) {
    total += CoreEquivalents(step.need) * static_cast<double>(step.count);
  }
  return total;
}

double WorthCurve::At(core::TimePoint start) const {
  const auto waited =
      static_cast<double>((start - this->accepted).InMilliseconds());
  if (this->is_linear) {
    return this->full * (1.0 - waited / (static_cast<double>(kLateFactor) *
                                         (this->run_ms + this->objective_ms)));
  }
  const auto share = [this](double wait_ms, double runs) {
    if (runs <= 0) {
      return wait_ms <= 0 ? 1.0 : 0.0;
    }
    return ProbabilityOfRun(wait_ms / runs, this->run_ms);
  };
  return this->late * share(waited - this->objective_ms * kLateFactor,
                            this->late_limit_runs) +
         (this->full - this->late) *
             share(waited - this->objective_ms, this->objective_runs);
}

void CallerCost::AddJob(const Job& job) {
  MeanShape& mean = this->shapes[job.record.queue];
  ++mean.jobs;
  const double weight = std::max(kMeanShapeWeight, 1.0 / mean.jobs);
  mean.core_equivalents +=
      weight * (TotalCoreEquivalents(job.record.spec) - mean.core_equivalents);
}

double CallerCost::FullWorth(const Job& job) const {
  // The run time of a job is known only as the average of its queue, so jobs of
  // a queue differ by their tasks alone.
  const auto found = this->shapes.find(job.record.queue);
  const double relative =
      found == this->shapes.end() || found->second.core_equivalents <= 0
          ? 1.0
          : TotalCoreEquivalents(job.record.spec) /
                found->second.core_equivalents;
  return WorthOfPriority(job.record.priority).full *
         std::min(kMaxRelativeWorth, kFixedWorth + kWorthOfMeanWork * relative);
}

double CallerCost::WorthAt(const Job& job,
                           core::Duration run,
                           core::TimePoint end) const {
  const core::Duration objective = ObjectiveOf(job, run);
  const core::Duration took = end - job.accepted;
  const double full = this->FullWorth(job);
  if (took <= objective) {
    return full;
  }
  const PriorityWorth& worth = WorthOfPriority(job.record.priority);
  return took <= objective * kLateFactor ? full * worth.late / worth.full : 0.0;
}

double CallerCost::WorthIfStarted(const Job& job,
                                  int step,
                                  core::Duration run,
                                  core::TimePoint start) const {
  return HasObjective(job, step)
             ? this->WorthAt(job, run,
                             start + kStartAndRecordOverhead +
                                 CriticalPathFrom(job, step, run))
             : this->FullWorth(job);
}

WorthCurve CallerCost::CurveOf(const Job& job,
                               int step,
                               core::Duration run) const {
  const PriorityWorth& worth = WorthOfPriority(job.record.priority);
  const double chain = job.record.slack_factor * LongestChain(job);
  const double rest = job.chain_lengths[static_cast<std::size_t>(step)];
  WorthCurve curve;
  curve.full = this->FullWorth(job);
  curve.late = curve.full * worth.late / worth.full;
  curve.run_ms = std::max(1.0, static_cast<double>(run.InMilliseconds()));
  curve.accepted = job.accepted - kStartAndRecordOverhead;
  curve.objective_runs = chain - rest;
  curve.late_limit_runs = static_cast<double>(kLateFactor) * chain - rest;
  curve.objective_ms =
      static_cast<double>(job.record.objective.InMilliseconds());
  curve.is_linear = !HasObjective(job, step);
  return curve;
}

}  // namespace hemlockdoor::batch
