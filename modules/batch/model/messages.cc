#include "modules/batch/model/messages.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "modules/model/model.h"
#include "modules/wire/wire.h"

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
                              {RejectReason::kNotListed, "no-answer"},
                              {RejectReason::kEvacuated, "evacuated"}})
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
                                                accepted_wall_ms,
                                                first_attempt_wall_ms)
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
                                                remaining,
                                                cold_left)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunKey, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ActiveRun,
                                                key,
                                                confirmed,
                                                is_over,
                                                checkpoint,
                                                percent,
                                                still,
                                                gauge)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunEnd,
                                                number,
                                                key,
                                                kind,
                                                checkpoint)

/// A rejection for an evacuation is written as one by an unhealthy worker with
/// an additional field, because earlier versions refuse a report with a reason
/// that they do not know.
static void to_json(nlohmann::json& json, const Rejection& rejection) {
  const bool is_evacuated = rejection.reason == RejectReason::kEvacuated;
  json = {
      {"key", rejection.key},
      {"reason", is_evacuated ? RejectReason::kUnhealthy : rejection.reason}};
  if (is_evacuated) {
    json["evacuated"] = true;
  }
}

static void from_json(const nlohmann::json& json, Rejection& rejection) {
  rejection.key = json.value("key", RunKey());
  rejection.reason = json.value("evacuated", false)
                         ? RejectReason::kEvacuated
                         : json.value("reason", RejectReason::kInvalid);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportedSpeed,
                                                log_factor,
                                                weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportAnswer,
                                                epoch,
                                                session,
                                                term,
                                                earlier_leases,
                                                max_worker_lease,
                                                worker,
                                                acknowledged,
                                                speed,
                                                entries,
                                                evacuated,
                                                evacuation_revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder,
                                                key,
                                                payload,
                                                checkpoint,
                                                ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OrderBatch,
                                                epoch,
                                                session,
                                                number,
                                                planner,
                                                agent_incarnation,
                                                worker,
                                                starts,
                                                stops,
                                                revoked_starts,
                                                evacuated,
                                                evacuation_revision)
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
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberRecord,
                                                agent,
                                                endpoint,
                                                long_leases)

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
  if (report.speed.weight > 0) {
    json["speed"] = report.speed;
  }
  if (report.progress_age > core::Duration()) {
    json["progress_age"] = report.progress_age;
  }
  if (report.worker) {
    json["worker"] = *report.worker;
  }
  if (report.session) {
    json["session"] = *report.session;
  }
  if (report.restart_lease > core::Duration()) {
    json["restart_lease"] = report.restart_lease;
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
  report.speed = json.value("speed", ReportedSpeed());
  report.progress_age = json.value("progress_age", core::Duration());
  json.at("active").get_to(report.active);
  json.at("ends").get_to(report.ends);
  json.at("rejections").get_to(report.rejections);
  if (json.contains("worker")) {
    report.worker = json.at("worker").get<WorkerDescription>();
  }
  if (json.contains("session")) {
    report.session = json.at("session").get<SessionNumber>();
  }
  report.restart_lease = json.value("restart_lease", core::Duration());
}

