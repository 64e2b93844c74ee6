// Messages between planner and agents, and stored records of job progress.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/batch/model/job_spec.h"
#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

enum class WorkerState { kReady, kDraining };

/// A worker as described in its latest announcement.
struct WorkerDescription {
  WorkerIdentity identity;
  core::ServiceName service;
  core::DataCentreId data_centre;
  core::RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  WorkerState state = WorkerState::kReady;
  /// Minimum time until a draining worker leaves.
  core::Duration remaining;
  /// Time for which the worker is still slow after its start.
  core::Duration cold_left;
};

/// A run that is or may be on a worker.
struct ActiveRun {
  RunKey key;
  /// False until the worker has confirmed the start.
  bool confirmed = false;
  /// The run is over and occupies nothing, but a copy of its start had no
  /// answer and may begin it anew on a later incarnation of the worker.
  bool is_over = false;
  /// Latest known checkpoint; empty if there is none.
  std::string checkpoint;
  /// Progress from 0 to 100.
  int percent = 0;
  /// Time since `percent` last changed.
  core::Duration still;
  /// Tail latency in milliseconds for a serving task; millicores in use for any
  /// other task.
  std::int64_t gauge = 0;
};

enum class RunEndKind {
  kDone,
  kFailed,          ///< Failed, through its own fault or the worker's.
  kStopped,         ///< Stopped on the planner's order.
  kLeaseExpired,    ///< The lease of the run expired.
  kGangBroken,      ///< Another task of the gang ended.
  kGangIncomplete,  ///< The other tasks of the gang did not start.
};

/// The end of a run. The worker lists it until it is acknowledged.
struct RunEnd {
  /// Sequence number, rising from 1 within one incarnation of the worker.
  std::uint64_t number = 0;
  RunKey key;
  RunEndKind kind = RunEndKind::kFailed;
  std::string checkpoint;
};

/// Why a start was not carried out.
enum class RejectReason {
  kStaleEpoch,  ///< The worker has seen a newer epoch.
  kStaleRun,    ///< The worker has stopped or ended a run with this or a higher
                ///< number.
  kDeadlinePassed,  ///< The deadline of the order has passed.
  kNoCapacity,      ///< The worker has too little free capacity.
  kInvalidTicket,   ///< The order carries no valid ticket.
  kUnhealthy,  ///< The worker refuses work for now (overloaded or unhealthy).
  kDraining,   ///< The worker is draining.
  kNoWorker,   ///< No such worker, no lease for it, or it is unreachable.
  kNotListed,  ///< The worker lists neither the run nor its end.
  kInvalid,    ///< The worker refuses the order as invalid.
  kEvacuated,  ///< The worker's data centre is evacuated.
};

/// A start that was not carried out and will not be.
struct Rejection {
  RunKey key;
  RejectReason reason = RejectReason::kInvalid;
};

/// A planner's estimate of the speed of an agent's worker. Agents repeat it, so
/// that it survives a change of the planner.
struct ReportedSpeed {
  /// Natural logarithm of the time factor; 0 is the fleet's median.
  double log_factor = 0;
  /// Number of runs that the estimate is worth; 0 if there is none.
  double weight = 0;
};

/// Snapshot of what an agent knows about its worker.
struct AgentReport {
  core::AgentId agent;
  /// "ADDRESS:PORT" where the agent takes orders.
  std::string endpoint;
  /// Changes with each restart of the agent.
  core::Incarnation incarnation;
  /// Rises with each report of one incarnation.
  std::uint64_t sequence = 0;
  core::SchedulingEpoch epoch;
  /// Session of `epoch` that the agent is in; empty in reports of versions that
  /// do not state it.
  std::optional<SessionNumber> session;
  /// Highest number among the order batches of `epoch` that the agent has
  /// accepted.
  std::uint64_t batch = 0;
  /// Empty if the agent has no worker.
  std::optional<WorkerDescription> worker;
  /// False after a call to the worker went unanswered.
  bool worker_reachable = true;
  /// True if the lists below cover everything on the worker and everything that
  /// the worker may still start on the orders of the session and of earlier
  /// ones. False at the begin of a session, and after a restart of the worker,
  /// until the worker has answered a poll.
  bool is_complete = false;
  /// True if the agent has an unexpired term from the planner and knows the
  /// worker's clock. Without both it cannot set the lease of a run, and refuses
  /// starts.
  bool can_start = true;
  /// Time for which the worker may hold a lease that calls for a former
  /// incarnation requested by another clock; zero if there is none. Such a
  /// lease may outlast the term.
  core::Duration restart_lease;
  /// Estimate from the latest answer of a planner.
  ReportedSpeed speed;
  /// Time since the worker stated the progress of the active runs.
  core::Duration progress_age;
  std::vector<ActiveRun> active;
  std::vector<RunEnd> ends;
  std::vector<Rejection> rejections;
};

/// Worker clocks may run up to 2% slow. A lease may then last longer than
/// granted by its length divided by this number.
inline constexpr std::int64_t kClockDriftDivisor = 50;

/// Upper bound of the lease durations that workers accept.
inline constexpr core::Duration kMaxWorkerLease = core::Duration::Seconds(11);

