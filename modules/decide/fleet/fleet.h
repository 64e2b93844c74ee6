// The workers of a scheduler: which of their capacity is used, claimed, held or
// reserved, and indexes that find free capacity without scanning all workers.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/adjacency.h"
#include "modules/decide/fleet/bucket_index.h"
#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// Index of a job in the scheduler's job table.
using JobHandle = std::uint32_t;
inline constexpr JobHandle kNoJob = std::numeric_limits<JobHandle>::max();
/// Index of a cell, the place of one guaranteed gang, in `GuaranteeCells`.
using CellHandle = std::uint32_t;
inline constexpr CellHandle kNoCell = std::numeric_limits<CellHandle>::max();
/// Index of a service in the fleet.
using ServiceIndex = std::uint32_t;
/// Index of a group: all workers that offer exactly the same set of services.
using ServiceGroup = std::uint32_t;

/// Which capacity counts as free. No view counts capacity that is held for a
/// job or used by tasks that this scheduler did not place.
enum class CapacityView : std::uint8_t {
  kUncommitted,  ///< Idle, and neither claimed for a guarantee nor reserved.
  kUnreserved,   ///< Idle and not reserved; a guarantee may claim it.
  kIdle,         ///< Idle; it may be claimed for a guarantee or reserved.
  kClaimable,    ///< Idle or used by preemptible work, and not claimed yet.
};
inline constexpr std::size_t kCapacityViews = 4;

/// Run time class of a job. Long jobs may not use the slots that each worker
/// keeps for short jobs.
enum class Lane : std::uint8_t { kShort, kLong };

/// The place of one member of a job: one slot of a worker, and accelerators.
struct MemberPlace {
  WorkerIndex worker = 0;
  model::AcceleratorSet accelerators;
  bool operator==(const MemberPlace&) const = default;
};

/// Properties of a running task that decide how the fleet accounts for it.
struct TaskKind {
  /// The task may not be preempted, or it runs within a guarantee.
  bool nonpreemptible = false;
  Lane lane = Lane::kShort;
  /// The task uses accelerators.
  bool accelerators = false;
};

/// One worker and the use of its capacity.
struct WorkerRecord {
  core::AgentId agent;
  model::WorkerShape shape;
  ServiceGroup service_group = 0;
  std::uint32_t rack = 0;
  bool present = false;
  bool draining = false;
  bool quarantined = false;
  core::TimePoint absent_since;
  model::AcceleratorSet all;
  /// Used by running tasks that this scheduler placed.
  model::AcceleratorSet used;
  /// The part of `used` whose tasks are not preemptible, see `TaskKind`.
  model::AcceleratorSet nonpreemptible;
  /// Used by tasks that this scheduler did not place.
  model::AcceleratorSet foreign;
  /// Claimed by unused guarantees, see `Fleet::Claim`.
  model::AcceleratorSet claimed;
  /// Promised to jobs that wait for other jobs to stop, see `Fleet::Hold`.
  model::AcceleratorSet held;
  /// Reserved for large gangs, see `Fleet::Reserve`.
  model::AcceleratorSet reserved;
  int used_slots = 0;
  int nonpreemptible_slots = 0;
  int long_slots = 0;
  /// Slots of long tasks without accelerators.
  int cpu_only_long_slots = 0;
  int foreign_slots = 0;
  int claimed_slots = 0;
  int held_slots = 0;
  int reserved_slots = 0;
  /// Adaptive limit on concurrent tasks; at most `shape.slots`.
  int concurrency_limit = 0;
  /// Slots kept for short tasks.
  int short_reserve = 0;
  /// Further slots that long tasks without accelerators may not use: each
  /// member with accelerators also needs a slot on the same worker.
  int accelerator_reserve = 0;
  std::vector<JobHandle> jobs;
  /// Cells with members on this worker; a cell appears once for each of them.
  std::vector<CellHandle> cells;

