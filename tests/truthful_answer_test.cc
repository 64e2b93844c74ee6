// Promises P3, P4 and P5: whole answers to their own callers, not-run means not
// run, at most once. The upstreams' logs are the witness.
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/deployment.h"

namespace hemlockdoor::test_support {

namespace {

/// Answers to jobs whose payload asks for a result that names the job.
struct Batch {
  std::map<std::string, TestJob> jobs;
  std::map<std::string, JobAnswer> by_name;
  std::size_t sent = 0;
  bool IsComplete() const { return this->by_name.size() == this->sent; }
};

TestJob NamedJob(const std::string& name, int run_ms) {
  TestJob job;
  job.payload = R"({"run_ms":)" + std::to_string(run_ms) + R"(,"result":")" +
                name + R"("})";
  return job;
}

TestJob OnceJob(const std::string& name, int run_ms) {
  TestJob job = NamedJob(name, run_ms);
  job.repeatable = false;
  job.idempotency_key = "key-" + name;
  return job;
}

/// Sends `count` jobs at once through all entries.
void SendBatch(Deployment& deployment,
               std::vector<std::unique_ptr<wire::HttpClient>>& clients,
               int count,
               const std::string& prefix,
               bool repeatable,
               Batch& batch) {
  for (int i = 0; i < count; ++i) {
    const std::string name = prefix + std::to_string(batch.sent);
    const int run_ms = 5 + (i * 37) % 90;
    const TestJob job =
        repeatable ? NamedJob(name, run_ms) : OnceJob(name, run_ms);
    batch.jobs[name] = job;
    clients.push_back(std::make_unique<wire::HttpClient>());
    deployment.SubmitAsync(*clients.back(), i % 2, job,
                           [&batch, name](JobAnswer answer) {
                             batch.by_name[name] = std::move(answer);
                           });
    ++batch.sent;
  }
}

/// Checks every answer of a batch against what it may truthfully say.
void CheckBatch(const Deployment& deployment,
                const Batch& batch,
                bool repeatable) {
  for (const auto& [name, answer] : batch.by_name) {
    if (answer.outcome == "done") {
      BOOST_TEST(answer.result == name);
    }
    if (answer.id.empty()) {
      continue;
    }
    const int starts = deployment.StartsOf(answer.id);
    if (answer.outcome == "not-run") {
      BOOST_TEST(starts == 0, name << " is reported not-run: " << answer.body);
    }
    if (!repeatable) {
      BOOST_TEST(starts <= 1, name << " ran " << starts << " times");
    }
  }
}

struct UpstreamFault {
  std::string name;
  std::string control;
};

