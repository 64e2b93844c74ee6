// Adaptive limit on the number of tasks on each worker.
#pragma once

#include <cstdint>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// Additive increase, multiplicative decrease: a refused start lowers the limit
/// of a worker to three quarters, but not below 1. As many successful tasks as
/// the limit raise it by one, up to the worker's number of slots.
class ConcurrencyLimit {
 public:
  /// Records a refused start; returns the new limit.
  int OnRefused(WorkerIndex worker, int limit);
  /// Records a successful task; returns the new limit, at most `slots`.
  int OnSuccess(WorkerIndex worker, int limit, int slots);

 private:
  std::vector<std::uint16_t> successes;
};

}  // namespace hemlockdoor::decide
