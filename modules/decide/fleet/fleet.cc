#include "modules/decide/fleet/fleet.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

using model::AcceleratorSet;

namespace {

constexpr std::size_t Index(CapacityView view) {
  return static_cast<std::size_t>(view);
}

constexpr std::size_t Index(Lane lane) {
  return static_cast<std::size_t>(lane);
}

constexpr int kPercent = 100;

/// Erases one occurrence of a value that must be present; does not keep the
/// order.
template <typename Value>
void EraseOne(std::vector<Value>& values, Value value) {
  const auto found = std::find(values.begin(), values.end(), value);
  HD_ASSERT(found != values.end());
  *found = values.back();
  values.pop_back();
}

}  // namespace

AcceleratorSet WorkerRecord::FreeAccelerators(CapacityView view) const {
  const AcceleratorSet assignable =
      this->all.Without(this->foreign.Union(this->held));
  switch (view) {
    case CapacityView::kUncommitted:
      return assignable.Without(
          this->used.Union(this->claimed).Union(this->reserved));
    case CapacityView::kUnreserved:
      return assignable.Without(this->used.Union(this->reserved));
    case CapacityView::kIdle:
      return assignable.Without(this->used);
    case CapacityView::kClaimable:
      return assignable.Without(this->nonpreemptible.Union(this->claimed));
  }
  return {};
}

int WorkerRecord::FreeSlots(CapacityView view, Lane lane) const {
  const int unclaimed = this->shape.slots - this->nonpreemptible_slots -
                        this->foreign_slots - this->claimed_slots -
                        this->held_slots;
  if (view == CapacityView::kClaimable) {
    return unclaimed;
  }
  const int slot_limit = std::min(this->shape.slots, this->concurrency_limit);
  int free =
      slot_limit - this->used_slots - this->foreign_slots - this->held_slots;
  if (lane == Lane::kLong) {
    free = std::min(free, this->shape.slots - this->short_reserve -
                              this->long_slots - this->held_slots);
  }
  if (view == CapacityView::kUnreserved) {
    free -= this->reserved_slots;
  }
  if (view == CapacityView::kUncommitted) {
    free = std::min(free, unclaimed - this->reserved_slots);
  }
  return free;
}

int WorkerRecord::FreeCpuOnlyLongSlots(CapacityView view) const {
  return std::min(this->FreeSlots(view, Lane::kLong),
                  this->shape.slots - this->short_reserve -
                      this->accelerator_reserve - this->cpu_only_long_slots);
}

WorkerIndex Fleet::Upsert(const core::AgentId& agent,
                          const model::WorkerShape& shape) {
  const auto [place, inserted] = this->by_agent.try_emplace(
      agent, static_cast<WorkerIndex>(this->workers.size()));
  const WorkerIndex index = place->second;
  if (inserted) {
    this->workers.emplace_back();
    this->workers.back().agent = agent;
    this->indexed_totals.emplace_back();
  }
  WorkerRecord& worker = this->workers[index];
  if (worker.present && worker.shape == shape) {
    return index;
  }
  if (!inserted) {
    this->Unindex(index);
    EraseOne(this->racks[worker.rack].workers, index);
  }
  // A limit that has not been lowered follows the number of slots.
  const bool same_limit = worker.concurrency_limit == worker.shape.slots;
  worker.shape = shape;
  if (inserted || same_limit || worker.concurrency_limit > shape.slots) {
    worker.concurrency_limit = shape.slots;
  }
  worker.short_reserve = (shape.slots * this->short_reserve_percent) / kPercent;
  worker.accelerator_reserve =
      std::min(shape.accelerators, worker.short_reserve);
  worker.all = AcceleratorSet::First(shape.accelerators);
  worker.service_group = this->GroupOf(shape.services);
  worker.rack = this->RackOf(shape);
  this->racks[worker.rack].workers.push_back(index);
  worker.present = true;
  ++this->shape_generation;
  this->Reindex(index);
  return index;
}

void Fleet::SetForeign(WorkerIndex index,
                       int slots,
                       AcceleratorSet accelerators) {
  WorkerRecord& worker = this->workers[index];
  worker.foreign_slots = slots;
  worker.foreign = accelerators;
  this->Reindex(index);
}

void Fleet::SetDraining(WorkerIndex index, bool draining) {
  this->workers[index].draining = draining;
  this->Reindex(index);
}

void Fleet::SetQuarantined(WorkerIndex index, bool quarantined) {
  this->workers[index].quarantined = quarantined;
  this->Reindex(index);
}

void Fleet::SetConcurrencyLimit(WorkerIndex index, int limit) {
  this->workers[index].concurrency_limit = limit;
  this->Reindex(index);
}

void Fleet::SetAbsent(WorkerIndex index, core::TimePoint now) {
  WorkerRecord& worker = this->workers[index];
  worker.present = false;
  worker.absent_since = now;
  worker.foreign_slots = 0;
  worker.foreign = {};
  ++this->shape_generation;
  this->Reindex(index);
}

