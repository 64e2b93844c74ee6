// The planner: decides which tasks start on which workers, which runs are
// stopped and which progress is stored.
#pragma once

#include <cstdint>
#include <functional>
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
#include "modules/batch/planner/backfill_limit.h"
#include "modules/batch/planner/caller_cost.h"
#include "modules/batch/planner/evacuation.h"
#include "modules/batch/planner/explanation.h"
#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"
#include "modules/batch/planner/overload_policy.h"
#include "modules/batch/planner/placement.h"
#include "modules/batch/planner/preemption_choice.h"
#include "modules/batch/planner/reservation.h"
#include "modules/batch/planner/room_summary.h"
#include "modules/batch/planner/wait_reason.h"
#include "modules/batch/planner/worker_speeds.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Parameters that depend on the deployment.
struct PlannerOptions {
  /// How long an agent may renew a worker's lease after a report without
  /// hearing from the planner again.
  core::Duration term = core::Duration::Seconds(5);
  /// Longest lease that a worker accepts.
  core::Duration max_worker_lease = kMaxWorkerLease;
  /// How long an ended job stays known.
  core::Duration retention = core::Duration::Seconds(150);
  /// Internal endpoint of this planner.
  std::string endpoint;
  OverloadPolicy overload_policy = OverloadPolicy::kPriority;
  /// Time that a task needs to resume from a checkpoint, and longest time that
  /// a stop takes. Used by `OverloadPolicy::kCallerCost`.
  core::Duration restore_time = core::Duration::Milliseconds(300);
  core::Duration stop_time = core::Duration::Milliseconds(600);
  /// Time for which a worker lets a member of a gang wait for the others.
  core::Duration gang_wait = core::Duration::Milliseconds(3000);
};

/// Log entry for one decision.
struct DecisionLogEntry {
  /// Value of the log field "event".
  std::string event;
  /// Empty if the decision is not about one job.
  core::JobId job;
  /// "name=value" pairs with the data behind the decision.
  std::string detail;
};

/// An order batch and the agent it is to be sent to.
struct AgentOrders {
  core::AgentId agent;
  std::string endpoint;
  OrderBatch batch;
};

/// Progress to be stored, and the Job::version that it reflects.
struct ProgressWrite {
  ProgressRecord record;
  std::uint64_t version = 0;
};

/// Moving average of observed run times.
struct RunTimeAverage {
  int samples = 0;
  double mean_ms = 0;
};

/// State of a job as shown to callers.
enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// The state of a job, and whose it is.
struct OwnedState {
  JobState state = JobState::kQueued;
  JobOwner owner;
};

/// Makes the scheduling decisions of one term. It does no input or output and
/// reads no clock: events come in as calls with their time, and the owner
/// carries out what `Decide` and the `Take...` functions return. Not
/// thread-safe.
class Planner {
 public:
  explicit Planner(PlannerOptions planner_options)
      : options(std::move(planner_options)) {}

  /// Starts a term, after which the owner loads the stored jobs. Their tasks
  /// may still be running on the worker of any agent in `members`, so these
  /// jobs get no starts until each of these agents has reported or its leases
  /// have expired.
  void BeginTerm(core::SchedulingEpoch new_epoch,
                 const std::vector<MemberRecord>& members,
                 core::TimePoint now);
  /// Adds a job that was in the store when the term began. `progress` is
  /// nullptr if none was stored; `wall_ms` is the time in Unix milliseconds.
  void LoadJob(JobRecord record,
               const ProgressRecord* progress,
               bool cancelled,
               core::TimePoint now,
               std::int64_t wall_ms);
  /// Adds a job that was accepted during the term. Does nothing if it is known.
  void AddJob(JobRecord record, core::TimePoint now);
  /// Cancels a job and stops its runs. Does nothing if it is unknown or has
  /// ended.
  void CancelJob(const core::JobId& job, core::TimePoint now);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  /// Takes the evacuated data centres, unless a state of a later store version
  /// is known. From then on no task is started there.
  void SetEvacuations(const EvacuationState& state, core::TimePoint now);
  /// While starts are withheld, nothing is placed, reserved, preempted or sent;
  /// running work is not affected. The owner withholds them while it does not
  /// know whether the evacuations are up to date.
  void WithholdStarts(bool withheld) { this->starts_withheld = withheld; }
  /// Returns the work in all evacuated data centres as of the last decision.
  EvacuationLoad EvacuatedLoad() const;

