#include "modules/batch/process/hosted_settings.h"

#include "modules/model/model.h"
#include "modules/observe/observe.h"
#include "modules/settings/settings.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

namespace {

constexpr std::size_t kMaxSettingsBytes = 256U * 1024U;
constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxMilliseconds = 600'000;

std::string RequiredEndpoint(model::JsonReader& reader,
                             const std::string& name) {
  std::string text = reader.RequiredString(name);
  const core::Expected<wire::Endpoint> endpoint = wire::Endpoint::Parse(text);
  if (!endpoint) {
    reader.Fail(name, endpoint.error().message);
  }
  return text;
}

/// Reads a length of time in units of `unit_ms` milliseconds. The platform
/// states whole numbers or fractions; a fraction of a millisecond is cut off.
core::Duration RequiredLength(model::JsonReader& reader,
                              const std::string& name,
                              double unit_ms) {
  if (reader.Raw(name) == nullptr) {
    reader.Fail(name, "required field is missing");
  }
  const double length = reader.OptionalNumber(
      name, 0.0, {1.0 / unit_ms, kMaxMilliseconds / unit_ms});
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(length * unit_ms));
}

core::Duration RequiredMilliseconds(model::JsonReader& reader,
                                    const std::string& name) {
  return RequiredLength(reader, name, 1.0);
}

core::Duration RequiredSeconds(model::JsonReader& reader,
                               const std::string& name) {
  constexpr double kMsPerSecond = 1000.0;
  return RequiredLength(reader, name, kMsPerSecond);
}

std::optional<core::Duration> OptionalMilliseconds(model::JsonReader& reader,
                                                   const std::string& name) {
  if (reader.Raw(name) == nullptr) {
    return std::nullopt;
  }
  return RequiredMilliseconds(reader, name);
}

ConfigurationLimits ReadConfigurationLimits(model::JsonReader& reader) {
  const ConfigurationLimits defaults;
  ConfigurationLimits limits;
  limits.refusal = OptionalMilliseconds(reader, "configuration_bound_ms")
                       .value_or(defaults.refusal);
  limits.acceptance =
      limits.refusal + OptionalMilliseconds(reader, "configuration_grace_ms")
                           .value_or(defaults.acceptance - defaults.refusal);
  return limits;
}

OverloadPolicy ReadOverloadPolicy(model::JsonReader& reader) {
  const std::string name = reader.OptionalString("overload_policy", "priority");
  if (name != "priority" && name != "caller_cost") {
    reader.Fail("overload_policy",
                "expected priority or caller_cost, got \"" + name + "\"");
  }
  return name == "caller_cost" ? OverloadPolicy::kCallerCost
                               : OverloadPolicy::kPriority;
}

void ReadCommon(model::JsonReader& reader, HostedCommonSettings& common) {
  common.node = reader.RequiredString("node");
  common.data_centre = core::DataCentreId(reader.RequiredString("data_centre"));
  common.address = reader.RequiredString("address");
  common.metrics_port = static_cast<std::uint16_t>(
      reader.OptionalInteger("metrics_port", 0, {0, kMaxPort}));
  common.log_level = reader.OptionalString("log_level", "info");
  if (!observe::LogLevelFromName(common.log_level)) {
    reader.Fail("log_level", "expected debug, info, warn or error, got \"" +
                                 common.log_level + "\"");
  }
  common.stop_grace = RequiredSeconds(reader, "stop_grace_s");
  reader.EachElement(
      "entries",
      [&common](const nlohmann::json& element,
                const std::string& path) -> core::Expected<void> {
        if (!element.is_string() ||
            !wire::Endpoint::Parse(element.get<std::string>())) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected ADDRESS:PORT", path);
        }
        common.entries.push_back(element.get<std::string>());
        return {};
      });
}

/// Reads the file, its common settings, and with `read` those of its role.
template <typename Settings, typename Read>
core::Expected<Settings> Load(const std::string& file, Read read) {
  const core::Expected<std::string> text =
      settings::ReadTextFile(file, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<core::Error>(text.error());
  }
  const core::Expected<nlohmann::json> document =
      settings::ParseDocument(*text, file);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  Settings loaded;
  model::JsonReader reader(*document, "$");
  ReadCommon(reader, loaded.common);
  read(reader, loaded);
  if (const core::Expected<void> end = reader.Finish(); !end) {
    core::Error error = end.error();
    error.path = file + ": " + error.path;
    return tl::unexpected<core::Error>(std::move(error));
  }
  return loaded;
}

}  // namespace

core::Expected<HostedEntrySettings> LoadHostedEntrySettings(
    const std::string& file) {
  return Load<HostedEntrySettings>(file, [](model::JsonReader& reader,
                                            HostedEntrySettings& loaded) {
    loaded.caller_endpoint = RequiredEndpoint(reader, "caller_endpoint");
    loaded.readiness_endpoint = RequiredEndpoint(reader, "readiness_endpoint");
    loaded.internal_endpoint = RequiredEndpoint(reader, "internal_endpoint");
    loaded.store_endpoint = RequiredEndpoint(reader, "store_endpoint");
    loaded.min_store_lease = RequiredMilliseconds(reader, "min_store_lease_ms");
    loaded.max_worker_lease =
        RequiredMilliseconds(reader, "max_worker_lease_ms");
    if (reader.Raw("evacuation_bound_ms") != nullptr) {
      loaded.evacuation_bound =
          RequiredMilliseconds(reader, "evacuation_bound_ms");
    }
    loaded.configuration_limits = ReadConfigurationLimits(reader);
    loaded.overload_policy = ReadOverloadPolicy(reader);
    loaded.restore_time = OptionalMilliseconds(reader, "restore_ms");
    loaded.stop_time = OptionalMilliseconds(reader, "stop_ms");
    loaded.gang_wait = OptionalMilliseconds(reader, "gang_wait_ms");
  });
}

core::Expected<HostedAgentSettings> LoadHostedAgentSettings(
    const std::string& file) {
  return Load<HostedAgentSettings>(
      file, [](model::JsonReader& reader, HostedAgentSettings& loaded) {
        loaded.announcement_endpoint =
            RequiredEndpoint(reader, "announcement_endpoint");
        loaded.orders_port = static_cast<std::uint16_t>(
            reader.RequiredInteger("orders_port", {1, kMaxPort}));
        loaded.worker_endpoint = RequiredEndpoint(reader, "worker_endpoint");
        loaded.service = core::ServiceName(reader.RequiredString("service"));
      });
}

}  // namespace hemlockdoor::batch
