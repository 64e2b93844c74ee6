// Reservation of capacity for a unit that waits for running work to end.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "modules/batch/planner/placement.h"

namespace hemlockdoor::batch {

/// Capacity that is expected to become free on a worker.
struct ExpectedRelease {
  core::TimePoint at;
  Resources freed;
};

/// Expected releases on the workers of agents, in the order of their time.
using ExpectedReleases = std::map<core::AgentId, std::vector<ExpectedRelease>>;

/// Workers that are kept for a unit, and when it is expected to start there.
struct Reservation {
  /// Agent of each task.
  std::vector<core::AgentId> agents;
  core::TimePoint start;
  /// Expected end, with the speeds of the workers.
  core::TimePoint end;
};

/// Finds the workers on which the unit is expected to end the soonest, if
/// running work ends as expected and nothing else starts there.
/// This is the reservation of EASY backfill (Lifka 1995), on sets of workers.
/// Honours racks like `FindPlacement`. Returns nullopt if the unit is not
/// expected to fit by `latest`.
std::optional<Reservation> FindReservation(const Fleet& fleet,
                                           const PlacementRequest& request,
                                           const ExpectedReleases& releases,
                                           core::TimePoint latest);

}  // namespace hemlockdoor::batch
