#include "modules/model/job/job.h"

#include <array>
#include <utility>

#include "modules/model/json/json_reader.h"
#include "modules/model/json/named_values.h"

namespace hemlockdoor::model {

namespace {

constexpr std::array<NamedValue<Adjacency>, 4> kAdjacencyNames = {{
    {Adjacency::kAny, "any"},
    {Adjacency::kWorker, "worker"},
    {Adjacency::kRack, "rack"},
    {Adjacency::kSpread, "spread"},
}};

constexpr std::array<NamedValue<JobOutcome>, 5> kOutcomeNames = {{
    {JobOutcome::kDone, "done"},
    {JobOutcome::kFailed, "failed"},
    {JobOutcome::kNotRun, "not-run"},
    {JobOutcome::kCancelled, "cancelled"},
    {JobOutcome::kUnknown, "unknown"},
}};

constexpr std::array<NamedValue<JobState>, 3> kStateNames = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kEnded, "ended"},
}};

constexpr std::int64_t kMaxDurationMilliseconds =
    std::int64_t{90} * 24 * 3600 * 1000;

core::Duration ReadDuration(JsonReader& reader, const std::string& name) {
  return core::Duration::Milliseconds(
      reader.OptionalInteger(name, 0, {0, kMaxDurationMilliseconds}));
}

GangShape ReadShape(JsonReader& reader) {
  GangShape shape;
  shape.gang_size = static_cast<int>(
      reader.OptionalInteger("gang_size", 1, {1, kMaxGangSize}));
  shape.accelerators_per_member = static_cast<int>(reader.OptionalInteger(
      "accelerators_per_member", 0, {0, kMaxAcceleratorsPerWorker}));
  const std::string name = reader.OptionalString("adjacency", "any");
  const std::optional<Adjacency> adjacency = AdjacencyFromName(name);
  if (!adjacency) {
    reader.Fail("adjacency",
                "expected any, worker, rack or spread, got \"" + name + "\"");
  }
  shape.adjacency = adjacency.value_or(Adjacency::kAny);
  return shape;
}

void ReadCommonFields(JsonReader& reader, JobDescription& description) {
  description.job_class = core::JobClass(reader.RequiredString("class"));
  description.service = core::ServiceName(reader.RequiredString("service"));
  description.shape = ReadShape(reader);
  const core::Duration deadline = ReadDuration(reader, "deadline_ms");
  if (deadline > core::Duration()) {
    description.deadline = deadline;
  }
  description.declared_size = reader.OptionalInteger("declared_size", 0);
  description.declared_run = ReadDuration(reader, "declared_run_ms");
  description.checkpointable = reader.OptionalBool("checkpointable", false);
  description.repeatable = reader.OptionalBool("repeatable", true);
  description.urgent = reader.OptionalBool("urgent", false);
}

}  // namespace

std::string_view AdjacencyName(Adjacency adjacency) {
  return NameOf(kAdjacencyNames, adjacency);
}

std::optional<Adjacency> AdjacencyFromName(std::string_view name) {
  return ValueOf(kAdjacencyNames, name);
}

std::string_view JobOutcomeName(JobOutcome outcome) {
  return NameOf(kOutcomeNames, outcome);
}

std::optional<JobOutcome> JobOutcomeFromName(std::string_view name) {
  return ValueOf(kOutcomeNames, name);
}

std::string_view JobStateName(JobState state) {
  return NameOf(kStateNames, state);
}

core::Expected<JobSubmission> JobSubmissionFromJson(
    const nlohmann::json& document) {
  JsonReader reader(document, "$");
  JobSubmission submission;
  ReadCommonFields(reader, submission.description);
  submission.payload = reader.OptionalString("payload", {}, kMaxPayloadBytes);
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return submission;
}

nlohmann::json JobDescriptionToJson(const JobDescription& description) {
  nlohmann::json document;
  document["id"] = description.id.Text();
  document["organisation"] = description.organisation.Text();
  document["class"] = description.job_class.Text();
  document["service"] = description.service.Text();
  document["gang_size"] = description.shape.gang_size;
  document["accelerators_per_member"] =
      description.shape.accelerators_per_member;
  document["adjacency"] = AdjacencyName(description.shape.adjacency);
  if (description.deadline) {
    document["deadline_ms"] = description.deadline->InMilliseconds();
  }
  document["declared_size"] = description.declared_size;
  document["declared_run_ms"] = description.declared_run.InMilliseconds();
  document["checkpointable"] = description.checkpointable;
  document["repeatable"] = description.repeatable;
  document["urgent"] = description.urgent;
  return document;
}

core::Expected<JobDescription> JobDescriptionFromJson(
    const nlohmann::json& document,
    const std::string& path) {
  JsonReader reader(document, path);
  JobDescription description;
  description.id = core::JobId(reader.RequiredString("id"));
  description.organisation =
      core::OrganisationId(reader.RequiredString("organisation"));
  ReadCommonFields(reader, description);
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return description;
}

}  // namespace hemlockdoor::model
