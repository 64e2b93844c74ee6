// The roles of the binary that run until they are told to stop.
#pragma once

#include <string>

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Runs an entry or an agent with the settings in `settings_file`.
ExitCode RunEntry(Console& console, const std::string& settings_file);
ExitCode RunAgent(Console& console, const std::string& settings_file);
/// Runs entry, agent and demo upstream; prints the address and the tokens.
ExitCode RunStandalone(Console& console, const StandaloneCommand& command);

}  // namespace hemlockdoor::cli
