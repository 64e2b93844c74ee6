// How much work of the least urgent kind may run where it may be stopped.
#pragma once

#include <cstdint>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Accelerators that work may use which loses all it has done when it is
/// stopped. Each time such work was stopped for more urgent work the limit
/// falls below what was in use, and it rises again while none is stopped, as
/// the congestion window of a transport does. Answers swings of urgent work
/// that come faster than the narrow work which fills their gaps ends: without
/// it the same tasks are started and stopped time and again.
class LendingLimit {
 public:
  /// The fleet's accelerators, and those that such work uses now.
  void SetUse(std::int64_t fleet, std::int64_t used);
  /// Such work was started.
  void OnStarted(std::int64_t accelerators) { this->used += accelerators; }
  /// Such work is stopped for more urgent work.
  void OnStopped(core::TimePoint now);
  /// True when so many accelerators more may be used.
  bool Allows(std::int64_t accelerators, core::TimePoint now);

 private:
  void Grow(core::TimePoint now);

  std::int64_t fleet = 0;
  std::int64_t used = 0;
  /// Share of the fleet that may be used.
  double share = 1.0;
  core::TimePoint grown;
  core::TimePoint cut;
};

}  // namespace hemlockdoor::batch
