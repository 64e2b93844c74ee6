// Messages between entries and agents, with their JSON form.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/job/job.h"
#include "modules/model/worker/worker.h"

namespace hemlockdoor::model {

/// A running task as an agent announces it.
struct RunningTask {
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;
  core::OrganisationId organisation;
  core::JobClass job_class;
  AcceleratorSet accelerators;
  /// Usage so far: time since the task started, as the agent saw it.
  core::Duration run_time;
};

/// Agent to entry, at least each `kAnnouncePeriod`.
struct Announcement {
  core::AgentId agent;
  core::Incarnation incarnation;
  /// Where the agent's internal API listens, "ADDRESS:PORT".
  std::string endpoint;
  /// The agent's steady clock when it sent this.
  core::TimePoint agent_clock;
  /// Absent while the upstream is unknown or gone.
  std::optional<WorkerShape> shape;
  int free_slots = 0;
  AcceleratorSet free_accelerators;
  std::vector<RunningTask> running;
  /// Jobs whose results this agent holds, not yet acknowledged.
  std::vector<core::JobId> held_results;
  bool draining = false;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// Entry's answer to an announcement.
struct AnnounceReply {
  core::EntryId entry;
  /// Internal endpoints of all entries this one knows, itself included.
  std::vector<std::string> entry_endpoints;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// One member of a gang.
struct GangMember {
  core::AgentId agent;
  core::Incarnation incarnation;
  std::string endpoint;
  AcceleratorSet accelerators;
};

/// Entry to agent: what one attempt may do on this agent. Sent as `run`
/// (reserve and start at once; single tasks) or `reserve` (each member of a
/// gang).
struct ReservationRequest {
  core::ReservationId reservation;
  /// The incarnation of the agent that this is meant for.
  core::Incarnation incarnation;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
  JobDescription job;
  core::AttemptNumber attempt;
  std::string payload;
  /// Latest start, on the receiving agent's steady clock.
  core::TimePoint start_not_after;
  /// Index of the receiving member; members[0] leads the gang.
  int member = 0;
  std::vector<GangMember> members;
  /// Internal endpoint of the entry that wants the result.
  std::string reply_to;
  /// W3C trace context of the caller's request, or empty.
  std::string traceparent;
  /// The agent stops the task after this time; zero: no limit.
  core::Duration max_run;
};

/// Why an agent refused.
enum class RefusalReason {
  kWrongIncarnation,
  kStaleEpoch,
  kStaleRevision,
  kExpired,
  kNoCapacity,
  kDraining,
  kNotReady,
  kCancelled,
  kUnknownReservation,
};

/// Agent's answer to `run`, `reserve`, `commit` and `cancel`.
struct GrantReply {
  /// True: granted, or already granted before (idempotent).
  bool granted = false;
  std::optional<RefusalReason> refusal;
  /// True when the attempt has started on the upstream, or may have.
  bool may_have_started = false;
  core::Incarnation incarnation;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// What ended an attempt; tells an entry whether the job itself is to blame.
enum class ResultCause {
  kTask,             ///< The task ended by itself.
  kUpstreamLost,     ///< The upstream died, froze or forgot the task.
  kUpstreamRefused,  ///< The upstream did not accept the start.
  kNotStarted,       ///< Expired or released before the start.
  kRunTimeExceeded,  ///< Stopped after `max_run`.
  kPreempted,        ///< Stopped by `preempt`.
  kCheckpointed,     ///< Ended at a checkpoint that `preempt` asked for.
  kCancelled,        ///< Stopped by `cancel`.
  kGangStopped,      ///< Another part of the gang failed or was lost.
  kAgentRestarted,   ///< Stopped by the successor of the agent that ran it.
};

/// Agent to entry: the end of one attempt on that agent.
struct ResultNotice {
  core::AgentId agent;
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;
  JobOutcome outcome = JobOutcome::kUnknown;
  /// Result of `kDone`, error text of `kFailed`.
  std::string body;
  core::Duration run_time;
  ResultCause cause = ResultCause::kTask;
};

/// Names a job or one attempt, for `cancel`, `ack` and `release`.
struct AttemptReference {
  core::JobId job;
  core::AttemptNumber attempt;
  core::Incarnation incarnation;
  /// For `cancel`: the agent refuses a later start until this time.
  core::TimePoint start_not_after;
};

std::string_view RefusalReasonName(RefusalReason reason);
std::optional<RefusalReason> RefusalReasonFromName(std::string_view name);

/// Names used in JSON: "task", "upstream_lost" and so on.
std::string_view ResultCauseName(ResultCause cause);
std::optional<ResultCause> ResultCauseFromName(std::string_view name);

nlohmann::json ToJson(const RunningTask& message);
nlohmann::json ToJson(const Announcement& message);
nlohmann::json ToJson(const AnnounceReply& message);
nlohmann::json ToJson(const ReservationRequest& message);
nlohmann::json ToJson(const GrantReply& message);
nlohmann::json ToJson(const ResultNotice& message);
nlohmann::json ToJson(const AttemptReference& message);

core::Expected<RunningTask> RunningTaskFromJson(const nlohmann::json& doc);
core::Expected<Announcement> AnnouncementFromJson(const nlohmann::json& doc);
core::Expected<AnnounceReply> AnnounceReplyFromJson(const nlohmann::json& doc);
core::Expected<ReservationRequest> ReservationRequestFromJson(
    const nlohmann::json& doc);
core::Expected<GrantReply> GrantReplyFromJson(const nlohmann::json& doc);
core::Expected<ResultNotice> ResultNoticeFromJson(const nlohmann::json& doc);
core::Expected<AttemptReference> AttemptReferenceFromJson(
    const nlohmann::json& doc);

/// Reads a message of type T from text:
/// `FromText<&AnnouncementFromJson>(text)`.
template <auto FromJson>
auto FromText(std::string_view text)
    -> decltype(FromJson(std::declval<nlohmann::json>()));

/// How often an agent announces itself when nothing changes.
inline constexpr core::Duration kAnnouncePeriod =
    core::Duration::Milliseconds(1000);
/// An agent that is silent for so long gets no new work.
inline constexpr core::Duration kAgentLease =
    core::Duration::Milliseconds(3000);

}  // namespace hemlockdoor::model

#include "modules/model/json/json_reader.h"

template <auto FromJson>
auto hemlockdoor::model::FromText(std::string_view text)
    -> decltype(FromJson(std::declval<nlohmann::json>())) {
  const core::Expected<nlohmann::json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  return FromJson(*document);
}
