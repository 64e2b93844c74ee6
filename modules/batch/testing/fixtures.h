// Test fixtures of the batch module: workers, jobs and a simulated fleet.
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

/// A planner and simulated agents that execute its orders at once. Tests end
/// runs, change the agents' reports and disconnect agents explicitly.
class SimulatedFleet {
 public:
  /// Creates one agent for each worker; all are members from the start.
  explicit SimulatedFleet(const std::vector<WorkerDescription>& workers)
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

  /// Sends the reports of all agents that are not disconnected.
  void ReportAll() {
    for (auto& [agent, report] : this->reports) {
      if (!this->disconnected.contains(agent)) {
        ++report.sequence;
        this->planner.OnReport(report, this->now);
      }
    }
  }
  /// From now on the worker's agent sends no reports, and orders to it fail
  /// without an answer.
  void DisconnectAgent(const std::string& worker) {
    this->disconnected.insert(core::AgentId("agent-" + worker));
  }
  /// Reverts `DisconnectAgent`.
  void ConnectAgent(const std::string& worker) {
    this->disconnected.erase(core::AgentId("agent-" + worker));
  }
  /// From now on orders to the worker's agent are lost, and the planner learns
  /// neither of an answer nor of a failure. The agent still sends reports.
  void DropOrders(const std::string& worker) {
    this->dropping_orders.insert(core::AgentId("agent-" + worker));
  }
  /// Reverts `DropOrders`.
  void DeliverOrders(const std::string& worker) {
    this->dropping_orders.erase(core::AgentId("agent-" + worker));
  }

  /// Repeats reports, decisions and the execution of orders until the planner
  /// issues no orders, for at most 20 rounds.
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

  /// Advances the virtual time in steps of at most 500 ms and calls `Settle`
  /// after each step.
  void Advance(std::int64_t milliseconds) {
    constexpr std::int64_t kStep = 500;
    for (std::int64_t passed = 0; passed < milliseconds; passed += kStep) {
      this->now = this->now + core::Duration::Milliseconds(
                                  std::min(kStep, milliseconds - passed));
      this->Settle();
    }
  }

  /// Ends a run and adds its end to the worker's report.
  void End(const std::string& worker, const RunKey& key, RunEndKind kind) {
    AgentReport& report = this->ReportOf(worker);
    std::erase_if(report.active, [&key](const ActiveRun& active) {
      return active.key == key;
    });
    const std::uint64_t number =
        report.ends.empty() ? 1 : report.ends.back().number + 1;
    report.ends.push_back({number, key, kind, {}});
  }

  /// Sets the checkpoint of a run of the worker and sends all reports.
  void SaveCheckpoint(const std::string& worker,
                      const RunKey& key,
                      const std::string& checkpoint) {
    for (ActiveRun& run : this->ReportOf(worker).active) {
      if (run.key == key) {
        run.checkpoint = checkpoint;
      }
    }
    this->ReportAll();
  }

  /// Marks the progress records that are due as stored, at most `limit` of
  /// them, and returns them.
  std::vector<ProgressRecord> StoreProgress(std::size_t limit) {
    std::vector<ProgressRecord> stored;
    for (ProgressWrite& write : this->planner.TakeProgressWrites(
             this->now, this->now.InMilliseconds(), limit)) {
      this->planner.OnProgressRecorded(write.record.job, write.version);
      stored.push_back(std::move(write.record));
    }
    return stored;
  }

  /// Marks all progress records that are due as stored.
  void RecordProgress() {
    constexpr std::size_t kMaxRecords = 1000;
    this->StoreProgress(kMaxRecords);
  }

  void RecordMembers() {
    this->ReportAll();
    if (const auto members = this->planner.TakeMembersWrite()) {
      this->planner.OnMembersRecorded(*members);
    }
  }

  /// Returns what all workers list as active, each with the id of its worker.
  std::vector<std::pair<std::string, ActiveRun>> ActiveRuns() const {
    std::vector<std::pair<std::string, ActiveRun>> active;
    for (const auto& [agent, report] : this->reports) {
      for (const ActiveRun& run : report.active) {
        active.emplace_back(report.worker->identity.id.Text(), run);
      }
    }
    return active;
  }
  /// Returns the keys of `ActiveRuns`, each with the id of its worker.
  std::vector<std::pair<std::string, RunKey>> Active() const {
    std::vector<std::pair<std::string, RunKey>> active;
    for (const auto& [worker, run] : this->ActiveRuns()) {
      active.emplace_back(worker, run.key);
    }
    return active;
  }

  Planner planner;
  core::TimePoint now = At(100'000);

 private:
  void CarryOut(const AgentOrders& orders) {
    AgentReport& report = this->reports.at(orders.agent);
    if (this->dropping_orders.contains(orders.agent)) {
      return;
    }
    if (this->disconnected.contains(orders.agent)) {
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
    std::vector<RunKey> stops = orders.batch.stops;
    stops.insert(stops.end(), orders.batch.revoked_starts.begin(),
                 orders.batch.revoked_starts.end());
    for (const RunKey& key : stops) {
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
  std::set<core::AgentId> disconnected;
  std::set<core::AgentId> dropping_orders;
};

}  // namespace hemlockdoor::batch::testing
