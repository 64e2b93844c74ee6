// Umbrella header of the agent module: the state machine that decides what
// runs on one upstream, and the process that carries out its commands.
#pragma once

#include "modules/agent/core/agent_core.h"        // IWYU pragma: export
#include "modules/agent/process/agent_process.h"  // IWYU pragma: export
