// Reads the command line.
#pragma once

#include <string>
#include <vector>

#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Reads the arguments after the program's name. Errors are kInvalidArgument,
/// one line, and say what was expected.
core::Expected<Command> ParseCommandLine(std::vector<std::string> arguments);

}  // namespace hemlockdoor::cli
