#include "modules/cli/process/port_file.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace hemlockdoor::cli {

core::Expected<void> WritePortFile(const std::string& file,
                                   std::uint16_t port) {
  const std::string temporary = file + "." + std::to_string(getpid()) + ".tmp";
  {
    std::ofstream stream(temporary);
    stream << port << "\n";
    stream.close();
    if (!stream) {
      return core::MakeError(core::ErrorCode::kUnavailable,
                             "cannot write the port file", file);
    }
  }
  std::error_code failure;
  std::filesystem::rename(temporary, file, failure);
  if (failure) {
    std::filesystem::remove(temporary, failure);
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "cannot write the port file", file);
  }
  return {};
}

}  // namespace hemlockdoor::cli
