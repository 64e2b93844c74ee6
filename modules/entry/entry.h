// Umbrella header of the entry module: caller and operator side of the system.
#pragma once

#include "modules/entry/auth/token_directory.h"         // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_layout.h"   // IWYU pragma: export
#include "modules/entry/catalogue/catalogue_service.h"  // IWYU pragma: export
