#include "modules/entry/core/entry_core.h"

#include <boost/test/unit_test.hpp>

#include "modules/entry/testing/core_harness_test.h"

namespace hemlockdoor::entry {

namespace {

using testing::CoreHarness;
using testing::FakeAgent;
using NetworkFault = CoreHarness::NetworkFault;
using wire::HttpMethod;

/// One entry, which is the planning owner, and one agent without accelerators.
struct SingleAgentFixture : CoreHarness {
  SingleAgentFixture() {
    this->entry = this->AddEntry("e1");
    this->AddAgent("a1", 8, 0);
    this->Advance(1000);
  }
  std::size_t entry = 0;
};

const nlohmann::json kNonRepeatable = {{"repeatable", false}, {"payload", "p"}};

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryCoreTest)

// Guards against store calls for short repeatable jobs, which need no record.
BOOST_AUTO_TEST_CASE(ShortWorkNeedsNoStoreCall) {
  SingleAgentFixture t;
  const auto job = t.Submit(t.entry, {{"payload", "p"}});
  BOOST_TEST(!t.IsAnswered(job));
  BOOST_TEST(t.Starts() == 1);
  t.FinishAll("a1");
  BOOST_TEST(t.OutcomeOf(job) == "done");
  BOOST_TEST(t.ResultOf(job) == "result of p");
  BOOST_TEST(t.Core(t.entry).RecordWrites() == 0U);
  BOOST_TEST(t.Core(t.entry).RecordReads() == 0U);
  BOOST_TEST(t.Agent("a1").held_results.empty());
}

// Guards against more store writes for a durable job than three: its creation,
// its attempt and its end.
BOOST_AUTO_TEST_CASE(DurableWorkNeedsThreeWrites) {
  SingleAgentFixture t;
  const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
  t.FinishAll("a1");
  t.Advance(200);
  BOOST_TEST(t.OutcomeOf(job) == "done");
  BOOST_TEST(t.Core(t.entry).RecordWrites() == 3U);
  BOOST_TEST(t.Core(t.entry).RecordReads() == 0U);
  BOOST_TEST(t.Starts() == 1);
  BOOST_TEST(t.Agent("a1").held_results.empty());
}

// Guards against a second run of a non-repeatable job when the answer to one
// `run` request, or to all of them, is lost.
BOOST_AUTO_TEST_CASE(LostRunAnswersAreResolvedWithTheSameAgent) {
  for (const int losses : {1, 3, 6}) {
    SingleAgentFixture t;
    int left = losses;
    t.network = [&left](const std::string&, const std::string& target) {
      const bool lost = target == "/internal/v1/run" && left-- > 0;
      return lost ? NetworkFault::kLoseAnswer : NetworkFault::kNone;
    };
    const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
    t.Advance(8000);
    t.FinishAll("a1");
    t.Advance(500);
    BOOST_TEST(t.Starts() == 1, losses);
    BOOST_TEST(t.OutcomeOf(job) == "done", losses);
  }
}

// Guards against a job that counts as started although no `run` request
// arrived: the agent confirms that the attempt never started, and a later
// attempt runs.
BOOST_AUTO_TEST_CASE(LostRunRequestsLeadToOneLaterRun) {
  SingleAgentFixture t;
  int left = 3;
  t.network = [&left](const std::string&, const std::string& target) {
    const bool lost = target == "/internal/v1/run" && left-- > 0;
    return lost ? NetworkFault::kLoseRequest : NetworkFault::kNone;
  };
  const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
  t.Advance(12'000);
  BOOST_TEST(t.Starts() == 1);
  t.FinishAll("a1");
  t.Advance(500);
  BOOST_TEST(t.OutcomeOf(job) == "done");
}

// Guards against a refused start that is not retried, or that is retried so
// that the job runs twice.
BOOST_AUTO_TEST_CASE(RefusedStartsAreTriedAgain) {
  const model::RefusalReason reasons[] = {
      model::RefusalReason::kNoCapacity, model::RefusalReason::kStaleRevision,
      model::RefusalReason::kWrongIncarnation, model::RefusalReason::kDraining,
      model::RefusalReason::kExpired};
  for (const model::RefusalReason reason : reasons) {
    SingleAgentFixture t;
    t.Agent("a1").refusals = 2;
    t.Agent("a1").refusal_reason = reason;
    const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
    t.Advance(6000);
    t.FinishAll("a1");
    t.Advance(500);
    BOOST_TEST(t.Starts() == 1, model::RefusalReasonName(reason));
    BOOST_TEST(t.OutcomeOf(job) == "done", model::RefusalReasonName(reason));
  }
}

// Guards against giving a caller the wrong result: results for another attempt,
// from another agent or for an ended job change nothing.
BOOST_AUTO_TEST_CASE(LateDuplicateAndMisaddressedResultsAreIgnored) {
  SingleAgentFixture t;
  FakeAgent& second = t.AddAgent("a2", 8, 0);
  const auto job = t.Submit(t.entry, {{"payload", "mine"}});
  const auto other = t.Submit(t.entry, {{"payload", "other"}});
  BOOST_REQUIRE(t.Agent("a1").tasks.size() == 2U);
  for (const auto& [key, task] : t.Agent("a1").tasks) {
    model::ResultNotice wrong = CoreHarness::NoticeOf(
        t.Agent("a1"), task.request, model::JobOutcome::kDone);
    wrong.body = "wrong";
    wrong.attempt = core::AttemptNumber(9);
    t.Deliver(t.Agent("a1"), wrong, "e1:1");
    wrong =
        CoreHarness::NoticeOf(second, task.request, model::JobOutcome::kDone);
    wrong.body = "wrong";
    t.Deliver(second, wrong, "e1:1");
  }
  t.RunUntilIdle();
  BOOST_TEST(!t.IsAnswered(job));
  BOOST_TEST(!t.IsAnswered(other));
  t.FinishAll("a1");
  BOOST_TEST(t.ResultOf(job) == "result of mine");
  BOOST_TEST(t.ResultOf(other) == "result of other");
  for (const auto& [key, task] : t.Agent("a1").tasks) {
    model::ResultNotice again = CoreHarness::NoticeOf(
        t.Agent("a1"), task.request, model::JobOutcome::kFailed);
    t.Deliver(t.Agent("a1"), again, "e1:1");
  }
  t.RunUntilIdle();
  const std::string id = t.DocumentOf(job).value("id", "");
  const auto status = t.Request(t.entry, HttpMethod::kGet, "/v1/jobs/" + id);
  BOOST_TEST(t.ResultOf(status) == "result of mine");
}

// Guards against a wrong outcome after the loss of an agent: a repeatable job
// runs on another agent, a non-repeatable one ends as unknown and never runs
// twice.
BOOST_AUTO_TEST_CASE(LostAgentMeansRetryOrUnknown) {
  for (const bool repeatable : {true, false}) {
    SingleAgentFixture t;
    const auto job =
        t.Submit(t.entry, {{"repeatable", repeatable}, {"payload", "p"}}, "k1");
    BOOST_TEST(t.Starts() == 1);
    t.Agent("a1").silent = true;
    t.AddAgent("a2", 8, 0);
    t.Advance(6000);
    BOOST_TEST(t.Agent("a2").starts == (repeatable ? 1 : 0));
    t.FinishAll("a2");
    t.Advance(30'000);
    BOOST_TEST(t.OutcomeOf(job) == (repeatable ? "done" : "unknown"));
    BOOST_TEST(t.Agent("a2").starts == (repeatable ? 1 : 0));
  }
}

// Guards against the outcome `unknown` for a job whose task a restarted agent
// has adopted.
BOOST_AUTO_TEST_CASE(RestartedAgentThatAdoptsKeepsTheAttempt) {
  SingleAgentFixture t;
  const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
  t.Agent("a1").silent = true;
  t.Advance(5000);
  t.Agent("a1").silent = false;
  t.Agent("a1").incarnation = core::Incarnation(2);
  t.Advance(2000);
  t.FinishAll("a1");
  t.Advance(500);
  BOOST_TEST(t.OutcomeOf(job) == "done");
  BOOST_TEST(t.Starts() == 1);
}

// Guards against a cancelled job that is reported with an outcome other than
// its actual one: cancelled before the start, or cancelled, done or failed
// after it.
BOOST_AUTO_TEST_CASE(CancelReportsTheActualOutcome) {
  struct Case {
    bool has_agent;
    std::optional<model::JobOutcome> end;
    const char* outcome;
    int starts;
  };
  const Case cases[] = {
      {false, std::nullopt, "cancelled", 0},
      {true, model::JobOutcome::kCancelled, "cancelled", 1},
      {true, model::JobOutcome::kDone, "done", 1},
      {true, model::JobOutcome::kFailed, "failed", 1},
  };
  for (const bool repeatable : {true, false}) {
    for (const Case& each : cases) {
      SingleAgentFixture t;
      t.Agent("a1").draining = !each.has_agent;
      t.AnnounceAll();
      const auto job = t.Submit(
          t.entry, {{"repeatable", repeatable}, {"payload", "p"}}, "k1");
      t.Advance(200);
      const auto list = t.Request(t.entry, HttpMethod::kGet, "/v1/jobs");
      const std::string id = t.DocumentOf(list)["jobs"][0].value("id", "");
      const auto cancel =
          t.Request(t.entry, HttpMethod::kDelete, "/v1/jobs/" + id);
      t.Advance(1000);
      BOOST_TEST(t.IsAnswered(cancel));
      if (each.end) {
        BOOST_TEST(t.Agent("a1").cancels > 0);
        t.FinishAll("a1", *each.end, model::ResultCause::kCancelled);
      }
      t.Advance(500);
      BOOST_TEST(t.OutcomeOf(job) == each.outcome);
      BOOST_TEST(t.Starts() == each.starts);
    }
  }
}

// Guards against a job that starts after its cancel, and against a cancel that
// never takes effect, when all `run` requests are lost.
BOOST_AUTO_TEST_CASE(CancelWhileRunRequestsAreLost) {
  SingleAgentFixture t;
  t.network = [](const std::string&, const std::string& target) {
    return target == "/internal/v1/run" ? NetworkFault::kLoseRequest
                                        : NetworkFault::kNone;
  };
  const auto job = t.Submit(t.entry, kNonRepeatable, "k1");
  const auto list = t.Request(t.entry, HttpMethod::kGet, "/v1/jobs");
  const std::string id = t.DocumentOf(list)["jobs"][0].value("id", "");
  t.Request(t.entry, HttpMethod::kDelete, "/v1/jobs/" + id);
  t.Advance(2000);
  BOOST_TEST(t.OutcomeOf(job) == "cancelled");
  BOOST_TEST(t.Starts() == 0);
}

// Guards against an organisation that reads or cancels another organisation's
// job.
BOOST_AUTO_TEST_CASE(OrganisationsSeeOnlyTheirOwnJobs) {
  SingleAgentFixture t;
  t.Submit(t.entry, {{"payload", "p"}});
  const auto list = t.Request(t.entry, HttpMethod::kGet, "/v1/jobs");
  const std::string path =
      "/v1/jobs/" + t.DocumentOf(list)["jobs"][0].value("id", "");
  const auto status =
      t.Request(t.entry, HttpMethod::kGet, path, {}, {}, "south");
  const auto result =
      t.Request(t.entry, HttpMethod::kGet, path + "/result", {}, {}, "south");
  const auto cancel =
      t.Request(t.entry, HttpMethod::kDelete, path, {}, {}, "south");
  const auto listed =
      t.Request(t.entry, HttpMethod::kGet, "/v1/jobs", {}, {}, "south");
  t.Advance(500);
  BOOST_TEST(t.StatusOf(status) == 404);
  BOOST_TEST(t.StatusOf(result) == 404);
  BOOST_TEST(t.StatusOf(cancel) == 404);
  BOOST_TEST(t.DocumentOf(listed)["jobs"].empty());
  BOOST_TEST(t.Agent("a1").cancels == 0);
}

// Guards against placing work on an agent that drains, announces an empty shape
// or sends no announcements any more.
BOOST_AUTO_TEST_CASE(LeavingAgentsGetNoNewWork) {
  for (const int kind : {0, 1, 2}) {
    SingleAgentFixture t;
    FakeAgent& agent = t.Agent("a1");
    agent.draining = kind == 0;
    if (kind == 1) {
      agent.shape = model::WorkerShape();
    }
    agent.silent = kind == 2;
    t.AnnounceAll();
    t.Advance(kind == 2 ? 3000 : 0);
    t.Submit(t.entry, {{"payload", "p"}});
    t.Advance(2000);
    BOOST_TEST(t.Starts() == 0, kind);
  }
}

// Guards against a queued job that starts after its deadline, or that is
// reported as failed instead of not run.
BOOST_AUTO_TEST_CASE(QueuedWorkPastItsDeadlineIsNotRun) {
  SingleAgentFixture t;
  t.Agent("a1").draining = true;
  t.AnnounceAll();
  const auto job = t.Submit(t.entry, {{"deadline_ms", 2000}});
  t.Advance(4000);
  BOOST_TEST(t.OutcomeOf(job) == "not-run");
  t.Agent("a1").draining = false;
  t.Advance(3000);
  BOOST_TEST(t.Starts() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