  /// Returns true when the scheduler may place tasks on this worker.
  bool Usable() const {
    return this->present && !this->draining && !this->quarantined;
  }
  AcceleratorBlocks Blocks() const {
    return {this->shape.accelerators, this->shape.accelerators_per_group};
  }
  /// Returns the accelerators that are free in a view.
  model::AcceleratorSet FreeAccelerators(CapacityView view) const;
  /// Returns the number of slots that are free in a view for tasks of a lane;
  /// kClaimable ignores the lane. Negative when more slots are taken than the
  /// view allows.
  int FreeSlots(CapacityView view, Lane lane) const;
  /// As `FreeSlots` for long tasks, for those without accelerators.
  int FreeCpuOnlyLongSlots(CapacityView view) const;
  /// Returns the number of slots that no running task uses, including held
  /// ones.
  int IdleSlots() const {
    return this->shape.slots - this->used_slots - this->foreign_slots;
  }
};

/// The workers of a scheduler. All changes to their records go through this
/// class, so that the indexes stay consistent. Workers are never removed: one
/// that vanishes is marked absent and keeps its index.
class Fleet {
 public:
  /// Keeps `reserve_percent` of each worker's slots for short jobs.
  explicit Fleet(int reserve_percent)
      : short_reserve_percent(reserve_percent) {}

  /// Adds a worker or updates its shape, and marks it as present.
  WorkerIndex Upsert(const core::AgentId& agent,
                     const model::WorkerShape& shape);
  /// Sets the capacity that tasks use which this scheduler did not place.
  void SetForeign(WorkerIndex worker,
                  int slots,
                  model::AcceleratorSet accelerators);
  void SetDraining(WorkerIndex worker, bool draining);
  void SetQuarantined(WorkerIndex worker, bool quarantined);
  void SetConcurrencyLimit(WorkerIndex worker, int limit);
  /// Marks a worker as absent and clears its foreign capacity.
  void SetAbsent(WorkerIndex worker, core::TimePoint now);

  /// Counts a task as running; none of its accelerators may be used yet.
  void Occupy(const MemberPlace& place, JobHandle job, TaskKind kind);
  /// Reverses `Occupy`, with the task's current kind.
  void Release(const MemberPlace& place, JobHandle job, TaskKind kind);
  /// Marks accelerators and a number of slots as needed for an unused
  /// guarantee.
  void Claim(const MemberPlace& place, int slots);
  void Unclaim(const MemberPlace& place, int slots);
  /// Marks capacity as promised to a job that waits for other jobs to stop.
  void Hold(const MemberPlace& place);
  void Unhold(const MemberPlace& place);
  /// Marks capacity as reserved for a large gang; preemptible jobs may backfill
  /// it.
  void Reserve(const MemberPlace& place);
  void Unreserve(const MemberPlace& place);
  /// Counts a running task as long from now on. `accelerators` tells whether
  /// the task uses accelerators.
  void MoveToLongLane(WorkerIndex worker, bool accelerators);
  /// Changes whether a running task counts as nonpreemptible.
  void SetNonpreemptible(const MemberPlace& place, bool nonpreemptible);
  void AddCell(WorkerIndex worker, CellHandle cell);
  void RemoveCell(WorkerIndex worker, CellHandle cell);

  const WorkerRecord& At(WorkerIndex worker) const {
    return this->workers[worker];
  }
  std::optional<WorkerIndex> Find(const core::AgentId& agent) const;
  std::size_t Count() const { return this->workers.size(); }
  /// A counter that increases when a worker appears, vanishes or changes its
  /// shape.
  std::uint64_t ShapeGeneration() const { return this->shape_generation; }

  /// Returns the workers with cells whose use changed since the last call; a
  /// worker may appear more than once.
  std::vector<WorkerIndex> TakeChangedCellWorkers();

