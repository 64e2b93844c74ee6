// Durable jobs under store faults and entry failures, with two entries.
#include <boost/test/unit_test.hpp>

#include "modules/entry/core/entry_core.h"
#include "modules/entry/testing/core_harness_test.h"

namespace hemlockdoor::entry {

namespace {

using testing::CoreHarness;
using testing::FakeAgent;
using NetworkFault = CoreHarness::NetworkFault;
using wire::HttpMethod;

const nlohmann::json kOnce = {{"repeatable", false}, {"payload", "p"}};
const nlohmann::json kLong = {{"payload", "p"}, {"declared_run_ms", 600'000}};

/// Two entries that share a store; the first is the planning owner.
struct TwoEntries : CoreHarness {
  TwoEntries() {
    this->AddEntry("e1");
    this->Advance(100);
    this->AddEntry("e2");
    this->AddAgent("a1", 8, 8);
    this->Advance(2000);
  }
};

/// Returns the record step of a write: 1 create, 2 attempt, 3 end, 0 for a
/// write that is not to a record.
int StepOf(const store::Transaction& transaction) {
  const std::string& key = transaction.writes.front().key;
  if (key.starts_with("ended/")) {
    return 3;
  }
  if (!key.starts_with("open/")) {
    return 0;
  }
  return transaction.compares.size() == 2 ? 1 : 2;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DurableWorkTest)

// Guards against a second run, a lost job or a wrong outcome when a record
// write takes effect but its answer is lost.
BOOST_AUTO_TEST_CASE(LostStoreAnswerAtEachStep) {
  for (const int step : {1, 2, 3}) {
    TwoEntries t;
    bool lost = false;
    t.before_write = [&](const store::Transaction& transaction) {
      if (!lost && StepOf(transaction) == step) {
        lost = true;
        store::MemoryStoreFaults faults;
        faults.lose_next_answers = 1;
        t.store.SetFaults(faults);
      }
    };
    const auto job = t.Submit(1, kOnce, "k1");
    t.Advance(3000);
    t.FinishAll("a1");
    t.Advance(3000);
    BOOST_TEST(lost, step);
    BOOST_TEST(t.Starts() == 1, step);
    BOOST_TEST(t.OutcomeOf(job) == "done", step);
  }
}

// Guards against ends that are never recorded, and results that agents keep
// forever, after a store outage in which all leases expired. Ended records
// share a retention lease, which then has to be granted again.
BOOST_AUTO_TEST_CASE(EndsAreRecordedAfterTheStoreLostItsLeases) {
  TwoEntries t;
  const auto job = t.Submit(1, kOnce, "k1");
  t.Advance(3000);
  t.store.LapseLeases();
  t.FinishAll("a1");
  t.Advance(10000);
  BOOST_TEST(t.OutcomeOf(job) == "done");
  const auto again = t.Submit(0, kOnce, "k1");
  t.Advance(3000);
  BOOST_TEST(t.OutcomeOf(again) == "done");
  BOOST_TEST(t.Starts() == 1);
}

// Guards against jobs that run without a record, or twice, when the store goes
// down just before a record write, and against callers that wait for the store
// although the end is known.
BOOST_AUTO_TEST_CASE(StoreDownAtEachStep) {
  for (const int step : {1, 2, 3}) {
    TwoEntries t;
    bool reached = false;
    t.before_write = [&](const store::Transaction& transaction) {
      if (!reached && StepOf(transaction) == step) {
        reached = true;
        t.store.SetFaults({true, 0, {}});
      }
    };
    const auto job = t.Submit(1, kOnce, "k1");
    t.Advance(1000);
    BOOST_TEST(t.Starts() == (step == 3 ? 1 : 0), step);
    t.FinishAll("a1");
    t.Advance(500);
    if (step == 1) {
      BOOST_TEST(t.StatusOf(job) == 503);
      BOOST_TEST(t.OutcomeOf(job) == "not-run");
    }
    if (step == 3) {
      BOOST_TEST(t.OutcomeOf(job) == "done");
    }
    t.store.SetFaults({});
    t.Advance(4000);
    t.FinishAll("a1");
    t.Advance(2000);
    BOOST_TEST(t.Starts() == (step == 1 ? 0 : 1), step);
    BOOST_TEST(t.OutcomeOf(job) == (step == 1 ? "not-run" : "done"), step);
    // A retry through the other entry gets the same answer, or runs the job
    // when it certainly did not run before.
    const auto retry = t.Submit(0, kOnce, "k1");
    t.Advance(1000);
    t.FinishAll("a1");
    t.Advance(2000);
    BOOST_TEST(t.OutcomeOf(retry) == "done", step);
    BOOST_TEST(t.Starts() == 1, step);
  }
}

// Guards against repeatable jobs that wait for the store while it is down.
BOOST_AUTO_TEST_CASE(RepeatableLongWorkRunsWithoutTheStore) {
  TwoEntries t;
  t.store.SetFaults({true, 0, {}});
  t.prefer = "respond-async";
  const auto job = t.Submit(0, kLong, "k1");
  t.Advance(1000);
  BOOST_TEST(t.StatusOf(job) == 202);
  BOOST_TEST(t.DocumentOf(job).value("durable", true) == false);
  BOOST_TEST(t.Starts() == 1);
  t.store.SetFaults({});
  t.Advance(12'000);
  const std::string path = "/v1/jobs/" + t.DocumentOf(job).value("id", "");
  const auto later = t.Request(0, HttpMethod::kGet, path);
  BOOST_TEST(t.DocumentOf(later).value("durable", false));
  t.FinishAll("a1");
  t.Advance(1000);
  const auto end = t.Request(1, HttpMethod::kGet, path);
  t.Advance(1000);
  BOOST_TEST(t.OutcomeOf(end) == "done");
  BOOST_TEST(t.Starts() == 1);
}

// Guards against two runs, or two different answers, for one idempotency key
// that arrives at two entries, at once or one after the other.
BOOST_AUTO_TEST_CASE(OneKeyThroughTwoEntriesRunsOnce) {
  for (const bool at_once : {true, false}) {
    for (const nlohmann::json& fields : {kOnce, kLong}) {
      TwoEntries t;
      const nlohmann::json& body = fields;
      const auto first = t.Submit(1, body, "k1");
      if (!at_once) {
        t.Advance(2000);
      }
      const auto second = t.Submit(0, body, "k1");
      t.Advance(2000);
      BOOST_TEST(t.Starts() == 1);
      t.FinishAll("a1");
      t.Advance(3000);
      const std::string path =
          "/v1/jobs/" + t.DocumentOf(second).value("id", "");
      for (const std::size_t entry : {0U, 1U}) {
        const auto status = t.Request(entry, HttpMethod::kGet, path);
        t.Advance(1000);
        BOOST_TEST(t.OutcomeOf(status) == "done", entry);
        BOOST_TEST(t.ResultOf(status) == "result of p", entry);
      }
      BOOST_TEST(t.IsAnswered(first));
      const auto third = t.Submit(1, body, "k1");
      t.Advance(1000);
      BOOST_TEST(t.OutcomeOf(third) == "done");
      BOOST_TEST(t.Starts() == 1);
    }
  }
}

// Guards against a reused idempotency key that gets the answer to a different
// request body.
BOOST_AUTO_TEST_CASE(ReusedKeyWithAnotherBodyIsRefused) {
  TwoEntries t;
  const auto first = t.Submit(1, kOnce, "k1");
  t.FinishAll("a1");
  t.Advance(1000);
  for (const std::size_t entry : {0U, 1U}) {
    const auto reused =
        t.Submit(entry, {{"repeatable", false}, {"payload", "other"}}, "k1");
    t.Advance(1000);
    BOOST_TEST(t.StatusOf(reused) == 422, entry);
  }
  BOOST_TEST(t.OutcomeOf(first) == "done");
  BOOST_TEST(t.Starts() == 1);
  const auto no_key = t.Submit(1, kOnce);
  BOOST_TEST(t.StatusOf(no_key) == 400);
}

// Guards against a durable job that is lost, or runs twice, when the entry that
// is about to make a record write dies before it.
BOOST_AUTO_TEST_CASE(EntryKilledBeforeEachStep) {
  for (const int step : {1, 2, 3}) {
    for (const nlohmann::json& fields : {kOnce, kLong}) {
      TwoEntries t;
      const bool by_owner = fields == kLong;
      const std::size_t victim = by_owner && step > 1 ? 0 : 1;
      const std::size_t survivor = 1 - victim;
      bool reached = false;
      t.before_write = [&](const store::Transaction& transaction) {
        if (!reached && StepOf(transaction) == step) {
          reached = true;
          t.store.SetFaults({true, 0, {}});
        }
      };
      t.Submit(1, fields, "k1");
      if (step == 3) {
        t.FinishAll("a1");
      }
      BOOST_TEST(reached);
      t.Kill(victim);
      t.store.SetFaults({});
      t.before_write = nullptr;
      t.Advance(40'000);
      const int starts_alone = t.Starts();
      if (step > 1) {
        BOOST_TEST(starts_alone == 1);
        t.FinishAll("a1");
        t.Advance(2000);
      }
      const auto retry = t.Submit(survivor, fields, "k1");
      t.Advance(1000);
      t.FinishAll("a1");
      t.Advance(3000);
      const auto again = t.Submit(survivor, fields, "k1");
      t.Advance(1000);
      BOOST_TEST(t.OutcomeOf(again) == "done", step);
      BOOST_TEST(t.Starts() == 1, step);
      BOOST_TEST(t.IsAnswered(retry));
    }
  }
}

// Guards against the result of a short job that a caller cannot get through
// another entry after the entry that held the job has died.
BOOST_AUTO_TEST_CASE(ResultOfADeadEntryIsFetchedThroughAnother) {
  TwoEntries t;
  const auto job = t.Submit(1, {{"payload", "p"}}, "k1");
  const auto list = t.Request(1, HttpMethod::kGet, "/v1/jobs");
  const std::string path =
      "/v1/jobs/" + t.DocumentOf(list)["jobs"][0].value("id", "");
  t.Kill(1);
  const auto running = t.Request(0, HttpMethod::kGet, path);
  t.Advance(1000);
  t.FinishAll("a1");
  t.Advance(2000);
  const auto status = t.Request(0, HttpMethod::kGet, path);
  t.Advance(1000);
  BOOST_TEST(!t.IsAnswered(job));
  BOOST_TEST(t.IsAnswered(running));
  BOOST_TEST(t.ResultOf(status) == "result of p");
  BOOST_TEST(t.Agent("a1").acks == 1);
}

// Guards against an entry that answers 404 for a job that another entry holds.
BOOST_AUTO_TEST_CASE(JobsOfAnotherEntryAreFoundAndCancelled) {
  TwoEntries t;
  t.Agent("a1").draining = true;
  t.AnnounceAll();
  const auto job = t.Submit(1, {{"payload", "p"}});
  const auto list = t.Request(1, HttpMethod::kGet, "/v1/jobs");
  const std::string path =
      "/v1/jobs/" + t.DocumentOf(list)["jobs"][0].value("id", "");
  const auto status = t.Request(0, HttpMethod::kGet, path);
  t.Advance(100);
  BOOST_TEST(t.DocumentOf(status).value("state", "") == "queued");
  const auto cancel = t.Request(0, HttpMethod::kDelete, path);
  t.Advance(500);
  BOOST_TEST(t.StatusOf(cancel) == 200);
  BOOST_TEST(t.OutcomeOf(job) == "cancelled");
}

// Guards against records that the store keeps forever.
BOOST_AUTO_TEST_CASE(EndedRecordsAreDeletedAfterTheirRetention) {
  TwoEntries t;
  t.Submit(1, kOnce, "k1");
  t.FinishAll("a1");
  t.Advance(1000);
  const auto keys = [&t] {
    int count = 0;
    for (const auto& [key, item] : t.store.TakeSnapshot().items) {
      const bool of_job = key.starts_with("open/") ||
                          key.starts_with("ended/") ||
                          key.starts_with("payload/");
      count += of_job ? 1 : 0;
    }
    return count;
  };
  BOOST_TEST(keys() == 1);
  t.Kill(0);
  t.Kill(1);
  t.now = t.now + core::Duration::Seconds(25 * 3600);
  t.RunUntilIdle();
  BOOST_TEST(keys() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
