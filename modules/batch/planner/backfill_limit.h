// Limit on backfill work that loses its progress when it is preempted.
#pragma once

#include <cstdint>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Limits the accelerators in use by backfill tasks without checkpoints, which
/// lose all progress when they are preempted. The limit decreases
/// multiplicatively to below the current use when such a task is preempted, and
/// increases linearly with time, like a congestion window (AIMD). It guards
/// against urgent load that rises and falls faster than backfill tasks end:
/// without the limit the same tasks are started and preempted again and again.
class BackfillLimit {
 public:
  /// Sets the number of accelerators in the fleet, and of those that
  /// uncheckpointed backfill tasks use now.
  void SetUsage(std::int64_t fleet, std::int64_t used);
  /// Adds a task that was started since the last call of SetUsage.
  void OnStarted(std::int64_t accelerators) { this->used += accelerators; }
  /// Lowers the limit because a task is preempted. Further preemptions within
  /// half a second have no effect.
  void OnPreempted(core::TimePoint now);
  /// Returns true if a task with this number of accelerators may be started.
  bool Allows(std::int64_t accelerators, core::TimePoint now);

 private:
  /// Raises the limit for the time since the last call.
  void Grow(core::TimePoint now);

  std::int64_t fleet = 0;
  std::int64_t used = 0;
  /// The limit, as a share of the fleet's accelerators from 0 to 1.
  double share = 1.0;
  core::TimePoint last_growth;
  /// Time of the last decrease.
  core::TimePoint last_cut;
};

}  // namespace hemlockdoor::batch
