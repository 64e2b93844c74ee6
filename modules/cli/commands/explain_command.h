// Command that explains where a hosted deployment would place a job.
#pragma once

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Asks an entry of a hosted deployment what the planner would do with a job
/// now, and prints the answer. A file that cannot be read is wrong usage.
ExitCode RunExplain(Console& console, const ExplainCommand& command);

}  // namespace hemlockdoor::cli
