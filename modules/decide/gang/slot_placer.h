// Finds workers for work without accelerators.
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// Work that takes one slot for each member and no accelerators.
struct SlotRequest {
  model::GangShape shape;
  ServiceIndex service = 0;
  Lane lane = Lane::kShort;
  CapacityView view = CapacityView::kUncommitted;
  /// Workers to avoid when others have room.
  const std::vector<WorkerIndex>* excluded = nullptr;
};

/// Spreads tasks over the workers with the most free slots. Among equals it
/// draws by random, so that several entries do not all choose the same worker.
class SlotPlacer {
 public:
  SlotPlacer(const Fleet& workers, std::uint64_t seed)
      : fleet(workers), random(seed) {}

  std::optional<std::vector<MemberPlace>> Find(const SlotRequest& request);

 private:
  std::optional<WorkerIndex> FindOne(const SlotRequest& request);
  std::optional<std::vector<MemberPlace>> FindGang(const SlotRequest& request);

  const Fleet& fleet;
  std::mt19937_64 random;
};

}  // namespace hemlockdoor::decide
