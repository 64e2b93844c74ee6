#include "modules/observe/logs/log.h"

#include <cstdio>

namespace hemlockdoor::observe {

void Log(LogLevel level,
         const std::string& message,
         const LogContext& context) {
  const char* name = level == LogLevel::kError ? "error" : "info";
  std::fprintf(stderr, "%s %s job=%s\n", name, message.c_str(),
               context.job.Text().c_str());
}

}  // namespace hemlockdoor::observe