/// The same with the drift of the worker's clock.
inline constexpr core::Duration kLongestRestartLease =
    kMaxWorkerLease + kMaxWorkerLease / kClockDriftDivisor;

/// The planner's answer to a report.
struct ReportAnswer {
  core::SchedulingEpoch epoch;
  SessionNumber session;
  /// How long the agent may renew the worker's lease, counted from the time at
  /// which it sent the report.
  core::Duration term;
  /// Time, counted from the arrival of the answer, after which no lease or
  /// start that was requested before the session, by earlier processes of the
  /// agent or from an earlier incarnation of the worker, can be valid.
  core::Duration earlier_leases = kMaxWorkerLease;
  /// Longest lease that a worker accepts.
  core::Duration max_worker_lease = kMaxWorkerLease;
  /// Incarnation of the worker to which `acknowledged` refers.
  WorkerIdentity worker;
  /// Ends up to this number are recorded, so that agent and worker may drop
  /// them.
  std::uint64_t acknowledged = 0;
  /// Estimate of the speed of the agent's worker, which the agent repeats.
  ReportedSpeed speed;
  /// Internal endpoints of all entries.
  std::vector<std::string> entries;
  /// Evacuated data centres as of the store version `evacuation_revision`. 0
  /// stands for a planner that does not know of evacuations.
  std::set<core::DataCentreId> evacuated;
  store::ModRevision evacuation_revision;
};

/// Order to start a run.
struct StartOrder {
  RunKey key;
  std::string payload;
  /// Checkpoint to continue from; empty for a start from the beginning.
  std::string checkpoint;
  /// Ticket that is passed to the worker; empty if there is none.
  std::string ticket;
};

/// Orders of the planner to one agent, which carries out batches in the order
/// of their numbers and refuses a number that it has already seen in the epoch.
struct OrderBatch {
  core::SchedulingEpoch epoch;
  /// An agent that knows a later session of the epoch refuses the batch, since
  /// the planner may have started its runs elsewhere.
  SessionNumber session;
  std::uint64_t number = 0;
  /// Internal endpoint of the planner.
  std::string planner;
  /// Incarnation of the agent that the batch is meant for; 0 stands for any and
  /// is used only for batches without starts.
  core::Incarnation agent_incarnation;
  WorkerIdentity worker;
  std::vector<StartOrder> starts;
  std::vector<RunKey> stops;
  /// Runs whose start an earlier process of the agent may have sent, so that
  /// the worker may still carry it out. The agent stops each of them, and lists
  /// it as active until the worker can no longer start it.
  std::vector<RunKey> revoked_starts;
  /// As in `ReportAnswer`.
  std::set<core::DataCentreId> evacuated;
  store::ModRevision evacuation_revision;
};

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

/// Numbers of the failed runs of a task.
struct FailedRuns {
  TaskName task;
  std::vector<std::int64_t> runs;
};

/// Latest checkpoint of a task, from which a later run continues.
struct SavedCheckpoint {
  TaskName task;
  std::string checkpoint;
};

/// Stored progress of a job. A gang is represented by its first task.
struct ProgressRecord {
  core::JobId job;
  JobOutcome outcome = JobOutcome::kOpen;
  std::vector<TaskName> done;
  std::vector<FailedRuns> failed;
  std::vector<SavedCheckpoint> checkpoints;
  /// Highest run number used so far. Later runs get higher numbers.
  std::int64_t highest_run = 0;
  std::int64_t ended_wall_ms = 0;
};

/// An agent in the stored member list. A new planner contacts all of them,
/// since each may have runs on its worker.
struct MemberRecord {
  core::AgentId agent;
  std::string endpoint;
  /// The worker has started anew recently and may hold a lease as long as a
  /// worker accepts, longer than the term of its agent. Written before runs are
  /// started on it.
  bool long_leases = false;
};

/// The stored member list, without the entries that cannot be decoded.
struct MemberList {
  std::vector<MemberRecord> members;
  /// One error for each entry that was left out.
  std::vector<core::Error> errors;
};

/// Encode to and decode from JSON. Decoding fails with kInvalidArgument if the
/// text is malformed, or if a field has a value that it cannot hold. Unknown
/// fields are ignored.
std::string ToText(const JobRecord& record);
std::string ToText(const ProgressRecord& record);
std::string ToText(const std::vector<MemberRecord>& members);
std::string ToText(const AgentReport& report);
std::string ToText(const ReportAnswer& answer);
std::string ToText(const OrderBatch& batch);
core::Expected<JobRecord> JobRecordFromText(const std::string& text);
core::Expected<ProgressRecord> ProgressFromText(const std::string& text);
/// Fails only if the text is no list; an entry that cannot be decoded is left
/// out.
core::Expected<MemberList> MembersFromText(const std::string& text);
core::Expected<AgentReport> ReportFromText(const std::string& text);
core::Expected<ReportAnswer> ReportAnswerFromText(const std::string& text);
core::Expected<OrderBatch> OrderBatchFromText(const std::string& text);

/// Returns the name used in logs and messages.
std::string NameOf(RunEndKind kind);
std::string NameOf(RejectReason reason);
std::string NameOf(JobOutcome outcome);

}  // namespace hemlockdoor::batch