  /// Returns the index of a service; adds the service when it is unknown.
  ServiceIndex ServiceOf(const core::ServiceName& service);
  /// Returns the groups whose workers offer a service.
  const std::vector<ServiceGroup>& GroupsOffering(ServiceIndex service) const {
    return this->groups_by_service[service];
  }
  /// Returns the number of groups; their indexes are 0 to `GroupCount()` - 1.
  std::size_t GroupCount() const { return this->groups.size(); }
  bool Offers(WorkerIndex worker, ServiceIndex service) const;

  /// Returns the index of a group's workers by the number of free accelerators,
  /// or, with `adjacent`, by the longest run of adjacent ones. Workers without
  /// a free slot for a long task are left out.
  const BucketIndex& AcceleratorIndex(ServiceGroup group,
                                      CapacityView view,
                                      bool adjacent) const;
  /// Returns the index of a group's workers by their free slots, for tasks
  /// without accelerators. There is no such index for kClaimable.
  const BucketIndex& SlotIndex(ServiceGroup group,
                               CapacityView view,
                               Lane lane) const;
  /// Returns the number of slots of usable workers that short tasks of a
  /// service can use, free or used by other short tasks.
  int ShortSlots(ServiceIndex service) const;
  std::size_t RackCount() const { return this->racks.size(); }
  const std::vector<WorkerIndex>& RackWorkers(std::size_t rack) const {
    return this->racks[rack].workers;
  }
  /// Returns how many accelerators of the usable workers of a rack are free in
  /// a view.
  int RackFreeAccelerators(std::size_t rack, CapacityView view) const {
    return this->racks[rack].free[static_cast<std::size_t>(view)];
  }
  /// Returns the number of accelerators of all usable workers.
  int TotalAccelerators() const { return this->usable_accelerators; }
  /// Returns how many accelerators of all usable workers are free in a view.
  int FreeAccelerators(CapacityView view) const;

 private:
  struct Rack {
    std::vector<WorkerIndex> workers;
    /// Free accelerators of the usable workers, by view.
    std::array<int, kCapacityViews> free{};
  };
  struct Group {
    std::vector<ServiceIndex> services;
    /// By view, then by whether the accelerators must be adjacent.
    std::array<std::array<BucketIndex, 2>, kCapacityViews> accelerators;
    /// By view other than kClaimable, then by lane.
    std::array<std::array<BucketIndex, 2>, 3> slots;
    int short_slots = 0;
  };

  /// Updates all indexes and sums after a change to a worker's record.
  void Reindex(WorkerIndex worker);
  /// Removes a worker from all indexes and sums.
  void Unindex(WorkerIndex worker);
  /// Returns the group of a set of services; adds one when there is none.
  ServiceGroup GroupOf(const std::vector<core::ServiceName>& services);
  /// Returns the index of a worker's rack, which the data centre and the rack
  /// name identify; adds the rack when it is unknown.
  std::uint32_t RackOf(const model::WorkerShape& shape);

  int short_reserve_percent;
  std::vector<WorkerRecord> workers;
  /// A worker's contribution to the sums of its rack, its group and the fleet.
  struct IndexedTotals {
    std::array<std::uint8_t, kCapacityViews> free{};
    std::int16_t short_slots = 0;
    std::uint8_t accelerators = 0;
  };
  /// By worker; subtracted when the worker changes.
  std::vector<IndexedTotals> indexed_totals;
  std::unordered_map<core::AgentId, WorkerIndex> by_agent;
  std::unordered_map<std::string, std::uint32_t> rack_numbers;
  std::unordered_map<core::ServiceName, ServiceIndex> service_numbers;
  /// By service: the groups that offer it.
  std::vector<std::vector<ServiceGroup>> groups_by_service;
  std::vector<Group> groups;
  std::vector<Rack> racks;
  std::vector<WorkerIndex> changed_cell_workers;
  std::uint64_t shape_generation = 0;
  int usable_accelerators = 0;
};

}  // namespace hemlockdoor::decide
