// Umbrella header of the entry module: the entry's state machine, its caller,
// operator and internal HTTP API, the catalogue, and the process that runs
// them.
#pragma once

#include "modules/entry/auth/token_directory.h"         // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_layout.h"   // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_service.h"  // IWYU pragma: export
#include "modules/entry/core/entry_core.h"              // IWYU pragma: export
#include "modules/entry/process/entry_process.h"        // IWYU pragma: export
