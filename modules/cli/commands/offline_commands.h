// Commands that need no running process: check and plan.
#pragma once

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Checks a settings file or a catalogue, told apart by content. Prints the
/// effective settings with secrets hidden, or what the catalogue guarantees.
ExitCode RunCheck(Console& console, const CheckCommand& command);

/// Prints what the scheduler would decide for workers, catalogue and jobs from
/// files. The same files give the same output.
ExitCode RunPlan(Console& console, const PlanCommand& command);

}  // namespace hemlockdoor::cli
