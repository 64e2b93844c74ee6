#include "modules/batch/planner/prospect.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// Up to this many times its objective a job is late and still of some use;
/// from the users' rules on credit.
constexpr std::int64_t kLateFactor = 3;
/// From a decision to the task's start, and from its end to the recorded end of
/// its job.
constexpr core::Duration kOverhead = core::Duration::Milliseconds(150);

}  // namespace

core::Duration ChainFrom(const JobSpec& spec, int step, core::Duration run) {
  core::Duration longest;
  for (std::size_t next = 0; next < spec.steps.size(); ++next) {
    const std::vector<int>& after = spec.steps[next].after;
    const bool follows =
        std::find(after.begin(), after.end(), step) != after.end();
    // Steps only come after earlier ones, so this ends.
    if (follows && static_cast<int>(next) > step) {
      longest = std::max(longest, ChainFrom(spec, static_cast<int>(next), run));
    }
  }
  return run + longest;
}

core::Duration LongestChain(const JobSpec& spec, core::Duration run) {
  core::Duration longest;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    longest = std::max(longest, ChainFrom(spec, static_cast<int>(step), run));
  }
  return longest;
}

Prospect ProspectAt(const Job& job,
                    int step,
                    core::Duration run,
                    core::TimePoint start) {
  const JobSpec& spec = job.record.spec;
  const core::Duration chain = LongestChain(spec, run);
  const core::Duration objective =
      core::Duration::Milliseconds(static_cast<std::int64_t>(
          job.record.slack_factor *
          static_cast<double>(chain.InMilliseconds()))) +
      job.record.objective;
  const core::Duration took =
      start + kOverhead + ChainFrom(spec, step, run) - job.accepted;
  if (took <= objective) {
    return Prospect::kInTime;
  }
  return took <= objective * kLateFactor ? Prospect::kLate : Prospect::kTooLate;
}

}  // namespace hemlockdoor::batch
