// Planners, agents, workers and the store of one explored run, in one process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/batch.h"
#include "tests/exploration/event_queue.h"
#include "tests/exploration/scenario.h"
#include "tests/exploration/witness.h"
#include "tests/exploration/worker_model.h"

namespace hemlockdoor::batch::exploration {

/// What came of an explored run.
struct Verdict {
  std::vector<std::string> violations;
  /// What workers and processes did, a line each.
  std::vector<std::string> story;
};

/// Plays a scenario with real planners and supervisors on a virtual clock. The
/// code around them follows `PlannerService` and `AgentService`.
class Simulation {
 public:
  explicit Simulation(const Scenario& played_scenario);

  /// Plays the scenario to its end. Call once.
  Verdict Play();

 private:
  struct StoredList {
    std::vector<MemberRecord> members;
    std::uint64_t revision = 1;
  };
  struct Store {
    core::SchedulingEpoch owner;
    std::uint64_t revision = 1;
    StoredList list;
    std::map<core::JobId, std::pair<ProgressRecord, std::uint64_t>> progress;
    std::vector<JobRecord> jobs;
    /// Keys of evacuated data centres, and the version of each write.
    std::map<std::string, std::uint64_t> evacuations;
  };
  /// A process of an agent, with its worker. `process` tells callbacks of an
  /// ended process from those of the present one.
  struct Agent {
    core::AgentId id;
    std::uint64_t process = 0;
    std::unique_ptr<WorkerSupervisor> supervisor;
    core::TimePoint paused_until;
    core::TimePoint cut_until;
    /// The planner's connection to the agent passes nothing on before this
    /// time, since a cut has held up a message on it.
    core::TimePoint stream_stuck_until;
    /// False while a cut has held up the latest message, so that further ones
    /// need a new connection.
    bool is_connected = true;
    bool report_in_flight = false;
    core::TimePoint next_report;
    core::TimePoint last_report;
    bool poll_in_flight = false;
    core::TimePoint next_poll;
    /// Empty once the worker is lost for good.
    std::unique_ptr<WorkerModel> worker;
    std::uint64_t announcements = 0;
    core::TimePoint starts_late_until;
    core::TimePoint polls_late_until;
    core::TimePoint fails_until;
    core::TimePoint process_started;
    core::TimePoint worker_started;
    /// Calls that the next process of the worker carries out.
    std::vector<std::function<void()>> held_calls;
    /// Calls to a worker that is gone get no answer, rather than an error.
    bool is_dark = false;
  };
  using Reply = std::function<void(const std::optional<AgentReport>&)>;
  using CommitDone = std::function<void(std::optional<std::uint64_t>)>;

  core::TimePoint Now() const { return this->queue.Now(); }
  Agent& AgentAt(int index) {
    return this->agents[static_cast<std::size_t>(index)];
  }
  std::int64_t Between(std::int64_t low, std::int64_t high);
  core::Duration MessageDelay() {
    return core::Duration::Milliseconds(Between(1, 8));
  }
  void Note(const std::string& line) { this->witness.Note(this->Now(), line); }

  /// Delivers a message between an agent and another machine. A cut holds up
  /// what was sent on a connection, and drops what needs a new one.
  void SendAcross(int agent, std::function<void()> deliver);
  /// Delivers orders, which share a connection: what a cut holds up arrives
  /// with the first resend after it, also what was sent after the cut.
  void SendOnStream(int agent, std::function<void()> deliver);
  void TryToDeliver(int agent,
                    core::Duration delay,
                    core::Duration next_delay,
                    std::function<void()> deliver);
  /// Runs `event` in the agent's process, if that is still `process`; a pause
  /// defers it.
  void InProcess(int agent, std::uint64_t process, std::function<void()> event);

