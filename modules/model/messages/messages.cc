#include "modules/model/messages/messages.h"

#include <array>
#include <string>
#include <utility>

#include "modules/model/json/named_values.h"

namespace hemlockdoor::model {

namespace {

constexpr std::array<NamedValue<RefusalReason>, 9> kReasonNames = {{
    {RefusalReason::kWrongIncarnation, "wrong_incarnation"},
    {RefusalReason::kStaleEpoch, "stale_epoch"},
    {RefusalReason::kStaleRevision, "stale_revision"},
    {RefusalReason::kExpired, "expired"},
    {RefusalReason::kNoCapacity, "no_capacity"},
    {RefusalReason::kDraining, "draining"},
    {RefusalReason::kNotReady, "not_ready"},
    {RefusalReason::kCancelled, "cancelled"},
    {RefusalReason::kUnknownReservation, "unknown_reservation"},
}};

struct NamedCause {
  ResultCause cause;
  std::string_view name;
};

constexpr std::array<NamedCause, 10> kCauseNames = {{
    {ResultCause::kTask, "task"},
    {ResultCause::kUpstreamLost, "upstream_lost"},
    {ResultCause::kUpstreamRefused, "upstream_refused"},
    {ResultCause::kNotStarted, "not_started"},
    {ResultCause::kRunTimeExceeded, "run_time_exceeded"},
    {ResultCause::kPreempted, "preempted"},
    {ResultCause::kCheckpointed, "checkpointed"},
    {ResultCause::kCancelled, "cancelled"},
    {ResultCause::kGangStopped, "gang_stopped"},
    {ResultCause::kAgentRestarted, "agent_restarted"},
}};

constexpr std::size_t kMaxListElements = 100'000;

template <typename Number>
std::string Counter(Number number) {
  return std::to_string(number.Number());
}

std::string MaskText(AcceleratorSet set) {
  return std::to_string(set.Mask());
}

template <typename T>
core::Expected<T> Finish(const JsonReader& reader, T message) {
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return message;
}

core::TimePoint ReadTime(JsonReader& reader, const std::string& name) {
  return core::TimePoint::FromMilliseconds(reader.OptionalInteger(name, 0));
}

/// Reads an array of strings as identifiers of type `Id`.
template <typename Id>
std::vector<Id> ReadIds(JsonReader& reader, const std::string& name) {
  std::vector<Id> ids;
  reader.EachElement(
      name,
      [&ids](const nlohmann::json& element,
             const std::string& path) -> core::Expected<void> {
        if (!element.is_string() || ids.size() >= kMaxListElements) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected an array of at most 100000 strings",
                                 path);
        }
        ids.emplace_back(element.get<std::string>());
        return {};
      });
  return ids;
}

/// Reads an array, each element with `read_one`.
template <typename T>
std::vector<T> ReadList(JsonReader& reader,
                        const std::string& name,
                        core::Expected<T> (*read_one)(const nlohmann::json&,
                                                      const std::string&)) {
  std::vector<T> list;
  reader.EachElement(
      name,
      [&list, read_one](const nlohmann::json& element,
                        const std::string& path) -> core::Expected<void> {
        core::Expected<T> one = read_one(element, path);
        if (!one) {
          return tl::unexpected<core::Error>(one.error());
        }
        list.push_back(std::move(*one));
        return {};
      });
  return list;
}

nlohmann::json RunningTaskToJson(const RunningTask& task) {
  nlohmann::json doc;
  doc["job"] = task.job.Text();
  doc["attempt"] = Counter(task.attempt);
  doc["member"] = task.member;
  doc["organisation"] = task.organisation.Text();
  doc["class"] = task.job_class.Text();
  doc["accelerators"] = MaskText(task.accelerators);
  doc["run_ms"] = task.run_time.InMilliseconds();
  return doc;
}

core::Expected<RunningTask> RunningTaskFromJson(const nlohmann::json& doc,
                                                const std::string& path) {
  JsonReader reader(doc, path);
  RunningTask task;
  task.job = core::JobId(reader.RequiredString("job"));
  task.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  task.member =
      static_cast<int>(reader.OptionalInteger("member", 0, {0, kMaxGangSize}));
  task.organisation =
      core::OrganisationId(reader.OptionalString("organisation"));
  task.job_class = core::JobClass(reader.OptionalString("class"));
  task.accelerators = AcceleratorSet(reader.RequiredCounter("accelerators"));
  task.run_time =
      core::Duration::Milliseconds(reader.OptionalInteger("run_ms", 0));
  return Finish(reader, std::move(task));
}

nlohmann::json GangMemberToJson(const GangMember& member) {
  nlohmann::json doc;
  doc["agent"] = member.agent.Text();
  doc["incarnation"] = Counter(member.incarnation);
  doc["endpoint"] = member.endpoint;
  doc["accelerators"] = MaskText(member.accelerators);
  return doc;
}

