// A simulated cluster for tests of the scheduler: it tracks the capacity that
// each decision allocates and checks each decision against the placement rules.
#pragma once

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "modules/decide/decide.h"
#include "modules/decide/fleet/adjacency.h"

namespace hemlockdoor::decide {

inline core::TimePoint At(std::int64_t milliseconds) {
  return core::TimePoint::FromMilliseconds(milliseconds);
}

inline WorkerView MakeWorker(const std::string& id,
                             int accelerators = 8,
                             int slots = 8,
                             const std::string& rack = "r1",
                             int per_group = 0) {
  WorkerView view;
  view.agent = core::AgentId(id);
  view.shape.data_centre = core::DataCentreId("dc1");
  view.shape.rack = core::RackId(rack);
  view.shape.slots = slots;
  view.shape.connections = 64;
  view.shape.accelerators = accelerators;
  view.shape.accelerators_per_group = per_group;
  view.shape.services = {core::ServiceName("s")};
  return view;
}

inline model::CatalogueEntry MakeEntry(
    const std::string& owner,
    std::vector<model::Guarantee> guarantees = {},
    model::ClassLimits limits = {}) {
  model::CatalogueEntry entry;
  entry.name = core::CatalogueEntryName(owner);
  entry.owner = core::OrganisationId(owner);
  entry.job_class = core::JobClass("c");
  entry.guarantees = std::move(guarantees);
  entry.limits = limits;
  return entry;
}

inline model::Catalogue MakeCatalogue(
    const std::vector<model::CatalogueEntry>& entries) {
  model::Catalogue catalogue;
  for (const model::CatalogueEntry& entry : entries) {
    catalogue.entries[entry.name] = entry;
  }
  return catalogue;
}

inline model::JobDescription MakeJob(const std::string& id,
                                     const std::string& owner,
                                     model::GangShape shape = {}) {
  model::JobDescription job;
  job.id = core::JobId(id);
  job.organisation = core::OrganisationId(owner);
  job.job_class = core::JobClass("c");
  job.service = core::ServiceName("s");
  job.shape = shape;
  job.declared_run =
      core::Duration::Seconds(shape.accelerators_per_member > 0 ? 3600 : 1);
  return job;
}

/// A running job.
struct FakeTask {
  model::JobDescription job;
  std::vector<Placement> members;
  core::TimePoint started;
};

/// Applies the scheduler's decisions, and checks that no capacity is allocated
/// twice, that all members of a gang start together, and that placements
/// satisfy the required adjacency.
class FakeCluster {
 public:
  explicit FakeCluster(const SchedulerOptions& options = {})
      : scheduler(*Scheduler::Create(options)) {}

