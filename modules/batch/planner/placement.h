// Where the tasks of a unit go.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

using Fleet = std::map<core::AgentId, AgentView>;

/// What is asked of a placement.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  core::ServiceName service;
  int size = 1;
  int priority = 0;
  const std::set<WorkerId>* avoided = nullptr;
  /// Tasks of the step that are on each worker already.
  std::map<core::AgentId, int> present;
  /// Capacity kept for this very unit, which it may use.
  const std::map<core::AgentId, Resources>* own_reserved = nullptr;
  /// A worker outside the rack of the data, or a gang over several racks, is
  /// acceptable although it makes the tasks several times slower.
  bool accept_remote = false;
  core::TimePoint now;
};

/// Something that may be stopped to make room.
struct Victim {
  Job* job = nullptr;
  Unit* unit = nullptr;
  /// Core-seconds that stopping it throws away.
  double cost = 0.0;
};

/// A placement with the units to be stopped first.
struct PreemptingPlacement {
  std::vector<core::AgentId> agents;
  std::vector<Victim> victims;
  /// Core-seconds that are thrown away.
  double cost = 0.0;
};

/// Finds workers for all tasks of a unit: in the rack of the data where there
/// is one, a gang that wants one rack in one rack, and otherwise on the workers
/// with the fewest accelerators left over, so that whole workers stay free for
/// wide tasks. Nothing when they do not fit now.
std::optional<std::vector<core::AgentId>> FindPlacement(
    const Fleet& fleet,
    const PlacementRequest& request);

/// As `FindPlacement` where `victims` may be stopped: goes task by task to the
/// worker where the least is thrown away.
std::optional<PreemptingPlacement> FindPreemptingPlacement(
    const Fleet& fleet,
    const PlacementRequest& request,
    const std::vector<Victim>& victims);

/// True when the unit could run at full speed on the empty fleet: in the rack
/// of its data, or a gang that wants one rack in one.
bool CouldFitNear(const Fleet& fleet, const PlacementRequest& request);

}  // namespace hemlockdoor::batch
