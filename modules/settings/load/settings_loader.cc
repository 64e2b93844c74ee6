#include "modules/settings/load/settings_loader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "modules/model/model.h"

namespace hemlockdoor::settings {

namespace {

using model::JsonReader;

constexpr std::size_t kMaxSettingsBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxKeyFileBytes = 4096;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxEndpoints = 256;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxDrainTimeoutMs = 24LL * 60 * 60 * 1000;
constexpr std::int64_t kMinHeldResultBytes =
    static_cast<std::int64_t>(model::kMaxPayloadBytes);
constexpr std::int64_t kMaxHeldResultBytes = std::int64_t{64} * 1024 * 1024;
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warn",
                                                        "error"};

std::string Quoted(const std::string& text) {
  return model::DumpJson(nlohmann::json(text));
}

bool IsIpAddress(const std::string& text) {
  in6_addr parsed = {};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

bool IsEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsIpAddress(text.substr(0, colon))) {
    return false;
  }
  std::int64_t port = 0;
  const char* last = text.data() + text.size();
  const auto [end, failure] =
      std::from_chars(text.data() + colon + 1, last, port);
  return failure == std::errc() && end == last && port > 0 && port <= kMaxPort;
}

bool IsName(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string EndpointExpected(const std::string& text) {
  return "expected ADDRESS:PORT with an IP address, got " + Quoted(text);
}

std::string ReadName(JsonReader& reader, const std::string& field) {
  const std::string text = reader.RequiredString(field);
  if (!IsName(text)) {
    reader.Fail(field,
                "expected 1 to 128 letters, digits, '-', '_' or '.', got " +
                    Quoted(text));
  }
  return text;
}

/// An endpoint field; empty when absent.
std::string ReadEndpoint(JsonReader& reader, const std::string& field) {
  const bool present = reader.Raw(field) != nullptr;
  const std::string text = reader.OptionalString(field);
  if (present && !IsEndpoint(text)) {
    reader.Fail(field, EndpointExpected(text));
  }
  return text;
}

std::vector<std::string> ReadEndpoints(JsonReader& reader,
                                       const std::string& field) {
  std::vector<std::string> endpoints;
  reader.EachElement(
      field,
      [&endpoints](const nlohmann::json& element,
                   const std::string& path) -> core::Expected<void> {
        const std::string text = element.is_string()
                                     ? element.get<std::string>()
                                     : model::DumpJson(element);
        if (!IsEndpoint(text)) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 EndpointExpected(text), path);
        }
        if (std::find(endpoints.begin(), endpoints.end(), text) !=
            endpoints.end()) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "endpoint " + Quoted(text) + " is named twice",
                                 path);
        }
        if (endpoints.size() >= kMaxEndpoints) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "more than 256 endpoints", path);
        }
        endpoints.push_back(text);
        return {};
      });
  return endpoints;
}

std::string ReadPath(JsonReader& reader,
                     const std::string& field,
                     const SettingsSource& source) {
  const std::filesystem::path path = reader.OptionalString(field);
  if (path.empty() || path.is_absolute()) {
    return path.string();
  }
  return (std::filesystem::path(source.folder) / path).string();
}

