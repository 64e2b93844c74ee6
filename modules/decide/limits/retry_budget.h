// Limit on retries as a share of the work that goes well.
#pragma once

#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// A token bucket for each service: a good end adds a fraction of a token, and
/// a retry of a failed job takes one. When most work fails, retries stop and do
/// not multiply the load. A slow refill lets long work, which seldom ends,
/// retry too.
class RetryBudget {
 public:
  void OnSuccess(ServiceIndex service);
  /// Takes a token; false when there is none.
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
