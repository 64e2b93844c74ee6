// Umbrella header of the decide module: scheduling decisions without I/O.
#pragma once

#include "modules/decide/plan/plan.h"            // IWYU pragma: export
#include "modules/decide/scheduler/decisions.h"  // IWYU pragma: export
#include "modules/decide/scheduler/scheduler.h"  // IWYU pragma: export
