#include "modules/decide/gang/gang_placer.h"

#include <algorithm>
#include <numeric>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::Adjacency;

namespace {

bool IsFull(const GangRequest& request,
            const std::vector<MemberPlace>& places) {
  return places.size() == static_cast<std::size_t>(request.shape.gang_size);
}

}  // namespace

std::optional<std::vector<MemberPlace>> GangPlacer::Find(
    const GangRequest& request) const {
  return request.shape.adjacency == Adjacency::kRack &&
                 request.shape.gang_size > 1
             ? this->FindInOneRack(request)
             : this->FindAnywhere(request);
}

std::vector<ServiceGroup> GangPlacer::Groups(const GangRequest& request) const {
  if (request.service) {
    return this->fleet.GroupsOffering(*request.service);
  }
  std::vector<ServiceGroup> groups(this->fleet.GroupCount());
  std::iota(groups.begin(), groups.end(), ServiceGroup{0});
  return groups;
}

bool GangPlacer::Eligible(const GangRequest& request,
                          WorkerIndex worker) const {
  if (request.excluded != nullptr &&
      std::find(request.excluded->begin(), request.excluded->end(), worker) !=
          request.excluded->end()) {
    return false;
  }
  return !request.service || this->fleet.Offers(worker, *request.service);
}

void GangPlacer::FillWorker(const GangRequest& request,
                            WorkerIndex worker,
                            std::vector<MemberPlace>& places) const {
  const WorkerRecord& record = this->fleet.At(worker);
  if (!record.Usable()) {
    return;
  }
  const AcceleratorBlocks blocks = record.Blocks();
  const bool adjacent = NeedsAdjacentAccelerators(request.shape.adjacency);
  AcceleratorSet free = record.FreeAccelerators(request.view);
  int slots = record.FreeSlots(request.view, Lane::kLong);
  if (request.shape.adjacency == Adjacency::kSpread) {
    slots = std::min(slots, 1);
  }
  while (slots > 0 && !IsFull(request, places)) {
    const AcceleratorSet taken =
        blocks.Take(free, request.shape.accelerators_per_member, adjacent);
    if (taken.Count() == 0) {
      return;
    }
    places.push_back({worker, taken});
    free = free.Without(taken);
    --slots;
  }
}

std::optional<std::vector<MemberPlace>> GangPlacer::FindAnywhere(
    const GangRequest& request) const {
  const bool adjacent = NeedsAdjacentAccelerators(request.shape.adjacency);
  const std::vector<ServiceGroup> groups = this->Groups(request);
  std::vector<MemberPlace> places;
  places.reserve(static_cast<std::size_t>(request.shape.gang_size));
  int key = request.shape.accelerators_per_member;
  while (key <= BucketIndex::kMaxKey) {
    int next = BucketIndex::kMaxKey + 1;
    for (const ServiceGroup group : groups) {
      const BucketIndex& index =
          this->fleet.AcceleratorIndex(group, request.view, adjacent);
      const int used = index.NextKey(key);
      next = used == 0 ? next : std::min(next, used);
    }
    if (next > BucketIndex::kMaxKey) {
      break;
    }
    for (const ServiceGroup group : groups) {
      const BucketIndex& index =
          this->fleet.AcceleratorIndex(group, request.view, adjacent);
      for (const WorkerIndex worker : index.Bucket(next)) {
        if (request.excluded == nullptr || this->Eligible(request, worker)) {
          this->FillWorker(request, worker, places);
        }
        if (IsFull(request, places)) {
          return places;
        }
      }
    }
    key = next + 1;
  }
  return std::nullopt;
}

std::optional<std::vector<MemberPlace>> GangPlacer::FindInOneRack(
    const GangRequest& request) const {
  struct Candidate {
    int free;
    std::size_t rack;
  };
  std::vector<Candidate> candidates;
  for (std::size_t rack = 0; rack < this->fleet.RackCount(); ++rack) {
    const int free = this->fleet.RackFreeAccelerators(rack, request.view);
    if (free >= request.shape.TotalAccelerators()) {
      candidates.push_back({free, rack});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.free != right.free ? left.free < right.free
                                             : left.rack < right.rack;
            });
  std::vector<MemberPlace> places;
  for (const Candidate& candidate : candidates) {
    places.clear();
    for (const WorkerIndex worker : this->fleet.RackWorkers(candidate.rack)) {
      if (this->Eligible(request, worker)) {
        this->FillWorker(request, worker, places);
      }
      if (IsFull(request, places)) {
        return places;
      }
    }
  }
  return std::nullopt;
}

bool GangPlacer::CouldEverFit(const GangRequest& request,
                              core::TimePoint oldest_absence) const {
  const model::GangShape& shape = request.shape;
  const bool adjacent = NeedsAdjacentAccelerators(shape.adjacency);
  std::vector<int> by_rack(this->fleet.RackCount(), 0);
  int total = 0;
  for (WorkerIndex i = 0; i < this->fleet.Count(); ++i) {
    const WorkerRecord& worker = this->fleet.At(i);
    if (!this->Eligible(request, i) ||
        (!worker.present && worker.absent_since < oldest_absence)) {
      continue;
    }
    int members = worker.shape.slots;
    if (shape.accelerators_per_member > 0) {
      members = std::min(
          members, worker.Blocks().MemberCapacity(
                       worker.all, shape.accelerators_per_member, adjacent));
    }
    if (shape.adjacency == Adjacency::kSpread) {
      members = std::min(members, 1);
    }
    total += members;
    by_rack[worker.rack] += members;
  }
  if (shape.adjacency != Adjacency::kRack) {
    return total >= shape.gang_size;
  }
  return std::any_of(by_rack.begin(), by_rack.end(), [&shape](int members) {
    return members >= shape.gang_size;
  });
}

}  // namespace hemlockdoor::decide