  void AddWorker(const WorkerView& worker) {
    this->workers[worker.agent] = worker;
    this->scheduler.UpsertWorker(worker, this->now);
  }
  /// Submits a job and records it as queued or refused. Returns false when the
  /// scheduler refuses the job.
  bool Submit(const model::JobDescription& job) {
    const auto submitted = this->scheduler.Submit(job, this->now);
    if (submitted) {
      this->queued[job.id] = job;
    } else {
      this->refused[job.id] = submitted.error();
    }
    return submitted.has_value();
  }
  /// Runs one planning pass at `now`, applies its decisions and returns them.
  std::vector<Decision> Plan() {
    std::vector<Decision> decisions = this->scheduler.Plan(this->now);
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartDecision>(&decision)) {
        this->Start(*start);
      } else if (const auto* refusal = std::get_if<RefuseDecision>(&decision)) {
        BOOST_REQUIRE(this->queued.erase(refusal->job) == 1);
        this->refused[refusal->job] = *refusal;
      } else {
        const auto& preempt = std::get<PreemptDecision>(decision);
        if (preempt.mode != PreemptMode::kThrottle) {
          this->stopping[preempt.job] = preempt;
        }
      }
    }
    return decisions;
  }
  /// Ends a running job and reports the outcome to the scheduler.
  void End(const std::string& id,
           model::JobOutcome outcome = model::JobOutcome::kDone,
           const std::optional<core::AgentId>& failed_on = std::nullopt) {
    const core::JobId job(id);
    BOOST_REQUIRE(this->running.erase(job) == 1);
    this->stopping.erase(job);
    this->scheduler.OnEnded(job, outcome, failed_on, this->now);
  }
  bool IsRunning(const std::string& id) const {
    return this->running.count(core::JobId(id)) > 0;
  }
  bool IsStopping(const std::string& id) const {
    return this->stopping.count(core::JobId(id)) > 0;
  }
  model::AcceleratorSet UsedOn(const core::AgentId& agent) const {
    model::AcceleratorSet used;
    for (const auto& [id, task] : this->running) {
      for (const Placement& member : task.members) {
        if (member.agent == agent) {
          used = used.Union(member.accelerators);
        }
      }
    }
    return used;
  }
  int SlotsUsedOn(const core::AgentId& agent) const {
    int used = 0;
    for (const auto& [id, task] : this->running) {
      for (const Placement& member : task.members) {
        used += member.agent == agent ? 1 : 0;
      }
    }
    return used;
  }

  Scheduler scheduler;
  core::TimePoint now = At(10'000);
  std::map<core::AgentId, WorkerView> workers;
  std::map<core::JobId, model::JobDescription> queued;
  std::map<core::JobId, FakeTask> running;
  std::map<core::JobId, PreemptDecision> stopping;
  std::map<core::JobId, RefuseDecision> refused;

 private:
  void Start(const StartDecision& start) {
    const auto found = this->queued.find(start.job);
    BOOST_REQUIRE(found != this->queued.end());
    const model::JobDescription job = found->second;
    this->queued.erase(found);
    const model::GangShape& shape = job.shape;
    BOOST_REQUIRE(start.members.size() ==
                  static_cast<std::size_t>(shape.gang_size));
    std::map<core::AgentId, int> members_on;
    for (std::size_t i = 0; i < start.members.size(); ++i) {
      const Placement& member = start.members[i];
      BOOST_REQUIRE(this->workers.count(member.agent) == 1);
      const WorkerView& worker = this->workers.at(member.agent);
      BOOST_REQUIRE(member.accelerators.Count() ==
                    shape.accelerators_per_member);
      BOOST_REQUIRE(model::AcceleratorSet::First(worker.shape.accelerators)
                        .Contains(member.accelerators));
      BOOST_REQUIRE(
          !this->UsedOn(member.agent).Intersects(member.accelerators));
      for (std::size_t j = 0; j < i; ++j) {
        BOOST_REQUIRE(
            (start.members[j].agent != member.agent ||
             !start.members[j].accelerators.Intersects(member.accelerators)));
      }
      if (NeedsAdjacentAccelerators(shape.adjacency) &&
          shape.accelerators_per_member > 0) {
        const AcceleratorBlocks blocks(worker.shape.accelerators,
                                       worker.shape.accelerators_per_group);
        BOOST_REQUIRE(blocks.LongestRun(member.accelerators) ==
                      shape.accelerators_per_member);
      }
      if (shape.adjacency == model::Adjacency::kRack) {
        BOOST_REQUIRE((worker.shape.rack ==
                       this->workers.at(start.members[0].agent).shape.rack));
      }
      BOOST_REQUIRE((++members_on[member.agent] == 1 ||
                     shape.adjacency != model::Adjacency::kSpread));
    }
    this->running[start.job] = {job, start.members, this->now};
    for (const auto& [agent, count] : members_on) {
      BOOST_REQUIRE(this->SlotsUsedOn(agent) <=
                    this->workers.at(agent).shape.slots);
    }
    this->scheduler.OnStarted(start.job, this->now);
  }
};

}  // namespace hemlockdoor::decide
