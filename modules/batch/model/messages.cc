#include "modules/batch/model/messages.h"

#include "modules/model/model.h"

namespace hemlockdoor::core {

// These must be in the namespace of the types to be found by argument-dependent
// lookup.

template <typename Tag>
void to_json(nlohmann::json& json, const StrongId<Tag>& id) {
  json = id.Text();
}
template <typename Tag>
void from_json(const nlohmann::json& json, StrongId<Tag>& id) {
  id = StrongId<Tag>(json.get<std::string>());
}
template <typename Tag>
void to_json(nlohmann::json& json, const StrongNumber<Tag>& number) {
  json = number.Number();
}
template <typename Tag>
void from_json(const nlohmann::json& json, StrongNumber<Tag>& number) {
  number = StrongNumber<Tag>(json.get<std::uint64_t>());
}
static void to_json(nlohmann::json& json, const Duration& duration) {
  json = duration.InMilliseconds();
}
static void from_json(const nlohmann::json& json, Duration& duration) {
  duration = Duration::Milliseconds(json.get<std::int64_t>());
}

}  // namespace hemlockdoor::core

namespace hemlockdoor::batch {

static void to_json(nlohmann::json& json, const TaskName& task) {
  json = task.ToText();
}
static void from_json(const nlohmann::json& json, TaskName& task) {
  task = TaskName::FromText(json.get<std::string>()).value_or(TaskName());
}

NLOHMANN_JSON_SERIALIZE_ENUM(WorkerState,
                             {{WorkerState::kReady, "ready"},
                              {WorkerState::kDraining, "draining"}})
NLOHMANN_JSON_SERIALIZE_ENUM(RunEndKind,
                             {{RunEndKind::kFailed, "failed"},
                              {RunEndKind::kDone, "done"},
                              {RunEndKind::kStopped, "stopped"},
                              {RunEndKind::kLeaseExpired, "lapsed"},
                              {RunEndKind::kGangBroken, "broken"},
                              {RunEndKind::kGangIncomplete, "alone"}})
NLOHMANN_JSON_SERIALIZE_ENUM(RejectReason,
                             {{RejectReason::kInvalid, "invalid"},
                              {RejectReason::kStaleEpoch, "fence"},
                              {RejectReason::kStaleRun, "old"},
                              {RejectReason::kDeadlinePassed, "late"},
                              {RejectReason::kNoCapacity, "room"},
                              {RejectReason::kInvalidTicket, "ticket"},
                              {RejectReason::kUnhealthy, "unhealthy"},
                              {RejectReason::kDraining, "draining"},
                              {RejectReason::kNoWorker, "no-worker"},
                              {RejectReason::kNotListed, "no-answer"}})
NLOHMANN_JSON_SERIALIZE_ENUM(JobOutcome,
                             {{JobOutcome::kOpen, "open"},
                              {JobOutcome::kCompleted, "completed"},
                              {JobOutcome::kFailed, "failed"},
                              {JobOutcome::kCancelled, "cancelled"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources,
                                                millicores,
                                                memory_mb,
                                                accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StepSpec,
                                                count,
                                                need,
                                                estimate,
                                                after,
                                                checkpoints,
                                                gang,
                                                same_rack,
                                                required_label,
                                                preferred_rack,
                                                max_per_worker,
                                                speculative,
                                                long_running,
                                                image,
                                                latency_target,
                                                fills,
                                                max_unavailable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec,
                                                id,
                                                payload,
                                                steps,
                                                occurrences,
                                                first_due_wall_ms,
                                                interval)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobRecord,
                                                spec,
                                                queue,
                                                service,
                                                organisation,
                                                priority,
                                                max_attempts,
                                                slack_factor,
                                                objective,
                                                accepted_wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerIdentity,
                                                id,
                                                born_wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerDescription,
                                                identity,
                                                service,
                                                data_centre,
                                                rack,
                                                labels,
                                                capacity,
                                                state,
                                                remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunKey, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ActiveRun,
                                                key,
                                                confirmed,
                                                checkpoint,
                                                percent,
                                                still,
                                                gauge)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunEnd,
                                                number,
                                                key,
                                                kind,
                                                checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Rejection, key, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportAnswer,
                                                epoch,
                                                term,
                                                worker,
                                                acknowledged,
                                                entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder,
                                                key,
                                                payload,
                                                checkpoint,
                                                ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OrderBatch,
                                                epoch,
                                                number,
                                                planner,
                                                agent_incarnation,
                                                worker,
                                                starts,
                                                stops)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FailedRuns, task, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SavedCheckpoint,
                                                task,
                                                checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProgressRecord,
                                                job,
                                                outcome,
                                                done,
                                                failed,
                                                checkpoints,
                                                highest_run,
                                                ended_wall_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRecord, agent, endpoint)

