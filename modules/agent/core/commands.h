// Commands that the agent's state machine gives to the process.
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

/// Answers `run`, `reserve`, `commit`, `release`, `cancel` and `preempt`.
struct AnswerGrant {
  CallId call = 0;
  model::GrantReply reply;
};

/// Answers a gang message.
struct AnswerGang {
  CallId call = 0;
  model::GangReply reply;
};

/// Answers `GET tasks/JOB`; nothing is known when all parts are empty.
struct AnswerStatus {
  CallId call = 0;
  model::TaskStatus status;
};

/// Answers with a status alone. `kRetryLater` asks the peer to send the same
/// request again.
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

/// Starts a task on the upstream; sent at most once.
struct StartTask {
  UpstreamStart start;
  /// Not sent after this time.
  core::TimePoint not_after;
};

/// Lists the upstream's tasks.
struct ListTasks {
  core::TimePoint asked_at;
};

/// Questions or steers one task on the upstream.
struct RequestTask {
  TaskKey key;
  TaskRequestKind kind = TaskRequestKind::kQuery;
};

/// Delivers a result to one entry.
struct DeliverResult {
  std::string endpoint;
  /// Shared with the results held, since it may be large; never null.
  std::shared_ptr<const model::ResultNotice> notice;
};

/// Sends a gang message to another agent.
struct SendGangMessage {
  std::string endpoint;
  core::AgentId receiver;
  GangMessageKind kind = GangMessageKind::kAsk;
  model::GangMessage message;
  core::TimePoint sent_at;
};

/// Severity of a log record.
enum class RecordLevel { kInfo, kWarn, kError };

/// Writes one log record.
struct LogRecord {
  RecordLevel level = RecordLevel::kInfo;
  std::string text;
  core::JobId job;
};

/// The drain is complete; the process may end.
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
