// Tells whether a job could ever run on the known workers.
#pragma once

#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// Caches feasibility answers. They expire when a worker appears, vanishes or
/// changes its shape, and after 30 s.
class FeasibilityCache {
 public:
  explicit FeasibilityCache(const Fleet& workers)
      : fleet(workers), placer(workers) {}

  /// False when no set of workers would have room for the shape even if all
  /// were idle. Workers that have been absent only since `oldest_absence` or
  /// later count as present.
  bool CouldEverFit(const model::GangShape& shape,
                    ServiceIndex service,
                    core::TimePoint oldest_absence);

 private:
  struct CachedAnswer {
    model::GangShape shape;
    ServiceIndex service = 0;
    bool fits = false;
  };

  const Fleet& fleet;
  GangPlacer placer;
  std::vector<CachedAnswer> answers;
  std::uint64_t shape_generation = 0;
  core::TimePoint cached_oldest_absence;
};

}  // namespace hemlockdoor::decide
