// Commands of operators: catalogue and drain.
#pragma once

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Reads, checks or edits the catalogue. An edit is checked here first, then by
/// the entry, and is written only if the catalogue still has the revision that
/// was read. An edit whose answer was lost is resolved by reading back.
ExitCode RunCatalogue(Console& console, const CatalogueCommand& command);

/// Drains a worker, or the entry that is called.
ExitCode RunDrain(Console& console, const DrainCommand& command);

}  // namespace hemlockdoor::cli
