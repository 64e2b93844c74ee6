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

}  // namespace

core::Duration CriticalPathFrom(const JobSpec& spec,
                                int step,
                                core::Duration run) {
  core::Duration longest;
  for (std::size_t next = 0; next < spec.steps.size(); ++next) {
    const std::vector<int>& after = spec.steps[next].after;
    const bool follows =
        std::find(after.begin(), after.end(), step) != after.end();
    // A step depends on earlier steps only, so the recursion ends.
    if (follows && static_cast<int>(next) > step) {
      longest = std::max(longest,
                         CriticalPathFrom(spec, static_cast<int>(next), run));
    }
  }
  return run + longest;
}

core::Duration CriticalPath(const JobSpec& spec, core::Duration run) {
  core::Duration longest;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    longest =
        std::max(longest, CriticalPathFrom(spec, static_cast<int>(step), run));
  }
  return longest;
}

Lateness ExpectedLateness(const Job& job,
                          int step,
                          core::Duration run,
                          core::TimePoint start) {
  const JobSpec& spec = job.record.spec;
  const core::Duration chain = CriticalPath(spec, run);
  const core::Duration objective =
      core::Duration::Milliseconds(static_cast<std::int64_t>(
          job.record.slack_factor *
          static_cast<double>(chain.InMilliseconds()))) +
      job.record.objective;
  const core::Duration took = start + kStartAndRecordOverhead +
                              CriticalPathFrom(spec, step, run) - job.accepted;
  if (took <= objective) {
    return Lateness::kOnTime;
  }
  return took <= objective * kLateFactor ? Lateness::kLate : Lateness::kTooLate;
}

}  // namespace hemlockdoor::batch
