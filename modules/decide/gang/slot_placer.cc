#include "modules/decide/gang/slot_placer.h"

#include <algorithm>

namespace hemlockdoor::decide {

using model::Adjacency;

namespace {

bool IsExcluded(const SlotRequest& request, WorkerIndex worker) {
  return request.excluded != nullptr &&
         std::find(request.excluded->begin(), request.excluded->end(),
                   worker) != request.excluded->end();
}

}  // namespace

std::optional<std::vector<MemberPlace>> SlotPlacer::Find(
    const SlotRequest& request) {
  if (request.shape.gang_size > 1) {
    return this->FindGang(request);
  }
  const std::optional<WorkerIndex> worker = this->FindOne(request);
  if (!worker) {
    return std::nullopt;
  }
  return std::vector<MemberPlace>{{*worker, {}}};
}

std::optional<WorkerIndex> SlotPlacer::FindOne(const SlotRequest& request) {
  std::optional<WorkerIndex> second_choice;
  int max_key = BucketIndex::kMaxKey;
  while (max_key > 0) {
    int key = 0;
    const BucketIndex* best = nullptr;
    for (const ServiceGroup group :
         this->fleet.GroupsOffering(request.service)) {
      const BucketIndex& index =
          this->fleet.SlotIndex(group, request.view, request.lane);
      const int largest = index.LargestKeyUpTo(max_key);
      if (largest > key) {
        key = largest;
        best = &index;
      }
    }
    if (best == nullptr) {
      return second_choice;
    }
    const std::vector<WorkerIndex>& bucket = best->Bucket(key);
    const std::size_t first = this->random() % bucket.size();
    for (std::size_t i = 0; i < bucket.size(); ++i) {
      const WorkerIndex worker = bucket[(first + i) % bucket.size()];
      if (!IsExcluded(request, worker)) {
        return worker;
      }
      second_choice = worker;
    }
    max_key = key - 1;
  }
  return second_choice;
}

std::optional<std::vector<MemberPlace>> SlotPlacer::FindGang(
    const SlotRequest& request) {
  const auto members = static_cast<std::size_t>(request.shape.gang_size);
  const bool spread = request.shape.adjacency == Adjacency::kSpread;
  std::vector<MemberPlace> places;
  const auto fill = [&](WorkerIndex worker) {
    const WorkerRecord& record = this->fleet.At(worker);
    int slots = request.lane == Lane::kLong
                    ? record.FreeCpuOnlyLongSlots(request.view)
                    : record.FreeSlots(request.view, request.lane);
    slots = spread ? std::min(slots, 1) : slots;
    for (; slots > 0 && places.size() < members; --slots) {
      places.push_back({worker, {}});
    }
    return places.size() == members;
  };
  if (request.shape.adjacency == Adjacency::kRack) {
    for (std::size_t rack = 0; rack < this->fleet.RackCount(); ++rack) {
      places.clear();
      for (const WorkerIndex worker : this->fleet.RackWorkers(rack)) {
        if (this->fleet.At(worker).Usable() &&
            this->fleet.Offers(worker, request.service) && fill(worker)) {
          return places;
        }
      }
    }
    return std::nullopt;
  }
  for (const ServiceGroup group : this->fleet.GroupsOffering(request.service)) {
    const BucketIndex& index =
        this->fleet.SlotIndex(group, request.view, request.lane);
    for (int key = index.LargestKey(); key > 0;
         key = index.LargestKeyUpTo(key - 1)) {
      for (const WorkerIndex worker : index.Bucket(key)) {
        if (fill(worker)) {
          return places;
        }
      }
    }
  }
  return std::nullopt;
}

}  // namespace hemlockdoor::decide
