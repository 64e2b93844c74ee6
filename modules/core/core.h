// Umbrella header of the core module: ids, clock, errors and rings. No Qt.
#pragma once

#include "modules/core/concurrency/bounded_ring.h"  // IWYU pragma: export
#include "modules/core/error/assert.h"              // IWYU pragma: export
#include "modules/core/error/error.h"               // IWYU pragma: export
#include "modules/core/time/clock.h"                // IWYU pragma: export
#include "modules/core/types/ids.h"                 // IWYU pragma: export
#include "modules/core/types/strong_type.h"         // IWYU pragma: export
