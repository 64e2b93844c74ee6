// The file that tells others which port a process listens on.
#pragma once

#include <cstdint>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::cli {

/// Writes the port and a line end. The file appears complete or not at all, so
/// a script may wait for it.
core::Expected<void> WritePortFile(const std::string& file, std::uint16_t port);

}  // namespace hemlockdoor::cli
