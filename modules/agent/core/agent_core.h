// State machine of an agent, free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/agent/core/attempt_history.h"
#include "modules/agent/core/capacity_ledger.h"
#include "modules/agent/core/commands.h"
#include "modules/agent/core/entry_directory.h"
#include "modules/agent/core/events.h"
#include "modules/agent/core/held_results.h"
#include "modules/agent/gang/gang_table.h"
#include "modules/agent/upstream/task_supervisor.h"

namespace hemlockdoor::agent {

/// Identity and settings of an agent.
struct AgentCoreOptions {
  core::AgentId id;
  core::Incarnation incarnation;
  /// Where the agent's internal API listens, "ADDRESS:PORT".
  std::string endpoint;
  /// Internal endpoints of entries from the settings.
  std::vector<std::string> entries;
  /// Bound on the results that wait for an acknowledgement, in bytes.
  std::int64_t max_held_result_bytes = std::int64_t{12} * 1024 * 1024;
  /// The agent stops this long after a drain request at the latest, even with
  /// tasks or results left.
  core::Duration drain_timeout = core::Duration::Seconds(30);
  /// As the lead of a fully reserved gang, commit it without the coordinator
  /// when that sends neither commit nor release. Off only for comparisons.
  bool roll_forward = true;
};

/// Event counts since the process started, for metrics.
struct AgentCounters {
  std::uint64_t granted = 0;
  /// By `model::RefusalReason`.
  std::array<std::uint64_t, 9> refused = {};
  std::uint64_t started = 0;
  /// By `model::JobOutcome`.
  std::array<std::uint64_t, 5> ended = {};
  std::uint64_t deliveries = 0;
  std::uint64_t failed_deliveries = 0;
  /// Reports of ended tasks that were postponed because `HeldResults` had no
  /// room for the result. The upstream keeps the result meanwhile.
  std::uint64_t postponed_reports = 0;
  std::uint64_t announcements = 0;
};

/// The authority over one upstream. Grants reservations, starts and monitors
/// tasks, keeps results until an entry acknowledges them, and announces the
/// agent to the entries. Deterministic and without I/O: all input arrives as
/// events together with the current time, all output leaves as commands. Not
/// thread-safe.
class AgentCore {
 public:
  /// Creates the state machine; `now` counts as the last contact with the
  /// configured entries.
  AgentCore(AgentCoreOptions core_options, core::TimePoint now);
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Handles one event and returns the commands to carry out, in order. Takes
  /// the event by value so that large payloads are moved, not copied.
  Commands Handle(Event event, core::TimePoint now);

  /// True when the agent is not draining and its upstream takes new work.
  bool IsReady(core::TimePoint now) const;
  const AgentCounters& Counters() const { return this->counters; }
  std::size_t TaskCount() const { return this->tasks.Count(); }
  std::size_t HeldResultCount() const { return this->results.Count(); }
  std::int64_t HeldResultBytes() const { return this->results.Bytes(); }
  model::AcceleratorSet FreeAccelerators() const {
    return this->ledger.FreeAccelerators();
  }

  /// Bound on the payloads, in bytes, of gang reservations that have not
  /// started. Requests beyond it are refused as `no_capacity`.
  static constexpr std::int64_t kMaxReservedPayloadBytes =
      std::int64_t{16} * 1024 * 1024;
  /// A request whose start limit lies further ahead is refused as `expired`,
  /// since the agent must remember the attempt until the start limit.
  static constexpr core::Duration kMaxStartHorizon =
      core::Duration::Seconds(3600);

 private:
  /// A granted reservation whose task has not ended.
  struct Grant {
    core::ReservationId reservation;
    /// No start after this time.
    core::TimePoint not_after;
    std::string reply_to;
    /// Share of `reserved_payload_bytes`; zero once the task has started.
    std::int64_t payload_bytes = 0;
  };

  void On(const Tick& event, core::TimePoint now, Commands& out);
  void On(const UpstreamAnnounced& event, core::TimePoint now, Commands& out);
  void On(const UpstreamWithdrawn& event, core::TimePoint now, Commands& out);
  void On(TaskFinished& event, core::TimePoint now, Commands& out);
  void On(RunRequested& event, core::TimePoint now, Commands& out);
  void On(ReserveRequested& event, core::TimePoint now, Commands& out);
  void On(const CommitRequested& event, core::TimePoint now, Commands& out);
  void On(const ReleaseRequested& event, core::TimePoint now, Commands& out);
  void On(const CancelRequested& event, core::TimePoint now, Commands& out);
  void On(const PreemptRequested& event, core::TimePoint now, Commands& out);
  void On(const AckRequested& event, core::TimePoint now, Commands& out);
  void On(const RevisionRequested& event, core::TimePoint now, Commands& out);
  void On(const DrainRequested& event, core::TimePoint now, Commands& out);
  void On(const TasksQueried& event, core::TimePoint now, Commands& out);
  void On(const GangMessageReceived& event, core::TimePoint now, Commands& out);
  void On(const GangMessageAnswered& event, core::TimePoint now, Commands& out);
  void On(const AnnounceAnswered& event, core::TimePoint now, Commands& out);
  void On(const StartAnswered& event, core::TimePoint now, Commands& out);
  void On(const TasksListed& event, core::TimePoint now, Commands& out);
  void On(TaskReported& event, core::TimePoint now, Commands& out);
  void On(const ResultDelivered& event, core::TimePoint now, Commands& out);

