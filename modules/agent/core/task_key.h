// Keys of tasks and attempts.
#pragma once

#include <compare>

#include "modules/core/core.h"

namespace hemlockdoor::agent {

/// Identifies a task: one member of one attempt, the unit that starts and ends
/// on an upstream.
struct TaskKey {
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;

  auto operator<=>(const TaskKey&) const = default;
};

/// Identifies an attempt of a job with all its members. Where a comment says
/// so, attempt 0 stands for every attempt of the job.
struct AttemptKey {
  core::JobId job;
  core::AttemptNumber attempt;

  auto operator<=>(const AttemptKey&) const = default;
};

}  // namespace hemlockdoor::agent
