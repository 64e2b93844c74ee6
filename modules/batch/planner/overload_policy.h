// Choice of the rule by which running work is stopped for other work.
#pragma once

namespace hemlockdoor::batch {

/// Which work may be preempted when capacity is insufficient.
enum class OverloadPolicy {
  /// Work of a lower priority, up to a multiple of the work that starts.
  kPriority,
  /// Work of a lower priority whose callers lose less value than those of the
  /// work that starts gain, see `PreemptionChoice`.
  kCallerCost,
};

}  // namespace hemlockdoor::batch