void Fleet::Occupy(const MemberPlace& place, JobHandle job, TaskKind kind) {
  WorkerRecord& worker = this->workers[place.worker];
  HD_ASSERT(!worker.used.Intersects(place.accelerators));
  worker.used = worker.used.Union(place.accelerators);
  worker.used_slots += 1;
  if (kind.nonpreemptible) {
    worker.nonpreemptible = worker.nonpreemptible.Union(place.accelerators);
    worker.nonpreemptible_slots += 1;
  }
  worker.long_slots += kind.lane == Lane::kLong ? 1 : 0;
  worker.cpu_only_long_slots +=
      kind.lane == Lane::kLong && !kind.accelerators ? 1 : 0;
  worker.jobs.push_back(job);
  this->Reindex(place.worker);
}

void Fleet::Release(const MemberPlace& place, JobHandle job, TaskKind kind) {
  WorkerRecord& worker = this->workers[place.worker];
  HD_ASSERT(worker.used.Contains(place.accelerators));
  worker.used = worker.used.Without(place.accelerators);
  worker.used_slots -= 1;
  if (kind.nonpreemptible) {
    worker.nonpreemptible = worker.nonpreemptible.Without(place.accelerators);
    worker.nonpreemptible_slots -= 1;
  }
  worker.long_slots -= kind.lane == Lane::kLong ? 1 : 0;
  worker.cpu_only_long_slots -=
      kind.lane == Lane::kLong && !kind.accelerators ? 1 : 0;
  EraseOne(worker.jobs, job);
  this->Reindex(place.worker);
}

void Fleet::Claim(const MemberPlace& place, int slots) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.claimed = worker.claimed.Union(place.accelerators);
  worker.claimed_slots += slots;
  this->Reindex(place.worker);
}

void Fleet::Unclaim(const MemberPlace& place, int slots) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.claimed = worker.claimed.Without(place.accelerators);
  worker.claimed_slots -= slots;
  this->Reindex(place.worker);
}

void Fleet::Hold(const MemberPlace& place) {
  WorkerRecord& worker = this->workers[place.worker];
  HD_ASSERT(!worker.held.Intersects(place.accelerators));
  worker.held = worker.held.Union(place.accelerators);
  worker.held_slots += 1;
  this->Reindex(place.worker);
}

void Fleet::Unhold(const MemberPlace& place) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.held = worker.held.Without(place.accelerators);
  worker.held_slots -= 1;
  this->Reindex(place.worker);
}

void Fleet::Reserve(const MemberPlace& place) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.reserved = worker.reserved.Union(place.accelerators);
  worker.reserved_slots += 1;
  this->Reindex(place.worker);
}

void Fleet::Unreserve(const MemberPlace& place) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.reserved = worker.reserved.Without(place.accelerators);
  worker.reserved_slots -= 1;
  this->Reindex(place.worker);
}

void Fleet::MoveToLongLane(WorkerIndex worker, bool accelerators) {
  this->workers[worker].long_slots += 1;
  this->workers[worker].cpu_only_long_slots += accelerators ? 0 : 1;
  this->Reindex(worker);
}

void Fleet::SetNonpreemptible(const MemberPlace& place, bool nonpreemptible) {
  WorkerRecord& worker = this->workers[place.worker];
  worker.nonpreemptible =
      nonpreemptible ? worker.nonpreemptible.Union(place.accelerators)
                     : worker.nonpreemptible.Without(place.accelerators);
  worker.nonpreemptible_slots += nonpreemptible ? 1 : -1;
  this->Reindex(place.worker);
}

std::vector<WorkerIndex> Fleet::TakeChangedCellWorkers() {
  return std::exchange(this->changed_cell_workers, {});
}

void Fleet::AddCell(WorkerIndex worker, CellHandle cell) {
  this->workers[worker].cells.push_back(cell);
}

void Fleet::RemoveCell(WorkerIndex worker, CellHandle cell) {
  EraseOne(this->workers[worker].cells, cell);
}

std::optional<WorkerIndex> Fleet::Find(const core::AgentId& agent) const {
  const auto found = this->by_agent.find(agent);
  if (found == this->by_agent.end()) {
    return std::nullopt;
  }
  return found->second;
}

ServiceIndex Fleet::ServiceOf(const core::ServiceName& service) {
  const auto [place, inserted] = this->service_numbers.try_emplace(
      service, static_cast<ServiceIndex>(this->groups_by_service.size()));
  if (inserted) {
    this->groups_by_service.emplace_back();
  }
  return place->second;
}

