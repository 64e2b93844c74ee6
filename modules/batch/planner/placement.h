// Placement of the tasks of a unit on workers.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"
#include "modules/batch/planner/worker_speeds.h"

namespace hemlockdoor::batch {

using Fleet = std::map<core::AgentId, AgentView>;

/// Requirements of the unit to be placed.
struct PlacementRequest {
  const StepSpec* step = nullptr;
  /// Service that the worker must belong to.
  core::ServiceName service;
  /// Number of tasks.
  int size = 1;
  int priority = 0;
  /// Workers that are ranked behind others; nullptr if there are none.
  const std::set<WorkerId>* avoided_workers = nullptr;
  /// Workers that may hold copies of earlier starts of the unit are preferred;
  /// nullptr if there are none.
  const std::vector<OpenStart>* open_starts = nullptr;
  /// Number of tasks of the step that each worker already has.
  std::map<core::AgentId, int> placed_tasks;
  /// Capacity that is reserved for this unit, so that it may use it.
  const std::map<core::AgentId, Resources>* own_reservation = nullptr;
  /// Allows workers outside of the rack with the input data, and a gang spread
  /// over several racks, although the tasks then run several times slower.
  bool allow_remote = false;
  /// Allows workers that are suspended after failed runs. They are ranked
  /// behind others.
  bool use_suspended = false;
  /// Speeds of the workers; nullptr stands for a homogeneous fleet.
  const WorkerSpeeds* speeds = nullptr;
  /// Expected run time of a task on a worker with a time factor of 1.0.
  core::Duration run_time;
  /// Time that the unit may lose before its job becomes late, if it starts now
  /// on a worker with a time factor of 1.0.
  core::Duration slack;
  core::TimePoint now;
};

/// A unit that may be preempted to free capacity.
struct Victim {
  Job* job = nullptr;
  Unit* unit = nullptr;
  /// What is lost if it is stopped: core-seconds of work, or value with the
  /// overload policy `kCallerCost`.
  double cost = 0.0;
  /// Part of `cost` that is lost once if several units of the job are stopped.
  double shared_cost = 0.0;
};

/// A placement that requires units to be preempted first.
struct PreemptingPlacement {
  /// Agent of each task.
  std::vector<core::AgentId> agents;
  std::vector<Victim> victims;
  /// Total cost of the victims. The shared costs of a job count once.
  double cost = 0.0;
};

/// Finds workers for all tasks of a unit in the free capacity (best fit).
/// A step with a rack for its input data is placed in this rack, and a gang
/// with `same_rack` in a single rack, unless `allow_remote` permits others.
/// Among the workers that fit, those on which the job becomes late, avoided
/// workers and those with failing jobs come last. Fast workers come first for
/// urgent work, and slow ones for work with time to spare. Those with the
/// smallest share of accelerators left free come next, so that whole workers
/// stay free for wide tasks. A gang runs at the pace of its slowest member: it
/// is not spread over speeds if it fits on workers of about the same one.
/// Returns the agent of each task, or nullopt if the tasks do not fit now.
std::optional<std::vector<core::AgentId>> FindPlacement(
    const Fleet& fleet,
    const PlacementRequest& request);

/// Like `FindPlacement`, but may also preempt units from `victims`. Greedy:
/// places each task in turn on the worker where the least work is lost. Returns
/// the cheapest placement over the permitted racks, or nullopt if there is
/// none.
std::optional<PreemptingPlacement> FindPreemptingPlacement(
    const Fleet& fleet,
    const PlacementRequest& request,
    const std::vector<Victim>& victims);

/// Returns whether the job is expected not to become late if the unit starts
/// now on workers with time factors of up to `time_factor`.
bool IsInTime(const PlacementRequest& request, double time_factor);

/// Returns true if some worker is suspended, and the unit would not fit on
/// those that are not, even if they were idle.
bool NeedsSuspendedWorkers(const Fleet& fleet, const PlacementRequest& request);

/// Returns true if the unit would fit without `allow_remote`, that is, at full
/// speed, if all workers outside of evacuated data centres were idle.
bool CouldFitLocally(const Fleet& fleet, const PlacementRequest& request);

/// Returns true if the unit would fit in the room that is free now if starts
/// could be given to all workers that are not draining or lost.
bool FitsInFreeRoom(const Fleet& fleet, const PlacementRequest& request);

}  // namespace hemlockdoor::batch
