// Choice of the rule by which work waits when capacity is insufficient.
#pragma once

namespace hemlockdoor::batch {

/// Which work waits or is preempted when capacity is insufficient.
enum class OverloadPolicy {
  /// The work of the lower priority.
  kPriority,
  /// The work whose delay costs callers least, see `CallerCost`.
  kCallerCost,
};

}  // namespace hemlockdoor::batch
