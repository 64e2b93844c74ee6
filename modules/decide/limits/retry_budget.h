// Limits retries to a share of the successful jobs.
#pragma once

#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// A token bucket for each service: a successful job adds a fraction of a
/// token, and a retry of a failed job takes one. When most jobs fail, retries
/// run out and do not multiply the load. A slow refill over time also allows
/// retries of long jobs, which rarely end.
class RetryBudget {
 public:
  /// Records a successful job of a service.
  void OnSuccess(ServiceIndex service);
  /// Takes a token for a retry; false when none is left.
  bool TryTake(ServiceIndex service, core::TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    core::TimePoint refilled_at;
  };
  Bucket& At(ServiceIndex service);

  std::vector<Bucket> buckets;
};

}  // namespace hemlockdoor::decide
