// Events that the agent's state machine handles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "modules/agent/core/task_key.h"
#include "modules/agent/upstream/upstream_messages.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Identifies a received request that awaits its answer.
using CallId = std::uint64_t;

/// Periodic event, sent every `kTickPeriod`; drives all timeouts.
struct Tick {};

/// The upstream announced its shape, or renewed its announcement.
struct UpstreamAnnounced {
  CallId call = 0;
  model::WorkerShape shape;
  /// Random identifier that the upstream chooses when it starts, so that the
  /// agent notices a restart.
  std::string instance = {};
};

/// The upstream withdrew its announcement and takes no more work.
struct UpstreamWithdrawn {
  CallId call = 0;
};

/// The upstream reports the end of a task.
struct TaskFinished {
  CallId call = 0;
  UpstreamTask task;
};

/// `run`: reserves capacity for a single task and starts it at once.
struct RunRequested {
  CallId call = 0;
  model::ReservationRequest request;
};

/// `reserve`: reserves capacity for one member of a gang.
struct ReserveRequested {
  CallId call = 0;
  model::ReservationRequest request;
};

/// `commit`, sent to the lead: commits a reserved gang, which then starts.
struct CommitRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `release`: gives up a reservation that was not committed.
struct ReleaseRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `cancel`: stops what runs of an attempt and forbids any later start.
struct CancelRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `preempt`: checkpoints, throttles or stops the running tasks of an attempt.
struct PreemptRequested {
  CallId call = 0;
  model::PreemptRequest request;
};

/// `ack`: an entry acknowledges the results of an attempt.
struct AckRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `revision`: an entry sends the newest epoch and catalogue revision it knows.
struct RevisionRequested {
  CallId call = 0;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// `drain`. Without a call it stems from a signal to the process.
struct DrainRequested {
  std::optional<CallId> call;
};

/// `GET tasks/JOB`.
struct TasksQueried {
  CallId call = 0;
  core::JobId job;
};

/// Kinds of gang messages. The lead sends kConfirm, kStart and kStop, and kAsk
/// before it rolls forward. The other agents send kRenew and kAsk to the lead.
/// Entries send kAsk to the lead.
enum class GangMessageKind { kConfirm, kStart, kRenew, kStop, kAsk };

/// A gang message from another agent, or a `kAsk` query from an entry.
struct GangMessageReceived {
  CallId call = 0;
  GangMessageKind kind = GangMessageKind::kAsk;
  model::GangMessage message;
};

/// Answer to a gang message that this agent sent.
struct GangMessageAnswered {
  GangMessageKind kind = GangMessageKind::kAsk;
  AttemptKey attempt;
  /// The agent to which the message was sent.
  core::AgentId receiver;
  /// When the message was sent.
  core::TimePoint sent_at;
  /// Nothing when no usable answer arrived.
  std::optional<model::GangReply> reply;
};

/// Answer of an entry to an announcement.
struct AnnounceAnswered {
  std::string endpoint;
  /// Nothing when no usable answer arrived.
  std::optional<model::AnnounceReply> reply;
};

/// Result of the request that starts a task on the upstream.
enum class StartOutcome {
  kAccepted,  ///< The upstream runs the task.
  kRefused,   ///< The upstream answered that it will not run it.
  kNotSent,   ///< No byte of the request was sent.
  kUnclear,  ///< Sent in full or in part, without a usable answer; the task may
             ///< run or not.
};

/// Answer to `StartTask`.
struct StartAnswered {
  TaskKey key;
  StartOutcome outcome = StartOutcome::kUnclear;
  /// Why the start was refused or not sent.
  std::string detail;
};

/// Answer to `ListTasks`.
struct TasksListed {
  /// Copied from the command.
  core::TimePoint asked_at;
  /// Nothing when no usable answer arrived.
  std::optional<std::vector<UpstreamTask>> tasks;
};

/// Result of a request about one task.
enum class ReportOutcome {
  kReported,  ///< The answer contains the state of the task.
  kNotKnown,  ///< The upstream does not know the task.
  kNoAnswer,  ///< No usable answer.
};

/// Requests to the upstream about one task.
enum class TaskRequestKind { kQuery, kCheckpoint, kThrottle, kStop };

/// Answer to `RequestTask`.
struct TaskReported {
  TaskKey key;
  TaskRequestKind kind = TaskRequestKind::kQuery;
  ReportOutcome outcome = ReportOutcome::kNoAnswer;
  /// Valid with kReported only.
  UpstreamTask task;
};

/// An entry's answer to the delivery of a result, or the lack of one.
struct ResultDelivered {
  TaskKey key;
  bool acknowledged = false;
};

using Event = std::variant<Tick,
                           UpstreamAnnounced,
                           UpstreamWithdrawn,
                           TaskFinished,
                           RunRequested,
                           ReserveRequested,
                           CommitRequested,
                           ReleaseRequested,
                           CancelRequested,
                           PreemptRequested,
                           AckRequested,
                           RevisionRequested,
                           DrainRequested,
                           TasksQueried,
                           GangMessageReceived,
                           GangMessageAnswered,
                           AnnounceAnswered,
                           StartAnswered,
                           TasksListed,
                           TaskReported,
                           ResultDelivered>;

/// How often the process sends `Tick`.
inline constexpr core::Duration kTickPeriod = core::Duration::Milliseconds(100);

}  // namespace hemlockdoor::agent
