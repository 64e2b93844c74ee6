#include "modules/decide/reclaim/reclaim_planner.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Time to write and read back a checkpoint.
constexpr double kCheckpointCostMs = 10'000;
/// Workers compared for a cheaper place, in addition to one for each member of
/// the gang; bounds the time of one decision.
constexpr std::size_t kWorkersCompared = 32;

bool Contains(const std::vector<JobHandle>& jobs, JobHandle job) {
  return std::find(jobs.begin(), jobs.end(), job) != jobs.end();
}

}  // namespace

double ReclaimPlanner::CostOf(const JobRecord& job, core::TimePoint now) const {
  if (job.preempt != PreemptStep::kNone) {
    return 0;
  }
  const auto run_ms = static_cast<double>((now - job.started).InMilliseconds());
  const double lost_ms =
      job.checkpointable ? std::min(run_ms, kCheckpointCostMs) : run_ms;
  const int size = std::max(job.shape.TotalAccelerators(), job.shape.gang_size);
  // A preempted gang waits for a new place, while the capacity that it leaves
  // is idle.
  constexpr double kRestartCostMs = 30'000;
  return (lost_ms + kRestartCostMs) * size * (1.0 + job.preemptions);
}

bool ReclaimPlanner::AddOverlappingVictims(const MemberPlace& place,
                                           ReclaimChoice& choice) const {
  const WorkerRecord& worker = this->fleet.At(place.worker);
  if (worker.foreign.Intersects(place.accelerators) ||
      worker.nonpreemptible.Intersects(place.accelerators)) {
    return false;
  }
  if (!worker.used.Intersects(place.accelerators)) {
    return true;
  }
  for (const JobHandle handle : worker.jobs) {
    const JobRecord& job = this->jobs.At(handle);
    const bool overlaps =
        std::any_of(job.members.begin(), job.members.end(),
                    [&place](const MemberPlace& member) {
                      return member.worker == place.worker &&
                             member.accelerators.Intersects(place.accelerators);
                    });
    if (overlaps && !Contains(choice.victims, handle)) {
      choice.victims.push_back(handle);
    }
  }
  return true;
}

bool ReclaimPlanner::AddVictimsForSlots(WorkerIndex index,
                                        int slots,
                                        core::TimePoint now,
                                        ReclaimChoice& choice) const {
  const WorkerRecord& worker = this->fleet.At(index);
  int free = worker.IdleSlots() - worker.held_slots;
  for (const JobHandle handle : worker.jobs) {
    free += Contains(choice.victims, handle) ? 1 : 0;
  }
  while (free < slots) {
    JobHandle cheapest = kNoJob;
    double lowest_cost = 0;
    for (const JobHandle handle : worker.jobs) {
      const JobRecord& job = this->jobs.At(handle);
      if (job.non_preemptible || Contains(choice.victims, handle)) {
        continue;
      }
      const double cost = this->CostOf(job, now);
      if (cheapest == kNoJob || cost < lowest_cost) {
        cheapest = handle;
        lowest_cost = cost;
      }
    }
    if (cheapest == kNoJob) {
      return false;
    }
    choice.victims.push_back(cheapest);
    free += static_cast<int>(
        std::count(worker.jobs.begin(), worker.jobs.end(), cheapest));
  }
  return true;
}

void ReclaimPlanner::AddOptions(const model::GangShape& shape,
                                WorkerIndex index,
                                core::TimePoint now,
                                std::vector<PlaceOption>& options) const {
  const WorkerRecord& worker = this->fleet.At(index);
  const AcceleratorBlocks blocks = worker.Blocks();
  const bool adjacent = NeedsAdjacentAccelerators(shape.adjacency);
  model::AcceleratorSet available =
      worker.FreeAccelerators(CapacityView::kClaimable);
  int slots = worker.FreeSlots(CapacityView::kClaimable, Lane::kLong);
  if (shape.adjacency == model::Adjacency::kSpread) {
    slots = std::min(slots, 1);
  }
  for (; slots > 0; --slots) {
    model::AcceleratorSet taken =
        blocks.Take(available.Without(worker.used),
                    shape.accelerators_per_member, adjacent);
    if (taken.Count() == 0) {
      taken = blocks.Take(available, shape.accelerators_per_member, adjacent);
    }
    if (taken.Count() == 0) {
      return;
    }
    ReclaimChoice choice;
    PlaceOption option;
    option.place = {index, taken};
    this->AddOverlappingVictims(option.place, choice);
    for (const JobHandle victim : choice.victims) {
      option.cost += this->CostOf(this->jobs.At(victim), now);
    }
    options.push_back(option);
    available = available.Without(taken);
  }
}

std::optional<std::vector<MemberPlace>> ReclaimPlanner::CheapestPlaces(
    const model::GangShape& shape,
    ServiceIndex service,
    core::TimePoint now) const {
  const auto members = static_cast<std::size_t>(shape.gang_size);
  if (shape.adjacency == model::Adjacency::kRack && members > 1) {
    return std::nullopt;
  }
  const bool adjacent = NeedsAdjacentAccelerators(shape.adjacency);
  const std::size_t max_workers = kWorkersCompared + members;
  std::size_t workers_seen = 0;
  std::vector<PlaceOption> options;
  for (const ServiceGroup group : this->fleet.GroupsOffering(service)) {
    const BucketIndex& index =
        this->fleet.AcceleratorIndex(group, CapacityView::kClaimable, adjacent);
    for (int key = index.NextKey(shape.accelerators_per_member);
         key > 0 && workers_seen < max_workers; key = index.NextKey(key + 1)) {
      for (const WorkerIndex worker : index.Bucket(key)) {
        this->AddOptions(shape, worker, now, options);
        if (++workers_seen >= max_workers) {
          break;
        }
      }
    }
  }
  if (options.size() < members) {
    return std::nullopt;
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const PlaceOption& left, const PlaceOption& right) {
                     return left.cost < right.cost;
                   });
  std::vector<MemberPlace> places;
  for (std::size_t i = 0; i < members; ++i) {
    places.push_back(options[i].place);
  }
  std::stable_sort(places.begin(), places.end(),
                   [](const MemberPlace& left, const MemberPlace& right) {
                     return left.worker < right.worker;
                   });
  return places;
}

std::optional<ReclaimChoice> ReclaimPlanner::ChooseVictims(
    const std::vector<MemberPlace>& places,
    core::TimePoint now) const {
  ReclaimChoice choice;
  choice.places = places;
  for (const MemberPlace& place : places) {
    if (!this->fleet.At(place.worker).Usable() ||
        !this->AddOverlappingVictims(place, choice)) {
      return std::nullopt;
    }
  }
  for (std::size_t i = 0; i < places.size(); ++i) {
    int slots = 1;
    while (i + 1 < places.size() && places[i + 1].worker == places[i].worker) {
      ++slots;
      ++i;
    }
    if (!this->AddVictimsForSlots(places[i].worker, slots, now, choice)) {
      return std::nullopt;
    }
  }
  for (const JobHandle victim : choice.victims) {
    choice.cost += this->CostOf(this->jobs.At(victim), now);
  }
  return choice;
}

}  // namespace hemlockdoor::decide
