#include "modules/entry/core/first_fit_scheduler.h"

#include <algorithm>

namespace hemlockdoor::entry {

namespace {

/// The lowest `count` accelerators of `free`.
model::AcceleratorSet Lowest(model::AcceleratorSet free, int count) {
  std::uint64_t chosen = 0;
  std::uint64_t rest = free.Mask();
  for (int i = 0; i < count; ++i) {
    const std::uint64_t lowest = rest & (~rest + 1);
    chosen |= lowest;
    rest &= ~lowest;
  }
  return model::AcceleratorSet(chosen);
}

}  // namespace

core::Expected<FirstFitScheduler> FirstFitScheduler::Create(
    const decide::SchedulerOptions& /*options*/) {
  return FirstFitScheduler();
}

void FirstFitScheduler::UpsertWorker(const decide::WorkerView& worker,
                                     core::TimePoint /*now*/) {
  this->workers[worker.agent].view = worker;
}

void FirstFitScheduler::RemoveWorker(const core::AgentId& agent,
                                     core::TimePoint /*now*/) {
  this->workers.erase(agent);
}

core::Expected<void> FirstFitScheduler::CheckGuarantees(
    const model::Catalogue& /*catalogue*/) const {
  return {};
}

void FirstFitScheduler::ApplyCatalogue(const model::Catalogue& /*catalogue*/,
                                       core::TimePoint /*now*/) {}

tl::expected<void, decide::RefuseDecision> FirstFitScheduler::Submit(
    const model::JobDescription& job,
    core::TimePoint /*now*/) {
  this->queue.push_back(job);
  return {};
}

bool FirstFitScheduler::Cancel(const core::JobId& job,
                               core::TimePoint /*now*/) {
  return std::erase_if(this->queue, [&job](const model::JobDescription& each) {
           return each.id == job;
         }) > 0;
}

void FirstFitScheduler::Adopt(const decide::RunningJob& job,
                              core::TimePoint /*now*/) {
  const Placed adopted{job.description, job.members};
  if (this->placed.emplace(job.description.id, adopted).second) {
    this->Count(adopted, 1);
  }
}

std::vector<decide::Decision> FirstFitScheduler::Plan(core::TimePoint /*now*/) {
  std::vector<decide::Decision> decisions;
  std::deque<model::JobDescription> waiting;
  waiting.swap(this->queue);
  for (model::JobDescription& job : waiting) {
    std::optional<std::vector<decide::Placement>> members = this->Fit(job);
    if (!members) {
      this->queue.push_back(std::move(job));
      continue;
    }
    const Placed start{job, *members};
    this->Count(start, 1);
    this->placed.emplace(job.id, start);
    decisions.emplace_back(decide::StartDecision{job.id, *members});
  }
  return decisions;
}

void FirstFitScheduler::OnStarted(const core::JobId& /*job*/,
                                  core::TimePoint /*now*/) {}

void FirstFitScheduler::OnStartRefused(const core::JobId& job,
                                       const core::AgentId& /*agent*/,
                                       core::TimePoint /*now*/) {
  const auto place = this->placed.find(job);
  if (place != this->placed.end()) {
    this->Count(place->second, -1);
    this->queue.push_front(place->second.job);
    this->placed.erase(place);
  }
}

void FirstFitScheduler::OnEnded(
    const core::JobId& job,
    model::JobOutcome /*outcome*/,
    const std::optional<core::AgentId>& /*failed_on*/,
    core::TimePoint /*now*/) {
  const auto place = this->placed.find(job);
  if (place != this->placed.end()) {
    this->Count(place->second, -1);
    this->placed.erase(place);
  }
}

std::optional<decide::WaitReason> FirstFitScheduler::WhyWaiting(
    const core::JobId& job) const {
  for (const model::JobDescription& each : this->queue) {
    if (each.id == job) {
      return decide::WaitReason{"no worker has room"};
    }
  }
  return std::nullopt;
}

std::optional<std::vector<decide::Placement>> FirstFitScheduler::Fit(
    const model::JobDescription& job) const {
  std::vector<decide::Placement> members;
  for (const auto& [agent, worker] : this->workers) {
    const model::WorkerShape& shape = worker.view.shape;
    const bool serves = std::find(shape.services.begin(), shape.services.end(),
                                  job.service) != shape.services.end();
    if (!serves || worker.view.draining) {
      continue;
    }
    int slots = shape.slots - worker.view.foreign_slots - worker.used_slots;
    model::AcceleratorSet free =
        model::AcceleratorSet::First(shape.accelerators)
            .Without(worker.used_accelerators)
            .Without(worker.view.foreign_accelerators);
    const int need = job.shape.accelerators_per_member;
    while (slots > 0 && free.Count() >= need &&
           static_cast<int>(members.size()) < job.shape.gang_size) {
      const model::AcceleratorSet chosen = Lowest(free, need);
      members.push_back({agent, chosen});
      free = free.Without(chosen);
      --slots;
      if (job.shape.adjacency == model::Adjacency::kSpread) {
        break;
      }
    }
  }
  if (static_cast<int>(members.size()) < job.shape.gang_size) {
    return std::nullopt;
  }
  return members;
}

void FirstFitScheduler::Count(const Placed& counted, int sign) {
  for (const decide::Placement& member : counted.members) {
    const auto place = this->workers.find(member.agent);
    if (place == this->workers.end()) {
      continue;
    }
    Worker& worker = place->second;
    worker.used_slots += sign;
    worker.used_accelerators =
        sign > 0 ? worker.used_accelerators.Union(member.accelerators)
                 : worker.used_accelerators.Without(member.accelerators);
  }
}

}  // namespace hemlockdoor::entry
