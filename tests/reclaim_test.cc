// Promise P1: an organisation reclaims its guaranteed shape while others fill
// the cluster, within the 5.7 s that urgent work may wait.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/deployment.h"

namespace hemlockdoor::test_support {

namespace {

constexpr core::Duration kUrgentStartBound = core::Duration::Milliseconds(5700);

/// North is guaranteed two gangs of two members with four adjacent
/// accelerators each, out of three workers with eight.
std::string GuaranteeCatalogue() {
  nlohmann::json document =
      nlohmann::json::parse(Deployment::DefaultCatalogue());
  document["entries"]["north-batch"]["guarantees"] = {
      {{"count", 2},
       {"gang_size", 2},
       {"accelerators_per_member", 4},
       {"adjacency", "worker"}}};
  return document.dump();
}

TestJob Borrower(bool ignores_checkpoint) {
  TestJob job;
  job.job_class = "batch";
  job.accelerators_per_member = 4;
  job.adjacency = "worker";
  job.checkpointable = true;
  job.payload = ignores_checkpoint
                    ? R"({"run_ms":120000,"ignore_checkpoint":true})"
                    : R"({"run_ms":120000})";
  job.wait_seconds = 0;
  return job;
}

TestJob UrgentGang() {
  TestJob job;
  job.job_class = "batch";
  job.gang_size = 2;
  job.accelerators_per_member = 4;
  job.adjacency = "worker";
  job.urgent = true;
  job.payload = R"({"run_ms":30000,"result":"urgent"})";
  job.wait_seconds = 0;
  return job;
}

/// Fills all accelerators with work of the other organisation.
std::vector<std::string> Fill(Deployment& deployment, bool ignores_checkpoint) {
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    const JobAnswer accepted = deployment.Submit(
        0, Borrower(ignores_checkpoint), Deployment::kSouthToken);
    BOOST_REQUIRE_MESSAGE(accepted.status == 202, accepted.body);
    jobs.push_back(accepted.id);
  }
  const bool filled = WaitUntil(
      [&] {
        int running = 0;
        for (const std::string& job : jobs) {
          running += deployment.RunningNow(job);
        }
        return running == 6;
      },
      core::Duration::Seconds(10));
  BOOST_REQUIRE_MESSAGE(filled, "borrowers do not fill the cluster");
  return jobs;
}

void RequireUrgentStart(Deployment& deployment, int entry) {
  const core::TimePoint submitted = core::Clock::Now();
  const JobAnswer accepted = deployment.Submit(entry, UrgentGang());
  BOOST_REQUIRE_MESSAGE(accepted.status == 202, accepted.body);
  const bool started =
      WaitUntil([&] { return deployment.RunningNow(accepted.id) == 2; },
                kUrgentStartBound - (core::Clock::Now() - submitted));
  BOOST_TEST(started, "the urgent gang has not started in time: "
                          << deployment.Ask(entry, accepted.id).body);
}

struct ReclaimFault {
  std::string name;
  bool ignores_checkpoint;
  std::function<void(Deployment&)> apply;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ReclaimTest)

// Guards against a guarantee that cannot be reclaimed because borrowers hold
// on, or because a process or the store is gone.
BOOST_AUTO_TEST_CASE(GuaranteedGangsStartInTimeUnderFaults) {
  const std::vector<ReclaimFault> faults = {
      {"none", false, [](Deployment&) {}},
      {"borrowers ignore checkpoint", true, [](Deployment&) {}},
      {"other entry killed", true, [](Deployment& d) { d.KillEntry(1); }},
      {"store down", true,
       [](Deployment& d) { d.ControlStore(R"({"down":true})"); }},
      {"store slow", true,
       [](Deployment& d) { d.ControlStore(R"({"delay_ms":300})"); }},
      {"answers of one agent late", true,
       [](Deployment& d) {
         d.AgentRelay(0).SetAnswerDelay(core::Duration::Milliseconds(100));
       }},
  };
  for (const ReclaimFault& fault : faults) {
    BOOST_TEST_CONTEXT("fault: " << fault.name) {
      DeploymentOptions options;
      options.catalogue = GuaranteeCatalogue();
      Deployment deployment(options);
      deployment.WaitUntilReady();
      Fill(deployment, fault.ignores_checkpoint);
      fault.apply(deployment);
      RequireUrgentStart(deployment, 0);
      RequireUrgentStart(deployment, 0);
    }
  }
}

// Guards against a guarantee that is unavailable until someone notices that
// the planning owner has died. The owner's lease is 5 s, so the bound is that
// lease and the 5.7 s for the start.
BOOST_AUTO_TEST_CASE(GuaranteedGangStartsAfterTheOwnerDies) {
  DeploymentOptions options;
  options.catalogue = GuaranteeCatalogue();
  Deployment deployment(options);
  deployment.WaitUntilReady();
  Fill(deployment, /*ignores_checkpoint=*/true);
  deployment.KillEntry(0);
  const JobAnswer accepted = deployment.Submit(1, UrgentGang());
  BOOST_REQUIRE_MESSAGE(accepted.status == 202, accepted.body);
  BOOST_TEST(WaitUntil([&] { return deployment.RunningNow(accepted.id) == 2; },
                       core::Duration::Seconds(5) + kUrgentStartBound));
}

// Guards against lending capacity that cannot be taken back: work that can
// neither checkpoint nor be repeated never sits on a guaranteed shape.
BOOST_AUTO_TEST_CASE(NonRepeatableWorkStaysOffGuaranteedCapacity) {
  DeploymentOptions options;
  options.catalogue = GuaranteeCatalogue();
  Deployment deployment(options);
  deployment.WaitUntilReady();
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    TestJob job = Borrower(false);
    job.checkpointable = false;
    job.repeatable = false;
    job.idempotency_key = "hold-" + std::to_string(i);
    jobs.push_back(deployment.Submit(0, job, Deployment::kSouthToken).id);
  }
  // Two of six blocks are not needed by the guarantee.
  const auto running = [&] {
    int count = 0;
    for (const std::string& job : jobs) {
      count += deployment.RunningNow(job);
    }
    return count;
  };
  BOOST_TEST(
      WaitUntil([&] { return running() == 2; }, core::Duration::Seconds(10)));
  RequireUrgentStart(deployment, 0);
  RequireUrgentStart(deployment, 0);
  BOOST_TEST(running() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::test_support