  /// Applies a report, which the agent sent on its own or in answer to orders.
  ReportAnswer OnReport(const AgentReport& report, core::TimePoint now);
  /// The call with a batch went unanswered, so it is unknown whether the agent
  /// carried it out. Ignored if the batch is no longer open.
  void OnOrdersUnanswered(const core::AgentId& agent,
                          std::uint64_t batch,
                          core::TimePoint now);
  /// The agent answered the call with a batch. Ignored if the batch is no
  /// longer open.
  void OnOrdersAnswered(const core::AgentId& agent, std::uint64_t batch);
  /// The stored member list now consists of these agents.
  void OnMembersRecorded(const std::vector<MemberRecord>& members);
  /// This version of the job's progress has been stored.
  void OnProgressRecorded(const core::JobId& job, std::uint64_t version);

  /// Decides what to start and stop now and returns the order batches to be
  /// sent. An agent gets no further batch while one is open. `wall_ms`, in Unix
  /// milliseconds, is compared with the due times of scheduled jobs.
  std::vector<AgentOrders> Decide(core::TimePoint now, std::int64_t wall_ms);
  /// Returns the progress that is due to be stored, at most `limit` records:
  /// first jobs whose progress has changed, then jobs with just a new
  /// checkpoint of a running task, those that have waited longest first.
  std::vector<ProgressWrite> TakeProgressWrites(core::TimePoint now,
                                                std::int64_t wall_ms,
                                                std::size_t limit);
  /// Removes jobs that ended longer ago than the retention time and returns
  /// their ids, so that the owner deletes their records from the store.
  std::vector<core::JobId> TakeExpiredJobs(core::TimePoint now);
  /// Returns the member list if it differs from the stored one or what is
  /// stored is unknown. The agents that the write adds or removes are in doubt
  /// until `OnMembersRecorded`.
  std::optional<std::vector<MemberRecord>> TakeMembersWrite();
  /// Returns the decisions since the last call.
  std::vector<DecisionLogEntry> TakeDecisionLog() {
    return std::exchange(this->decision_log, {});
  }

  /// Returns the state of a job, or nullopt if the job is unknown.
  std::optional<JobState> StateOf(const core::JobId& job) const;
  /// The same, together with the owner of the job.
  std::optional<OwnedState> OwnedStateOf(const core::JobId& job) const;
  /// Returns true if no unit of the job waits for a start, so that the job may
  /// end at any time, or if the job has ended and its end is not stored yet.
  bool MayEndSoon(const core::JobId& job) const;
  /// Returns the number of open jobs of the queue that have not started. Jobs
  /// with scheduled occurrences do not count.
  std::size_t CountWaitingJobs(const QueueName& queue) const;
  /// Returns a summary of the fleet and the backlog that is at most
  /// `kRoomInterval` old, or nullptr while the planner is still waiting for
  /// agents of the stored member list.
  const RoomSummary* Room(core::TimePoint now);
  /// Returns what `Decide` would do now with an accepted job or with a job that
  /// is described, and why, without any effect on this planner. The decision is
  /// made on a copy, so a call takes the time of a copy and of a decision.
  /// Fails with kNotFound if the job is unknown or has ended or if the queue or
  /// the organisation is unknown, with kInvalidArgument if the described job
  /// has invalid values, and with kUnavailable until all agents of the stored
  /// member list have reported.
  core::Expected<Explanation> Explain(const ExplainRequest& request,
                                      core::TimePoint now,
                                      std::int64_t wall_ms) const;
  /// Returns the jobs that have nothing running although units are ready, as of
  /// one of the latest decisions.
  const WaitSummary& Waits() const { return this->waits; }
  core::SchedulingEpoch Epoch() const { return this->epoch; }
  const Fleet& Agents() const { return this->fleet; }
  const std::map<core::JobId, Job>& Jobs() const { return this->jobs; }
  const WorkerSpeeds& Speeds() const { return this->speeds; }

