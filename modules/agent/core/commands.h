// Commands that the agent's state machine returns and the process carries out.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "modules/agent/core/events.h"
#include "modules/agent/core/task_key.h"
#include "modules/agent/upstream/upstream_messages.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Answers `run`, `reserve`, `commit`, `release`, `cancel`, `preempt` and
/// `revision`.
struct AnswerGrant {
  CallId call = 0;
  model::GrantReply reply;
};

/// Answers a gang message.
struct AnswerGang {
  CallId call = 0;
  model::GangReply reply;
};

/// Answers `GET tasks/JOB`. A status without tasks, reservations and results
/// means that this agent holds nothing of the job.
struct AnswerStatus {
  CallId call = 0;
  model::TaskStatus status;
};

/// Answers with a status code and no content. `kRetryLater` asks the peer to
/// send the same request again.
struct AnswerPlain {
  enum class Kind { kOk, kRetryLater };
  CallId call = 0;
  Kind kind = Kind::kOk;
};

/// Sends an announcement to one entry.
struct SendAnnouncement {
  std::string endpoint;
  model::Announcement message;
};

/// Starts a task on the upstream. The process sends it at most once, since a
/// repeat could start the task twice.
struct StartTask {
  UpstreamStart start;
  /// The process does not send the start after this time.
  core::TimePoint not_after;
};

/// Lists the upstream's tasks.
struct ListTasks {
  /// When the state machine issued the command.
  core::TimePoint asked_at;
};

/// Queries one task on the upstream, or asks for its checkpoint, throttling or
/// stop.
struct RequestTask {
  TaskKey key;
  TaskRequestKind kind = TaskRequestKind::kQuery;
};

/// Delivers a result to one entry.
struct DeliverResult {
  std::string endpoint;
  /// Shared with `HeldResults` to avoid a copy of a large body; never null.
  std::shared_ptr<const model::ResultNotice> notice;
};

/// Sends a gang message to another agent.
struct SendGangMessage {
  std::string endpoint;
  core::AgentId receiver;
  GangMessageKind kind = GangMessageKind::kAsk;
  model::GangMessage message;
  /// When the state machine issued the command; a lease that
  /// the answer renews counts from then.
  core::TimePoint sent_at;
};

/// Severity of a log record.
enum class RecordLevel { kInfo, kWarn, kError };

/// Writes one log record.
struct LogRecord {
  RecordLevel level = RecordLevel::kInfo;
  std::string text;
  /// Empty when the record is not about one job.
  core::JobId job;
};

/// Stops the process: the drain is complete or timed out.
struct Stop {};

using Command = std::variant<AnswerGrant,
                             AnswerGang,
                             AnswerStatus,
                             AnswerPlain,
                             SendAnnouncement,
                             StartTask,
                             ListTasks,
                             RequestTask,
                             DeliverResult,
                             SendGangMessage,
                             LogRecord,
                             Stop>;

using Commands = std::vector<Command>;

}  // namespace hemlockdoor::agent
