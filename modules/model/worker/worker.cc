#include "modules/model/worker/worker.h"

#include "modules/model/job/job.h"
#include "modules/model/json/json_reader.h"

namespace hemlockdoor::model {

namespace {

constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxConnections = 65535;
constexpr std::int64_t kMaxCores = 65536;
constexpr std::size_t kMaxServices = 64;

int ReadCount(JsonReader& reader,
              const std::string& name,
              std::int64_t maximum) {
  return static_cast<int>(reader.RequiredInteger(name, {0, maximum}));
}

}  // namespace

nlohmann::json WorkerShapeToJson(const WorkerShape& shape) {
  nlohmann::json document;
  document["data_centre"] = shape.data_centre.Text();
  document["rack"] = shape.rack.Text();
  document["slots"] = shape.slots;
  document["connections"] = shape.connections;
  document["cores"] = shape.cores;
  document["memory_bytes"] = shape.memory_bytes;
  document["accelerators"] = shape.accelerators;
  document["accelerators_per_group"] = shape.accelerators_per_group;
  nlohmann::json services = nlohmann::json::array();
  for (const core::ServiceName& service : shape.services) {
    services.push_back(service.Text());
  }
  document["services"] = std::move(services);
  return document;
}

core::Expected<WorkerShape> WorkerShapeFromJson(const nlohmann::json& document,
                                                const std::string& path) {
  JsonReader reader(document, path);
  WorkerShape shape;
  shape.data_centre = core::DataCentreId(reader.RequiredString("data_centre"));
  shape.rack = core::RackId(reader.RequiredString("rack"));
  shape.slots = ReadCount(reader, "slots", kMaxSlots);
  shape.connections = ReadCount(reader, "connections", kMaxConnections);
  shape.cores = ReadCount(reader, "cores", kMaxCores);
  shape.memory_bytes = reader.RequiredInteger("memory_bytes");
  shape.accelerators =
      ReadCount(reader, "accelerators", kMaxAcceleratorsPerWorker);
  shape.accelerators_per_group = static_cast<int>(reader.OptionalInteger(
      "accelerators_per_group", 0, {0, kMaxAcceleratorsPerWorker}));
  reader.EachElement(
      "services",
      [&shape](const nlohmann::json& element,
               const std::string& element_path) -> core::Expected<void> {
        if (!element.is_string() || shape.services.size() >= kMaxServices) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected an array of at most 64 strings",
                                 element_path);
        }
        shape.services.emplace_back(element.get<std::string>());
        return {};
      });
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return shape;
}

}  // namespace hemlockdoor::model