  /// Returns the answer to a request that repeats an earlier one or must be
  /// refused; nothing when the request may be granted. Unless the request is
  /// for another incarnation or a repeat, raises the agent's epoch and
  /// revision to those of the request.
  std::optional<model::GrantReply> CheckAdmission(
      const model::ReservationRequest& request,
      core::TimePoint now);
  /// Returns the answer to a request for a member that was granted, ended or
  /// forbidden before; nothing when the request is new.
  std::optional<model::GrantReply> AnswerRepeat(
      const model::ReservationRequest& request,
      const TaskKey& key) const;
  /// Raises the agent's epoch and revision; returns why the request is refused
  /// when those of the request are older. The epoch counts only for requests
  /// that allocate accelerators or belong to a gang.
  std::optional<model::RefusalReason> CheckEpochAndRevision(
      const model::ReservationRequest& request);
  /// Checks the start limit, the agent's readiness and its free capacity.
  std::optional<model::RefusalReason> CheckCapacity(
      const model::ReservationRequest& request,
      core::TimePoint now) const;
  /// Takes the slot and accelerators of a request and records the grant.
  void RecordGrant(const model::ReservationRequest& request,
                   const TaskKey& key);
  static UpstreamStart MakeStart(model::ReservationRequest& request);

  /// Returns a reply with the agent's incarnation, epoch and revision.
  model::GrantReply Reply() const;
  model::GrantReply Refuse(model::RefusalReason reason,
                           bool may_have_started = false) const;
  void Answer(CallId call, model::GrantReply reply, Commands& out);
  /// True when a member of the attempt runs or is remembered as started.
  bool MayHaveStarted(const AttemptKey& attempt) const;
  void RaiseEpochAndRevision(core::SchedulingEpoch seen_epoch,
                             core::CatalogueRevision seen_revision);

  /// Runs after each event. Processes ended tasks and gang actions, sends due
  /// deliveries and announcements, and checks whether the drain is complete.
  void HandleConsequences(core::TimePoint now, Commands& out);
  void ProcessTaskEnds(core::TimePoint now);
  void ProcessGangActions(core::TimePoint now, Commands& out);
  void Execute(GangStartAction& action, core::TimePoint now, Commands& out);
  void Execute(GangStopAction& action, core::TimePoint now, Commands& out);
  void Execute(GangReleaseAction& action, core::TimePoint now, Commands& out);
  void Execute(SendGangMessage& action, core::TimePoint now, Commands& out);
  void Execute(LogRecord& action, core::TimePoint now, Commands& out);
  /// Ends a grant: releases its capacity and adds the attempt to the history.
  void ReleaseGrant(const TaskKey& key,
                    PastAttemptKind kind,
                    core::TimePoint now);
  /// Queues a task's result for delivery to `reply_to`.
  void Report(const TaskKey& key,
              model::JobOutcome outcome,
              model::ResultCause cause,
              std::string body,
              core::Duration run_time,
              const std::string& reply_to);
  void SendDeliveries(core::TimePoint now, Commands& out);
  void SendAnnouncements(core::TimePoint now, Commands& out);
  /// Logs and announces a change of readiness.
  void UpdateReadiness(core::TimePoint now, Commands& out);
  /// Stops the process once a drain is complete or its time is over.
  void CheckDrain(core::TimePoint now, Commands& out);
  model::Announcement MakeAnnouncement(core::TimePoint now) const;

  AgentCoreOptions options;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
  CapacityLedger ledger;
  TaskSupervisor tasks;
  GangTable gangs;
  AttemptHistory history;
  HeldResults results;
  EntryDirectory entries;
  std::map<TaskKey, Grant> grants;
  std::int64_t reserved_payload_bytes = 0;
  std::optional<core::TimePoint> drain_until;
  bool stopped = false;
  bool was_ready = false;
  AgentCounters counters;
};

}  // namespace hemlockdoor::agent
