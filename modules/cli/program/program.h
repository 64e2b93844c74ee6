// The whole program behind `main`.
#pragma once

#include <functional>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::cli {

/// The roles that an adapter to a hosting platform provides. Each gets its
/// settings file and runs until the process is told to stop.
struct HostedRoles {
  using Role = std::function<core::Expected<void>(const std::string& file)>;
  Role entry;
  Role agent;
};

/// Runs the command line and returns the process's exit code: 0 done, 1 the
/// work failed or was refused, 2 wrong usage or settings.
int Run(int argument_count, char** arguments, const HostedRoles& hosted = {});

}  // namespace hemlockdoor::cli
