// Messages that coordinate the agents of a gang, and messages about tasks that
// already have a reservation.
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
  kUnknown,    ///< The receiver has no record of this attempt.
  kReserved,   ///< All members placed on this agent are reserved.
  kCommitted,  ///< The decision to run the gang is final.
  kRunning,    ///< The tasks have started or are being started.
  kDone,       ///< Every task ended with a result.
  kStopped,    ///< Ended in any other way after the commit; final.
  kAborted,    ///< The decision not to run is final; no task started.
};

/// A message about one attempt of a gang. The lead is the agent of the gang's
/// first member. The lead sends `confirm`, `start`, `stop` and `ask` to the
/// other agents of the gang; these send `renew` and `ask` to the lead; an entry
/// sends `ask` to the lead. The message applies to all members of the gang on
/// the receiving agent.
struct GangMessage {
  core::JobId job;
  core::AttemptNumber attempt;
  /// Incarnation of the receiving agent; a restarted agent has another one.
  core::Incarnation incarnation;
  /// The sending agent; empty when the sender is an entry.
  core::AgentId sender;
  core::Incarnation sender_incarnation;
  /// The sender's state of the gang; the receiver uses it in `renew` and
  /// `stop`.
  GangState state = GangState::kUnknown;
};

/// Answer to a `GangMessage`.
struct GangReply {
  /// True when the request has taken effect, now or earlier: repeated requests
  /// are idempotent.
  bool granted = false;
  /// State of the members on the answering agent; from the lead, state of the
  /// whole gang.
  GangState state = GangState::kUnknown;
  std::optional<RefusalReason> refusal;
  core::Incarnation incarnation;
};

/// Action that `preempt` requests for a running task.
enum class PreemptAction { kCheckpoint, kThrottle, kStop };

/// Request from an entry to an agent to checkpoint, throttle or stop the
/// running tasks of one attempt.
struct PreemptRequest {
  core::JobId job;
  core::AttemptNumber attempt;
  core::Incarnation incarnation;
  PreemptAction action = PreemptAction::kStop;
  /// With `kCheckpoint`: a task that has not ended within this time after the
  /// request is stopped.
  core::Duration grace;
};

/// An agent's answer to `GET /internal/v1/tasks/JOB`.
struct TaskStatus {
  core::Incarnation incarnation;
  /// Members that run on this agent now.
  std::vector<RunningTask> running;
  /// Number of members that are reserved on this agent and not started.
  int reserved = 0;
  /// Results that this agent holds; it keeps each until its acknowledgement.
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

/// Interval at which the other agents of a gang renew their gang lease with the
/// lead.
inline constexpr core::Duration kGangRenewPeriod =
    core::Duration::Milliseconds(1000);
/// A lead or another agent of a gang counts as lost after this long without
/// contact.
inline constexpr core::Duration kGangLease = core::Duration::Milliseconds(3000);

}  // namespace hemlockdoor::model
