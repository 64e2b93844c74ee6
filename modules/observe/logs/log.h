// Structured logging; one line a record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::observe {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Names used in settings and records: "debug", "info", "warn", "error".
std::string_view LogLevelName(LogLevel level);
std::optional<LogLevel> LogLevelFromName(std::string_view name);

/// How this process logs.
struct LogOptions {
  /// Records below this level are dropped.
  LogLevel level = LogLevel::kInfo;
  /// True: one JSON object a line; false: plain text.
  bool json = false;
  /// Id of this entry or agent, in each record.
  std::string process;
  /// Secrets that must not appear in a record; they are replaced.
  std::vector<std::string> secrets;
  /// True: records go to standard output; false: to standard error.
  bool to_standard_output = false;
};

/// What a record is about; empty parts are left out.
struct LogContext {
  core::JobId job;
  core::OrganisationId organisation;
  std::string trace_id;
};

/// One named value of a record.
struct LogField {
  std::string name;
  std::string value;
};

/// One record before it is written.
struct LogRecord {
  LogLevel level = LogLevel::kInfo;
  std::int64_t wall_ms = 0;
  std::string message;
  LogContext context;
  std::vector<LogField> fields;
};

/// Sets how records are written from now on; safe from any thread. Before the
/// first call records of level info and above are written as plain text.
void ConfigureLogs(const LogOptions& options);

/// Writes one record; safe from any thread.
void Log(LogLevel level,
         const std::string& message,
         const LogContext& context = {},
         const std::vector<LogField>& fields = {});

/// The line of a record, without a line end. Control characters and, in plain
/// text, all bytes outside ASCII are escaped, so that no text from a caller can
/// start a record of its own. In plain text the fields stand before the
/// message, so that no message can forge one.
std::string FormatRecord(const LogRecord& record, const LogOptions& options);

}  // namespace hemlockdoor::observe