  void Strike(const Fault& fault);
  void StartAgentProcess(int agent);
  void StartWorker(int agent);
  void SubmitJob(std::size_t index);
  /// The operator writes the key of a data centre, and removes it after the
  /// length of the evacuation. Tries again until the store answers.
  void WriteEvacuation(const PlannedEvacuation& evacuation, bool is_present);
  /// Forbids or allows starts on the workers of the data centre.
  void JudgeStarts(const PlannedEvacuation& evacuation, bool is_evacuated);
  /// Delivers a change to the entries, unless their watch is lost.
  void DeliverEvacuation(const store::WatchEvent& event);
  /// Lists the keys of evacuations, and confirms them to the planner of the
  /// term. Tries again until the store answers.
  void ReadEvacuations(std::uint64_t own_term);
  void KillPlanner(core::Duration gap);
  void LoadPlanner();

  void TickAgent(int agent, std::uint64_t process);
  void TickWorker(int agent);
  void Announce(int agent);
  /// Delivers the present description of the worker to the agent's process.
  void SendAnnouncement(int agent, core::Duration delay);
  /// The worker's process ends; `gap` later a new one starts, if given.
  void EndWorker(int agent, std::optional<core::Duration> gap);
  /// The worker ends after its drain, and deregisters.
  void DrainWorker(int agent, core::Duration length);
  /// Returns whether a call of the agent that is sent now is carried out by the
  /// next process of the worker.
  bool IsHeldUp(int agent);
  /// Has a call carried out when it arrives, or by the next process.
  void SendCall(int agent, core::Duration delay, std::function<void()> arrive);
  void TickPlanner(std::uint64_t term);
  void Report(int agent);
  void SendOrders(const AgentOrders& orders, std::uint64_t term);
  void TakeOrders(int agent, const OrderBatch& batch, const Reply& reply);
  void AnswerOrders(int agent,
                    std::uint64_t process,
                    core::TimePoint deadline,
                    const Reply& reply);
  void SendCalls(int agent, const BatchCalls& calls);
  void SendStart(int agent, const StartCall& call);
  void SendStop(int agent, const StopCall& call);
  void Poll(int agent);
  void StoreMembers(std::uint64_t term);
  void StoreProgress(std::uint64_t term);
  /// Carries out a write that depends on the planner's ownership, or loses the
  /// write or its answer. `apply` returns false if another condition fails.
  void Commit(core::SchedulingEpoch owner,
              std::function<bool()> apply,
              CommitDone done);
  bool AllJobsCompleted() const;
  /// Judges by the rule GANG: no member of a gang waits for the others in vain
  /// unless a fault is near.
  void JudgeGangs(Verdict& verdict) const;
  /// Judges by the rule IDLE: no job that could run stands for long.
  void CheckIdleJobs();
  /// Describes what the planner knows of the ready units of a job and of the
  /// workers.
  std::string DescribeIdle(const Job& job) const;
  /// Returns whether the system can act: its planner and the store work.
  bool IsAbleToAct() const;
  /// Returns whether the planner can learn of the worker's runs and stop them.
  bool IsReachable(const Agent& agent) const;
  /// Returns whether the worker can also be given runs, and carries them out.
  bool IsWell(const Agent& agent) const;
  /// Returns whether a unit's turn has come, and the planner can know that none
  /// of its runs has been started or may still be.
  bool CouldStart(const Unit& unit) const;
  int IndexOf(const core::AgentId& id) const;

  Scenario scenario;
  std::mt19937_64 engine;
  EventQueue queue;
  core::TimePoint begin;
  Witness witness;
  Store store;
  core::TimePoint answers_lost_until;
  core::TimePoint writes_late_until;
  core::TimePoint store_down_until;
  core::TimePoint watch_lost_until;
  /// What the entries know of evacuations.
  EvacuationWatch evacuation_watch;
  std::vector<Agent> agents;
  std::unique_ptr<Planner> planner;
  /// Changes with each begin and end of a planner.
  std::uint64_t term = 0;
  std::uint64_t list_revision = 0;
  std::map<core::JobId, std::uint64_t> progress_revisions;
  bool members_in_flight = false;
  core::TimePoint members_retry_at;
  bool progress_in_flight = false;
  core::TimePoint progress_retry_at;
  std::map<GangRun, GangState> gangs;
  core::TimePoint planner_began;
  /// Since when open jobs have stood although they could run.
  std::map<core::JobId, core::TimePoint> idle_since;
  std::vector<std::string> idle_violations;
};

}  // namespace hemlockdoor::batch::exploration
