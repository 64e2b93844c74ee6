#include "modules/decide/reclaim/reclaim_planner.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Time to write and read back a checkpoint.
constexpr double kCheckpointCostMs = 10'000;

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
  // One second stands for the restart itself.
  constexpr double kRestartCostMs = 1000;
  return (lost_ms + kRestartCostMs) * size * (1.0 + job.preemptions);
}

bool ReclaimPlanner::AddOverlapping(const MemberPlace& place,
                                    ReclaimChoice& choice) const {
  const WorkerRecord& worker = this->fleet.At(place.worker);
  if (worker.foreign.Intersects(place.accelerators) ||
      worker.hard.Intersects(place.accelerators)) {
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

bool ReclaimPlanner::AddForSlots(WorkerIndex index,
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
    double least = 0;
    for (const JobHandle handle : worker.jobs) {
      const JobRecord& job = this->jobs.At(handle);
      if (job.hard || Contains(choice.victims, handle)) {
        continue;
      }
      const double cost = this->CostOf(job, now);
      if (cheapest == kNoJob || cost < least) {
        cheapest = handle;
        least = cost;
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

std::optional<ReclaimChoice> ReclaimPlanner::Choose(
    const std::vector<MemberPlace>& places,
    core::TimePoint now) const {
  ReclaimChoice choice;
  choice.places = places;
  for (const MemberPlace& place : places) {
    if (!this->fleet.At(place.worker).Usable() ||
        !this->AddOverlapping(place, choice)) {
      return std::nullopt;
    }
  }
  for (std::size_t i = 0; i < places.size(); ++i) {
    int slots = 1;
    while (i + 1 < places.size() && places[i + 1].worker == places[i].worker) {
      ++slots;
      ++i;
    }
    if (!this->AddForSlots(places[i].worker, slots, now, choice)) {
      return std::nullopt;
    }
  }
  for (const JobHandle victim : choice.victims) {
    choice.cost += this->CostOf(this->jobs.At(victim), now);
  }
  return choice;
}

}  // namespace hemlockdoor::decide
