// Messages between planner and agents, and records of progress.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/batch/model/job_spec.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

enum class WorkerState { kReady, kDraining };

/// A worker as it last described itself.
struct WorkerDescription {
  WorkerIdentity identity;
  core::ServiceName service;
  core::DataCentreId data_centre;
  core::RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  WorkerState state = WorkerState::kReady;
  /// Least time left while draining.
  core::Duration remaining;
};

/// A run that holds capacity on a worker.
struct ActiveRun {
  RunKey key;
  /// False while the worker has not confirmed the start.
  bool confirmed = false;
  std::string checkpoint;
  int percent = 0;
  /// How long `percent` has not changed.
  core::Duration still;
  /// Tail latency in milliseconds of a serving task, else millicores in use.
  std::int64_t gauge = 0;
};

enum class RunEndKind {
  kDone,
  kFailed,          ///< By its own fault or the worker's.
  kStopped,         ///< On our order.
  kLeaseExpired,    ///< Its lease ended.
  kGangBroken,      ///< Another member of the gang ended.
  kGangIncomplete,  ///< The other members of the gang did not come.
};

/// An end as the worker lists it until it is acknowledged.
struct RunEnd {
  /// Rises within one life of the worker, from 1.
  std::uint64_t number = 0;
  RunKey key;
  RunEndKind kind = RunEndKind::kFailed;
  std::string checkpoint;
};

enum class RejectReason {
  kStaleEpoch,      ///< The worker has seen a newer epoch.
  kStaleRun,        ///< A run at least as high was stopped or ended there.
  kDeadlinePassed,  ///< The order's deadline has passed.
  kNoCapacity,      ///< Does not fit.
  kInvalidTicket,   ///< No valid ticket.
  kUnhealthy,       ///< The worker turns work away.
  kDraining,        ///< The worker is leaving.
  kNoWorker,        ///< No such worker, or no lease for it.
  kUnanswered,      ///< Unanswered, then stopped before it began.
  kInvalid,         ///< The worker does not accept the order.
};

/// A start that did not and will not happen.
struct Rejection {
  RunKey key;
  RejectReason reason = RejectReason::kInvalid;
};

/// What an agent knows of its worker at one moment.
struct AgentReport {
  core::AgentId agent;
  /// "ADDRESS:PORT" where the agent takes orders.
  std::string endpoint;
  /// Tells restarts of the agent apart.
  core::Incarnation incarnation;
  /// Rises with each report of one incarnation.
  std::uint64_t sequence = 0;
  core::SchedulingEpoch epoch;
  /// Highest batch of that epoch that was carried out.
  std::uint64_t batch = 0;
  std::optional<WorkerDescription> worker;
  /// False after a call to the worker that got no answer.
  bool worker_reachable = true;
  /// The lists below hold all that is on the worker. False while a restarted
  /// agent, or one with a restarted worker, has not looked at it yet.
  bool is_complete = false;
  /// The agent holds a term and knows its worker's clock. Without both it
  /// cannot lease what it starts, and refuses starts.
  bool can_start = true;
  std::vector<ActiveRun> active;
  std::vector<RunEnd> ends;
  std::vector<Rejection> rejections;
};

/// Worker clocks may run 2% slow, so a lease lasts that much longer: its length
/// divided by this.
inline constexpr std::int64_t kClockDriftDivisor = 50;

/// The planner's answer to a report.
struct ReportAnswer {
  core::SchedulingEpoch epoch;
  /// How long the agent may keep the worker's lease alive, counted from when
  /// it sent the report.
  core::Duration term;
  /// Life of the worker that `acknowledged` counts for.
  WorkerIdentity worker;
  /// Ends up to this number are recorded.
  std::uint64_t acknowledged = 0;
  /// Internal endpoints of all entries.
  std::vector<std::string> entries;
};

struct StartOrder {
  RunKey key;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
};

/// Orders that an agent carries out in turn.
struct OrderBatch {
  core::SchedulingEpoch epoch;
  std::uint64_t number = 0;
  /// Internal endpoint of the planner.
  std::string planner;
  /// The agent that the batch is meant for; 0: any, used without starts.
  core::Incarnation agent_incarnation;
  WorkerIdentity worker;
  std::vector<StartOrder> starts;
  std::vector<RunKey> stops;
};

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

/// A task that failed, with the numbers of the runs that did.
struct FailedRuns {
  TaskName task;
  std::vector<std::int64_t> runs;
};

/// A checkpoint that a later run may continue from.
struct SavedCheckpoint {
  TaskName task;
  std::string checkpoint;
};

/// What is stored of a job's progress. For gangs the first task stands for all.
struct ProgressRecord {
  core::JobId job;
  JobOutcome outcome = JobOutcome::kOpen;
  std::vector<TaskName> done;
  std::vector<FailedRuns> failed;
  std::vector<SavedCheckpoint> checkpoints;
  /// Highest run number known; later ones are higher.
  std::int64_t highest_run = 0;
  std::int64_t ended_wall_ms = 0;
};

/// An agent that a planner has to ask after a takeover.
struct MemberRecord {
  core::AgentId agent;
  std::string endpoint;
};

/// JSON texts of the above. Decoding fails with kInvalidArgument.
std::string ToText(const JobRecord& record);
std::string ToText(const ProgressRecord& record);
std::string ToText(const std::vector<MemberRecord>& members);
std::string ToText(const AgentReport& report);
std::string ToText(const ReportAnswer& answer);
std::string ToText(const OrderBatch& batch);
core::Expected<JobRecord> JobRecordFromText(const std::string& text);
core::Expected<ProgressRecord> ProgressFromText(const std::string& text);
core::Expected<std::vector<MemberRecord>> MembersFromText(
    const std::string& text);
core::Expected<AgentReport> ReportFromText(const std::string& text);
core::Expected<ReportAnswer> ReportAnswerFromText(const std::string& text);
core::Expected<OrderBatch> OrderBatchFromText(const std::string& text);

/// Names used in logs.
std::string NameOf(RunEndKind kind);
std::string NameOf(RejectReason reason);
std::string NameOf(JobOutcome outcome);

}  // namespace hemlockdoor::batch
