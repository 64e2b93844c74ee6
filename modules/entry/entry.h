// Umbrella header of the entry module: the caller, operator and internal API
// of an entry, its state machine, the catalogue and its process shell.
#pragma once

#include "modules/entry/auth/token_directory.h"         // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_layout.h"   // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_service.h"  // IWYU pragma: export
#include "modules/entry/core/entry_core.h"              // IWYU pragma: export
#include "modules/entry/process/entry_process.h"        // IWYU pragma: export
