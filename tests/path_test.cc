// The whole path through separate processes, without faults.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/deployment.h"

namespace hemlockdoor::test_support {

namespace {

constexpr std::int64_t kMaxResidentBytes = std::int64_t{64} * 1024 * 1024;

TestJob GangJob(int members, int accelerators) {
  TestJob job;
  job.job_class = "batch";
  job.gang_size = members;
  job.accelerators_per_member = accelerators;
  job.adjacency = "worker";
  job.payload = R"({"run_ms":50,"result":"gang result"})";
  return job;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PathTest)

// Guards against a path that is broken anywhere between caller and upstream.
BOOST_AUTO_TEST_CASE(ServesShortDurableAndGangJobs) {
  Deployment deployment;
  deployment.WaitUntilReady();

  TestJob short_job;
  short_job.payload = R"({"run_ms":10,"result":"short result"})";
  const JobAnswer short_answer = deployment.Submit(0, short_job);
  BOOST_TEST(short_answer.status == 200, short_answer.body);
  BOOST_TEST(short_answer.outcome == "done");
  BOOST_TEST(short_answer.result == "short result");

  TestJob once = short_job;
  once.repeatable = false;
  once.idempotency_key = "publish-1";
  const JobAnswer first = deployment.Submit(0, once);
  const JobAnswer second = deployment.Submit(1, once);
  BOOST_TEST(first.outcome == "done", first.body);
  BOOST_TEST(second.outcome == "done", second.body);
  BOOST_TEST(first.id == second.id);
  BOOST_TEST(second.result == "short result");
  BOOST_TEST(deployment.StartsOf(first.id) == 1);

  const JobAnswer gang = deployment.Submit(1, GangJob(3, 4));
  BOOST_TEST(gang.outcome == "done", gang.body);
  BOOST_TEST(deployment.StartsOf(gang.id) == 3);
}

// Guards against work without a way back to a caller that did not wait.
BOOST_AUTO_TEST_CASE(AnswersLaterThroughAnyEntry) {
  Deployment deployment;
  deployment.WaitUntilReady();
  TestJob job;
  job.payload = R"({"run_ms":300,"result":"later"})";
  job.wait_seconds = 0;
  const JobAnswer accepted = deployment.Submit(0, job);
  BOOST_TEST(accepted.status == 202, accepted.body);
  BOOST_TEST(!accepted.id.empty());
  const JobAnswer through_other =
      deployment.WaitForEnd(1, accepted.id, core::Duration::Seconds(10));
  BOOST_TEST(through_other.outcome == "done");
  BOOST_TEST(through_other.result == "later");
}

// Guards against an organisation that sees or cancels another's jobs.
BOOST_AUTO_TEST_CASE(OrganisationsAreSeparate) {
  Deployment deployment;
  deployment.WaitUntilReady();
  TestJob job;
  job.payload = R"({"run_ms":2000,"result":"private"})";
  job.wait_seconds = 0;
  const JobAnswer accepted = deployment.Submit(0, job);
  BOOST_REQUIRE_MESSAGE(accepted.status == 202, accepted.body);
  for (int entry : {0, 1}) {
    const JobAnswer seen =
        deployment.Ask(entry, accepted.id, Deployment::kSouthToken);
    BOOST_TEST(seen.status == 404, seen.body);
    const JobAnswer cancelled =
        deployment.Cancel(entry, accepted.id, Deployment::kSouthToken);
    BOOST_TEST(cancelled.status == 404, cancelled.body);
    BOOST_TEST(deployment.Ask(entry, accepted.id, "wrong-token").status == 401);
  }
  const JobAnswer end =
      deployment.WaitForEnd(0, accepted.id, core::Duration::Seconds(10));
  BOOST_TEST(end.outcome == "done");
}

// Guards against a cancelled job that goes on, or is reported wrongly.
BOOST_AUTO_TEST_CASE(CancelStopsARunningJob) {
  Deployment deployment;
  deployment.WaitUntilReady();
  TestJob job;
  job.payload = R"({"run_ms":60000,"result":"never"})";
  job.wait_seconds = 0;
  const JobAnswer accepted = deployment.Submit(0, job);
  BOOST_REQUIRE(WaitUntil([&] { return deployment.StartsOf(accepted.id) == 1; },
                          core::Duration::Seconds(5)));
  deployment.Cancel(1, accepted.id);
  const JobAnswer end =
      deployment.WaitForEnd(0, accepted.id, core::Duration::Seconds(10));
  BOOST_TEST(end.outcome == "cancelled", end.body);
  BOOST_TEST(WaitUntil([&] { return deployment.RunningNow(accepted.id) == 0; },
                       core::Duration::Seconds(5)));
}

// Guards against processes that grow past the memory a node may spend.
BOOST_AUTO_TEST_CASE(ProcessesStayWithinTheirMemory) {
  Deployment deployment;
  deployment.WaitUntilReady();
  const std::string large(std::size_t{4} * 1024 * 1024, 'x');
  for (int i = 0; i < 3; ++i) {
    TestJob job;
    job.payload = large;
    job.wait_seconds = 20;
    const JobAnswer answer = deployment.Submit(0, job);
    BOOST_TEST(answer.outcome == "done", answer.body.substr(0, 300));
    BOOST_TEST((answer.result == large));
  }
  for (int i = 0; i < 2; ++i) {
    const std::int64_t entry_bytes =
        ReadUsage(deployment.Entry(i).Id()).resident_bytes;
    BOOST_TEST(entry_bytes < kMaxResidentBytes);
  }
  for (int i = 0; i < 3; ++i) {
    const std::int64_t agent_bytes =
        ReadUsage(deployment.Agent(i).Id()).resident_bytes;
    BOOST_TEST(agent_bytes < kMaxResidentBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::test_support
