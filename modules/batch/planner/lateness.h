// Expected completion of a job, compared with its objective.
#pragma once

#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// How late a job is expected to complete.
enum class Lateness {
  kOnTime,   ///< Within its objective.
  kLate,     ///< Within three times its objective; of reduced value.
  kTooLate,  ///< Later; the result has lost its value to the caller.
};

/// Returns the run time of the longest chain of dependent steps that begins
/// with `step`, if each task runs for `run`.
core::Duration CriticalPathFrom(const Job& job, int step, core::Duration run);

/// Returns the run time of the longest chain of dependent steps of the job.
core::Duration CriticalPath(const Job& job, core::Duration run);

/// Returns the latest start of a unit in `step` with which the job is expected
/// to complete within its objective, if each task runs for `run`.
core::TimePoint LatestStartInTime(const Job& job, int step, core::Duration run);

/// Returns the expected lateness of a job if its unit in `step` starts at
/// `start` and each task runs for `run`.
Lateness ExpectedLateness(const Job& job,
                          int step,
                          core::Duration run,
                          core::TimePoint start);

}  // namespace hemlockdoor::batch
