#include "modules/cli/roles/roles.h"

#include "modules/agent/agent.h"
#include "modules/cli/roles/run_process.h"
#include "modules/cli/standalone/standalone.h"
#include "modules/entry/entry.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

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

ExitCode RunStandalone(Console& console, const StandaloneCommand& command) {
  StandaloneSettings settings;
  settings.common.data_centre = core::DataCentreId("demo");
  settings.common.port = command.port;
  settings.common.port_file = command.port_file;
  settings.catalogue_file = command.catalogue_file;
  return RunProcess<Standalone>(
      console, settings, [&console](const Standalone& standalone) {
        console.out << StandaloneGreeting(standalone) << std::flush;
      });
}

}  // namespace hemlockdoor::cli
