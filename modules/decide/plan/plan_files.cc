#include "modules/decide/plan/plan_files.h"

#include <set>
#include <utility>

namespace hemlockdoor::decide {

namespace {

constexpr model::JsonLimits kFileLimits = {.max_bytes = 64U * 1024U * 1024U,
                                           .max_depth = 16,
                                           .allow_comments = true};

/// Fields that `model::JobDescriptionFromJson` reads. That function accepts
/// unknown fields, so `ReadJob` rejects all others.
constexpr const char* kDescriptionFields[] = {"id",
                                              "organisation",
                                              "class",
                                              "service",
                                              "gang_size",
                                              "accelerators_per_member",
                                              "adjacency",
                                              "deadline_ms",
                                              "declared_size",
                                              "declared_run_ms",
                                              "checkpointable",
                                              "repeatable",
                                              "urgent"};
/// The same for `model::WorkerShapeFromJson` and `ReadWorker`.
constexpr const char* kShapeFields[] = {
    "data_centre", "rack",         "slots",        "connections",
    "cores",       "memory_bytes", "accelerators", "accelerators_per_group",
    "services"};

tl::unexpected<core::Error> InFile(core::Error error, const PlanFile& file) {
  error.path = file.name + (error.path.empty() ? "" : ": " + error.path);
  return tl::unexpected<core::Error>(std::move(error));
}

core::Expected<Placement> ReadMember(const nlohmann::json& document,
                                     const std::string& path) {
  model::JsonReader reader(document, path);
  Placement member;
  member.agent = core::AgentId(reader.RequiredString("agent"));
  std::uint64_t mask = 0;
  reader.EachElement(
      "accelerators",
      [&mask](const nlohmann::json& element,
              const std::string& element_path) -> core::Expected<void> {
        const bool valid =
            element.is_number_unsigned() &&
            element.get<std::uint64_t>() <
                static_cast<std::uint64_t>(model::kMaxAcceleratorsPerWorker);
        if (!valid) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected an accelerator number from 0 to 63",
                                 element_path);
        }
        mask |= std::uint64_t{1} << element.get<std::uint64_t>();
        return {};
      });
  member.accelerators = model::AcceleratorSet(mask);
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return member;
}

core::Expected<PlanJob> ReadJob(const nlohmann::json& document,
                                const std::string& path) {
  model::JsonReader reader(document, path);
  for (const char* field : kDescriptionFields) {
    reader.Raw(field);
  }
  PlanJob job;
  job.running_for = core::Duration::Milliseconds(
      reader.OptionalInteger("running_for_ms", 0, {0, INT64_MAX / 2}));
  reader.EachElement(
      "running_on",
      [&job](const nlohmann::json& element,
             const std::string& element_path) -> core::Expected<void> {
        core::Expected<Placement> member = ReadMember(element, element_path);
        if (!member) {
          return tl::unexpected<core::Error>(member.error());
        }
        job.members.push_back(*member);
        return {};
      });
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  core::Expected<model::JobDescription> description =
      model::JobDescriptionFromJson(document, path);
  if (!description) {
    return tl::unexpected<core::Error>(description.error());
  }
  job.description = std::move(*description);
  const int members = static_cast<int>(job.members.size());
  if (members != 0 && members != job.description.shape.gang_size) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected one place for each of the " +
                               std::to_string(job.description.shape.gang_size) +
                               " gang members, got " + std::to_string(members),
                           path + ".running_on");
  }
  return job;
}

core::Expected<WorkerView> ReadWorker(const nlohmann::json& document,
                                      const std::string& path) {
  model::JsonReader reader(document, path);
  for (const char* field : kShapeFields) {
    reader.Raw(field);
  }
  WorkerView view;
  view.agent = core::AgentId(reader.RequiredString("id"));
  view.draining = reader.OptionalBool("draining", false);
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  core::Expected<model::WorkerShape> shape =
      model::WorkerShapeFromJson(document, path);
  if (!shape) {
    return tl::unexpected<core::Error>(shape.error());
  }
  view.shape = std::move(*shape);
  return view;
}

/// Reads a file of the form {FIELD: [...]}. Two elements with the same id are
/// an error.
template <typename Value, typename Read, typename IdOf>
core::Expected<std::vector<Value>> ReadList(const PlanFile& file,
                                            const std::string& field,
                                            Read&& read,
                                            IdOf&& id_of) {
  const core::Expected<nlohmann::json> document =
      model::ParseJson(file.text, kFileLimits);
  if (!document) {
    return InFile(document.error(), file);
  }
  std::vector<Value> values;
  std::set<std::string> ids;
  model::JsonReader reader(*document, "$");
  reader.EachElement(field,
                     [&](const nlohmann::json& element,
                         const std::string& path) -> core::Expected<void> {
                       core::Expected<Value> value = read(element, path);
                       if (!value) {
                         return tl::unexpected<core::Error>(value.error());
                       }
                       if (!ids.insert(id_of(*value)).second) {
                         return core::MakeError(
                             core::ErrorCode::kInvalidArgument,
                             "id \"" + id_of(*value) + "\" is used twice",
                             path + ".id");
                       }
                       values.push_back(std::move(*value));
                       return {};
                     });
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return InFile(finished.error(), file);
  }
  return values;
}

}  // namespace

core::Expected<std::vector<WorkerView>> ReadPlanWorkers(const PlanFile& file) {
  return ReadList<WorkerView>(
      file, "workers", &ReadWorker,
      [](const WorkerView& view) { return view.agent.Text(); });
}

core::Expected<std::vector<PlanJob>> ReadPlanJobs(const PlanFile& file) {
  return ReadList<PlanJob>(file, "jobs", &ReadJob, [](const PlanJob& job) {
    return job.description.id.Text();
  });
}

}  // namespace hemlockdoor::decide