namespace {

template <typename T>
std::string Encode(const T& value) {
  return model::DumpJson(nlohmann::json(value));
}

tl::unexpected<core::Error> Invalid(const std::string& message,
                                    const std::string& path = {}) {
  return core::MakeError(core::ErrorCode::kInvalidArgument, message, path);
}

/// Returns false if some number is too large for the JSON library to convert to
/// an integer field; such a conversion has undefined behaviour.
bool HasConvertibleNumbers(const nlohmann::json& node) {
  // Integers up to this magnitude are exact in every JSON parser.
  constexpr double kMaxMagnitude = 9007199254740992.0;
  if (node.is_structured()) {
    return std::all_of(node.begin(), node.end(), HasConvertibleNumbers);
  }
  return !node.is_number() || std::abs(node.get<double>()) <= kMaxMagnitude;
}

/// Returns true if each field of `read` that `written` has as well is the same
/// there. Detects values that the JSON library converts silently: numbers that
/// do not fit in their field, booleans for numbers, unknown names of enum
/// values, and texts that are no task names.
bool IsUnchanged(const nlohmann::json& read, const nlohmann::json& written) {
  if (read.is_object() && written.is_object()) {
    return std::all_of(written.items().begin(), written.items().end(),
                       [&read](const auto& field) {
                         const auto found = read.find(field.key());
                         return found == read.end() ||
                                IsUnchanged(*found, field.value());
                       });
  }
  if (read.is_array() && written.is_array()) {
    return std::equal(read.begin(), read.end(), written.begin(), written.end(),
                      IsUnchanged);
  }
  return read.is_boolean() == written.is_boolean() && read == written;
}

core::Expected<void> ValidateEndpoint(const std::string& endpoint,
                                      const std::string& path) {
  const core::Expected<wire::Endpoint> parsed = wire::Endpoint::Parse(endpoint);
  if (!parsed) {
    return Invalid(parsed.error().message, path);
  }
  return {};
}

core::Expected<void> Validate(const JobRecord& record) {
  constexpr int kMaxPriority = 1000;
  constexpr int kMaxAttempts = 1000;
  constexpr double kMaxSlackFactor = 1000;
  const bool valid =
      record.priority >= 0 && record.priority <= kMaxPriority &&
      record.max_attempts >= 1 && record.max_attempts <= kMaxAttempts &&
      record.slack_factor >= 0 && record.slack_factor <= kMaxSlackFactor &&
      record.objective >= core::Duration() && record.accepted_wall_ms >= 0 &&
      record.first_attempt_wall_ms >= 0;
  if (!valid) {
    return Invalid("priority, attempts or objective out of range");
  }
  return ValidateJobSpec(record.spec);
}

core::Expected<void> Validate(const ProgressRecord& record) {
  if (record.job.IsEmpty() || record.highest_run < 0) {
    return Invalid("job missing or run number out of range");
  }
  return {};
}

core::Expected<void> Validate(const MemberRecord& member) {
  if (member.agent.IsEmpty()) {
    return Invalid("expected an id", "agent");
  }
  return ValidateEndpoint(member.endpoint, "endpoint");
}

core::Expected<void> Validate(const ReportedSpeed& speed) {
  constexpr double kMaxLogFactor = 10;
  constexpr double kMaxWeight = 1e6;
  if (std::abs(speed.log_factor) > kMaxLogFactor || speed.weight < 0 ||
      speed.weight > kMaxWeight) {
    return Invalid("factor or weight out of range", "speed");
  }
  return {};
}

core::Expected<void> Validate(const AgentReport& report) {
  if (report.agent.IsEmpty()) {
    return Invalid("expected an id", "agent");
  }
  if (report.progress_age < core::Duration()) {
    return Invalid("expected a positive length of time", "progress_age");
  }
  if (report.restart_lease < core::Duration() ||
      report.restart_lease > kLongestRestartLease) {
    return Invalid("length of time out of range", "restart_lease");
  }
  if (const core::Expected<void> valid = Validate(report.speed); !valid) {
    return valid;
  }
  const bool runs_valid = std::all_of(
      report.active.begin(), report.active.end(), [](const ActiveRun& run) {
        return run.key.run >= 0 && run.still >= core::Duration();
      });
  if (!runs_valid) {
    return Invalid("run number or time out of range", "active");
  }
  return ValidateEndpoint(report.endpoint, "endpoint");
}

core::Expected<void> Validate(const ReportAnswer& answer) {
  if (answer.term < core::Duration()) {
    return Invalid("expected a positive length of time", "term");
  }
  if (answer.earlier_leases < core::Duration()) {
    return Invalid("expected a positive length of time", "earlier_leases");
  }
  if (answer.max_worker_lease <= core::Duration() ||
      answer.max_worker_lease > kMaxWorkerLease) {
    return Invalid("length of time out of range", "max_worker_lease");
  }
  return Validate(answer.speed);
}

core::Expected<void> Validate(const OrderBatch& /*batch*/) {
  return {};
}

/// Decodes one JSON value. The JSON library throws on missing and mistyped
/// fields; the exception is turned into an error here.
template <typename T>
core::Expected<T> DecodeValue(const nlohmann::json& document) {
  if (!HasConvertibleNumbers(document)) {
    return Invalid("number out of range");
  }
  T value;
  try {
    value = document.get<T>();
  } catch (const nlohmann::json::exception& failure) {
    return Invalid(failure.what());
  }
  if (!IsUnchanged(document, nlohmann::json(value))) {
    return Invalid("a field has a value that it cannot hold");
  }
  if (const core::Expected<void> valid = Validate(value); !valid) {
    return tl::unexpected<core::Error>(valid.error());
  }
  return value;
}

template <typename T>
core::Expected<T> Decode(const std::string& text) {
  const core::Expected<nlohmann::json> document = model::ParseJson(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  return DecodeValue<T>(*document);
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
core::Expected<MemberList> MembersFromText(const std::string& text) {
  const core::Expected<nlohmann::json> document = model::ParseJson(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  if (!document->is_array()) {
    return Invalid("expected a list of agents");
  }
  MemberList list;
  for (const nlohmann::json& element : *document) {
    core::Expected<MemberRecord> member = DecodeValue<MemberRecord>(element);
    if (member) {
      list.members.push_back(std::move(*member));
    } else {
      list.errors.push_back(member.error());
    }
  }
  return list;
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
