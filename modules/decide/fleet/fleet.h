// The workers, what of them is used, claimed, held or reserved, and indexes
// that find capacity without a scan.
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

/// A job in the scheduler's job table.
using JobHandle = std::uint32_t;
inline constexpr JobHandle kNoJob = std::numeric_limits<JobHandle>::max();
/// A guaranteed shape in the cell table.
using CellHandle = std::uint32_t;
inline constexpr CellHandle kNoCell = std::numeric_limits<CellHandle>::max();
/// A service by its number in the fleet.
using ServiceIndex = std::uint32_t;
/// A set of services that some worker offers, by its number.
using ServiceGroup = std::uint32_t;

/// Which capacity counts as free.
enum class CapacityView : std::uint8_t {
  kUncommitted,  ///< Free, and needed by no guarantee and no reservation.
  kUnreserved,   ///< Free now, maybe needed by a guarantee later.
  kIdle,  ///< Free now, maybe needed by a guarantee or a reservation later.
  kClaimable,  ///< Free, or used by work that may be stopped; no other claim.
};
inline constexpr std::size_t kCapacityViews = 4;

/// Run time class of work; long work may not use slots kept for short work.
enum class Lane : std::uint8_t { kShort, kLong };

/// Where one member lies.
struct MemberPlace {
  WorkerIndex worker = 0;
  model::AcceleratorSet accelerators;
  bool operator==(const MemberPlace&) const = default;
};

/// How a running task counts on its worker.
struct TaskKind {
  /// May not be stopped, or runs within a guarantee.
  bool nonpreemptible = false;
  Lane lane = Lane::kShort;
  /// Uses accelerators.
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
  model::AcceleratorSet used;
  model::AcceleratorSet nonpreemptible;
  model::AcceleratorSet foreign;
  model::AcceleratorSet claimed;
  model::AcceleratorSet held;
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
  /// Adaptive limit on tasks at once; never above `shape.slots`.
  int concurrency_limit = 0;
  /// Slots that long work may not take.
  int short_reserve = 0;
  /// Slots that long work without accelerators may not take either: each
  /// member with accelerators needs a slot next to them.
  int accelerator_reserve = 0;
  std::vector<JobHandle> jobs;
  /// Cells with a member here; one mention for each member.
  std::vector<CellHandle> cells;

  bool Usable() const {
    return this->present && !this->draining && !this->quarantined;
  }
  AcceleratorBlocks Blocks() const {
    return {this->shape.accelerators, this->shape.accelerators_per_group};
  }
  /// Accelerators free in a view.
  model::AcceleratorSet FreeAccelerators(CapacityView view) const;
  /// Slots free in a view, for work of a lane (kClaimable ignores the lane).
  int FreeSlots(CapacityView view, Lane lane) const;
  /// As `FreeSlots` for long work, for tasks without accelerators.
  int FreeCpuOnlyLongSlots(CapacityView view) const;
  /// Slots that no running task uses, held or not.
  int IdleSlots() const {
    return this->shape.slots - this->used_slots - this->foreign_slots;
  }
};

/// The fleet. All changes go through it, so that the indexes stay true.
class Fleet {
 public:
  /// `reserve_percent` of each worker's slots are kept for short work.
  explicit Fleet(int reserve_percent)
      : short_reserve_percent(reserve_percent) {}

  /// Adds a worker or updates its shape and state.
  WorkerIndex Upsert(const core::AgentId& agent,
                     const model::WorkerShape& shape);
  void SetForeign(WorkerIndex worker,
                  int slots,
                  model::AcceleratorSet accelerators);
  void SetDraining(WorkerIndex worker, bool draining);
  void SetQuarantined(WorkerIndex worker, bool quarantined);
  void SetConcurrencyLimit(WorkerIndex worker, int limit);
  void SetAbsent(WorkerIndex worker, core::TimePoint now);

