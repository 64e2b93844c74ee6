// Reads settings files: JSON with comments, every field checked.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "modules/core/core.h"
#include "modules/settings/process/process_settings.h"

namespace hemlockdoor::settings {

/// Which process a settings file is for.
enum class ProcessRole { kEntry, kAgent };

/// Where a settings text comes from and how its references are resolved.
struct SettingsSource {
  /// Name used in errors.
  std::string file;
  /// Relative paths in the settings are relative to this folder.
  std::string folder;
  /// Value of an environment variable, or nothing.
  std::function<std::optional<std::string>(const std::string&)> environment;
};

/// Shortest internal key that is accepted, in bytes.
inline constexpr std::size_t kMinInternalKeyBytes = 16;

/// Reads and checks a text. Errors have the form "FILE: $.field" as path and
/// never contain a secret. Unknown fields are refused with the nearest name.
core::Expected<EntrySettings> EntrySettingsFromText(
    std::string_view text,
    const SettingsSource& source);
core::Expected<AgentSettings> AgentSettingsFromText(
    std::string_view text,
    const SettingsSource& source);

/// Reads and checks a file; environment variables are those of this process.
core::Expected<EntrySettings> LoadEntrySettings(const std::string& file);
core::Expected<AgentSettings> LoadAgentSettings(const std::string& file);

/// The role that a settings document names or, without a `role` field, the one
/// whose own fields it has.
ProcessRole RoleOfSettings(const nlohmann::json& document);

/// All settings in force, defaults included and secrets hidden.
nlohmann::json EffectiveSettings(const EntrySettings& settings);
nlohmann::json EffectiveSettings(const AgentSettings& settings);

/// Reads a whole file of at most `max_bytes`.
core::Expected<std::string> ReadTextFile(const std::string& file,
                                         std::size_t max_bytes);
/// Parses JSON with comments; a syntax error names file, line and column.
core::Expected<nlohmann::json> ParseDocument(std::string_view text,
                                             const std::string& file);

}  // namespace hemlockdoor::settings