ServiceGroup Fleet::GroupOf(const std::vector<core::ServiceName>& services) {
  std::vector<ServiceIndex> numbers;
  for (const core::ServiceName& service : services) {
    numbers.push_back(this->ServiceOf(service));
  }
  std::sort(numbers.begin(), numbers.end());
  numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
  for (std::size_t i = 0; i < this->groups.size(); ++i) {
    if (this->groups[i].services == numbers) {
      return static_cast<ServiceGroup>(i);
    }
  }
  this->groups.emplace_back();
  this->groups.back().services = numbers;
  const auto group = static_cast<ServiceGroup>(this->groups.size() - 1);
  for (const ServiceIndex number : numbers) {
    this->groups_by_service[number].push_back(group);
  }
  return group;
}

std::uint32_t Fleet::RackOf(const model::WorkerShape& shape) {
  const std::string name = shape.data_centre.Text() + '\n' + shape.rack.Text();
  const auto [place, inserted] = this->rack_numbers.try_emplace(
      name, static_cast<std::uint32_t>(this->racks.size()));
  if (inserted) {
    this->racks.emplace_back();
  }
  return place->second;
}

bool Fleet::Offers(WorkerIndex worker, ServiceIndex service) const {
  const std::vector<ServiceGroup>& offers = this->groups_by_service[service];
  return std::find(offers.begin(), offers.end(),
                   this->workers[worker].service_group) != offers.end();
}

const BucketIndex& Fleet::AcceleratorIndex(ServiceGroup group,
                                           CapacityView view,
                                           bool adjacent) const {
  return this->groups[group].accelerators[Index(view)][adjacent ? 1 : 0];
}

const BucketIndex& Fleet::SlotIndex(ServiceGroup group,
                                    CapacityView view,
                                    Lane lane) const {
  return this->groups[group].slots[Index(view)][Index(lane)];
}

int Fleet::ShortSlots(ServiceIndex service) const {
  int total = 0;
  for (const ServiceGroup group : this->groups_by_service[service]) {
    total += this->groups[group].short_slots;
  }
  return total;
}

int Fleet::FreeAccelerators(CapacityView view) const {
  int total = 0;
  for (const Rack& rack : this->racks) {
    total += rack.free[Index(view)];
  }
  return total;
}

void Fleet::Unindex(WorkerIndex index) {
  WorkerRecord& worker = this->workers[index];
  Group& group = this->groups[worker.service_group];
  for (std::size_t view = 0; view < kCapacityViews; ++view) {
    this->racks[worker.rack].free[view] -=
        this->indexed_totals[index].free[view];
    this->indexed_totals[index].free[view] = 0;
    group.accelerators[view][0].Set(index, 0);
    group.accelerators[view][1].Set(index, 0);
  }
  group.short_slots -= this->indexed_totals[index].short_slots;
  this->indexed_totals[index].short_slots = 0;
  this->usable_accelerators -= this->indexed_totals[index].accelerators;
  this->indexed_totals[index].accelerators = 0;
  for (auto& by_lane : group.slots) {
    by_lane[0].Set(index, 0);
    by_lane[1].Set(index, 0);
  }
}

void Fleet::Reindex(WorkerIndex index) {
  const WorkerRecord& worker = this->workers[index];
  if (!worker.cells.empty()) {
    this->changed_cell_workers.push_back(index);
  }
  if (!worker.Usable()) {
    this->Unindex(index);
    return;
  }
  Group& group = this->groups[worker.service_group];
  this->usable_accelerators +=
      worker.shape.accelerators - this->indexed_totals[index].accelerators;
  this->indexed_totals[index].accelerators =
      static_cast<std::uint8_t>(worker.shape.accelerators);
  for (std::size_t i = 0; i < kCapacityViews; ++i) {
    const auto view = static_cast<CapacityView>(i);
    const AcceleratorSet free = worker.FreeAccelerators(view);
    const int count = free.Count();
    this->racks[worker.rack].free[i] +=
        count - this->indexed_totals[index].free[i];
    this->indexed_totals[index].free[i] = static_cast<std::uint8_t>(count);
    const bool has_slot = worker.FreeSlots(view, Lane::kLong) > 0;
    group.accelerators[i][0].Set(index, has_slot ? count : 0);
    group.accelerators[i][1].Set(
        index, has_slot ? worker.Blocks().LongestRun(free) : 0);
  }
  const int short_slots = std::max(
      0, std::min(worker.shape.slots, worker.concurrency_limit) -
             worker.foreign_slots - worker.held_slots - worker.long_slots);
  group.short_slots += short_slots - this->indexed_totals[index].short_slots;
  this->indexed_totals[index].short_slots =
      static_cast<std::int16_t>(short_slots);
  for (const CapacityView view :
       {CapacityView::kUncommitted, CapacityView::kUnreserved,
        CapacityView::kIdle}) {
    for (const Lane lane : {Lane::kShort, Lane::kLong}) {
      const int slots = lane == Lane::kLong ? worker.FreeCpuOnlyLongSlots(view)
                                            : worker.FreeSlots(view, lane);
      group.slots[Index(view)][Index(lane)].Set(index, std::max(0, slots));
    }
  }
}

}  // namespace hemlockdoor::decide
