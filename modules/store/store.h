// Umbrella header of the store module: port and adapters of the platform's
// key-value service.
#pragma once

#include "modules/store/port/key_value_store.h"  // IWYU pragma: export