static void to_json(nlohmann::json& json, const AgentReport& report) {
  json = {{"agent", report.agent},
          {"endpoint", report.endpoint},
          {"incarnation", report.incarnation},
          {"sequence", report.sequence},
          {"epoch", report.epoch},
          {"batch", report.batch},
          {"worker_reachable", report.worker_reachable},
          {"is_complete", report.is_complete},
          {"can_start", report.can_start},
          {"active", report.active},
          {"ends", report.ends},
          {"rejections", report.rejections}};
  if (report.worker) {
    json["worker"] = *report.worker;
  }
}

static void from_json(const nlohmann::json& json, AgentReport& report) {
  json.at("agent").get_to(report.agent);
  json.at("endpoint").get_to(report.endpoint);
  json.at("incarnation").get_to(report.incarnation);
  json.at("sequence").get_to(report.sequence);
  json.at("epoch").get_to(report.epoch);
  json.at("batch").get_to(report.batch);
  json.at("worker_reachable").get_to(report.worker_reachable);
  json.at("is_complete").get_to(report.is_complete);
  report.can_start = json.value("can_start", true);
  json.at("active").get_to(report.active);
  json.at("ends").get_to(report.ends);
  json.at("rejections").get_to(report.rejections);
  if (json.contains("worker")) {
    report.worker = json.at("worker").get<WorkerDescription>();
  }
}

namespace {

template <typename T>
std::string Encode(const T& value) {
  return model::DumpJson(nlohmann::json(value));
}

/// The JSON library throws on missing or mistyped fields. The exception is
/// turned into an error here.
template <typename T>
core::Expected<T> Decode(const std::string& text) {
  const core::Expected<nlohmann::json> document = model::ParseJson(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  try {
    return document->get<T>();
  } catch (const nlohmann::json::exception& failure) {
    return core::MakeError(core::ErrorCode::kInvalidArgument, failure.what());
  }
}

template <typename T>
std::string EnumName(T value) {
  return nlohmann::json(value).template get<std::string>();
}

}  // namespace

std::string ToText(const JobRecord& record) {
  return Encode(record);
}
std::string ToText(const ProgressRecord& record) {
  return Encode(record);
}
std::string ToText(const std::vector<MemberRecord>& members) {
  return Encode(members);
}
std::string ToText(const AgentReport& report) {
  return Encode(report);
}
std::string ToText(const ReportAnswer& answer) {
  return Encode(answer);
}
std::string ToText(const OrderBatch& batch) {
  return Encode(batch);
}
core::Expected<JobRecord> JobRecordFromText(const std::string& text) {
  return Decode<JobRecord>(text);
}
core::Expected<ProgressRecord> ProgressFromText(const std::string& text) {
  return Decode<ProgressRecord>(text);
}
core::Expected<std::vector<MemberRecord>> MembersFromText(
    const std::string& text) {
  return Decode<std::vector<MemberRecord>>(text);
}
core::Expected<AgentReport> ReportFromText(const std::string& text) {
  return Decode<AgentReport>(text);
}
core::Expected<ReportAnswer> ReportAnswerFromText(const std::string& text) {
  return Decode<ReportAnswer>(text);
}
core::Expected<OrderBatch> OrderBatchFromText(const std::string& text) {
  return Decode<OrderBatch>(text);
}
std::string NameOf(RunEndKind kind) {
  return EnumName(kind);
}
std::string NameOf(RejectReason reason) {
  return EnumName(reason);
}
std::string NameOf(JobOutcome outcome) {
  return EnumName(outcome);
}

}  // namespace hemlockdoor::batch
