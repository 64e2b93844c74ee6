// Finds workers for jobs without accelerators.
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// The requirements of a job that uses one slot for each member and no
/// accelerators.
struct SlotRequest {
  model::GangShape shape;
  ServiceIndex service = 0;
  Lane lane = Lane::kShort;
  CapacityView view = CapacityView::kUncommitted;
  /// Workers that a single task avoids when others have room; gangs ignore
  /// them. Null for none.
  const std::vector<WorkerIndex>* excluded = nullptr;
};

/// Places single tasks on the workers with the most free slots, which balances
/// the load. Among workers with equally many free slots and the same services
/// the choice is random, so that several entries do not all choose the same
/// worker.
class SlotPlacer {
 public:
  SlotPlacer(const Fleet& workers, std::uint64_t seed)
      : fleet(workers), random(seed) {}

  /// Returns the places of all members, or nothing when the job does not fit.
  std::optional<std::vector<MemberPlace>> Find(const SlotRequest& request);

 private:
  std::optional<WorkerIndex> FindOne(const SlotRequest& request);
  std::optional<std::vector<MemberPlace>> FindGang(const SlotRequest& request);

  const Fleet& fleet;
  std::mt19937_64 random;
};

}  // namespace hemlockdoor::decide
