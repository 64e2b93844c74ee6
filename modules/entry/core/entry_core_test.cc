#include "modules/entry/core/entry_core.h"

#include <boost/test/unit_test.hpp>

#include "modules/entry/testing/core_harness_test.h"

namespace hemlockdoor::entry {

namespace {

using testing::CoreHarness;
using testing::FakeAgent;
using NetworkFault = CoreHarness::NetworkFault;
using wire::HttpMethod;

/// One entry that owns planning, and one agent with slots only.
struct OneOfEach : CoreHarness {
  OneOfEach() {
    this->entry = this->AddEntry("e1");
    this->AddAgent("a1", 8, 0);
    this->Advance(1000);
  }
  std::size_t entry = 0;
};

const nlohmann::json kOnce = {{"repeatable", false}, {"payload", "p"}};

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryCoreTest)

// Guards against store calls on the path of short repeatable work.
BOOST_AUTO_TEST_CASE(ShortWorkNeedsNoStoreCall) {
  OneOfEach t;
  const auto job = t.Submit(t.entry, {{"payload", "p"}});
  BOOST_TEST(!t.IsAnswered(job));
  BOOST_TEST(t.Starts() == 1);
  t.FinishAll("a1");
  BOOST_TEST(t.OutcomeOf(job) == "done");
  BOOST_TEST(t.ResultOf(job) == "result of p");
  BOOST_TEST(t.Core(t.entry).RecordWrites() == 0U);
  BOOST_TEST(t.Core(t.entry).RecordReads() == 0U);
  BOOST_TEST(t.Agent("a1").held.empty());
}

// Guards against more store writes than create, attempt and end.
BOOST_AUTO_TEST_CASE(DurableWorkNeedsThreeWrites) {
  OneOfEach t;
  const auto job = t.Submit(t.entry, kOnce, "k1");
  t.FinishAll("a1");
  t.Advance(200);
  BOOST_TEST(t.OutcomeOf(job) == "done");
  BOOST_TEST(t.Core(t.entry).RecordWrites() == 3U);
  BOOST_TEST(t.Core(t.entry).RecordReads() == 0U);
  BOOST_TEST(t.Starts() == 1);
  BOOST_TEST(t.Agent("a1").held.empty());
}

// Guards against a second run of work that must not be repeated when the
// answer to `run` is lost, once or for good.
BOOST_AUTO_TEST_CASE(LostRunAnswersAreResolvedWithTheSameAgent) {
  for (const int losses : {1, 3, 6}) {
    OneOfEach t;
    int left = losses;
    t.network = [&left](const std::string&, const std::string& target) {
      const bool lost = target == "/internal/v1/run" && left-- > 0;
      return lost ? NetworkFault::kLoseAnswer : NetworkFault::kNone;
    };
    const auto job = t.Submit(t.entry, kOnce, "k1");
    t.Advance(8000);
    t.FinishAll("a1");
    t.Advance(500);
    BOOST_TEST(t.Starts() == 1, losses);
    BOOST_TEST(t.OutcomeOf(job) == "done", losses);
  }
}

// Guards against a run request that never arrived being taken for one that
// did: the agent proves that it never started, and the job runs later.
BOOST_AUTO_TEST_CASE(LostRunRequestsLeadToOneLaterRun) {
  OneOfEach t;
  int left = 3;
  t.network = [&left](const std::string&, const std::string& target) {
    const bool lost = target == "/internal/v1/run" && left-- > 0;
    return lost ? NetworkFault::kLoseRequest : NetworkFault::kNone;
  };
  const auto job = t.Submit(t.entry, kOnce, "k1");
  t.Advance(12'000);
  BOOST_TEST(t.Starts() == 1);
  t.FinishAll("a1");
  t.Advance(500);
  BOOST_TEST(t.OutcomeOf(job) == "done");
}

// Guards against retries that give up on, or repeat, refused work.
BOOST_AUTO_TEST_CASE(RefusedStartsAreTriedAgain) {
  const model::RefusalReason reasons[] = {
      model::RefusalReason::kNoCapacity, model::RefusalReason::kStaleRevision,
      model::RefusalReason::kWrongIncarnation, model::RefusalReason::kDraining,
      model::RefusalReason::kExpired};
  for (const model::RefusalReason reason : reasons) {
    OneOfEach t;
    t.Agent("a1").refusals = 2;
    t.Agent("a1").reason = reason;
    const auto job = t.Submit(t.entry, kOnce, "k1");
    t.Advance(6000);
    t.FinishAll("a1");
    t.Advance(500);
    BOOST_TEST(t.Starts() == 1, model::RefusalReasonName(reason));
    BOOST_TEST(t.OutcomeOf(job) == "done", model::RefusalReasonName(reason));
  }
}

// Guards against an answer that reaches the wrong caller: results of another
// attempt, another agent or an ended job change nothing.
BOOST_AUTO_TEST_CASE(LateDuplicateAndCrossedResultsAreIgnored) {
  OneOfEach t;
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

// Guards against the outcome of a vanished agent: repeatable work runs
// elsewhere, other work is unknown and never runs twice.
BOOST_AUTO_TEST_CASE(LostAgentMeansRetryOrUnknown) {
  for (const bool repeatable : {true, false}) {
    OneOfEach t;
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

// Guards against `unknown` for work that a restarted agent has adopted.
BOOST_AUTO_TEST_CASE(RestartedAgentThatAdoptsKeepsTheAttempt) {
  OneOfEach t;
  const auto job = t.Submit(t.entry, kOnce, "k1");
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

// Guards against untruthful outcomes of a cancel before and after the start.
BOOST_AUTO_TEST_CASE(CancelIsTruthfulAtEachStep) {
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
      OneOfEach t;
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

// Guards against work that runs after a cancel whose run answer was lost, and
// against a cancel that is reported although the work ended.
BOOST_AUTO_TEST_CASE(CancelWhileTheRunAnswerIsLost) {
  OneOfEach t;
  t.network = [](const std::string&, const std::string& target) {
    return target == "/internal/v1/run" ? NetworkFault::kLoseRequest
                                        : NetworkFault::kNone;
  };
  const auto job = t.Submit(t.entry, kOnce, "k1");
  const auto list = t.Request(t.entry, HttpMethod::kGet, "/v1/jobs");
  const std::string id = t.DocumentOf(list)["jobs"][0].value("id", "");
  t.Request(t.entry, HttpMethod::kDelete, "/v1/jobs/" + id);
  t.Advance(2000);
  BOOST_TEST(t.OutcomeOf(job) == "cancelled");
  BOOST_TEST(t.Starts() == 0);
}

// Guards against an organisation that sees or cancels another's job.
BOOST_AUTO_TEST_CASE(OrganisationsSeeOnlyTheirOwnJobs) {
  OneOfEach t;
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

// Guards against new work for agents that drain, withdraw or fall silent.
BOOST_AUTO_TEST_CASE(LeavingAgentsGetNoNewWork) {
  for (const int kind : {0, 1, 2}) {
    OneOfEach t;
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

// Guards against a deadline that passes unnoticed or is called a failure.
BOOST_AUTO_TEST_CASE(QueuedWorkPastItsDeadlineIsNotRun) {
  OneOfEach t;
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
