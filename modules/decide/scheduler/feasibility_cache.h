// Tells whether a job can ever run on the workers cached.
#pragma once

#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// Remembers answers until a worker appears, vanishes or changes.
class FeasibilityCache {
 public:
  explicit FeasibilityCache(const Fleet& workers)
      : fleet(workers), placer(workers) {}

  /// False when no set of workers, idle, has room for the shape. Workers that
  /// vanished after `oldest_absence` count as present.
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
