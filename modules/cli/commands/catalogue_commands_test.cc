#include "modules/cli/commands/catalogue_commands.h"

#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/cli/testing/scripted_entry.h"

namespace hemlockdoor::cli {

namespace {

using testing::Answer;
using testing::CapturedConsole;
using testing::OptionsFor;
using testing::ScriptedEntry;
using Response = std::optional<wire::HttpResponse>;
using wire::HttpMethod;

constexpr const char* kEntry =
    R"({"owner":"north","class":"batch","limits":{"priority":7}})";

wire::HttpResponse Tagged(int status, std::string body, const char* tag) {
  wire::HttpResponse response = Answer(status, std::move(body));
  response.headers.Add("ETag", tag);
  return response;
}

/// A command on a file with `content`.
struct FileCommand {
  explicit FileCommand(const std::string& content) {
    this->command.file = this->folder.filePath("entry.jsonc").toStdString();
    std::ofstream(this->command.file) << content;
    this->command.action = CatalogueAction::kEdit;
    this->command.name = "north-batch";
  }
  QTemporaryDir folder;
  CatalogueCommand command;
};

/// Answers reads with revision 5 and checks with 200; `write` gives the answer
/// to a write.
ScriptedEntry::Script EntryAtRevision5(ScriptedEntry::Script write) {
  return [answer_write =
              std::move(write)](const wire::HttpRequest& request) -> Response {
    if (request.method == HttpMethod::kGet) {
      return Tagged(200, R"({"entries":{}})", "\"5\"");
    }
    if (request.method == HttpMethod::kPost) {
      return Answer(200, "{}");
    }
    return answer_write(request);
  };
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CatalogueCommandsTest)

// Guards against an edit that skips the check or overwrites a newer one.
BOOST_AUTO_TEST_CASE(EditChecksThenWritesWithIfMatch) {
  ScriptedEntry entry(EntryAtRevision5(
      [](const auto&) -> Response { return Tagged(200, "{}", "\"6\""); }));
  FileCommand file(std::string("// a comment\n") + kEntry);
  file.command.client = OptionsFor({entry.Endpoint()});
  CapturedConsole captured;
  BOOST_TEST((RunCatalogue(captured.console, file.command) == ExitCode::kDone));
  BOOST_TEST(captured.out.str() == "accepted, revision 6\n");
  BOOST_REQUIRE(entry.requests.size() == 3U);
  BOOST_TEST(entry.requests[1].path == "/v1/catalogue:check");
  const auto checked = nlohmann::json::parse(entry.requests[1].body);
  BOOST_TEST(checked["entries"]["north-batch"]["limits"]["priority"] == 7);
  BOOST_TEST(entry.requests[2].path == "/v1/catalogue/north-batch");
  BOOST_TEST((entry.requests[2].method == HttpMethod::kPut));
  BOOST_TEST(*entry.requests[2].headers.Find("If-Match") == "\"5\"");
}

// Guards against a conflict that is not told clearly.
BOOST_AUTO_TEST_CASE(ConflictNamesTheRevisionAndWhatToDo) {
  ScriptedEntry entry(EntryAtRevision5(
      [](const auto&) -> Response { return Answer(412, "{}"); }));
  FileCommand file(kEntry);
  file.command.client = OptionsFor({entry.Endpoint()});
  file.command.if_match = "4";
  CapturedConsole captured;
  BOOST_TEST(
      (RunCatalogue(captured.console, file.command) == ExitCode::kFailed));
  BOOST_TEST(*entry.requests.back().headers.Find("If-Match") == "\"4\"");
  BOOST_TEST(Contains(captured.err.str(), "conflict"));
  BOOST_TEST(Contains(captured.err.str(), "revision 4"));
}

// Guards against an edit that is told as refused although its first try, whose
// answer was lost, took effect.
BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByReadingBack) {
  for (const bool took_effect : {true, false}) {
    int writes = 0;
    ScriptedEntry entry([&writes, took_effect](
                            const wire::HttpRequest& request) -> Response {
      if (request.method == HttpMethod::kPut) {
        ++writes;
        return writes == 1 ? Response() : Answer(412, "{}");
      }
      if (request.path == "/v1/catalogue/north-batch") {
        return Tagged(
            200, took_effect ? kEntry : R"({"owner":"north","class":"batch"})",
            "\"6\"");
      }
      return Tagged(200, R"({"entries":{}})", "\"5\"");
    });
    FileCommand file(kEntry);
    file.command.client = OptionsFor({entry.Endpoint()});
    CapturedConsole captured;
    const ExitCode code = RunCatalogue(captured.console, file.command);
    BOOST_TEST((code == (took_effect ? ExitCode::kDone : ExitCode::kFailed)));
    BOOST_TEST(writes == 2);
  }
}

// Guards against a refused check that is followed by a write.
BOOST_AUTO_TEST_CASE(RefusedCheckWritesNothing) {
  ScriptedEntry entry([](const wire::HttpRequest& request) -> Response {
    return request.method == HttpMethod::kGet
               ? Tagged(200, R"({"entries":{}})", "\"5\"")
               : Answer(422, R"({"detail":"guarantees do not fit"})");
  });
  FileCommand file(kEntry);
  file.command.client = OptionsFor({entry.Endpoint()});
  CapturedConsole captured;
  BOOST_TEST(
      (RunCatalogue(captured.console, file.command) == ExitCode::kFailed));
  BOOST_TEST(entry.requests.size() == 2U);
  BOOST_TEST(Contains(captured.err.str(), "guarantees do not fit"));
}

// Guards against an invalid file that reaches an entry, or an error without
// its place.
BOOST_AUTO_TEST_CASE(InvalidFileEndsWithTwoAndItsPlace) {
  FileCommand file(R"({"owner":"north","class":"batch","limit":{}})");
  file.command.client = OptionsFor({"127.0.0.1:1"});
  CapturedConsole captured;
  BOOST_TEST(
      (RunCatalogue(captured.console, file.command) == ExitCode::kUsage));
  BOOST_TEST(Contains(captured.err.str(), "entry.jsonc: $.limit"));
  BOOST_TEST(Contains(captured.err.str(), "\"limits\""));
}

// Guards against a drain of several entries at once, which would stop the
// service.
BOOST_AUTO_TEST_CASE(DrainEntryAddressesExactlyOne) {
  ScriptedEntry entry(
      [](const wire::HttpRequest&) -> Response { return Answer(202, "{}"); });
  DrainCommand command;
  command.client = OptionsFor({entry.Endpoint(), entry.Endpoint()});
  CapturedConsole captured;
  BOOST_TEST((RunDrain(captured.console, command) == ExitCode::kUsage));
  BOOST_TEST(entry.requests.empty());
  command.client.entries.pop_back();
  BOOST_TEST((RunDrain(captured.console, command) == ExitCode::kDone));
  BOOST_TEST(entry.requests.back().path == "/v1/drain");
  command.worker = "w-1";
  BOOST_TEST((RunDrain(captured.console, command) == ExitCode::kDone));
  BOOST_TEST(entry.requests.back().path == "/v1/workers/w-1/drain");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
