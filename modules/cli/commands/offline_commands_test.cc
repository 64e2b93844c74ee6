#include "modules/cli/commands/offline_commands.h"

#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>

#include "modules/cli/testing/scripted_entry.h"

namespace hemlockdoor::cli {

namespace {

struct CheckResult {
  ExitCode code;
  std::string out;
  std::string err;
};

CheckResult Check(const std::string& content) {
  const QTemporaryDir folder;
  const std::string file = folder.filePath("file.jsonc").toStdString();
  std::ofstream(file) << content;
  qputenv("HD_CHECK_KEY", "a-secret-of-sufficient-length");
  testing::CapturedConsole captured;
  const ExitCode code = RunCheck(captured.console, CheckCommand{file});
  return {code, captured.out.str(), captured.err.str()};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OfflineCommandsTest)

// Guards against a file that is checked as the wrong kind, and against secrets
// in the output.
BOOST_AUTO_TEST_CASE(TellsTheKindsOfFileApart) {
  const CheckResult agent = Check(
      R"({"id":"a","data_centre":"d","entries":["127.0.0.1:1"],
          "upstream":"127.0.0.1:2","internal_key_env":"HD_CHECK_KEY"})");
  BOOST_TEST((agent.code == ExitCode::kDone), agent.err);
  BOOST_TEST(Contains(agent.out, "\"role\": \"agent\""));
  BOOST_TEST(Contains(agent.out, "(hidden)"));
  BOOST_TEST(!Contains(agent.out, "a-secret"));
  const CheckResult entry = Check(
      R"({"id":"e","data_centre":"d","internal_key_env":"HD_CHECK_KEY"})");
  BOOST_TEST(Contains(entry.out, "\"role\": \"entry\""));
  const CheckResult catalogue = Check(
      R"({"entries":{"n":{"owner":"north","class":"batch","guarantees":
          [{"count":2,"gang_size":4,"accelerators_per_member":2}]}}})");
  BOOST_TEST(catalogue.out ==
             "valid catalogue: 1 entries, 2 guaranteed gangs, 16 guaranteed "
             "accelerators\n");
}

// Guards against an invalid file that passes.
BOOST_AUTO_TEST_CASE(InvalidFileEndsWithTwo) {
  for (const char* text : {"", "[]", "{", R"({"entries":{"n":{}}})",
                           R"({"id":"e"})", R"({"role":"agent"})"}) {
    const CheckResult result = Check(text);
    BOOST_TEST((result.code == ExitCode::kUsage), text);
    BOOST_TEST(Contains(result.err, "file.jsonc"), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
