// Messages between entries and agents, and their conversion to and from JSON.
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

/// A running task, as its agent announces it.
struct RunningTask {
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;
  core::OrganisationId organisation;
  core::JobClass job_class;
  AcceleratorSet accelerators;
  /// Time since the agent saw the task start; counts as the usage so far.
  core::Duration run_time;
};

/// State of an agent, which the agent sends to the entries at least every
/// `kAnnouncePeriod`.
struct Announcement {
  core::AgentId agent;
  core::Incarnation incarnation;
  /// Address of the agent's internal API, "ADDRESS:PORT".
  std::string endpoint;
  /// Time on the agent's steady clock when the agent sent the announcement.
  core::TimePoint agent_clock;
  /// Absent while the agent has no announcement from its upstream or has lost
  /// the upstream.
  std::optional<WorkerShape> shape;
  int free_slots = 0;
  AcceleratorSet free_accelerators;
  std::vector<RunningTask> running;
  /// Jobs whose results the agent holds because no entry has acknowledged them
  /// yet.
  std::vector<core::JobId> held_results;
  bool draining = false;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// An entry's answer to an announcement.
struct AnnounceReply {
  core::EntryId entry;
  /// Internal endpoints of all entries that the answering entry knows, its own
  /// included.
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

/// Request from an entry to an agent to reserve capacity for one attempt. `run`
/// reserves and starts a single task at once; `reserve` reserves the capacity
/// of one member of a gang.
struct ReservationRequest {
  core::ReservationId reservation;
  /// Incarnation of the receiving agent; a restarted agent has another one.
  core::Incarnation incarnation;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
  JobDescription job;
  core::AttemptNumber attempt;
  std::string payload;
  /// Latest time at which the task may start, on the receiving agent's steady
  /// clock.
  core::TimePoint start_not_after;
  /// Index in `members` of the member that this request reserves. The agent of
  /// `members[0]` leads the gang.
  int member = 0;
  std::vector<GangMember> members;
  /// Internal endpoint of the entry to which the agent sends the result.
  std::string reply_to;
  /// W3C trace context of the caller's request, or empty.
  std::string traceparent;
  /// Run time after which the agent stops the task; zero means no limit.
  core::Duration max_run;
};

/// Why an agent refused a request.
enum class RefusalReason {
  kWrongIncarnation,    ///< Addressed to another incarnation of the agent.
  kStaleEpoch,          ///< Allocates accelerators with an outdated epoch.
  kStaleRevision,       ///< Based on an outdated catalogue revision.
  kExpired,             ///< Latest start is past, or too far in the future.
  kNoCapacity,          ///< The agent cannot take the request's work.
  kDraining,            ///< The agent is draining.
  kNotReady,            ///< The upstream is not ready.
  kCancelled,           ///< The attempt may no longer start here.
  kUnknownReservation,  ///< The agent does not hold this reservation.
};

/// An agent's answer to `run`, `reserve`, `commit` and `cancel`.
struct GrantReply {
  /// True when the request is granted, now or earlier: repeated requests are
  /// idempotent.
  bool granted = false;
  std::optional<RefusalReason> refusal;
  /// True when the attempt has started on the upstream, or may have.
  bool may_have_started = false;
  core::Incarnation incarnation;
  core::SchedulingEpoch epoch;
  core::CatalogueRevision revision;
};

/// What ended an attempt. Entries use the cause to tell a failure of the job
/// itself from a failure of its surroundings.
enum class ResultCause {
  kTask,             ///< The task ended by itself.
  kUpstreamLost,     ///< The upstream crashed, hung or lost the task.
  kUpstreamRefused,  ///< The upstream did not accept the start.
  kNotStarted,       ///< Expired or released before the start.
  kRunTimeExceeded,  ///< Stopped after `max_run`.
  kPreempted,        ///< Stopped by `preempt`.
  kCheckpointed,     ///< Ended at a checkpoint that `preempt` asked for.
  kCancelled,        ///< Stopped by `cancel`.
  kGangStopped,      ///< Another part of the gang failed or was lost.
  kAgentRestarted,   ///< Stopped by the agent after the agent's restart.
};

/// Notice from an agent to an entry that one member of an attempt has ended on
/// that agent.
struct ResultNotice {
  core::AgentId agent;
  core::JobId job;
  core::AttemptNumber attempt;
  int member = 0;
  JobOutcome outcome = JobOutcome::kUnknown;
  /// The result for `kDone`, the error text for `kFailed`.
  std::string body;
  core::Duration run_time;
  ResultCause cause = ResultCause::kTask;
};

/// Identifies a job or one attempt in `cancel`, `ack` and `release`.
struct AttemptReference {
  core::JobId job;
  core::AttemptNumber attempt;
  core::Incarnation incarnation;
  /// In `cancel`: the agent refuses to start the attempt until this time on its
  /// steady clock.
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

/// Parses a JSON text and reads the message with the function `FromJson`, for
/// example `FromText<&AnnouncementFromJson>(text)`.
template <auto FromJson>
auto FromText(std::string_view text)
    -> decltype(FromJson(std::declval<nlohmann::json>()));

/// Interval at which an agent sends announcements when its state does not
/// change.
inline constexpr core::Duration kAnnouncePeriod =
    core::Duration::Milliseconds(1000);
/// Entries give no new work to an agent whose last announcement is at least
/// this old.
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
