// Adaptive limit on the tasks of one worker.
#pragma once

#include <cstdint>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// Additive increase and multiplicative decrease: a refused start lowers a
/// worker's limit to three quarters, and as many good ends as the limit raise
/// it by one, up to its slots.
class ConcurrencyLimit {
 public:
  /// A start was refused; returns the new limit.
  int OnRefused(WorkerIndex worker, int limit);
  /// A task ended well; returns the new limit, at most `slots`.
  int OnSuccess(WorkerIndex worker, int limit, int slots);

 private:
  std::vector<std::uint16_t> successes;
};

}  // namespace hemlockdoor::decide
