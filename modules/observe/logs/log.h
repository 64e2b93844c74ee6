// Structured logging; one line a record.
#pragma once

#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::observe {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// What a record is about; empty parts are left out.
struct LogContext {
  core::JobId job;
  core::OrganisationId organisation;
  std::string trace_id;
};

/// Writes one record; safe from any thread.
void Log(LogLevel level,
         const std::string& message,
         const LogContext& context = {});

}  // namespace hemlockdoor::observe
