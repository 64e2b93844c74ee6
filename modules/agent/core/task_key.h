// Identity of one task.
#pragma once

#include <compare>

#include "modules/core/core.h"

namespace hemlockdoor::agent {

/// One member of one attempt; the unit that starts and ends on an upstream.
struct TaskKey {
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;

  auto operator<=>(const TaskKey&) const = default;
};

/// One attempt, of all members.
struct AttemptKey {
  core::JobId job;
  core::AttemptNumber attempt;

  auto operator<=>(const AttemptKey&) const = default;
};

}  // namespace hemlockdoor::agent
