// Umbrella header of the cli module: the command line of the binary.
#pragma once

#include "modules/cli/program/program.h"  // IWYU pragma: export
