// Umbrella header of the settings module: typed settings and their checks.
#pragma once

#include "modules/settings/load/settings_loader.h"      // IWYU pragma: export
#include "modules/settings/process/process_settings.h"  // IWYU pragma: export
