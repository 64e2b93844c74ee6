#include "modules/batch/planner/lateness.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// A job that takes up to this many times its objective is late but still earns
/// credit, according to the users' rules.
constexpr std::int64_t kLateFactor = 3;
/// Time from a decision to the start of the task, plus the time from the end of
/// the task to the stored end of the job.
constexpr core::Duration kStartAndRecordOverhead =
    core::Duration::Milliseconds(150);

/// Returns the time from acceptance in which the job is expected to complete.
core::Duration ObjectiveOf(const Job& job, core::Duration run) {
  const core::Duration chain = CriticalPath(job, run);
  return core::Duration::Milliseconds(static_cast<std::int64_t>(
             job.record.slack_factor *
             static_cast<double>(chain.InMilliseconds()))) +
         job.record.objective;
}

}  // namespace

core::Duration CriticalPathFrom(const Job& job, int step, core::Duration run) {
  return run * job.chain_lengths[static_cast<std::size_t>(step)];
}

core::Duration CriticalPath(const Job& job, core::Duration run) {
  const auto longest =
      std::max_element(job.chain_lengths.begin(), job.chain_lengths.end());
  return longest == job.chain_lengths.end() ? core::Duration() : run * *longest;
}

core::TimePoint LatestStartInTime(const Job& job,
                                  int step,
                                  core::Duration run) {
  return job.accepted + ObjectiveOf(job, run) - kStartAndRecordOverhead -
         CriticalPathFrom(job, step, run);
}

Lateness ExpectedLateness(const Job& job,
                          int step,
                          core::Duration run,
                          core::TimePoint start) {
  const core::Duration objective = ObjectiveOf(job, run);
  const core::Duration took = start + kStartAndRecordOverhead +
                              CriticalPathFrom(job, step, run) - job.accepted;
  if (took <= objective) {
    return Lateness::kOnTime;
  }
  return took <= objective * kLateFactor ? Lateness::kLate : Lateness::kTooLate;
}

}  // namespace hemlockdoor::batch
