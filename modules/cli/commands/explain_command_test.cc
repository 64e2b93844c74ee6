#include "modules/cli/commands/explain_command.h"

#include <QTemporaryDir>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/batch/batch.h"
#include "modules/cli/testing/scripted_entry.h"

namespace hemlockdoor::cli {

namespace {

using testing::Answer;
using testing::CapturedConsole;
using testing::ClosedEndpoint;
using testing::ScriptedEntry;
using Response = std::optional<wire::HttpResponse>;

ExplainCommand Explain(const std::string& entry, const std::string& job) {
  ExplainCommand command;
  command.entry = entry;
  command.job = job;
  command.timeout = core::Duration::Milliseconds(300);
  return command;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// An explanation with a start, a preemption and a job ahead.
std::string ExplanationText() {
  batch::Explanation explanation;
  explanation.epoch = core::SchedulingEpoch(3);
  explanation.oldest_report = core::Duration::Milliseconds(420);
  explanation.admission = batch::AdmissionDecision();
  batch::StepExplanation starts;
  starts.outcome = batch::StepOutcome::kStarts;
  starts.tasks = 25;
  starts.workers = {{batch::WorkerId("w1"), core::DataCentreId("east"),
                     core::RackId("r1"), 2}};
  starts.worker_count = 25;
  starts.expected_end = core::Duration::Milliseconds(2000);
  starts.reasons = {"w2 is slower"};
  batch::StepExplanation preempts;
  preempts.step = 1;
  preempts.outcome = batch::StepOutcome::kPreempts;
  preempts.tasks = 1;
  preempts.preempted = {
      {core::JobId("victim"), core::OrganisationId("south"), 2, 1, 7.5}};
  preempts.preempted_count = 1;
  preempts.loss = 7.5;
  explanation.steps = {starts, preempts};
  explanation.ahead = {{core::JobId("first"), core::OrganisationId("north"), 0,
                        4, "priority\n\x1b[31m"}};
  explanation.jobs_ahead = 1;
  explanation.units_ahead = 4;
  return batch::ToText(explanation);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ExplainCommandTest)

// Guards against output that leaves out what an operator asks for, and against
// text of an answer that controls the terminal.
BOOST_AUTO_TEST_CASE(PrintsTheAnswerAsText) {
  ScriptedEntry entry([](const wire::HttpRequest&) -> Response {
    return Answer(200, ExplanationText());
  });
  CapturedConsole captured;
  const ExitCode code =
      RunExplain(captured.console, Explain(entry.Endpoint(), "j"));
  BOOST_TEST((code == ExitCode::kDone), captured.err.str());
  BOOST_REQUIRE_EQUAL(entry.requests.size(), 1U);
  BOOST_TEST(entry.requests[0].path == "/internal/v1/batch/explain");
  BOOST_TEST((entry.requests[0].method == wire::HttpMethod::kPost));
  BOOST_TEST(entry.requests[0].body == R"({"job":"j"})");
  const std::string text = captured.out.str();
  for (const char* part :
       {"epoch 3", "420 ms", "admission: ", "step 0: starts (tasks: 25)",
        "expected end in 2000 ms", "w2 is slower", "w1", "east", "r1",
        "(the first 1 of 25)", "step 1: preempts", "victim", "south",
        "bound for one unit: none", "4 units of 1 jobs", "first"}) {
    BOOST_TEST(Contains(text, part), part);
  }
  BOOST_TEST(!Contains(text, "\x1b"));
}

// Guards against a program that has to read the text for people.
BOOST_AUTO_TEST_CASE(PrintsTheAnswerAsJson) {
  ScriptedEntry entry([](const wire::HttpRequest&) -> Response {
    return Answer(200, ExplanationText());
  });
  CapturedConsole captured;
  ExplainCommand command = Explain(entry.Endpoint(), "j");
  command.json = true;
  BOOST_TEST((RunExplain(captured.console, command) == ExitCode::kDone));
  BOOST_TEST((nlohmann::json::parse(captured.out.str()) ==
              nlohmann::json::parse(ExplanationText())));
}

// Guards against a described job that reaches the planner changed, and against
// a file that cannot be read being sent.
BOOST_AUTO_TEST_CASE(SendsTheJobOfAFile) {
  ScriptedEntry entry([](const wire::HttpRequest&) -> Response {
    return Answer(200, ExplanationText());
  });
  const QTemporaryDir folder;
  const std::string file = folder.filePath("job.jsonc").toStdString();
  std::ofstream(file) << R"({"queue": "q", // comment
                            "steps": [{"count": 2}]})";
  CapturedConsole captured;
  ExplainCommand command = Explain(entry.Endpoint(), "");
  command.file = file;
  BOOST_TEST((RunExplain(captured.console, command) == ExitCode::kDone));
  BOOST_REQUIRE_EQUAL(entry.requests.size(), 1U);
  BOOST_TEST((nlohmann::json::parse(entry.requests[0].body) ==
              nlohmann::json::parse(R"({"queue":"q","steps":[{"count":2}]})")));
  command.file = folder.filePath("missing.jsonc").toStdString();
  BOOST_TEST((RunExplain(captured.console, command) == ExitCode::kUsage));
  std::ofstream(file) << "{";
  command.file = file;
  BOOST_TEST((RunExplain(captured.console, command) == ExitCode::kUsage));
  command.entry = "nowhere";
  BOOST_TEST((RunExplain(captured.console, command) == ExitCode::kUsage));
  BOOST_TEST(entry.requests.size() == 1U);
}

// Guards against an exit code of 0, or an error without its reason, when there
// is no answer.
BOOST_AUTO_TEST_CASE(ReportsRefusalsAndMissingAnswers) {
  const std::vector<std::pair<int, std::string>> refusals = {
      {400, R"({"detail":"unknown field","path":"$.steps[0].cuont"})"},
      {404, R"({"detail":"unknown queue","path":"$.queue"})"},
      {429, R"({"detail":"too many calls"})"},
      {503, R"({"detail":"no planner"})"},
      {200, "not JSON"},
  };
  for (const auto& [status, body] : refusals) {
    ScriptedEntry entry(
        [status = status, body = body](const wire::HttpRequest&) -> Response {
          wire::HttpResponse response = Answer(status, body);
          if (status == wire::http_status::kTooManyRequests) {
            response.headers.Add("Retry-After", "1");
          }
          return response;
        });
    CapturedConsole captured;
    const ExitCode code =
        RunExplain(captured.console, Explain(entry.Endpoint(), "j"));
    BOOST_TEST((code == ExitCode::kFailed), body);
    BOOST_TEST(captured.out.str().empty());
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object()) {
      for (const auto& [name, value] : document.items()) {
        BOOST_TEST(Contains(captured.err.str(), value.get<std::string>()),
                   captured.err.str());
      }
    }
    BOOST_TEST(Contains(captured.err.str(), "retry after 1 s") ==
               (status == wire::http_status::kTooManyRequests));
  }
  CapturedConsole captured;
  BOOST_TEST((RunExplain(captured.console, Explain(ClosedEndpoint(), "j")) ==
              ExitCode::kFailed));
  ScriptedEntry silent([](const wire::HttpRequest&) -> Response { return {}; });
  BOOST_TEST((RunExplain(captured.console, Explain(silent.Endpoint(), "j")) ==
              ExitCode::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
