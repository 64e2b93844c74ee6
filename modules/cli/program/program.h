// The whole program behind `main`.
#pragma once

namespace hemlockdoor::cli {

/// Runs the command line and returns the process's exit code: 0 done, 1 the
/// work failed or was refused, 2 wrong usage or settings.
int Run(int argument_count, char** arguments);

}  // namespace hemlockdoor::cli
