#include "modules/agent/upstream/upstream_messages.h"

#include <array>
#include <optional>
#include <utility>

namespace hemlockdoor::agent {

namespace {

constexpr std::array<model::NamedValue<UpstreamTaskState>, 6> kStateNames = {{
    {UpstreamTaskState::kRunning, "running"},
    {UpstreamTaskState::kDone, "done"},
    {UpstreamTaskState::kFailed, "failed"},
    {UpstreamTaskState::kStopped, "stopped"},
    {UpstreamTaskState::kCheckpointed, "checkpointed"},
    {UpstreamTaskState::kNeverStarted, "never_started"},
}};

constexpr std::size_t kMaxContextBytes = 4096;
constexpr std::size_t kMaxListedTasks = 10'000;

core::Expected<UpstreamTask> ReadTask(const nlohmann::json& doc,
                                      const std::string& path) {
  model::JsonReader reader(doc, path);
  UpstreamTask task;
  task.key.job = core::JobId(reader.RequiredString("job"));
  task.key.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  task.key.member = static_cast<int>(
      reader.OptionalInteger("member", 0, {0, model::kMaxGangSize - 1}));
  const std::string name = reader.RequiredString("state");
  const std::optional<UpstreamTaskState> state =
      model::ValueOf(kStateNames, name);
  if (!state) {
    reader.Fail("state", "unknown task state \"" + name + "\"");
  }
  task.state = state.value_or(UpstreamTaskState::kRunning);
  const char* body_field =
      task.state == UpstreamTaskState::kFailed ? "error" : "result";
  task.body = reader.OptionalString(body_field, {}, model::kMaxPayloadBytes);
  task.context = reader.OptionalString("context", {}, kMaxContextBytes);
  task.instance = reader.OptionalString("instance");
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return task;
}

}  // namespace

std::string_view UpstreamTaskStateName(UpstreamTaskState state) {
  return model::NameOf(kStateNames, state);
}

std::string TaskContextToText(const TaskContext& context) {
  nlohmann::json doc;
  doc["organisation"] = context.organisation.Text();
  doc["class"] = context.job_class.Text();
  doc["repeatable"] = context.repeatable;
  doc["gang_size"] = context.gang_size;
  doc["accelerators"] = std::to_string(context.accelerators.Mask());
  doc["reply_to"] = context.reply_to;
  doc["max_run_ms"] = context.max_run.InMilliseconds();
  return model::DumpJson(doc);
}

core::Expected<TaskContext> TaskContextFromText(const std::string& text) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(text);
  if (!doc) {
    return tl::unexpected<core::Error>(doc.error());
  }
  model::JsonReader reader(*doc, "$");
  TaskContext context;
  context.organisation =
      core::OrganisationId(reader.RequiredString("organisation"));
  context.job_class = core::JobClass(reader.RequiredString("class"));
  context.repeatable = reader.OptionalBool("repeatable", false);
  context.gang_size = static_cast<int>(
      reader.RequiredInteger("gang_size", {1, model::kMaxGangSize}));
  context.accelerators =
      model::AcceleratorSet(reader.RequiredCounter("accelerators"));
  context.reply_to = reader.RequiredString("reply_to");
  context.max_run =
      core::Duration::Milliseconds(reader.OptionalInteger("max_run_ms", 0));
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return context;
}

std::string UpstreamStartToText(const UpstreamStart& start) {
  nlohmann::json doc;
  doc["job"] = start.key.job.Text();
  doc["attempt"] = std::to_string(start.key.attempt.Number());
  doc["member"] = start.key.member;
  doc["gang_size"] = start.context.gang_size;
  doc["payload"] = start.payload;
  doc["service"] = start.service.Text();
  doc["organisation"] = start.context.organisation.Text();
  doc["accelerators"] = std::to_string(start.context.accelerators.Mask());
  doc["traceparent"] = start.traceparent;
  doc["context"] = TaskContextToText(start.context);
  return model::DumpJson(doc);
}

core::Expected<UpstreamTask> UpstreamTaskFromText(std::string text) {
  // Frees the text, which may contain a large result, before the result is
  // copied out of the JSON document.
  const core::Expected<nlohmann::json> doc =
      model::ParseJson(std::exchange(text, {}));
  if (!doc) {
    return tl::unexpected<core::Error>(doc.error());
  }
  return ReadTask(*doc, "$");
}

core::Expected<std::vector<UpstreamTask>> UpstreamListFromText(
    const std::string& text) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(text);
  if (!doc) {
    return tl::unexpected<core::Error>(doc.error());
  }
  model::JsonReader reader(*doc, "$");
  std::vector<UpstreamTask> tasks;
  if (reader.Raw("tasks") == nullptr) {
    reader.Fail("tasks", "required field is missing");
  }
  reader.EachElement(
      "tasks",
      [&tasks](const nlohmann::json& element,
               const std::string& path) -> core::Expected<void> {
        if (tasks.size() >= kMaxListedTasks) {
          return core::MakeError(core::ErrorCode::kTooLarge,
                                 "the listing has more than " +
                                     std::to_string(kMaxListedTasks) + " tasks",
                                 path);
        }
        core::Expected<UpstreamTask> task = ReadTask(element, path);
        if (!task) {
          return tl::unexpected<core::Error>(task.error());
        }
        tasks.push_back(std::move(*task));
        return {};
      });
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return tasks;
}

}  // namespace hemlockdoor::agent
