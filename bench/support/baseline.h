// The baselines of the replay: queues without guarantees or reservations.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "modules/decide/decide.h"
#include "modules/decide/gang/gang_placer.h"
#include "modules/decide/gang/slot_placer.h"

namespace hemlockdoor::bench {

/// Answer to a submission: whether the job was queued, and if not, when a new
/// try may succeed (0: never).
struct SubmitAnswer {
  bool accepted = true;
  std::int64_t retry_after_ms = 0;
};

enum class BaselineKind { kFirstCome, kStrictQuota, kShortestDeclared };

/// Starts queued jobs in a fixed order wherever they fit, and never stops one.
/// It places with the product's own placer (best fit), which makes it a
/// stronger baseline than first fit.
class Baseline {
 public:
  Baseline(BaselineKind order,
           const std::vector<decide::WorkerView>& workers,
           const model::Catalogue& catalogue)
      : kind(order),
        fleet(std::make_unique<decide::Fleet>(0)),
        gangs(*this->fleet),
        slots(*this->fleet, 1) {
    int accelerators = 0;
    int slot_count = 0;
    std::map<std::string, int> guaranteed;
    int guaranteed_sum = 0;
    for (const decide::WorkerView& worker : workers) {
      this->fleet->Upsert(worker.agent, worker.shape);
      accelerators += worker.shape.accelerators;
      slot_count += worker.shape.slots;
    }
    for (const auto& [name, entry] : catalogue.entries) {
      int& own = guaranteed[entry.owner.Text()];
      for (const model::Guarantee& row : entry.guarantees) {
        own += row.count * row.shape.TotalAccelerators();
        guaranteed_sum += row.count * row.shape.TotalAccelerators();
      }
    }
    const int teams = static_cast<int>(guaranteed.size());
    const int spare = std::max(0, accelerators - guaranteed_sum) / teams;
    for (const auto& [team, own] : guaranteed) {
      this->usage[team] = {own + spare, slot_count / teams, 0, 0};
    }
  }

  SubmitAnswer Submit(const model::JobDescription& job,
                      core::TimePoint /*now*/) {
    const std::int64_t key = this->kind == BaselineKind::kShortestDeclared
                                 ? job.declared_run.InMilliseconds()
                                 : 0;
    const ClassKey row{job.organisation.Text(), job.shape.gang_size,
                       job.shape.accelerators_per_member,
                       static_cast<int>(job.shape.adjacency)};
    this->changed = true;
    const Order order{key, this->sequence++};
    this->queues[row].emplace(order, job);
    this->places[job.id] = {row, order};
    return {};
  }

  bool Cancel(const core::JobId& id, core::TimePoint /*now*/) {
    const auto found = this->places.find(id);
    if (found == this->places.end()) {
      return false;
    }
    this->queues[found->second.first].erase(found->second.second);
    this->places.erase(found);
    return true;
  }

  std::vector<decide::Decision> Plan(core::TimePoint /*now*/) {
    std::vector<decide::Decision> decisions;
    if (!std::exchange(this->changed, false)) {
      return decisions;
    }
    // Classes by their first job; a class whose first job does not fit leaves.
    std::map<Order, ClassKey> first_jobs;
    for (const auto& [row, queue] : this->queues) {
      if (!queue.empty()) {
        first_jobs.emplace(queue.begin()->first, row);
      }
    }
    while (!first_jobs.empty()) {
      const ClassKey row = first_jobs.begin()->second;
      first_jobs.erase(first_jobs.begin());
      auto& queue = this->queues[row];
      const model::JobDescription job = queue.begin()->second;
      std::optional<std::vector<decide::MemberPlace>> found = this->Find(job);
      if (!found) {
        continue;
      }
      queue.erase(queue.begin());
      if (!queue.empty()) {
        first_jobs.emplace(queue.begin()->first, row);
      }
      this->places.erase(job.id);
      decisions.emplace_back(this->Start(job, std::move(*found)));
    }
    return decisions;
  }

  void OnStarted(const core::JobId& /*job*/, core::TimePoint /*now*/) {}

  void OnEnded(const core::JobId& id,
               model::JobOutcome /*outcome*/,
               const std::optional<core::AgentId>& /*failed_on*/,
               core::TimePoint /*now*/) {
    const auto found = this->running.find(id);
    for (const decide::MemberPlace& place : found->second.members) {
      this->fleet->Release(place, 0, {});
    }
    this->Count(found->second.job, -1);
    this->running.erase(found);
    this->changed = true;
  }

 private:
  using ClassKey = std::tuple<std::string, int, int, int>;
  using Order = std::pair<std::int64_t, std::uint64_t>;
  struct Usage {
    int accelerator_quota = 0;
    int slot_quota = 0;
    int accelerators = 0;
    int slots = 0;
  };
  struct Running {
    model::JobDescription job;
    std::vector<decide::MemberPlace> members;
  };

  void Count(const model::JobDescription& job, int sign) {
    Usage& use = this->usage[job.organisation.Text()];
    use.accelerators += sign * job.shape.TotalAccelerators();
    use.slots += sign * job.shape.gang_size;
  }

  std::optional<std::vector<decide::MemberPlace>> Find(
      const model::JobDescription& job) {
    const Usage& use = this->usage[job.organisation.Text()];
    if (this->kind == BaselineKind::kStrictQuota &&
        (use.accelerators + job.shape.TotalAccelerators() >
             use.accelerator_quota ||
         use.slots + job.shape.gang_size > use.slot_quota)) {
      return std::nullopt;
    }
    const decide::ServiceIndex service = this->fleet->ServiceOf(job.service);
    if (job.shape.accelerators_per_member == 0) {
      decide::SlotRequest request;
      request.shape = job.shape;
      request.service = service;
      return this->slots.Find(request);
    }
    decide::GangRequest request;
    request.shape = job.shape;
    request.service = service;
    return this->gangs.Find(request);
  }

  decide::StartDecision Start(const model::JobDescription& job,
                              std::vector<decide::MemberPlace> members) {
    decide::StartDecision start;
    start.job = job.id;
    for (const decide::MemberPlace& place : members) {
      this->fleet->Occupy(place, 0, {});
      start.members.push_back(
          {this->fleet->At(place.worker).agent, place.accelerators});
    }
    this->Count(job, 1);
    this->running[job.id] = {job, std::move(members)};
    return start;
  }

  BaselineKind kind;
  std::unique_ptr<decide::Fleet> fleet;
  decide::GangPlacer gangs;
  decide::SlotPlacer slots;
  std::map<ClassKey, std::map<Order, model::JobDescription>> queues;
  std::unordered_map<core::JobId, std::pair<ClassKey, Order>> places;
  std::unordered_map<core::JobId, Running> running;
  std::map<std::string, Usage> usage;
  std::uint64_t sequence = 0;
  bool changed = false;
};

}  // namespace hemlockdoor::bench