core::Expected<GangMember> GangMemberFromJson(const nlohmann::json& doc,
                                              const std::string& path) {
  JsonReader reader(doc, path);
  GangMember member;
  member.agent = core::AgentId(reader.RequiredString("agent"));
  member.incarnation = core::Incarnation(reader.RequiredCounter("incarnation"));
  member.endpoint = reader.RequiredString("endpoint");
  member.accelerators = AcceleratorSet(reader.RequiredCounter("accelerators"));
  return Finish(reader, std::move(member));
}

}  // namespace

nlohmann::json ToJson(const RunningTask& message) {
  return RunningTaskToJson(message);
}

core::Expected<RunningTask> RunningTaskFromJson(const nlohmann::json& doc) {
  return RunningTaskFromJson(doc, "$");
}

std::string_view RefusalReasonName(RefusalReason reason) {
  return NameOf(kReasonNames, reason);
}

std::optional<RefusalReason> RefusalReasonFromName(std::string_view name) {
  return ValueOf(kReasonNames, name);
}

std::string_view ResultCauseName(ResultCause cause) {
  for (const NamedCause& row : kCauseNames) {
    if (row.cause == cause) {
      return row.name;
    }
  }
  return "";
}

std::optional<ResultCause> ResultCauseFromName(std::string_view name) {
  for (const NamedCause& row : kCauseNames) {
    if (row.name == name) {
      return row.cause;
    }
  }
  return std::nullopt;
}

nlohmann::json ToJson(const Announcement& message) {
  nlohmann::json doc;
  doc["agent"] = message.agent.Text();
  doc["incarnation"] = Counter(message.incarnation);
  doc["endpoint"] = message.endpoint;
  doc["agent_clock_ms"] = message.agent_clock.InMilliseconds();
  if (message.shape) {
    doc["shape"] = WorkerShapeToJson(*message.shape);
  }
  doc["free_slots"] = message.free_slots;
  doc["free_accelerators"] = MaskText(message.free_accelerators);
  doc["running"] = nlohmann::json::array();
  for (const RunningTask& task : message.running) {
    doc["running"].push_back(RunningTaskToJson(task));
  }
  doc["held_results"] = nlohmann::json::array();
  for (const core::JobId& job : message.held_results) {
    doc["held_results"].push_back(job.Text());
  }
  doc["draining"] = message.draining;
  doc["epoch"] = Counter(message.epoch);
  doc["revision"] = Counter(message.revision);
  return doc;
}

core::Expected<Announcement> AnnouncementFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  Announcement message;
  message.agent = core::AgentId(reader.RequiredString("agent"));
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.endpoint = reader.RequiredString("endpoint");
  message.agent_clock = ReadTime(reader, "agent_clock_ms");
  if (const nlohmann::json* shape = reader.Raw("shape")) {
    core::Expected<WorkerShape> read = WorkerShapeFromJson(*shape, "$.shape");
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    message.shape = std::move(*read);
  }
  message.free_slots =
      static_cast<int>(reader.RequiredInteger("free_slots", {0, INT32_MAX}));
  message.free_accelerators =
      AcceleratorSet(reader.RequiredCounter("free_accelerators"));
  message.running =
      ReadList<RunningTask>(reader, "running", &RunningTaskFromJson);
  message.held_results = ReadIds<core::JobId>(reader, "held_results");
  message.draining = reader.OptionalBool("draining", false);
  message.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  message.revision =
      core::CatalogueRevision(reader.RequiredCounter("revision"));
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const AnnounceReply& message) {
  nlohmann::json doc;
  doc["entry"] = message.entry.Text();
  doc["entry_endpoints"] = message.entry_endpoints;
  doc["epoch"] = Counter(message.epoch);
  doc["revision"] = Counter(message.revision);
  return doc;
}

core::Expected<AnnounceReply> AnnounceReplyFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  AnnounceReply message;
  message.entry = core::EntryId(reader.RequiredString("entry"));
  message.entry_endpoints = ReadIds<std::string>(reader, "entry_endpoints");
  message.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  message.revision =
      core::CatalogueRevision(reader.RequiredCounter("revision"));
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const ReservationRequest& message) {
  nlohmann::json doc;
  doc["reservation"] = message.reservation.Text();
  doc["incarnation"] = Counter(message.incarnation);
  doc["epoch"] = Counter(message.epoch);
  doc["revision"] = Counter(message.revision);
  doc["job"] = JobDescriptionToJson(message.job);
  doc["attempt"] = Counter(message.attempt);
  doc["payload"] = message.payload;
  doc["start_not_after_ms"] = message.start_not_after.InMilliseconds();
  doc["member"] = message.member;
  doc["members"] = nlohmann::json::array();
  for (const GangMember& member : message.members) {
    doc["members"].push_back(GangMemberToJson(member));
  }
  doc["reply_to"] = message.reply_to;
  doc["traceparent"] = message.traceparent;
  doc["max_run_ms"] = message.max_run.InMilliseconds();
  return doc;
}

