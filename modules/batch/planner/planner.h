// The planner: which task starts where, what is stopped, what is recorded.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "modules/batch/model/configuration.h"
#include "modules/batch/model/messages.h"
#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"
#include "modules/batch/planner/lending_limit.h"
#include "modules/batch/planner/placement.h"
#include "modules/batch/planner/prospect.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Times that depend on the deployment.
struct PlannerOptions {
  /// How long an agent may keep a worker's lease alive without the planner.
  core::Duration term = core::Duration::Seconds(5);
  /// How long the state of an ended job is kept.
  core::Duration retention = core::Duration::Seconds(150);
  /// Internal endpoint of this planner.
  std::string endpoint;
};

/// One decision, for the log.
struct DecisionLogEntry {
  std::string event;
  core::JobId job;
  /// "name=value" pairs: what decided it.
  std::string detail;
};

/// Orders for one agent.
struct AgentOrders {
  core::AgentId agent;
  std::string endpoint;
  OrderBatch batch;
};

/// Progress to be stored, with the version that it brings up to date.
struct ProgressWrite {
  ProgressRecord record;
  std::uint64_t version = 0;
};

/// Run times that were seen, as a moving average.
struct RunTimes {
  int samples = 0;
  double mean_ms = 0;
};

/// What callers see of a job.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// The decisions of one term: pure, driven by events with their time. The
/// owner carries out what `Decide` and the `Take` functions return.
class Planner {
 public:
  explicit Planner(PlannerOptions planner_options)
      : options(std::move(planner_options)) {}

  /// Starts a term. Tasks of jobs known now may run on any of `members`; they
  /// start again only when each has reported or its leases are over.
  void BeginTerm(core::SchedulingEpoch new_epoch,
                 const std::vector<MemberRecord>& members,
                 core::TimePoint now);
  /// A job found in the store when the term began.
  void LoadJob(JobRecord record,
               const ProgressRecord* progress,
               bool cancelled,
               core::TimePoint now,
               std::int64_t wall_ms);
  /// A job accepted since; known ones are ignored.
  void AddJob(JobRecord record, core::TimePoint now);
  void CancelJob(const core::JobId& job, core::TimePoint now);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

  /// An agent's report, brought by itself or as the answer to orders.
  ReportAnswer OnReport(const AgentReport& report, core::TimePoint now);
  /// The call that carried a batch got no answer: what it did is not known.
  void OnOrdersUnanswered(const core::AgentId& agent,
                          std::uint64_t batch,
                          core::TimePoint now);
  /// The agent answered a batch. A batch that is not open any more is ignored,
  /// here and above.
  void OnOrdersAnswered(const core::AgentId& agent, std::uint64_t batch);
  /// The stored member list now holds these agents.
  void OnMembersRecorded(const std::vector<MemberRecord>& members);
  void OnProgressRecorded(const core::JobId& job, std::uint64_t version);

  /// Decides what to do now; `wall_ms` is for due times. At most one batch an
  /// agent is open at a time.
  std::vector<AgentOrders> Decide(core::TimePoint now, std::int64_t wall_ms);
  /// Progress that is due to be stored, at most `limit` records: changes first,
  /// then checkpoints of runs that go on, those that wait longest first.
  std::vector<ProgressWrite> TakeProgressWrites(core::TimePoint now,
                                                std::int64_t wall_ms,
                                                std::size_t limit);
  /// Ended jobs that nobody needs any more; they are forgotten here.
  std::vector<core::JobId> TakeExpiredJobs(core::TimePoint now);
  /// The member list when it differs from the stored one.
  std::optional<std::vector<MemberRecord>> ChangedMembers() const;
  std::vector<DecisionLogEntry> TakeDecisionLog() {
    return std::exchange(this->notes, {});
  }

  std::optional<JobState> StateOf(const core::JobId& job) const;
  /// Nothing of the job waits for a start: it may end at any time, or has ended
  /// and its end is being stored.
  bool MayEndSoon(const core::JobId& job) const;
  /// Accepted jobs of the queue, without due times, that have not begun.
  std::size_t CountWaitingJobs(const QueueName& queue) const;
  core::SchedulingEpoch Epoch() const { return this->epoch; }
  const Fleet& Agents() const { return this->fleet; }
  const std::map<core::JobId, Job>& Jobs() const { return this->jobs; }

 private:
  /// Order of starts: level, priority, acceptance.
  using Rank = std::tuple<int, int, core::TimePoint>;
  struct Ready {
    Job* job = nullptr;
    Unit* unit = nullptr;
    Rank rank;
  };

