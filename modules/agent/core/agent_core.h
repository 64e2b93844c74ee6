// State machine of an agent.
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

/// What an agent is and may do.
struct AgentCoreOptions {
  core::AgentId id;
  core::Incarnation incarnation;
  /// Where the agent's internal API listens, "ADDRESS:PORT".
  std::string endpoint;
  /// Configured endpoints of entries.
  std::vector<std::string> entries;
  std::int64_t max_held_result_bytes = std::int64_t{12} * 1024 * 1024;
  core::Duration drain_timeout = core::Duration::Seconds(30);
  /// Commit whole gangs whose coordinator is silent; off only to measure.
  bool roll_forward = true;
};

/// Counts since the start, for metrics.
struct AgentCounters {
  std::uint64_t granted = 0;
  /// By `model::RefusalReason`.
  std::array<std::uint64_t, 9> refused = {};
  std::uint64_t started = 0;
  /// By `model::JobOutcome`.
  std::array<std::uint64_t, 5> ended = {};
  std::uint64_t deliveries = 0;
  std::uint64_t failed_deliveries = 0;
  /// `finished` reports that were put off because no result had room.
  std::uint64_t postponed_reports = 0;
  std::uint64_t announcements = 0;
};

/// The authority over one upstream: grants reservations, starts and watches
/// tasks, keeps results until they are acknowledged, announces itself. Pure:
/// all input arrives as events with the time, all output leaves as commands.
class AgentCore {
 public:
  /// Makes the state machine at time `now`.
  AgentCore(AgentCoreOptions core_options, core::TimePoint now);
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Handles one event. Takes it by value, since payloads are large.
  Commands Handle(Event event, core::TimePoint now);

  /// True when new work may be granted.
  bool IsReady(core::TimePoint now) const;
  const AgentCounters& Counters() const { return this->counters; }
  std::size_t TaskCount() const { return this->tasks.Count(); }
  std::size_t HeldResultCount() const { return this->results.Count(); }
  std::int64_t HeldResultBytes() const { return this->results.Bytes(); }
  model::AcceleratorSet FreeAccelerators() const {
    return this->ledger.FreeAccelerators();
  }

  /// Payloads of reservations that have not started may take so much.
  static constexpr std::int64_t kMaxReservedPayloadBytes =
      std::int64_t{16} * 1024 * 1024;
  /// A start limit further ahead is refused as `expired`, since the attempt
  /// must be remembered until then.
  static constexpr core::Duration kMaxStartHorizon =
      core::Duration::Seconds(3600);

 private:
  /// What was granted and has not ended.
  struct Grant {
    core::ReservationId reservation;
    core::TimePoint not_after;
    std::string reply_to;
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

  /// The answer to a request that needs no new grant (a repeat, or one that
  /// must be refused); nothing when it may be granted. Raises the epoch and
  /// revision that this agent has seen.
  std::optional<model::GrantReply> CheckAdmission(
      const model::ReservationRequest& request,
      core::TimePoint now);
  /// Answers a request that was seen before; nothing when it is new.
  std::optional<model::GrantReply> AnswerRepeat(
      const model::ReservationRequest& request,
      const TaskKey& key) const;
  std::optional<model::RefusalReason> CheckEpochAndRevision(
      const model::ReservationRequest& request);
  std::optional<model::RefusalReason> CheckCapacity(
      const model::ReservationRequest& request,
      core::TimePoint now) const;
  void RecordGrant(const model::ReservationRequest& request,
                   const TaskKey& key);
  static UpstreamStart MakeStart(model::ReservationRequest& request);

  model::GrantReply Reply() const;
  model::GrantReply Refuse(model::RefusalReason reason,
                           bool may_have_started = false) const;
  void Answer(CallId call, model::GrantReply reply, Commands& out);
  bool MayHaveStarted(const AttemptKey& attempt) const;
  void RaiseEpochAndRevision(core::SchedulingEpoch seen_epoch,
                             core::CatalogueRevision seen_revision);

  /// Carries out what follows from the event: ends of tasks, gang actions,
  /// deliveries, announcements, the end of the drain.
  void HandleConsequences(core::TimePoint now, Commands& out);
  void ProcessTaskEnds(core::TimePoint now);
  void ProcessGangActions(core::TimePoint now, Commands& out);
  void Execute(GangStartAction& action, core::TimePoint now, Commands& out);
  void Execute(GangStopAction& action, core::TimePoint now, Commands& out);
  void Execute(GangReleaseAction& action, core::TimePoint now, Commands& out);
  void Execute(SendGangMessage& action, core::TimePoint now, Commands& out);
  void Execute(LogRecord& action, core::TimePoint now, Commands& out);
  /// Ends a grant: gives back the capacity and remembers the attempt.
  void ReleaseGrant(const TaskKey& key,
                    PastAttemptKind kind,
                    core::TimePoint now);
  void Report(const TaskKey& key,
              model::JobOutcome outcome,
              model::ResultCause cause,
              std::string body,
              core::Duration run_time,
              const std::string& reply_to);
  void SendDeliveries(core::TimePoint now, Commands& out);
  void SendAnnouncements(core::TimePoint now, Commands& out);
  void UpdateReadiness(core::TimePoint now, Commands& out);
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
