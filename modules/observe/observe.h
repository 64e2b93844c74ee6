// Umbrella header of the observe module: logs, metrics and traces.
#pragma once

#include "modules/observe/logs/log.h"               // IWYU pragma: export
#include "modules/observe/metrics/metrics.h"        // IWYU pragma: export
#include "modules/observe/traces/span.h"            // IWYU pragma: export
#include "modules/observe/traces/trace_context.h"   // IWYU pragma: export
#include "modules/observe/traces/trace_exporter.h"  // IWYU pragma: export
