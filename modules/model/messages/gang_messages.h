// Messages about gangs and about tasks that already have a reservation.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/messages/messages.h"

namespace hemlockdoor::model {

/// State of a gang, or of the part of it that one agent holds.
enum class GangState {
  kUnknown,    ///< Nothing is known of this attempt here.
  kReserved,   ///< All members named for this agent are reserved.
  kCommitted,  ///< Decided to run; final.
  kRunning,    ///< Started, or being started.
  kDone,       ///< Every task ended with a result.
  kStopped,    ///< Ended in any other way after the commit; final.
  kAborted,    ///< Decided not to run; nothing started; final.
};

/// Lead to member (`confirm`, `start`, `stop`), member to lead (`renew`,
/// `ask`), lead to member (`ask`), or entry to lead (`ask`). It concerns all
/// members of the gang that are on the receiving agent.
struct GangMessage {
  core::JobId job;
  core::AttemptNumber attempt;
  /// The incarnation of the agent that this is meant for.
  core::Incarnation incarnation;
  /// The sending agent; empty when an entry sends.
  core::AgentId sender;
  core::Incarnation sender_incarnation;
  /// State of the sender's part (`renew`).
  GangState state = GangState::kUnknown;
};

/// Answer to a gang message.
struct GangReply {
  /// True: done as asked, or already done before (idempotent).
  bool granted = false;
  /// State of the receiver's part; at the lead, state of the gang.
  GangState state = GangState::kUnknown;
  std::optional<RefusalReason> refusal;
  core::Incarnation incarnation;
};

/// What `preempt` asks of a running task.
enum class PreemptAction { kCheckpoint, kThrottle, kStop };

/// Entry to agent: steer the running tasks of one attempt.
struct PreemptRequest {
  core::JobId job;
  core::AttemptNumber attempt;
  core::Incarnation incarnation;
  PreemptAction action = PreemptAction::kStop;
  /// After `kCheckpoint` a task that has not ended within this time is
  /// stopped.
  core::Duration grace;
};

/// Agent's answer to `GET /internal/v1/tasks/JOB`.
struct TaskStatus {
  core::Incarnation incarnation;
  /// Members running here now.
  std::vector<RunningTask> running;
  /// Members reserved here and not started.
  int reserved = 0;
  /// Results held here; they stay until acknowledged.
  std::vector<ResultNotice> results;
};

/// Names used in JSON: "unknown", "reserved" and so on.
std::string_view GangStateName(GangState state);
std::optional<GangState> GangStateFromName(std::string_view name);
/// Names used in JSON and in the upstream API: "checkpoint", "throttle",
/// "stop".
std::string_view PreemptActionName(PreemptAction action);
std::optional<PreemptAction> PreemptActionFromName(std::string_view name);

nlohmann::json ToJson(const GangMessage& message);
nlohmann::json ToJson(const GangReply& message);
nlohmann::json ToJson(const PreemptRequest& message);
nlohmann::json ToJson(const TaskStatus& message);

core::Expected<GangMessage> GangMessageFromJson(const nlohmann::json& doc);
core::Expected<GangReply> GangReplyFromJson(const nlohmann::json& doc);
core::Expected<PreemptRequest> PreemptRequestFromJson(
    const nlohmann::json& doc);
core::Expected<TaskStatus> TaskStatusFromJson(const nlohmann::json& doc);

/// How often a member renews its gang lease with the lead.
inline constexpr core::Duration kGangRenewPeriod =
    core::Duration::Milliseconds(1000);
/// A lead or a member that is silent for so long counts as lost.
inline constexpr core::Duration kGangLease = core::Duration::Milliseconds(3000);

}  // namespace hemlockdoor::model
