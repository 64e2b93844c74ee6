#include "modules/cli/roles/roles.h"

#include "modules/agent/agent.h"
#include "modules/cli/roles/run_process.h"
#include "modules/entry/entry.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

namespace {}  // namespace

ExitCode RunEntry(Console& console, const std::string& settings_file) {
  const core::Expected<settings::EntrySettings> settings =
      settings::LoadEntrySettings(settings_file);
  if (!settings) {
    return ReportError(console, settings.error(), ExitCode::kUsage);
  }
  return RunProcess<entry::EntryProcess>(console, *settings);
}

ExitCode RunAgent(Console& console, const std::string& settings_file) {
  const core::Expected<settings::AgentSettings> settings =
      settings::LoadAgentSettings(settings_file);
  if (!settings) {
    return ReportError(console, settings.error(), ExitCode::kUsage);
  }
  return RunProcess<agent::AgentProcess>(console, *settings);
}

}  // namespace hemlockdoor::cli
