// Workers, jobs and a planner for tests of the batch module.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/batch.h"

namespace hemlockdoor::batch::testing {

inline core::TimePoint At(std::int64_t milliseconds) {
  return core::TimePoint::FromMilliseconds(milliseconds);
}

/// A worker of 64 cores, 256 GB and 8 accelerators.
inline WorkerDescription MakeWorker(const std::string& id,
                                    const std::string& rack = "r1") {
  WorkerDescription worker;
  worker.identity = {WorkerId(id), 1000};
  worker.service = core::ServiceName("service");
  worker.rack = core::RackId(rack);
  worker.labels = {"a", rack};
  worker.capacity = {64000, 262144, 8};
  return worker;
}

inline StepSpec MakeStep(int count, Resources need) {
  StepSpec step;
  step.count = count;
  step.need = need;
  step.estimate = core::Duration::Seconds(2);
  return step;
}

inline JobRecord MakeJob(const std::string& id,
                         std::vector<StepSpec> steps,
                         int priority = 1) {
  JobRecord record;
  record.spec.id = core::JobId(id);
  record.spec.payload = "payload";
  record.spec.steps = std::move(steps);
  record.queue = QueueName("queue");
  record.service = core::ServiceName("service");
  record.organisation = core::OrganisationId("north");
  record.priority = priority;
  record.max_attempts = 2;
  return record;
}

/// A planner with agents that carry out its orders at once. Tests end runs,
/// crash workers and withhold reports by hand.
class PlannedFleet {
 public:
  /// One worker an agent, all in use from the start.
  explicit PlannedFleet(const std::vector<WorkerDescription>& workers)
      : planner(PlannerOptions{}) {
    this->planner.BeginTerm(core::SchedulingEpoch(1), {}, this->now);
    for (const WorkerDescription& worker : workers) {
      this->AddAgent(worker);
    }
    this->RecordMembers();
    this->Settle();
  }

  void AddAgent(const WorkerDescription& worker) {
    const std::string id = "agent-" + worker.identity.id.Text();
    AgentReport& report = this->reports[core::AgentId(id)];
    report.agent = core::AgentId(id);
    report.endpoint = "127.0.0.1:1";
    report.incarnation = core::Incarnation(7);
    report.epoch = this->planner.Epoch();
    report.worker = worker;
    report.is_complete = true;
  }

  AgentReport& ReportOf(const std::string& worker) {
    return this->reports.at(core::AgentId("agent-" + worker));
  }

  /// Reports of all agents that are not silent.
  void ReportAll() {
    for (auto& [agent, report] : this->reports) {
      if (!this->silent.contains(agent)) {
        ++report.sequence;
        this->planner.OnReport(report, this->now);
      }
    }
  }
  void Silence(const std::string& worker) {
    this->silent.insert(core::AgentId("agent-" + worker));
  }
  /// Orders to the worker's agent vanish: their sender hears of no end of the
  /// call. Reports go on.
  void LoseOrders(const std::string& worker) {
    this->deaf.insert(core::AgentId("agent-" + worker));
  }
  void KeepOrders(const std::string& worker) {
    this->deaf.erase(core::AgentId("agent-" + worker));
  }

  /// Decides, carries out the orders and reports, until nothing is ordered.
  void Settle() {
    constexpr int kMaxRounds = 20;
    for (int round = 0; round < kMaxRounds; ++round) {
      this->ReportAll();
      const auto orders =
          this->planner.Decide(this->now, this->now.InMilliseconds());
      for (const AgentOrders& each : orders) {
        this->CarryOut(each);
      }
      if (orders.empty()) {
        break;
      }
    }
  }

  void Advance(std::int64_t milliseconds) {
    constexpr std::int64_t kStep = 500;
    for (std::int64_t passed = 0; passed < milliseconds; passed += kStep) {
      this->now = this->now + core::Duration::Milliseconds(
                                  std::min(kStep, milliseconds - passed));
      this->Settle();
    }
  }

  /// Ends a run as the worker would list it.
  void End(const std::string& worker, const RunKey& key, RunEndKind kind) {
    AgentReport& report = this->ReportOf(worker);
    std::erase_if(report.active, [&key](const ActiveRun& active) {
      return active.key == key;
    });
    const std::uint64_t number =
        report.ends.empty() ? 1 : report.ends.back().number + 1;
    report.ends.push_back({number, key, kind, {}});
  }

  /// A run of the worker saves its progress.
  void Save(const std::string& worker,
            const RunKey& key,
            const std::string& checkpoint) {
    for (ActiveRun& run : this->ReportOf(worker).active) {
      if (run.key == key) {
        run.checkpoint = checkpoint;
      }
    }
    this->ReportAll();
  }

  /// Progress that is due, at most `limit` records, which is then stored.
  std::vector<ProgressRecord> StoreProgress(std::size_t limit) {
    std::vector<ProgressRecord> stored;
    for (ProgressWrite& write : this->planner.TakeProgressWrites(
             this->now, this->now.InMilliseconds(), limit)) {
      this->planner.OnProgressRecorded(write.record.job, write.version);
      stored.push_back(std::move(write.record));
    }
    return stored;
  }

  /// Stores all progress that is due.
  void RecordProgress() {
    constexpr std::size_t kAll = 1000;
    this->StoreProgress(kAll);
  }

  void RecordMembers() {
    this->ReportAll();
    if (const auto members = this->planner.ChangedMembers()) {
      this->planner.OnMembersRecorded(*members);
    }
  }

  /// Runs on all workers, by worker id.
  std::vector<std::pair<std::string, RunKey>> Active() const {
    std::vector<std::pair<std::string, RunKey>> active;
    for (const auto& [agent, report] : this->reports) {
      for (const ActiveRun& run : report.active) {
        active.emplace_back(report.worker->identity.id.Text(), run.key);
      }
    }
    return active;
  }

  Planner planner;
  core::TimePoint now = At(100'000);

 private:
  void CarryOut(const AgentOrders& orders) {
    AgentReport& report = this->reports.at(orders.agent);
    if (this->deaf.contains(orders.agent)) {
      return;
    }
    if (this->silent.contains(orders.agent)) {
      this->planner.OnOrdersUnanswered(orders.agent, orders.batch.number,
                                       this->now);
      return;
    }
    report.epoch = orders.batch.epoch;
    report.batch = orders.batch.number;
    for (const StartOrder& start : orders.batch.starts) {
      ActiveRun run;
      run.key = start.key;
      run.confirmed = true;
      run.checkpoint = start.checkpoint;
      report.active.push_back(run);
    }
    for (const RunKey& key : orders.batch.stops) {
      const bool runs =
          std::any_of(report.active.begin(), report.active.end(),
                      [&key](const ActiveRun& run) { return run.key == key; });
      if (runs) {
        this->End(report.worker->identity.id.Text(), key, RunEndKind::kStopped);
      }
    }
    ++report.sequence;
    this->planner.OnOrdersAnswered(orders.agent, orders.batch.number);
    this->planner.OnReport(report, this->now);
  }

  std::map<core::AgentId, AgentReport> reports;
  std::set<core::AgentId> silent;
  std::set<core::AgentId> deaf;
};

}  // namespace hemlockdoor::batch::testing
