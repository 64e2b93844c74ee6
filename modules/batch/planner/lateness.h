// When a job ends, against its objective.
#pragma once

#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// What a job can still reach.
enum class Prospect {
  kInTime,   ///< Within its objective.
  kLate,     ///< Within three times its objective; callers gain little.
  kTooLate,  ///< Later; callers no longer wait for it.
};

/// Run time of the longest chain of steps that begins with `step`, when each
/// task runs for `run`.
core::Duration ChainFrom(const JobSpec& spec, int step, core::Duration run);

/// Longest chain over all steps.
core::Duration LongestChain(const JobSpec& spec, core::Duration run);

/// The prospect of a job whose unit in `step` begins at `start`, when its tasks
/// run for `run`.
Prospect ProspectAt(const Job& job,
                    int step,
                    core::Duration run,
                    core::TimePoint start);

}  // namespace hemlockdoor::batch
