#include "modules/cli/commands/job_commands.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/cli/testing/scripted_entry.h"

namespace hemlockdoor::cli {

namespace {

using testing::Answer;
using testing::CapturedConsole;
using testing::ClosedEndpoint;
using testing::OptionsFor;
using testing::ScriptedEntry;
using Response = std::optional<wire::HttpResponse>;

SubmitCommand Submit(std::vector<std::string> entries) {
  SubmitCommand command;
  command.client = OptionsFor(std::move(entries));
  command.description.job_class = core::JobClass("short");
  command.description.service = core::ServiceName("work");
  command.wait = core::Duration::Seconds(1);
  return command;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct OutcomeCase {
  int status;
  std::string body;
  ExitCode code;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(JobCommandsTest)

// Guards against a retry that starts the job a second time.
BOOST_AUTO_TEST_CASE(RetryAfterLostAnswerKeepsTheIdempotencyKey) {
  ScriptedEntry silent([](const wire::HttpRequest&) -> Response { return {}; });
  ScriptedEntry answering([](const wire::HttpRequest&) -> Response {
    return Answer(200, R"({"id":"j1","outcome":"done","result":"text"})");
  });
  CapturedConsole captured;
  SubmitCommand command = Submit({silent.Endpoint(), answering.Endpoint()});
  command.wait = core::Duration();
  const ExitCode code = RunSubmit(captured.console, command);
  BOOST_TEST((code == ExitCode::kDone));
  BOOST_TEST(captured.out.str() == "text");
  BOOST_REQUIRE(silent.requests.size() == 1U);
  BOOST_REQUIRE(answering.requests.size() == 1U);
  const auto first = silent.requests[0].headers.Find("Idempotency-Key");
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(!first->empty());
  BOOST_TEST(*first == *answering.requests[0].headers.Find("Idempotency-Key"));
  BOOST_TEST(*answering.requests[0].headers.Find("Authorization") ==
             "Bearer test-token");
}

// Guards against "failed" being told when the job may be running.
BOOST_AUTO_TEST_CASE(LostAnswerIsReportedAsNotKnown) {
  ScriptedEntry silent([](const wire::HttpRequest&) -> Response { return {}; });
  CapturedConsole captured;
  SubmitCommand command = Submit({silent.Endpoint()});
  command.idempotency_key = "order-7";
  command.wait = core::Duration();
  const ExitCode code = RunSubmit(captured.console, command);
  BOOST_TEST((code == ExitCode::kFailed));
  BOOST_TEST(Contains(captured.err.str(), "is not known"));
  BOOST_TEST(Contains(captured.err.str(), "--idempotency-key order-7"));
}

// Guards against an entry that is down, or that only asks to come back, ending
// the submission while another entry could take it.
BOOST_AUTO_TEST_CASE(TriesTheNextEntry) {
  ScriptedEntry busy([](const wire::HttpRequest&) -> Response {
    return Answer(503, R"({"detail":"draining"})");
  });
  ScriptedEntry answering([](const wire::HttpRequest&) -> Response {
    return Answer(202, R"({"id":"j2","state":"queued"})");
  });
  CapturedConsole captured;
  SubmitCommand command =
      Submit({ClosedEndpoint(), busy.Endpoint(), answering.Endpoint()});
  command.wait = core::Duration();
  BOOST_TEST((RunSubmit(captured.console, command) == ExitCode::kDone));
  BOOST_TEST(captured.out.str() == "j2\n");
  BOOST_TEST(*answering.requests[0].headers.Find("Prefer") == "respond-async");
}

// Guards against an exit code that hides how the job ended.
BOOST_AUTO_TEST_CASE(ExitCodeFollowsTheOutcome) {
  const std::vector<OutcomeCase> cases = {
      {200, R"({"id":"j","outcome":"done","result":"r"})", ExitCode::kDone},
      {200, R"({"id":"j","outcome":"failed","error":"e"})", ExitCode::kFailed},
      {200, R"({"id":"j","outcome":"cancelled"})", ExitCode::kFailed},
      {200, R"({"id":"j","outcome":"unknown"})", ExitCode::kFailed},
      {503, R"({"id":"j","outcome":"not-run","detail":"queue full"})",
       ExitCode::kFailed},
      {403, R"({"detail":"no entry for the class"})", ExitCode::kFailed},
      {200, "not JSON", ExitCode::kFailed},
  };
  for (const OutcomeCase& one : cases) {
    ScriptedEntry entry([&one](const wire::HttpRequest&) -> Response {
      return Answer(one.status, one.body);
    });
    CapturedConsole captured;
    const ExitCode code =
        RunSubmit(captured.console, Submit({entry.Endpoint()}));
    BOOST_TEST((code == one.code), one.body);
    BOOST_TEST(entry.requests.size() == 1U, one.body);
    BOOST_TEST(!captured.err.str().empty(), one.body);
  }
}

// Guards against a wait that ends with the first answer, or that takes a job
// still running for one that is done.
BOOST_AUTO_TEST_CASE(WaitsUntilTheJobEnds) {
  int asked = 0;
  ScriptedEntry entry([&asked](const wire::HttpRequest& request) -> Response {
    if (request.method == wire::HttpMethod::kPost) {
      return Answer(202, R"({"id":"j3","state":"queued"})");
    }
    ++asked;
    return asked < 3
               ? Answer(200, R"({"id":"j3","state":"running"})")
               : Answer(200, R"({"id":"j3","outcome":"done","result":"r"})");
  });
  CapturedConsole captured;
  SubmitCommand command = Submit({entry.Endpoint()});
  command.wait = core::Duration::Seconds(30);
  BOOST_TEST((RunSubmit(captured.console, command) == ExitCode::kDone));
  BOOST_TEST(captured.out.str() == "r");
  BOOST_TEST(entry.requests.back().path == "/v1/jobs/j3");

  ScriptedEntry endless([](const wire::HttpRequest&) -> Response {
    return Answer(202, R"({"id":"j4","state":"running"})");
  });
  CapturedConsole second;
  const ExitCode code = RunSubmit(second.console, Submit({endless.Endpoint()}));
  BOOST_TEST((code == ExitCode::kFailed));
  BOOST_TEST(Contains(second.err.str(), "has not ended within the wait"));
}

// Guards against fields that are dropped on the way, and against an
// organisation in the body, which an entry refuses.
BOOST_AUTO_TEST_CASE(SendsAllFields) {
  ScriptedEntry entry([](const wire::HttpRequest&) -> Response {
    return Answer(200, R"({"id":"j","outcome":"done","result":""})");
  });
  CapturedConsole captured;
  SubmitCommand command = Submit({entry.Endpoint()});
  command.description.shape = {4, 2, model::Adjacency::kRack};
  command.description.repeatable = false;
  command.description.urgent = true;
  command.idempotency_key = "key-1";
  RunSubmit(captured.console, command);
  BOOST_REQUIRE(entry.requests.size() == 1U);
  const auto submission =
      model::FromText<&model::JobSubmissionFromJson>(entry.requests[0].body);
  BOOST_REQUIRE_MESSAGE(submission.has_value(), submission.error().message);
  BOOST_TEST((submission->description.shape == command.description.shape));
  BOOST_TEST(!submission->description.repeatable);
  BOOST_TEST(submission->description.urgent);
  BOOST_TEST(*entry.requests[0].headers.Find("Idempotency-Key") == "key-1");
  BOOST_TEST(*entry.requests[0].headers.Find("Prefer") == "wait=1");
}

// Guards against a table that shows a terminal what a job or worker sent.
BOOST_AUTO_TEST_CASE(StatusShowsJobsOrWorkers) {
  ScriptedEntry entry([](const wire::HttpRequest& request) -> Response {
    if (request.path == "/v1/jobs") {
      return Answer(403, R"({"detail":"an operator's token"})");
    }
    return Answer(200, R"({"workers":[{"id":"w\u001b1","free_slots":8,
        "draining":false,"shape":{"rack":"r1"}}]})");
  });
  CapturedConsole captured;
  StatusCommand command;
  command.client = OptionsFor({entry.Endpoint()});
  BOOST_TEST((RunStatus(captured.console, command) == ExitCode::kDone));
  BOOST_TEST(captured.out.str() ==
             "WORKER  DRAINING  FREE SLOTS  RACK\n"
             "w\\x1b1  no        8           r1\n");
}

// Guards against a cancellation that is reported for a job that was done.
BOOST_AUTO_TEST_CASE(CancelTellsHowTheJobEnded) {
  std::string body = R"({"id":"j","outcome":"done"})";
  ScriptedEntry entry([&body](const wire::HttpRequest&) -> Response {
    return Answer(200, body);
  });
  CancelCommand command;
  command.client = OptionsFor({entry.Endpoint()});
  command.job = "a/b";
  CapturedConsole captured;
  BOOST_TEST((RunCancel(captured.console, command) == ExitCode::kFailed));
  BOOST_TEST(captured.out.str() == "done\n");
  BOOST_TEST((entry.requests[0].method == wire::HttpMethod::kDelete));
  body = R"({"id":"j","outcome":"cancelled"})";
  BOOST_TEST((RunCancel(captured.console, command) == ExitCode::kDone));
}

// Guards against wrong usage that is reported as a failure of the work.
BOOST_AUTO_TEST_CASE(WrongUsageEndsWithTwo) {
  CapturedConsole captured;
  SubmitCommand no_payload = Submit({"127.0.0.1:1"});
  no_payload.payload_file = "/nonexistent/payload";
  BOOST_TEST((RunSubmit(captured.console, no_payload) == ExitCode::kUsage));
  BOOST_TEST(
      (RunSubmit(captured.console, Submit({"localhost"})) == ExitCode::kUsage));
  SubmitCommand no_token = Submit({"127.0.0.1:1"});
  qunsetenv("HEMLOCKDOOR_TOKEN");
  BOOST_TEST((RunSubmit(captured.console, no_token) == ExitCode::kUsage));
  BOOST_TEST(Contains(captured.err.str(), "HEMLOCKDOOR_TOKEN"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::cli