  /// Counts a task as running; its accelerators must not be used yet.
  void Occupy(const MemberPlace& place, JobHandle job, TaskKind kind);
  void Release(const MemberPlace& place, JobHandle job, TaskKind kind);
  /// Marks capacity as needed by an unused guaranteed shape.
  void Claim(const MemberPlace& place, int slots);
  void Unclaim(const MemberPlace& place, int slots);
  /// Marks capacity as promised to a job that waits for others to stop.
  void Hold(const MemberPlace& place);
  void Unhold(const MemberPlace& place);
  /// Marks capacity as kept for a large gang; stoppable work may fill it.
  void Reserve(const MemberPlace& place);
  void Unreserve(const MemberPlace& place);
  /// Counts a running task as long from now on.
  void MoveToLongLane(WorkerIndex worker, bool accelerators);
  /// Counts a running task as work that may or may not be stopped.
  void SetNonpreemptible(const MemberPlace& place, bool nonpreemptible);
  void AddCell(WorkerIndex worker, CellHandle cell);
  void RemoveCell(WorkerIndex worker, CellHandle cell);

  const WorkerRecord& At(WorkerIndex worker) const {
    return this->workers[worker];
  }
  std::optional<WorkerIndex> Find(const core::AgentId& agent) const;
  std::size_t Count() const { return this->workers.size(); }
  /// Rises when a worker appears, vanishes or changes its shape.
  std::uint64_t ShapeGeneration() const { return this->shape_generation; }

  /// Workers with cells whose use changed since the last call.
  std::vector<WorkerIndex> TakeChangedCellWorkers();

  /// Number of a service; makes one for a new name.
  ServiceIndex ServiceOf(const core::ServiceName& service);
  /// Groups of workers that offer a service.
  const std::vector<ServiceGroup>& GroupsOffering(ServiceIndex service) const {
    return this->offering[service];
  }
  /// All groups, for shapes that name no service.
  std::size_t GroupCount() const { return this->groups.size(); }
  bool Offers(WorkerIndex worker, ServiceIndex service) const;

  /// Workers by count of free accelerators, or by longest adjacent run.
  const BucketIndex& AcceleratorIndex(ServiceGroup group,
                                      CapacityView view,
                                      bool adjacent) const;
  /// Workers by free slots; `view` is any but kClaimable.
  const BucketIndex& SlotIndex(ServiceGroup group,
                               CapacityView view,
                               Lane lane) const;
  /// Slots of usable workers that short work of a service can use now or when
  /// other short work ends.
  int ShortSlots(ServiceIndex service) const;
  std::size_t RackCount() const { return this->racks.size(); }
  const std::vector<WorkerIndex>& RackWorkers(std::size_t rack) const {
    return this->racks[rack].workers;
  }
  /// Accelerators of usable workers of a rack that are free in a view.
  int RackFreeAccelerators(std::size_t rack, CapacityView view) const {
    return this->racks[rack].free[static_cast<std::size_t>(view)];
  }
  /// Accelerators of usable workers, all of them and the free ones.
  int TotalAccelerators() const { return this->usable_accelerators; }
  int FreeAccelerators(CapacityView view) const;

 private:
  struct Rack {
    std::vector<WorkerIndex> workers;
    std::array<int, kCapacityViews> free{};
  };
  struct Group {
    std::vector<ServiceIndex> services;
    std::array<std::array<BucketIndex, 2>, kCapacityViews> accelerators;
    std::array<std::array<BucketIndex, 2>, 3> slots;
    int short_slots = 0;
  };

  void Reindex(WorkerIndex worker);
  void Unindex(WorkerIndex worker);
  ServiceGroup GroupOf(const std::vector<core::ServiceName>& services);
  std::uint32_t RackOf(const model::WorkerShape& shape);

  int short_reserve_percent;
  std::vector<WorkerRecord> workers;
  struct Counted {
    std::array<std::uint8_t, kCapacityViews> free{};
    std::int16_t short_slots = 0;
    std::uint8_t accelerators = 0;
  };
  /// What was last added to the sums of the worker's rack and group.
  std::vector<Counted> counted;
  std::unordered_map<core::AgentId, WorkerIndex> by_agent;
  std::unordered_map<std::string, std::uint32_t> rack_numbers;
  std::unordered_map<core::ServiceName, ServiceIndex> service_numbers;
  std::vector<std::vector<ServiceGroup>> offering;
  std::vector<Group> groups;
  std::vector<Rack> racks;
  std::vector<WorkerIndex> changed_cell_workers;
  std::uint64_t shape_generation = 0;
  int usable_accelerators = 0;
};

}  // namespace hemlockdoor::decide