core::Expected<ReservationRequest> ReservationRequestFromJson(
    const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  ReservationRequest message;
  message.reservation =
      core::ReservationId(reader.RequiredString("reservation"));
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  message.revision =
      core::CatalogueRevision(reader.RequiredCounter("revision"));
  if (const nlohmann::json* job = reader.Raw("job")) {
    core::Expected<JobDescription> read = JobDescriptionFromJson(*job, "$.job");
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    message.job = std::move(*read);
  } else {
    reader.Fail("job", "required field is missing");
  }
  message.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  message.payload = reader.OptionalString("payload", {}, kMaxPayloadBytes);
  message.start_not_after = ReadTime(reader, "start_not_after_ms");
  message.member = static_cast<int>(
      reader.OptionalInteger("member", 0, {0, kMaxGangSize - 1}));
  message.members =
      ReadList<GangMember>(reader, "members", &GangMemberFromJson);
  message.reply_to = reader.RequiredString("reply_to");
  message.traceparent = reader.OptionalString("traceparent");
  message.max_run =
      core::Duration::Milliseconds(reader.OptionalInteger("max_run_ms", 0));
  if (message.members.empty() ||
      message.member >= static_cast<int>(message.members.size())) {
    reader.Fail("members", "\"member\" is not an index into this array");
  }
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const GrantReply& message) {
  nlohmann::json doc;
  doc["granted"] = message.granted;
  if (message.refusal) {
    doc["refusal"] = RefusalReasonName(*message.refusal);
  }
  doc["may_have_started"] = message.may_have_started;
  doc["incarnation"] = Counter(message.incarnation);
  doc["epoch"] = Counter(message.epoch);
  doc["revision"] = Counter(message.revision);
  return doc;
}

core::Expected<GrantReply> GrantReplyFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  GrantReply message;
  message.granted = reader.OptionalBool("granted", false);
  if (reader.Raw("refusal") != nullptr) {
    const std::string name = reader.RequiredString("refusal");
    message.refusal = RefusalReasonFromName(name);
    if (!message.refusal) {
      reader.Fail("refusal", "unknown refusal reason \"" + name + "\"");
    }
  }
  message.may_have_started = reader.OptionalBool("may_have_started", false);
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  message.revision =
      core::CatalogueRevision(reader.RequiredCounter("revision"));
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const ResultNotice& message) {
  nlohmann::json doc;
  doc["agent"] = message.agent.Text();
  doc["job"] = message.job.Text();
  doc["attempt"] = Counter(message.attempt);
  doc["member"] = message.member;
  doc["outcome"] = JobOutcomeName(message.outcome);
  doc["body"] = message.body;
  doc["run_ms"] = message.run_time.InMilliseconds();
  doc["cause"] = ResultCauseName(message.cause);
  return doc;
}

core::Expected<ResultNotice> ResultNoticeFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  ResultNotice message;
  message.agent = core::AgentId(reader.RequiredString("agent"));
  message.job = core::JobId(reader.RequiredString("job"));
  message.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  message.member = static_cast<int>(
      reader.OptionalInteger("member", 0, {0, kMaxGangSize - 1}));
  const std::string outcome = reader.RequiredString("outcome");
  const std::optional<JobOutcome> known = JobOutcomeFromName(outcome);
  if (!known) {
    reader.Fail("outcome", "unknown outcome \"" + outcome + "\"");
  }
  message.outcome = known.value_or(JobOutcome::kUnknown);
  message.body = reader.OptionalString("body", {}, kMaxPayloadBytes);
  message.run_time =
      core::Duration::Milliseconds(reader.OptionalInteger("run_ms", 0));
  // Newer agents may send causes that this version does not know; such a cause
  // is read as kTask.
  message.cause = ResultCauseFromName(reader.OptionalString("cause", "task"))
                      .value_or(ResultCause::kTask);
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const AttemptReference& message) {
  nlohmann::json doc;
  doc["job"] = message.job.Text();
  doc["attempt"] = Counter(message.attempt);
  doc["incarnation"] = Counter(message.incarnation);
  doc["start_not_after_ms"] = message.start_not_after.InMilliseconds();
  return doc;
}

core::Expected<AttemptReference> AttemptReferenceFromJson(
    const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  AttemptReference message;
  message.job = core::JobId(reader.RequiredString("job"));
  message.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.start_not_after = ReadTime(reader, "start_not_after_ms");
  return Finish(reader, std::move(message));
}

}  // namespace hemlockdoor::model
