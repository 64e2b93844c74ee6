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

/// Returns whether the objective counts from the acceptance of the job, which
/// means nothing for long-running tasks and scheduled occurrences.
bool HasObjective(const Job& job, int step) {
  const StepSpec& spec = job.record.spec.steps[static_cast<std::size_t>(step)];
  return !spec.long_running && job.record.spec.occurrences == 0;
}

int LongestChain(const Job& job) {
  const auto longest =
      std::max_element(job.chain_lengths.begin(), job.chain_lengths.end());
  return longest == job.chain_lengths.end() ? 0 : *longest;
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

}  // namespace hemlockdoor::batch
