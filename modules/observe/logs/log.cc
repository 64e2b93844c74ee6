#include "modules/observe/logs/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockdoor::observe {

namespace {

struct NamedLevel {
  LogLevel level;
  std::string_view name;
  log4cplus::LogLevel library_level;
};

constexpr std::array<NamedLevel, 4> kLevels = {{
    {LogLevel::kDebug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    {LogLevel::kInfo, "info", log4cplus::INFO_LOG_LEVEL},
    {LogLevel::kWarn, "warn", log4cplus::WARN_LOG_LEVEL},
    {LogLevel::kError, "error", log4cplus::ERROR_LOG_LEVEL},
}};
constexpr std::string_view kHidden = "(hidden)";
constexpr std::string_view kBearer = "Bearer ";

const NamedLevel& Row(LogLevel level) {
  return kLevels[static_cast<std::size_t>(level)];
}

/// The one logger of this process and its options.
class LogSink {
 public:
  static LogSink& Instance() {
    static LogSink sink;
    return sink;
  }

  void Configure(const LogOptions& new_options) {
    this->logger.setLogLevel(Row(new_options.level).library_level);
    this->UseAppender(!new_options.to_standard_output);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->options = std::make_shared<const LogOptions>(new_options);
  }

  void Write(const LogRecord& record) {
    const log4cplus::LogLevel level = Row(record.level).library_level;
    if (!this->logger.isEnabledFor(level)) {
      return;
    }
    this->logger.forcedLog(level, FormatRecord(record, *this->Options()),
                           nullptr, 0, nullptr);
  }

 private:
  LogSink() : logger(log4cplus::Logger::getInstance("hemlockdoor")) {
    constexpr bool kToStandardError = true;
    this->UseAppender(kToStandardError);
    this->logger.setAdditivity(false);
    this->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  }

  void UseAppender(bool to_standard_error) {
    constexpr bool kFlushEachRecord = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(to_standard_error, kFlushEachRecord));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    this->logger.removeAllAppenders();
    this->logger.addAppender(appender);
  }

  std::shared_ptr<const LogOptions> Options() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->options;
  }

  log4cplus::Initializer initializer;
  log4cplus::Logger logger;
  std::mutex mutex;
  std::shared_ptr<const LogOptions> options =
      std::make_shared<const LogOptions>();
};

/// RFC 3339 in UTC with milliseconds.
std::string TimeText(std::int64_t wall_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto seconds = static_cast<std::time_t>(wall_ms / kMsPerSecond);
  std::tm parts = {};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> day_and_time = {};
  std::strftime(day_and_time.data(), day_and_time.size(), "%Y-%m-%dT%H:%M:%S",
                &parts);
  std::array<char, 8> milliseconds = {};
  std::snprintf(milliseconds.data(), milliseconds.size(), ".%03dZ",
                static_cast<int>(wall_ms % kMsPerSecond));
  return std::string(day_and_time.data()) + milliseconds.data();
}

bool IsPlain(unsigned char byte) {
  constexpr unsigned char kDelete = 0x7f;
  return byte >= ' ' && byte < kDelete && byte != '\\';
}

std::string Escaped(const std::string& text, bool escape_spaces) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xf;
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool separates = escape_spaces && (c == ' ' || c == ':');
    if (IsPlain(byte) && !separates) {
      escaped += c;
      continue;
    }
    escaped += "\\x";
    escaped += kHexDigits[byte >> kBitsPerDigit];
    escaped += kHexDigits[byte & kDigitMask];
  }
  return escaped;
}

void ReplaceAll(std::string& text, const std::string& secret) {
  std::size_t place = secret.empty() ? std::string::npos : text.find(secret);
  while (place != std::string::npos) {
    text.replace(place, secret.size(), kHidden);
    place = text.find(secret, place + kHidden.size());
  }
}

/// Hides the word after each "Bearer ".
void HideBearerTokens(std::string& text) {
  std::size_t place = text.find(kBearer);
  while (place != std::string::npos) {
    const std::size_t start = place + kBearer.size();
    const std::size_t end = text.find_first_of(" \t\r\n\"'", start);
    const std::size_t length =
        end == std::string::npos ? std::string::npos : end - start;
    text.replace(start, length, kHidden);
    place = text.find(kBearer, start + kHidden.size());
  }
}

std::string WithoutSecrets(std::string text, const LogOptions& options) {
  for (const std::string& secret : options.secrets) {
    ReplaceAll(text, secret);
  }
  HideBearerTokens(text);
  return text;
}

std::string FormatJson(const LogRecord& record, const LogOptions& options) {
  nlohmann::ordered_json line;
  line["time"] = TimeText(record.wall_ms);
  line["level"] = LogLevelName(record.level);
  const auto add = [&line, &options](const char* name,
                                     const std::string& value) {
    if (!value.empty()) {
      line[name] = WithoutSecrets(value, options);
    }
  };
  add("process", options.process);
  add("job", record.context.job.Text());
  add("organisation", record.context.organisation.Text());
  add("trace_id", record.context.trace_id);
  for (const LogField& field : record.fields) {
    add(field.name.c_str(), field.value);
  }
  line["message"] = WithoutSecrets(record.message, options);
  constexpr bool kAsciiOnly = true;
  return line.dump(-1, ' ', kAsciiOnly,
                   nlohmann::json::error_handler_t::replace);
}

std::string FormatPlain(const LogRecord& record, const LogOptions& options) {
  constexpr bool kEscapeSpaces = true;
  std::string line = TimeText(record.wall_ms) + " ";
  line += LogLevelName(record.level);
  const auto add = [&line, &options](const char* name,
                                     const std::string& value) {
    if (!value.empty()) {
      line += name + Escaped(WithoutSecrets(value, options), kEscapeSpaces);
    }
  };
  add(" ", options.process);
  add(" job=", record.context.job.Text());
  add(" organisation=", record.context.organisation.Text());
  add(" trace_id=", record.context.trace_id);
  for (const LogField& field : record.fields) {
    add((" " + field.name + "=").c_str(), field.value);
  }
  line +=
      ": " + Escaped(WithoutSecrets(record.message, options), !kEscapeSpaces);
  return line;
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return Row(level).name;
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (const NamedLevel& row : kLevels) {
    if (row.name == name) {
      return row.level;
    }
  }
  return std::nullopt;
}

void ConfigureLogs(const LogOptions& options) {
  LogSink::Instance().Configure(options);
}

void Log(LogLevel level,
         const std::string& message,
         const LogContext& context,
         const std::vector<LogField>& fields) {
  LogSink::Instance().Write(LogRecord{level, core::Clock::WallMilliseconds(),
                                      message, context, fields});
}

std::string FormatRecord(const LogRecord& record, const LogOptions& options) {
  return options.json ? FormatJson(record, options)
                      : FormatPlain(record, options);
}

}  // namespace hemlockdoor::observe
