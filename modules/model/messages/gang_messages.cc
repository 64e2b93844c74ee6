#include "modules/model/messages/gang_messages.h"

#include <array>
#include <string>
#include <utility>

#include "modules/model/json/json_reader.h"
#include "modules/model/json/named_values.h"

namespace hemlockdoor::model {

namespace {

constexpr std::array<NamedValue<GangState>, 7> kStateNames = {{
    {GangState::kUnknown, "unknown"},
    {GangState::kReserved, "reserved"},
    {GangState::kCommitted, "committed"},
    {GangState::kRunning, "running"},
    {GangState::kDone, "done"},
    {GangState::kStopped, "stopped"},
    {GangState::kAborted, "aborted"},
}};

constexpr std::array<NamedValue<PreemptAction>, 3> kActionNames = {{
    {PreemptAction::kCheckpoint, "checkpoint"},
    {PreemptAction::kThrottle, "throttle"},
    {PreemptAction::kStop, "stop"},
}};

template <typename Number>
std::string Counter(Number number) {
  return std::to_string(number.Number());
}

template <typename T>
core::Expected<T> Finish(const JsonReader& reader, T message) {
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return message;
}

GangState ReadState(JsonReader& reader) {
  const std::string name = reader.OptionalString("state", "unknown");
  const std::optional<GangState> state = GangStateFromName(name);
  if (!state) {
    reader.Fail("state", "unknown gang state \"" + name + "\"");
  }
  return state.value_or(GangState::kUnknown);
}

template <typename T>
std::vector<T> ReadList(JsonReader& reader,
                        const std::string& name,
                        core::Expected<T> (*read_one)(const nlohmann::json&)) {
  std::vector<T> list;
  reader.EachElement(
      name,
      [&list, read_one](const nlohmann::json& element,
                        const std::string& /*path*/) -> core::Expected<void> {
        core::Expected<T> one = read_one(element);
        if (!one) {
          return tl::unexpected<core::Error>(one.error());
        }
        list.push_back(std::move(*one));
        return {};
      });
  return list;
}

}  // namespace

std::string_view GangStateName(GangState state) {
  return NameOf(kStateNames, state);
}

std::optional<GangState> GangStateFromName(std::string_view name) {
  return ValueOf(kStateNames, name);
}

std::string_view PreemptActionName(PreemptAction action) {
  return NameOf(kActionNames, action);
}

std::optional<PreemptAction> PreemptActionFromName(std::string_view name) {
  return ValueOf(kActionNames, name);
}

nlohmann::json ToJson(const GangMessage& message) {
  nlohmann::json doc;
  doc["job"] = message.job.Text();
  doc["attempt"] = Counter(message.attempt);
  doc["incarnation"] = Counter(message.incarnation);
  doc["sender"] = message.sender.Text();
  doc["sender_incarnation"] = Counter(message.sender_incarnation);
  doc["state"] = GangStateName(message.state);
  return doc;
}

core::Expected<GangMessage> GangMessageFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  GangMessage message;
  message.job = core::JobId(reader.RequiredString("job"));
  message.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.sender = core::AgentId(reader.OptionalString("sender"));
  if (reader.Raw("sender_incarnation") != nullptr) {
    message.sender_incarnation =
        core::Incarnation(reader.RequiredCounter("sender_incarnation"));
  }
  message.state = ReadState(reader);
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const GangReply& message) {
  nlohmann::json doc;
  doc["granted"] = message.granted;
  doc["state"] = GangStateName(message.state);
  if (message.refusal) {
    doc["refusal"] = RefusalReasonName(*message.refusal);
  }
  doc["incarnation"] = Counter(message.incarnation);
  return doc;
}

core::Expected<GangReply> GangReplyFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  GangReply message;
  message.granted = reader.OptionalBool("granted", false);
  message.state = ReadState(reader);
  if (reader.Raw("refusal") != nullptr) {
    message.refusal = RefusalReasonFromName(reader.RequiredString("refusal"));
  }
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const PreemptRequest& message) {
  nlohmann::json doc;
  doc["job"] = message.job.Text();
  doc["attempt"] = Counter(message.attempt);
  doc["incarnation"] = Counter(message.incarnation);
  doc["action"] = PreemptActionName(message.action);
  doc["grace_ms"] = message.grace.InMilliseconds();
  return doc;
}

core::Expected<PreemptRequest> PreemptRequestFromJson(
    const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  PreemptRequest message;
  message.job = core::JobId(reader.RequiredString("job"));
  message.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  const std::string name = reader.RequiredString("action");
  const std::optional<PreemptAction> action = PreemptActionFromName(name);
  if (!action) {
    reader.Fail("action",
                "expected checkpoint, throttle or stop, got \"" + name + "\"");
  }
  message.action = action.value_or(PreemptAction::kStop);
  message.grace =
      core::Duration::Milliseconds(reader.OptionalInteger("grace_ms", 0));
  return Finish(reader, std::move(message));
}

nlohmann::json ToJson(const TaskStatus& message) {
  nlohmann::json doc;
  doc["incarnation"] = Counter(message.incarnation);
  doc["running"] = nlohmann::json::array();
  for (const RunningTask& task : message.running) {
    doc["running"].push_back(ToJson(task));
  }
  doc["reserved"] = message.reserved;
  doc["results"] = nlohmann::json::array();
  for (const ResultNotice& result : message.results) {
    doc["results"].push_back(ToJson(result));
  }
  return doc;
}

core::Expected<TaskStatus> TaskStatusFromJson(const nlohmann::json& doc) {
  JsonReader reader(doc, "$");
  TaskStatus message;
  message.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  message.running =
      ReadList<RunningTask>(reader, "running", &RunningTaskFromJson);
  message.reserved = static_cast<int>(
      reader.OptionalInteger("reserved", 0, {0, kMaxGangSize}));
  message.results =
      ReadList<ResultNotice>(reader, "results", &ResultNoticeFromJson);
  return Finish(reader, std::move(message));
}

}  // namespace hemlockdoor::model