const std::vector<UpstreamFault> kUpstreamFaults = {
    {"late", R"({"delay_ms":150})"},
    {"twice", R"({"answer_twice":true})"},
    {"reverse order", R"({"reverse_order":true})"},
    {"truncated", R"({"truncate_answers":true})"},
    {"lost", R"({"lose_next_answers":3})"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(TruthfulAnswerTest)

// Guards against answers that reach another caller, are cut, or are untrue
// when upstreams answer late, twice, in another order, truncated or not at all.
BOOST_AUTO_TEST_CASE(UpstreamFaultsNeverCrossOrCutAnswers) {
  for (const bool repeatable : {true, false}) {
    Deployment deployment;
    deployment.WaitUntilReady();
    for (const UpstreamFault& fault : kUpstreamFaults) {
      BOOST_TEST_CONTEXT("upstream answers " << fault.name << ", repeatable "
                                             << repeatable) {
        deployment.ControlUpstream(0, fault.control);
        deployment.ControlUpstream(1, fault.control);
        std::vector<std::unique_ptr<wire::HttpClient>> clients;
        Batch batch;
        SendBatch(deployment, clients, 12, fault.name, repeatable, batch);
        BOOST_REQUIRE(WaitUntil([&] { return batch.IsComplete(); },
                                core::Duration::Seconds(30)));
        CheckBatch(deployment, batch, repeatable);
        const std::string reset =
            R"({"delay_ms":0,"answer_twice":false,"reverse_order":false,)"
            R"("truncate_answers":false,"lose_next_answers":0})";
        deployment.ControlUpstream(0, reset);
        deployment.ControlUpstream(1, reset);
      }
    }
  }
}

// Guards against a lost answer between entry and agent that makes work run
// twice, or makes work that ran be reported as not run.
BOOST_AUTO_TEST_CASE(LostAnswersOfAgentsKeepOutcomesTrue) {
  Deployment deployment;
  deployment.WaitUntilReady();
  for (int round = 0; round < 3; ++round) {
    for (int agent = 0; agent < 3; ++agent) {
      deployment.AgentRelay(agent).LoseNextAnswers(2);
    }
    std::vector<std::unique_ptr<wire::HttpClient>> clients;
    Batch batch;
    SendBatch(deployment, clients, 9, "round" + std::to_string(round) + "-",
              /*repeatable=*/false, batch);
    BOOST_REQUIRE(WaitUntil([&] { return batch.IsComplete(); },
                            core::Duration::Seconds(30)));
    CheckBatch(deployment, batch, /*repeatable=*/false);
  }
  int lost = 0;
  for (int agent = 0; agent < 3; ++agent) {
    lost += deployment.AgentRelay(agent).AnswersLost();
  }
  BOOST_TEST(lost > 0);
}

// Guards against a store write whose answer is lost and that is then repeated
// as a second job, or reported as not run though the job runs.
BOOST_AUTO_TEST_CASE(LostStoreAnswersKeepOutcomesTrue) {
  Deployment deployment;
  deployment.WaitUntilReady();
  deployment.ControlStore(R"({"lose_next_answers":6})");
  std::vector<std::unique_ptr<wire::HttpClient>> clients;
  Batch batch;
  SendBatch(deployment, clients, 10, "store-", /*repeatable=*/false, batch);
  BOOST_REQUIRE(WaitUntil([&] { return batch.IsComplete(); },
                          core::Duration::Seconds(40)));
  CheckBatch(deployment, batch, /*repeatable=*/false);
}

// Guards against loss of truth when an upstream, an agent or an entry is
// killed while non-repeatable work runs on it.
BOOST_AUTO_TEST_CASE(KillsNeverRepeatNonRepeatableWork) {
  for (const std::string victim : {"upstream", "agent", "entry"}) {
    BOOST_TEST_CONTEXT("killed: " << victim) {
      Deployment deployment;
      deployment.WaitUntilReady();
      std::vector<std::unique_ptr<wire::HttpClient>> clients;
      Batch batch;
      SendBatch(deployment, clients, 12, victim, /*repeatable=*/false, batch);
      BOOST_REQUIRE(WaitUntil([&] { return !deployment.Witness().empty(); },
                              core::Duration::Seconds(10)));
      if (victim == "upstream") {
        deployment.KillUpstream(0);
        deployment.StartUpstream(0);
      } else if (victim == "agent") {
        deployment.KillAgent(0);
        deployment.StartAgent(0);
      } else {
        deployment.KillEntry(0);
        deployment.StartEntry(0);
      }
      BOOST_REQUIRE(WaitUntil([&] { return batch.IsComplete(); },
                              core::Duration::Seconds(40)));
      CheckBatch(deployment, batch, /*repeatable=*/false);
      // A caller whose entry died asks again with its key through the other.
      for (const auto& [name, answer] : batch.by_name) {
        if (answer.status != 0) {
          continue;
        }
        const JobAnswer again = deployment.Submit(1, batch.jobs[name]);
        if (again.outcome == "done") {
          BOOST_TEST(again.result == name);
        }
        if (!again.id.empty()) {
          BOOST_TEST(deployment.StartsOf(again.id) <= 1);
        }
      }
    }
  }
}

// Guards against an agent that is killed, restarted, and then runs a start
// that was meant for its predecessor; and against frozen processes that go on
// with old decisions.
BOOST_AUTO_TEST_CASE(PausedProcessesDoNotRepeatWork) {
  for (const std::string victim : {"upstream", "agent", "entry"}) {
    BOOST_TEST_CONTEXT("paused: " << victim) {
      Deployment deployment;
      deployment.WaitUntilReady();
      std::vector<std::unique_ptr<wire::HttpClient>> clients;
      Batch batch;
      SendBatch(deployment, clients, 12, victim, /*repeatable=*/false, batch);
      ChildProcess& process = victim == "upstream" ? deployment.Upstream(0)
                              : victim == "agent"  ? deployment.Agent(0)
                                                   : deployment.Entry(0);
      process.Pause();
      // Longer than the leases of agents (3 s) and of the planning owner (5 s).
      WaitUntil([] { return false; }, core::Duration::Milliseconds(6500));
      process.Resume();
      BOOST_REQUIRE(WaitUntil([&] { return batch.IsComplete(); },
                              core::Duration::Seconds(40)));
      CheckBatch(deployment, batch, /*repeatable=*/false);
      const JobAnswer after = deployment.Submit(1, NamedJob("after", 5));
      BOOST_TEST(after.outcome == "done", after.body);
    }
  }
}

// Guards against non-repeatable work that is accepted, or not answered, while
// the store is down; short repeatable work must go on.
BOOST_AUTO_TEST_CASE(StoreOutageRefusesOnlyNonRepeatableWork) {
  Deployment deployment;
  deployment.WaitUntilReady();
  deployment.ControlStore(R"({"down":true})");
  for (int entry : {0, 1}) {
    // A write whose answer is lost may have taken effect, so a request that
    // was open when the outage began is told that its acceptance is in doubt.
    // Once the entry knows of the outage it must refuse at once.
    JobAnswer once;
    int attempts = 0;
    BOOST_TEST(WaitUntil(
        [&] {
          const std::string name =
              "down" + std::to_string(entry) + std::to_string(attempts++);
          once = deployment.Submit(entry, OnceJob(name, 5));
          BOOST_TEST(once.status == 503, once.body);
          const bool in_doubt =
              once.body.find("acceptance-in-doubt") != std::string::npos;
          BOOST_TEST((in_doubt || once.outcome == "not-run"), once.body);
          BOOST_TEST((once.id.empty() || deployment.StartsOf(once.id) == 0));
          return once.outcome == "not-run";
        },
        core::Duration::Seconds(10)));
    const JobAnswer shorter = deployment.Submit(entry, NamedJob("short", 5));
    BOOST_TEST(shorter.outcome == "done", shorter.body);
  }
  deployment.ControlStore(R"({"down":false})");
  BOOST_TEST(WaitUntil(
      [&] {
        return deployment.Submit(0, OnceJob("back", 5)).outcome == "done";
      },
      core::Duration::Seconds(15)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::test_support
