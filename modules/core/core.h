// Umbrella header of the core module: identifiers, clock, errors, assertions
// and the bounded queue. Uses no Qt.
#pragma once

#include "modules/core/concurrency/bounded_ring.h"  // IWYU pragma: export
#include "modules/core/error/assert.h"              // IWYU pragma: export
#include "modules/core/error/error.h"               // IWYU pragma: export
#include "modules/core/time/clock.h"                // IWYU pragma: export
#include "modules/core/types/ids.h"                 // IWYU pragma: export
#include "modules/core/types/strong_type.h"         // IWYU pragma: export