 private:
  /// Sort key for the order of starts: priority level after penalties for
  /// lateness, priority, time of acceptance.
  using Rank = std::tuple<int, int, core::TimePoint>;
  /// A unit that may be started now.
  struct ReadyUnit {
    Job* job = nullptr;
    Unit* unit = nullptr;
    Rank rank;
  };
  using StartAttempt = std::function<bool(const ReadyUnit&)>;
  /// A copy of the planner that decides for `Explain`.
  class Trial;

  /// Returns the view of the reporting agent, with its address, incarnation and
  /// time of contact brought up to date. Creates it for a new agent.
  AgentView& UpdateView(const AgentReport& report, core::TimePoint now);
  /// Returns whether the report is that of the agent's present process, as far
  /// as known. A process that is not the first one has to show that it has been
  /// answered, since the report of an ended one may arrive late, also after
  /// that of its successor.
  bool IsPresentProcess(const AgentReport& report);
  /// Counts with leases until then, requested by calls for an earlier
  /// incarnation of the worker, whose clock was another.
  static void ExtendLeases(AgentView& view, core::TimePoint until);
  /// Handles a restart of the agent. Only the ended process knew which of its
  /// starts the worker had not answered, and the worker may carry these out
  /// later, so all starts that no report has confirmed become doubtful.
  void OnAgentRestarted(const AgentView& view);
  void ApplyWorker(AgentView& view,
                   const AgentReport& report,
                   core::TimePoint now);
  /// Applies the ends that have not been applied yet, in the order of their
  /// numbers.
  void ApplyEnds(AgentView& view,
                 const AgentReport& report,
                 core::TimePoint now);
  /// Updates the runs that are listed as active, and adopts runs that an
  /// earlier planner started.
  void ApplyActiveRuns(AgentView& view,
                       const AgentReport& report,
                       core::TimePoint now);
  /// Withdraws units with a start that cannot be sent to its agent now, so that
  /// they can start elsewhere.
  void WithdrawUndeliverableStarts(core::TimePoint now);
  /// Removes the unit from its workers if none of its starts has been sent.
  static void WithdrawUnlessSent(Unit& unit);
  /// Keeps in mind that a copy of the start of a run that is over is open. The
  /// run itself is removed.
  void ApplyOpenStart(Job& job,
                      Unit& unit,
                      const AgentView& view,
                      const ActiveRun& over,
                      core::TimePoint now);
  /// Returns true if the unit should wait, since a copy of an earlier start may
  /// be carried out: by a process of the worker that has not been polled yet,
  /// or by the next one of a worker that may have ended or is about to leave.
  /// For the latter the unit waits for a bounded time.
  bool MayOpenStartsBeginRuns(const Unit& unit, core::TimePoint now) const;
  /// Keeps the new checkpoint of a running task.
  void ApplyCheckpoint(Job& job,
                       Unit& unit,
                       const ActiveRun& active,
                       core::TimePoint now);
  /// Removes runs that the agent should list but does not: rejected starts and
  /// lost runs.
  void RemoveMissingRuns(AgentView& view,
                         const AgentReport& report,
                         core::TimePoint now);
  void ApplyEnd(AgentView& view, const RunEnd& end, core::TimePoint now);
  /// Adds the run time of a task to the average of its queue.
  void RecordRunTime(const Job& job,
                     const Unit& unit,
                     const RunEnd& end,
                     core::TimePoint now);
  /// Returns true if the run shows the speed of its worker: it began from the
  /// beginning, in this planner's term, and its step has a certain amount of
  /// work and its own share of the processor.
  bool ShowsSpeed(const Job& job,
                  const Unit& unit,
                  const UnitMember& member) const;
  /// Returns true if the runs of the unit are slowed down by their distance
  /// from the input data or from each other.
  bool IsRemote(const Job& job, const Unit& unit) const;
  /// Passes the pace of an active run on to the estimates of worker speeds.
  void RecordPace(const Job& job,
                  const Unit& unit,
                  const UnitMember& member,
                  const AgentReport& report,
                  core::TimePoint now);
  /// Passes the end of a run on to the estimates of worker speeds.
  void RecordSpeed(const Job& job,
                   const Unit& unit,
                   const UnitMember& member,
                   const RunEnd& end,
                   core::TimePoint now);
  /// Brings the estimates of worker speeds up to date and logs workers that
  /// have become slow or normal.
  void UpdateSpeeds(core::TimePoint now);
  /// Returns the largest factor (`WorkerSpeeds::FactorOf`) of the workers.
  double SlowestFactor(const std::vector<core::AgentId>& agents) const;
  void OnDone(Job& job, Unit& unit, core::TimePoint now);
  void OnFailedRun(Job& job,
                   Unit& unit,
                   AgentView& view,
                   const RunEnd& end,
                   core::TimePoint now);
  /// Removes all runs on the worker of an agent.
  void RemoveMembers(const AgentView& view, core::TimePoint now);
  /// Handles the removal of runs: stops the rest of an incomplete gang.
  void OnMembersRemoved(Job& job, Unit& unit, core::TimePoint now);
  /// Requests a stop of all runs of the unit.
  void StopUnit(Unit& unit);
  void EndJob(Job& job, JobOutcome outcome, core::TimePoint now);
  /// Marks the progress of the job as changed, so that it is stored.
  void MarkChanged(Job& job, core::TimePoint now);
  /// Marks agents as lost whose leases have all expired, and removes their
  /// runs.
  void DropLostAgents(core::TimePoint now);
  /// Clears the reservation of the unit, but not that in the views of the
  /// agents, which RecountUsage brings up to date.
  void ClearReservation(Unit& unit);
  /// Makes blocked units ready that are due and whose earlier steps are done.
  void UpdatePhases(core::TimePoint now, std::int64_t wall_ms);
  /// Stops gangs of which some members are missing.
  void CheckGangs(core::TimePoint now);
  /// Stops the rest of the unit if it is a gang with missing members.
  void StopIncompleteGang(const Job& job, Unit& unit, core::TimePoint now);
  /// Stops gangs whose members have waited for each other for half of the time
  /// that their workers allow, while some of them may not have begun.
  void StopWaitingGangs(core::TimePoint now);
  /// Returns whether the gang's work cannot have begun, as far as is known:
  /// some member has waited for long without progress, and another one has not
  /// begun or may have ended.
  bool WaitsInVain(const Unit& unit, core::TimePoint now) const;
  /// Stops all members of the gang, and logs it.
  void StopGang(const Job& job, Unit& unit, core::TimePoint now);
  /// Logs that the last member of a gang was ordered long after the first.
  void LogSlowGangOrders(const Job& job, const Unit& unit, core::TimePoint now);
  /// Stops runs on draining workers that would not end before their worker
  /// leaves, if they can continue elsewhere or can start again elsewhere in
  /// time.
  void EvacuateDrainingWorkers(core::TimePoint now);
  /// Returns true if the unit should be stopped because one of its workers may
  /// leave at `leaves_at`.
  bool ShouldEvacuate(const Job& job,
                      const Unit& unit,
                      core::TimePoint leaves_at,
                      core::TimePoint now) const;
  /// Marks the workers in evacuated data centres, withdraws starts there that
  /// have not been sent, and releases capacity that is reserved there.
  void ApplyEvacuations(core::TimePoint now);
  /// Removes the starts of the unit that have not been sent, and stops its
  /// runs, which no longer are a whole gang.
  void WithdrawUnsentStarts(const Job& job,
                            Unit& unit,
                            const std::string& reason);
  bool IsInEvacuatedDataCentre(const core::AgentId& agent) const;
  /// Counts the units in evacuated data centres and logs those that have become
  /// empty.
  void CountEvacuatedLoad(core::TimePoint now);
  /// Stops long-running units in evacuated data centres that fit elsewhere, at
  /// most one of a step at a time. Other units end where they are.
  void MigrateLongRunningUnits(core::TimePoint now);
  /// Logs each job once that waits because all its workers are in evacuated
  /// data centres.
  void LogUnitsWithoutDataCentre();
  /// Returns whether all workers that offer the service and have the label are
  /// in evacuated data centres, and there is at least one.
  bool OnlyEvacuatedWorkersFit(const PlacementRequest& request) const;
  /// Returns true if the run has made no progress for an unusually long time.
  bool IsStalled(const Job& job,
                 const Unit& unit,
                 const UnitMember& member) const;
  /// Returns true if a restart of the unit loses no more run time than the
  /// stall is still expected to last.
  bool IsCheapToRestart(const Job& job, const Unit& unit) const;
  /// Returns the agents on whose workers some run is stalled and none
  /// progresses.
  std::set<core::AgentId> StalledAgents() const;
  /// Suspends workers with stalled runs, and stops stalled units that can be
  /// placed elsewhere and are cheap to restart.
  void MoveStalledUnits(core::TimePoint now);
  /// Returns the expected time until the last run of the unit ends.
  core::Duration RemainingRunTime(const Job& job,
                                  const Unit& unit,
                                  core::TimePoint now) const;
  /// Does the part of a decision that precedes the starts.
  void PrepareStarts(core::TimePoint now, std::int64_t wall_ms);
  /// Starts ready units in the order of their rank, with preemption if needed.
  void Schedule(core::TimePoint now);
  /// Releases outdated reservations and returns the units that may be started,
  /// in the order of their rank.
  std::vector<ReadyUnit> ReadyInOrder(core::TimePoint now);
  /// Calls `attempt` for each unit, except for those that cannot start since it
  /// has returned false for an earlier one of their step.
  static void StartInOrder(const std::vector<ReadyUnit>& ready,
                           const StartAttempt& attempt);
  /// Returns the value of a core-second of the ready units that still have
  /// value.
  double WorthOfWaitingWork(const std::vector<ReadyUnit>& ready,
                            core::TimePoint now) const;
  /// Keeps capacity free for the unit if it is expected to start there soon.
  /// Otherwise preempts others if it gains more than they lose. Returns false
  /// if it does neither.
  bool TryReserveOrPreempt(Job& job,
                           Unit& unit,
                           const PlacementRequest& request,
                           core::TimePoint now);
  /// Preempts others if the unit gains more than they lose, compared with a
  /// start at `expected_start`, or if it is within its guarantee.
  bool TryPreemptByGain(Job& job,
                        Unit& unit,
                        const PlacementRequest& request,
                        core::TimePoint expected_start,
                        core::TimePoint now);
  /// Returns the running units of less urgent jobs, with their loss in value.
  std::vector<Victim> VictimsByLoss(const Job& job, core::TimePoint now);
  PreemptionChoice MakePreemptionChoice() const {
    return {this->caller_cost, this->options.restore_time,
            this->options.stop_time};
  }
  /// Returns the expected time from the order of a stop to its end.
  core::Duration ExpectedStopTime() const;
  /// Adds the wait of a unit that starts now to the average of its priority.
  void CountWait(const Job& job, const Unit& unit, core::TimePoint now);
  /// Reserves the capacity for the unit and stops the victims.
  void CarryOutPreemption(const Job& job,
                          Unit& unit,
                          const PreemptingPlacement& placement,
                          const std::string& gain,
                          core::TimePoint now);
  /// Places the unit, or preempts others for it. Returns false if it can do
  /// neither.
  bool TryStart(Job& job, Unit& unit, core::TimePoint now);
  /// Returns false if the unit is uncheckpointed backfill work and starting it
  /// would exceed the limit for such work, unless `IsVoluntaryWaitOver`.
  bool IsWithinBackfillLimit(const Job& job,
                             const Unit& unit,
                             core::TimePoint now);
  /// Keeps capacity free for the unit if it is expected to start there soon
  /// enough when running work ends, so that nothing need be stopped for it.
  bool TryReserve(Job& job,
                  Unit& unit,
                  const PlacementRequest& request,
                  core::TimePoint now);
  /// Keeps faster workers for a unit that could start now, if its job would
  /// become late on these workers and the unit is expected to end sooner on the
  /// faster ones although it starts there later. Returns false if it should
  /// start now.
  bool ReserveFaster(Job& job,
                     Unit& unit,
                     const PlacementRequest& request,
                     const std::vector<core::AgentId>& workers,
                     core::TimePoint now);
  /// Returns the latest time until which the unit should rather wait for
  /// running work to end than have it stopped.
  core::TimePoint LatestWorthwhileWait(const Job& job,
                                       const Unit& unit,
                                       core::TimePoint now) const;
  /// Returns the time until the unit, which has runs, is expected to end.
  core::Duration ExpectedWait(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const;
  /// Returns when the runs that are active are expected to end.
  const ExpectedReleases& Releases(core::TimePoint now);
  /// Stops units of less urgent jobs and reserves their capacity for the unit,
  /// if the lost work is within bounds.
  bool TryPreempt(Job& job,
                  Unit& unit,
                  const PlacementRequest& request,
                  core::TimePoint now);
  PlacementRequest RequestFor(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const;
  /// Returns the service whose workers run the job: that of its queue now, or
  /// when it was accepted if the queue no longer exists.
  core::ServiceName ServiceOf(const Job& job) const;
  /// Creates a run on the given agent for each task of the unit.
  void Assign(Job& job,
              Unit& unit,
              std::vector<core::AgentId> agents,
              core::TimePoint now);
  void Reserve(const Job& job,
               Unit& unit,
               const std::vector<core::AgentId>& agents);
  /// Returns the reserved capacity of the unit to the views of the agents and
  /// clears the reservation.
  void ReleaseReservedCapacity(const Job& job, Unit& unit);
  /// Sums the accelerators that the open jobs of priority 0 need, by
  /// organisation. Once for each decision, since each waiting unit asks.
  void SumGuaranteedNeeds();
  /// Returns true if the job is of priority 0 and all open jobs of priority 0
  /// of its organisation together fit in the guaranteed accelerators.
  bool IsWithinGuarantee(const Job& job) const;
  /// Returns the average run time of the queue on a worker of factor 1.0, or
  /// the declared estimate as long as there are too few samples.
  core::Duration ExpectedRunTime(const Job& job, const Unit& unit) const;
  /// Returns the expected run time on the workers on which the unit has runs.
  core::Duration PlacedRunTime(const Job& job, const Unit& unit) const;
  Rank RankOf(const Job& job, const Unit& unit, core::TimePoint now) const;
  /// Returns the value of the unit's job if the unit starts at `start`, as a
  /// share of the value if it ends within its objective.
  double WorthShare(const Job& job,
                    const Unit& unit,
                    core::TimePoint start) const;
  /// Returns the core-seconds of other units' work that may be lost by
  /// preemption for the unit.
  double MaxPreemptionCost(const Job& job,
                           const Unit& unit,
                           core::TimePoint now) const;
  /// Returns the core-seconds that are lost if the unit is stopped now.
  double PreemptionCost(const Job& job,
                        const Unit& unit,
                        core::TimePoint now) const;
  /// Returns the running units of less urgent jobs.
  std::vector<Victim> PreemptionCandidates(const Job& job, core::TimePoint now);
  /// Returns the agent if `batch` is its open batch, or nullptr.
  AgentView* FindAgentWithOpenBatch(const core::AgentId& agent,
                                    std::uint64_t batch);
  /// Treats batches as unanswered whose call has not ended in time.
  void CloseOverdueBatches(core::TimePoint now);
  /// Collects starts, stops and probes into one batch for each agent.
  std::vector<AgentOrders> CollectOrders(core::TimePoint now);
  /// Counts the jobs that have nothing running although units are ready, and
  /// logs those that wait while most of the room is free.
  void WatchWaits(core::TimePoint now);
  void LogWait(const Job& job,
               const Unit& unit,
               WaitReason reason,
               core::TimePoint now);
  /// Returns what keeps the unit from its start.
  WaitReason ReasonOfWait(const Job& job,
                          const Unit& unit,
                          core::TimePoint now) const;
  /// Measures the resources of the workers for `IsMostRoomFree`. Once for each
  /// decision; starts are added afterwards.
  void MeasureRoom();
  /// Returns true if at most half of each resource of the workers is in use.
  bool IsMostRoomFree() const {
    return (this->room_in_use + this->room_in_use).FitsIn(this->usable_room);
  }
  /// Returns true if the unit has been ready for `kMaxVoluntaryWait` while its
  /// job has nothing running and most of the room is free. It then starts
  /// wherever it fits.
  bool IsVoluntaryWaitOver(const Job& job,
                           const Unit& unit,
                           core::TimePoint now) const;
  /// Recomputes the used and reserved resources of all workers.
  void RecountUsage();
  void UpdateBackfillUsage(std::int64_t backfill_accelerators);
  /// Returns true while an agent of the stored member list has neither reported
  /// in this term nor been lost. Jobs of earlier terms get no starts until
  /// then.
  bool IsRecovering(core::TimePoint now) const;
  void LogDecision(std::string event,
                   const core::JobId& job,
                   std::string detail);

  PlannerOptions options;
  core::SchedulingEpoch epoch;
  /// Recovery ends at this time at the latest.
  core::TimePoint recovery_deadline;
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>();
  Fleet fleet;
  std::map<core::JobId, Job> jobs;
  /// Average run times of completed tasks on a worker of factor 1.0, by queue.
  std::map<QueueName, RunTimeAverage> run_times;
  WorkerSpeeds speeds;
  CallerCost caller_cost;
  BackfillLimit backfill_limit;
  Evacuations evacuations;
  bool starts_withheld = false;
  /// Jobs whose wait for evacuated data centres has been logged.
  std::set<core::JobId> jobs_logged_as_waiting;
  /// See `SumGuaranteedNeeds`.
  std::map<core::OrganisationId, std::int64_t> guaranteed_needs;
  /// Kept for the length of one decision.
  std::optional<ExpectedReleases> releases;
  /// Earliest time of the next write of checkpoints of running tasks.
  core::TimePoint next_checkpoint_write;
  std::vector<DecisionLogEntry> decision_log;
  RoomMeter room;
  WaitSummary waits;
  core::TimePoint next_wait_check;
  /// Resources of the workers that are ready, and what is in use of them.
  Resources usable_room;
  Resources room_in_use;
  /// Value of a core-second of the waiting work in this decision.
  double waiting_worth = 0.0;
  /// Moving average of the waits of started units by priority, in milliseconds.
  std::map<int, double> waits_ms;
};

}  // namespace hemlockdoor::batch
