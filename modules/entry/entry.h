// Umbrella header of the entry module: the caller, operator and internal API
// of an entry, its state machine and its process shell.
#pragma once

#include "modules/entry/core/entry_core.h"        // IWYU pragma: export
#include "modules/entry/process/entry_process.h"  // IWYU pragma: export
