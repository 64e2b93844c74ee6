// The roles of the binary that run until they are told to stop.
#pragma once

#include <string>

#include "modules/cli/output/console.h"

namespace hemlockdoor::cli {

/// Runs an entry or an agent with the settings in `settings_file`.
ExitCode RunEntry(Console& console, const std::string& settings_file);
ExitCode RunAgent(Console& console, const std::string& settings_file);

}  // namespace hemlockdoor::cli
