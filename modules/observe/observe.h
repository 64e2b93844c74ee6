// Umbrella header of the observe module: logs, metrics and traces.
#pragma once

#include "modules/observe/logs/log.h"  // IWYU pragma: export
