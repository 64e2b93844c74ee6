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

/// Names a received request whose answer is due.
using CallId = std::uint64_t;

/// Time has passed; sent every `kTickPeriod`.
struct Tick {};

/// The upstream announced or renewed its shape.
struct UpstreamAnnounced {
  CallId call = 0;
  model::WorkerShape shape;
  /// Random text that the upstream draws at start; tells restarts apart.
  std::string instance = {};
};

/// The upstream takes no more work.
struct UpstreamWithdrawn {
  CallId call = 0;
};

/// The upstream reports the end of a task.
struct TaskFinished {
  CallId call = 0;
  UpstreamTask task;
};

/// `run`: reserve and start at once.
struct RunRequested {
  CallId call = 0;
  model::ReservationRequest request;
};

/// `reserve`: one member of a gang.
struct ReserveRequested {
  CallId call = 0;
  model::ReservationRequest request;
};

/// `commit`, at the lead.
struct CommitRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `release`: gives up a reservation that was not committed.
struct ReleaseRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `cancel`: ends an attempt, or forbids its start.
struct CancelRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `preempt`: steers running tasks.
struct PreemptRequested {
  CallId call = 0;
  model::PreemptRequest request;
};

/// `ack`: an entry has the results of an attempt.
struct AckRequested {
  CallId call = 0;
  model::AttemptReference attempt;
};

/// `revision`: an entry tells the newest revision and epoch.
struct RevisionRequested {
  CallId call = 0;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// `drain`, or a signal to the process (no call).
struct DrainRequested {
  std::optional<CallId> call;
};

/// `GET tasks/JOB`.
struct TasksQueried {
  CallId call = 0;
  core::JobId job;
};

/// Kinds of gang messages.
enum class GangMessageKind { kConfirm, kStart, kRenew, kStop, kAsk };

/// A gang message of another agent, or an entry's question to the lead.
struct GangMessageReceived {
  CallId call = 0;
  GangMessageKind kind = GangMessageKind::kAsk;
  model::GangMessage message;
};

/// Answer to a gang message that this agent sent; nothing: no usable answer.
struct GangMessageAnswered {
  GangMessageKind kind = GangMessageKind::kAsk;
  AttemptKey attempt;
  /// The agent that was asked.
  core::AgentId receiver;
  /// When the message was sent.
  core::TimePoint sent_at;
  std::optional<model::GangReply> reply;
};

/// Answer of an entry to an announcement; nothing: no usable answer.
struct AnnounceAnswered {
  std::string endpoint;
  std::optional<model::AnnounceReply> reply;
};

/// What became of a start that was sent to the upstream.
enum class StartOutcome {
  kAccepted,  ///< The upstream runs the task.
  kRefused,   ///< The upstream answered that it will not run it.
  kNotSent,   ///< Nothing went on the wire.
  kUnclear,   ///< Sent, or partly sent, without a usable answer.
};

/// Answer to a start.
struct StartAnswered {
  TaskKey key;
  StartOutcome outcome = StartOutcome::kUnclear;
  /// Reason of kRefused and kNotSent.
  std::string detail;
};

/// Answer to a listing of the upstream's tasks; nothing: no usable answer.
struct TasksListed {
  core::TimePoint asked_at;
  std::optional<std::vector<UpstreamTask>> tasks;
};

/// What a question about one task, or a request to steer it, brought.
enum class ReportOutcome {
  kReported,  ///< The answer holds the state of the task.
  kNotKnown,  ///< The upstream does not know the task now.
  kNoAnswer,  ///< No usable answer.
};

/// Requests that steer or question one task.
enum class TaskRequestKind { kQuery, kCheckpoint, kThrottle, kStop };

/// Answer to a request about one task.
struct TaskReported {
  TaskKey key;
  TaskRequestKind kind = TaskRequestKind::kQuery;
  ReportOutcome outcome = ReportOutcome::kNoAnswer;
  /// Set with kReported.
  UpstreamTask task;
};

/// An entry's answer to the delivery of a result.
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