std::string WithoutTrailingNewlines(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

Secret CheckedKey(JsonReader& reader,
                  const std::string& field,
                  std::string text) {
  if (text.size() < kMinInternalKeyBytes) {
    reader.Fail(field, "the key it names is shorter than " +
                           std::to_string(kMinInternalKeyBytes) + " bytes");
  }
  const bool printable =
      std::all_of(text.begin(), text.end(),
                  [](unsigned char c) { return c > ' ' && c < 0x7f; });
  if (!printable) {
    // The key is sent as a bearer token in a header field.
    reader.Fail(field,
                "the key it names has a space, a control character or a "
                "character outside ASCII");
  }
  return Secret(std::move(text));
}

Secret ReadInternalKey(JsonReader& reader, const SettingsSource& source) {
  if (reader.Raw("internal_key") != nullptr) {
    reader.Fail("internal_key",
                "a secret does not belong in a settings file; name its file "
                "in \"internal_key_file\" or its environment variable in "
                "\"internal_key_env\"");
  }
  const std::string file = ReadPath(reader, "internal_key_file", source);
  const std::string variable = reader.OptionalString("internal_key_env");
  if (file.empty() == variable.empty()) {
    reader.Fail("internal_key_file",
                "set exactly one of \"internal_key_file\" and "
                "\"internal_key_env\"");
    return {};
  }
  if (!variable.empty()) {
    const std::optional<std::string> value = source.environment(variable);
    if (!value) {
      reader.Fail("internal_key_env",
                  "environment variable " + Quoted(variable) + " is not set");
      return {};
    }
    return CheckedKey(reader, "internal_key_env", *value);
  }
  core::Expected<std::string> text = ReadTextFile(file, kMaxKeyFileBytes);
  if (!text) {
    reader.Fail("internal_key_file",
                text.error().message + ": " + Quoted(file));
    return {};
  }
  return CheckedKey(reader, "internal_key_file",
                    WithoutTrailingNewlines(std::move(*text)));
}

core::Expected<LogSettings> ReadLogs(const nlohmann::json& document) {
  JsonReader reader(document, "$.logs");
  LogSettings logs;
  logs.level = reader.OptionalString("level", logs.level);
  if (std::find(kLogLevels.begin(), kLogLevels.end(), logs.level) ==
      kLogLevels.end()) {
    reader.Fail("level", "expected debug, info, warn or error, got " +
                             Quoted(logs.level));
  }
  const std::string format = reader.OptionalString("format", "plain");
  if (format != "plain" && format != "json") {
    reader.Fail("format", "expected plain or json, got " + Quoted(format));
  }
  logs.json = format == "json";
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return logs;
}

core::Expected<TraceSettings> ReadTraces(const nlohmann::json& document) {
  JsonReader reader(document, "$.traces");
  TraceSettings traces;
  const std::string collector = ReadEndpoint(reader, "collector");
  if (!collector.empty()) {
    traces.collector = collector;
  }
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return traces;
}

core::Expected<CommonSettings> ReadCommon(JsonReader& reader,
                                          const SettingsSource& source,
                                          const std::string& role) {
  CommonSettings common;
  const std::string named_role = reader.OptionalString("role", role);
  if (named_role != role) {
    reader.Fail("role",
                "expected " + Quoted(role) + ", got " + Quoted(named_role));
  }
  common.data_centre = core::DataCentreId(ReadName(reader, "data_centre"));
  common.address = reader.OptionalString("address", common.address);
  common.advertised_endpoint = ReadEndpoint(reader, "advertised_endpoint");
  const bool is_wildcard =
      common.address == "0.0.0.0" || common.address == "::";
  if (!IsIpAddress(common.address)) {
    reader.Fail("address",
                "expected an IP address, got " + Quoted(common.address));
  }
  if (is_wildcard && common.advertised_endpoint.empty()) {
    reader.Fail("address", Quoted(common.address) +
                               " cannot be told to peers; set "
                               "\"advertised_endpoint\" as well");
  }
  common.port = static_cast<std::uint16_t>(
      reader.OptionalInteger("port", 0, {0, kMaxPort}));
  common.port_file = ReadPath(reader, "port_file", source);
  common.internal_key = ReadInternalKey(reader, source);
  common.drain_timeout = core::Duration::Milliseconds(reader.OptionalInteger(
      "drain_timeout_ms", common.drain_timeout.InMilliseconds(),
      {0, kMaxDrainTimeoutMs}));
  if (const nlohmann::json* logs = reader.Raw("logs")) {
    core::Expected<LogSettings> read = ReadLogs(*logs);
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    common.logs = std::move(*read);
  }
  if (const nlohmann::json* traces = reader.Raw("traces")) {
    core::Expected<TraceSettings> read = ReadTraces(*traces);
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    common.traces = std::move(*read);
  }
  return common;
}

core::Expected<EntrySettings> ReadEntry(const nlohmann::json& document,
                                        const SettingsSource& source) {
  JsonReader reader(document, "$");
  EntrySettings settings;
  settings.id = core::EntryId(ReadName(reader, "id"));
  core::Expected<CommonSettings> common = ReadCommon(reader, source, "entry");
  if (!common) {
    return tl::unexpected<core::Error>(common.error());
  }
  settings.common = std::move(*common);
  settings.store = ReadEndpoint(reader, "store");
  settings.peers = ReadEndpoints(reader, "peers");
  settings.initial_catalogue = ReadPath(reader, "initial_catalogue", source);
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return settings;
}

core::Expected<AgentSettings> ReadAgent(const nlohmann::json& document,
                                        const SettingsSource& source) {
  JsonReader reader(document, "$");
  AgentSettings settings;
  settings.id = core::AgentId(ReadName(reader, "id"));
  core::Expected<CommonSettings> common = ReadCommon(reader, source, "agent");
  if (!common) {
    return tl::unexpected<core::Error>(common.error());
  }
  settings.common = std::move(*common);
  settings.entries = ReadEndpoints(reader, "entries");
  if (settings.entries.empty()) {
    reader.Fail("entries", "name at least one entry as ADDRESS:PORT");
  }
  settings.upstream = ReadEndpoint(reader, "upstream");
  if (settings.upstream.empty()) {
    reader.Fail("upstream", "required field is missing");
  }
  settings.max_held_result_bytes = reader.OptionalInteger(
      "max_held_result_bytes", settings.max_held_result_bytes,
      {kMinHeldResultBytes, kMaxHeldResultBytes});
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return settings;
}

/// Parses, reads with `read` and puts the file's name in front of the path.
template <typename Settings>
core::Expected<Settings> FromText(
    std::string_view text,
    const SettingsSource& source,
    core::Expected<Settings> (*read)(const nlohmann::json&,
                                     const SettingsSource&)) {
  const core::Expected<nlohmann::json> document =
      ParseDocument(text, source.file);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  core::Expected<Settings> settings = read(*document, source);
  if (!settings) {
    core::Error error = settings.error();
    error.path = source.file + ": " + error.path;
    return tl::unexpected<core::Error>(std::move(error));
  }
  return settings;
}

SettingsSource FileSource(const std::string& file) {
  SettingsSource source;
  source.file = file;
  source.folder = std::filesystem::path(file).parent_path().string();
  source.environment =
      [](const std::string& name) -> std::optional<std::string> {
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
  return source;
}

template <typename Settings>
core::Expected<Settings> LoadFile(
    const std::string& file,
    core::Expected<Settings> (*from_text)(std::string_view,
                                          const SettingsSource&)) {
  const core::Expected<std::string> text =
      ReadTextFile(file, kMaxSettingsBytes);
  if (!text) {
    return tl::unexpected<core::Error>(text.error());
  }
  return from_text(*text, FileSource(file));
}

nlohmann::json CommonToJson(const CommonSettings& common) {
  nlohmann::json document;
  document["data_centre"] = common.data_centre.Text();
  document["address"] = common.address;
  document["port"] = common.port;
  document["advertised_endpoint"] = common.advertised_endpoint;
  document["port_file"] = common.port_file;
  document["internal_key"] = common.internal_key.IsEmpty() ? "" : "(hidden)";
  document["drain_timeout_ms"] = common.drain_timeout.InMilliseconds();
  document["logs"]["level"] = common.logs.level;
  document["logs"]["format"] = common.logs.json ? "json" : "plain";
  document["traces"] = nlohmann::json::object();
  if (common.traces.collector) {
    document["traces"]["collector"] = *common.traces.collector;
  }
  return document;
}

/// Line and column of a byte offset, both from 1.
std::string PlaceOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t newline = before.rfind('\n');
  const std::size_t column = newline == std::string_view::npos
                                 ? before.size() + 1
                                 : before.size() - newline;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/// Where parsing stops. The checked parser reports no place, so the text is
/// parsed again with the library's exception, which carries the offset.
std::string PlaceOfSyntaxError(std::string_view text) {
  try {
    [[maybe_unused]] const nlohmann::json ignored = nlohmann::json::parse(
        text.begin(), text.end(), nullptr, /*allow_exceptions=*/true,
        /*ignore_comments=*/true);
  } catch (const nlohmann::json::parse_error& error) {
    return PlaceOf(text, error.byte == 0 ? 0 : error.byte - 1);
  } catch (const nlohmann::json::exception&) {
    return {};
  }
  return {};
}

}  // namespace

core::Expected<std::string> ReadTextFile(const std::string& file,
                                         std::size_t max_bytes) {
  std::ifstream stream(file, std::ios::binary);
  std::error_code failure;
  if (!stream || std::filesystem::is_directory(file, failure)) {
    return core::MakeError(core::ErrorCode::kNotFound, "cannot read the file",
                           file);
  }
  std::string text(max_bytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > max_bytes) {
    return core::MakeError(
        core::ErrorCode::kTooLarge,
        "file is longer than " + std::to_string(max_bytes) + " bytes", file);
  }
  return text;
}

core::Expected<nlohmann::json> ParseDocument(std::string_view text,
                                             const std::string& file) {
  core::Expected<nlohmann::json> document =
      model::ParseJson(text, {.allow_comments = true});
  if (!document) {
    core::Error error = document.error();
    const std::string place = PlaceOfSyntaxError(text);
    error.path = place.empty() ? file : file + ": " + place;
    return tl::unexpected<core::Error>(std::move(error));
  }
  return document;
}

core::Expected<EntrySettings> EntrySettingsFromText(
    std::string_view text,
    const SettingsSource& source) {
  return FromText<EntrySettings>(text, source, &ReadEntry);
}

core::Expected<AgentSettings> AgentSettingsFromText(
    std::string_view text,
    const SettingsSource& source) {
  return FromText<AgentSettings>(text, source, &ReadAgent);
}

core::Expected<EntrySettings> LoadEntrySettings(const std::string& file) {
  return LoadFile<EntrySettings>(file, &EntrySettingsFromText);
}

core::Expected<AgentSettings> LoadAgentSettings(const std::string& file) {
  return LoadFile<AgentSettings>(file, &AgentSettingsFromText);
}

ProcessRole RoleOfSettings(const nlohmann::json& document) {
  if (!document.is_object()) {
    return ProcessRole::kEntry;
  }
  if (const auto role = document.find("role"); role != document.end()) {
    return *role == "agent" ? ProcessRole::kAgent : ProcessRole::kEntry;
  }
  const bool has_agent_field =
      document.contains("upstream") || document.contains("entries");
  return has_agent_field ? ProcessRole::kAgent : ProcessRole::kEntry;
}

nlohmann::json EffectiveSettings(const EntrySettings& settings) {
  nlohmann::json document = CommonToJson(settings.common);
  document["role"] = "entry";
  document["id"] = settings.id.Text();
  document["store"] = settings.store;
  document["peers"] = settings.peers;
  document["initial_catalogue"] = settings.initial_catalogue;
  return document;
}

nlohmann::json EffectiveSettings(const AgentSettings& settings) {
  nlohmann::json document = CommonToJson(settings.common);
  document["role"] = "agent";
  document["id"] = settings.id.Text();
  document["entries"] = settings.entries;
  document["upstream"] = settings.upstream;
  document["max_held_result_bytes"] = settings.max_held_result_bytes;
  return document;
}

}  // namespace hemlockdoor::settings
