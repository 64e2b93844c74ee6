#include "modules/observe/logs/log.h"

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace hemlockdoor::observe {

namespace {

constexpr std::int64_t kWallMs = 1'000'000'000'123;

LogRecord HostileRecord() {
  LogRecord record;
  record.level = LogLevel::kWarn;
  record.wall_ms = kWallMs;
  record.message = "bad\n2001-09-09T01:46:40.123Z info: forged\x1b[2J\xff";
  record.context.job = core::JobId("j1 organisation=other: x");
  record.context.organisation = core::OrganisationId("north");
  record.context.trace_id = "abc";
  return record;
}

/// Sends standard error to a file while it exists.
class CapturedStandardError {
 public:
  CapturedStandardError() : saved(dup(STDERR_FILENO)), file(std::tmpfile()) {
    std::fflush(stderr);
    dup2(fileno(this->file), STDERR_FILENO);
  }
  ~CapturedStandardError() {
    dup2(this->saved, STDERR_FILENO);
    close(this->saved);
    std::fclose(this->file);
  }
  std::string Text() const {
    std::string text(4096, '\0');
    const ssize_t count =
        pread(fileno(this->file), text.data(), text.size(), 0);
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  }

 private:
  int saved;
  std::FILE* file;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LogTest)

// Guards against caller text that starts a record of its own, controls a
// terminal or forges a field.
BOOST_AUTO_TEST_CASE(PlainRecordCannotBeForged) {
  LogOptions options;
  options.process = "entry-1";
  const std::string line = FormatRecord(HostileRecord(), options);
  BOOST_TEST(line ==
             "2001-09-09T01:46:40.123Z warn entry-1 "
             "job=j1\\x20organisation=other\\x3a\\x20x organisation=north "
             "trace_id=abc: bad\\x0a2001-09-09T01:46:40.123Z info: "
             "forged\\x1b[2J\\xff");
}

// Guards against a JSON record that is not one parsable line.
BOOST_AUTO_TEST_CASE(JsonRecordIsOneLineWithAllFields) {
  LogOptions options;
  options.json = true;
  options.process = "entry-1";
  const std::string line = FormatRecord(HostileRecord(), options);
  BOOST_TEST(std::all_of(line.begin(), line.end(),
                         [](char c) { return c >= ' ' && c <= '~'; }));
  const nlohmann::json record = nlohmann::json::parse(line, nullptr, false);
  BOOST_REQUIRE(record.is_object());
  BOOST_TEST(record["time"] == "2001-09-09T01:46:40.123Z");
  BOOST_TEST(record["level"] == "warn");
  BOOST_TEST(record["process"] == "entry-1");
  BOOST_TEST(record["job"] == "j1 organisation=other: x");
  BOOST_TEST(record["organisation"] == "north");
  BOOST_TEST(record["trace_id"] == "abc");
}

// Guards against a key or token that reaches a log through an error text.
BOOST_AUTO_TEST_CASE(SecretsAreReplaced) {
  LogOptions options;
  options.secrets = {"the-internal-key"};
  LogRecord record;
  record.message =
      "refused Authorization: Bearer abc.def and the-internal-key twice "
      "the-internal-key";
  for (const bool json : {false, true}) {
    options.json = json;
    const std::string line = FormatRecord(record, options);
    BOOST_TEST(line.find("abc.def") == std::string::npos);
    BOOST_TEST(line.find("the-internal-key") == std::string::npos);
    BOOST_TEST(line.find("Bearer (hidden) and (hidden) twice (hidden)") !=
               std::string::npos);
  }
}

// Guards against a level that is ignored, and against records that reach
// standard error in parts.
BOOST_AUTO_TEST_CASE(LevelSelectsRecords) {
  std::string text;
  {
    const CapturedStandardError captured;
    LogOptions options;
    options.level = LogLevel::kWarn;
    ConfigureLogs(options);
    Log(LogLevel::kInfo, "left out");
    Log(LogLevel::kError, "written");
    ConfigureLogs(LogOptions{});
    text = captured.Text();
  }
  BOOST_TEST(text.find("left out") == std::string::npos);
  BOOST_TEST(text.find(" error: written\n") != std::string::npos);
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::observe