  AgentView& ViewOf(const AgentReport& report, core::TimePoint now);
  void TakeWorker(AgentView& view,
                  const AgentReport& report,
                  core::TimePoint now);
  void TakeEnds(AgentView& view,
                const AgentReport& report,
                core::TimePoint now);
  void TakeActive(AgentView& view,
                  const AgentReport& report,
                  core::TimePoint now);
  /// Keeps what a run that goes on has saved.
  void TakeCheckpoint(Job& job,
                      Unit& unit,
                      const ActiveRun& active,
                      core::TimePoint now);
  void TakeMissing(AgentView& view,
                   const AgentReport& report,
                   core::TimePoint now);
  void ApplyEnd(AgentView& view, const RunEnd& end, core::TimePoint now);
  void NoteRunTime(const Job& job,
                   const Unit& unit,
                   const RunEnd& end,
                   core::TimePoint now);
  void OnDone(Job& job, Unit& unit, core::TimePoint now);
  void OnFailedRun(Job& job,
                   Unit& unit,
                   AgentView& view,
                   const RunEnd& end,
                   core::TimePoint now);
  void RemoveMembers(const AgentView& view, core::TimePoint now);
  void AfterMembersLeft(Job& job, Unit& unit, core::TimePoint now);
  void StopUnit(Unit& unit);
  void EndJob(Job& job, JobOutcome outcome, core::TimePoint now);
  void Change(Job& job, core::TimePoint now);
  void DropLost(core::TimePoint now);
  void ReleaseReservation(Unit& unit);
  void UpdatePhases(core::TimePoint now, std::int64_t wall_ms);
  void CheckGangs();
  /// Stops what a leaving worker would take along, where it can go on, or start
  /// again in time, elsewhere.
  void EvacuateLeaving(core::TimePoint now);
  bool ShouldEvacuate(const Job& job,
                      const Unit& unit,
                      core::TimePoint leaves,
                      core::TimePoint now) const;
  bool IsStalled(const Job& job, const Unit& unit, const Member& member) const;
  /// Starting the unit again loses less than a stall is expected to take.
  bool LosesLittle(const Job& job, const Unit& unit) const;
  /// Agents of workers on which some runs stand still and none moves.
  std::set<core::AgentId> StalledAgents() const;
  /// Suspends such workers, and moves from them what gains by it.
  void MoveStalled(core::TimePoint now);
  core::Duration RemainingRun(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const;
  void Schedule(core::TimePoint now);
  bool TryStart(Job& job, Unit& unit, core::TimePoint now);
  /// Starting a unit that loses work when it is stopped does not exceed what
  /// its priority may use.
  bool MayBorrow(const Job& job, const Unit& unit, core::TimePoint now);
  bool TryPreempt(Job& job,
                  Unit& unit,
                  const PlacementRequest& request,
                  core::TimePoint now);
  PlacementRequest RequestFor(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const;
  void Assign(Job& job,
              Unit& unit,
              const std::vector<core::AgentId>& agents,
              core::TimePoint now);
  void Reserve(const Job& job,
               Unit& unit,
               const std::vector<core::AgentId>& agents,
               core::TimePoint now);
  void ReturnReserved(const Job& job, Unit& unit);
  bool IsWithinGuarantee(const Job& job) const;
  core::Duration TypicalRun(const Job& job, const Unit& unit) const;
  Rank RankOf(const Job& job, const Unit& unit, core::TimePoint now) const;
  Prospect ProspectOf(const Job& job,
                      const Unit& unit,
                      core::TimePoint now) const;
  double LossLimit(const Job& job, const Unit& unit, core::TimePoint now) const;
  double CostOfStopping(const Job& job,
                        const Unit& unit,
                        core::TimePoint now) const;
  std::vector<Victim> VictimsFor(const Job& job, core::TimePoint now);
  /// The agent, when that batch is its open one; else nullptr.
  AgentView* WithOpenBatch(const core::AgentId& agent, std::uint64_t batch);
  /// Takes batches whose call did not end for unanswered.
  void CloseOverdueBatches(core::TimePoint now);
  std::vector<AgentOrders> CollectOrders(core::TimePoint now);
  void RecountUsage();
  void SetLending(std::int64_t borrowed);
  bool IsRecovering(core::TimePoint now) const;
  void Note(std::string event, const core::JobId& job, std::string detail);

  PlannerOptions options;
  core::SchedulingEpoch epoch;
  core::TimePoint recovery_ends;
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>();
  Fleet fleet;
  std::map<core::JobId, Job> jobs;
  /// Run times of what ended, by queue.
  std::map<QueueName, RunTimes> run_times;
  LendingLimit lending;
  /// When checkpoints of runs that go on may be stored again.
  core::TimePoint checkpoints_due;
  std::vector<DecisionLogEntry> notes;
};

}  // namespace hemlockdoor::batch
