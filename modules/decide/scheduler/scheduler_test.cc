#include "modules/decide/scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>

#include "modules/decide/testing/fake_cluster.h"

namespace hemlockdoor::decide {

using model::Adjacency;
using model::GangShape;

namespace {

/// Returns a cluster of two workers with 8 accelerators each in one rack.
/// Organisation north has a guarantee of one whole worker.
FakeCluster TwoWorkers(const SchedulerOptions& options = {}) {
  FakeCluster cluster(options);
  cluster.AddWorker(MakeWorker("w1"));
  cluster.AddWorker(MakeWorker("w2"));
  cluster.scheduler.ApplyCatalogue(
      MakeCatalogue(
          {MakeEntry("north", {{1, GangShape{1, 8, Adjacency::kWorker}}}),
           MakeEntry("south")}),
      cluster.now);
  cluster.now = cluster.now + core::Duration::Seconds(10);
  return cluster;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SchedulerTest)

// Guards against a guarantee that cannot be reclaimed because a job that must
// not be stopped was placed on its capacity.
BOOST_AUTO_TEST_CASE(UnstoppableWorkStaysOutOfGuaranteedCapacity) {
  FakeCluster cluster = TwoWorkers();
  model::JobDescription fixed =
      MakeJob("fixed-1", "south", {1, 8, Adjacency::kWorker});
  fixed.repeatable = false;
  BOOST_TEST(cluster.Submit(fixed));
  fixed.id = core::JobId("fixed-2");
  BOOST_TEST(cluster.Submit(fixed));
  cluster.Plan();
  BOOST_TEST(cluster.IsRunning("fixed-1"));
  BOOST_TEST(!cluster.IsRunning("fixed-2"));
  const std::optional<WaitReason> reason =
      cluster.scheduler.WhyWaiting(core::JobId("fixed-2"));
  BOOST_REQUIRE(reason.has_value());
  BOOST_TEST(reason->text.find("kept for guarantees") != std::string::npos);
}

// Guards against an urgent job within its guarantee that starts later than
// 5.7 s after submission because the jobs that borrow its capacity ignore the
// request to write a checkpoint.
BOOST_AUTO_TEST_CASE(UrgentGuaranteedWorkStartsInTimeWhenCheckpointIsIgnored) {
  FakeCluster cluster = TwoWorkers();
  for (const char* id : {"loan-1", "loan-2"}) {
    model::JobDescription borrower =
        MakeJob(id, "south", {1, 8, Adjacency::kWorker});
    borrower.checkpointable = true;
    BOOST_REQUIRE(cluster.Submit(borrower));
  }
  cluster.Plan();
  BOOST_REQUIRE(cluster.IsRunning("loan-1") && cluster.IsRunning("loan-2"));
  model::JobDescription urgent =
      MakeJob("urgent", "north", {1, 8, Adjacency::kWorker});
  urgent.urgent = true;
  BOOST_REQUIRE(cluster.Submit(urgent));
  const core::TimePoint submitted = cluster.now;
  while (!cluster.IsRunning("urgent")) {
    BOOST_REQUIRE(cluster.now - submitted < core::Duration::Seconds(10));
    cluster.now = cluster.now + core::Duration::Milliseconds(100);
    cluster.Plan();
    const auto stopping = cluster.stopping;
    for (const auto& [id, decision] : stopping) {
      if (decision.mode == PreemptMode::kStop) {
        cluster.now = cluster.now + core::Duration::Milliseconds(1000);
        cluster.End(id.Text(), model::JobOutcome::kCancelled);
        cluster.Plan();
      }
    }
  }
  BOOST_TEST((cluster.now - submitted).InMilliseconds() <= 5700);
  BOOST_TEST(cluster.scheduler.IsWithinGuarantee(core::JobId("urgent")));
}

// Guards against a job that stays queued indefinitely because no set of workers
// has room for it.
BOOST_AUTO_TEST_CASE(RefusesWhatCanNeverRun) {
  struct Case {
    GangShape shape;
    std::string service;
    RefusalKind kind;
  };
  const std::vector<Case> cases = {
      {{1, 9, Adjacency::kAny}, "s", RefusalKind::kNeverRunnable},
      {{3, 1, Adjacency::kSpread}, "s", RefusalKind::kNeverRunnable},
      {{17, 1, Adjacency::kAny}, "s", RefusalKind::kNeverRunnable},
      {{1, 1, Adjacency::kAny}, "unknown", RefusalKind::kNeverRunnable},
  };
  FakeCluster cluster = TwoWorkers();
  for (const Case& row : cases) {
    model::JobDescription job = MakeJob("never", "south", row.shape);
    job.service = core::ServiceName(row.service);
    BOOST_TEST(!cluster.Submit(job));
    BOOST_TEST((cluster.refused.at(job.id).kind == row.kind));
    BOOST_TEST((cluster.refused.at(job.id).retry_after == core::Duration()));
  }
}

// Guards against a final refusal of a job after a restart, before all workers
// have announced themselves.
BOOST_AUTO_TEST_CASE(DoesNotRefuseBeforeWorkersHadTimeToAnnounce) {
  FakeCluster cluster;
  cluster.scheduler.ApplyCatalogue(MakeCatalogue({MakeEntry("north")}),
                                   cluster.now);
  BOOST_TEST(cluster.Submit(MakeJob("early", "north")));
  cluster.Plan();
  cluster.AddWorker(MakeWorker("w1"));
  cluster.Plan();
  BOOST_TEST(cluster.IsRunning("early"));
}

// Guards against a cap that is exceeded, and against running jobs that are
// stopped when a cap is lowered.
BOOST_AUTO_TEST_CASE(CapsHoldWithoutStoppingJobs) {
  FakeCluster cluster = TwoWorkers();
  model::ClassLimits limits;
  limits.max_accelerators = 4;
  const auto apply = [&]() {
    cluster.scheduler.ApplyCatalogue(
        MakeCatalogue({MakeEntry("south", {}, limits)}), cluster.now);
  };
  apply();
  for (int i = 0; i < 4; ++i) {
    cluster.Submit(MakeJob("j" + std::to_string(i), "south", {1, 2}));
  }
  cluster.Plan();
  BOOST_TEST(cluster.running.size() == 2);
  limits.max_accelerators = 2;
  apply();
  cluster.Plan();
  BOOST_TEST(cluster.running.size() == 2);
  BOOST_TEST(cluster.stopping.empty());
  cluster.End("j0");
  cluster.Plan();
  BOOST_TEST(cluster.running.size() == 1);
  limits.max_accelerators.reset();
  apply();
  cluster.Plan();
  BOOST_TEST(cluster.running.size() == 3);
}

// Guards against a job that is lost, started twice or moved behind later jobs
// when an agent refuses its start.
BOOST_AUTO_TEST_CASE(RefusedStartIsQueuedAgainAtItsPlace) {
  FakeCluster cluster = TwoWorkers();
  cluster.Submit(MakeJob("first", "south", {1, 8}));
  const std::vector<Decision> decisions = cluster.scheduler.Plan(cluster.now);
  BOOST_REQUIRE(decisions.size() == 1);
  const auto& start = std::get<StartDecision>(decisions[0]);
  cluster.scheduler.OnStartRefused(start.job, start.members[0].agent,
                                   cluster.now);
  BOOST_TEST(cluster.scheduler.QueuedCount() == 1);
  cluster.Submit(MakeJob("second", "south", {1, 8}));
  cluster.Submit(MakeJob("third", "south", {1, 8}));
  cluster.Plan();
  BOOST_TEST(cluster.IsRunning("first"));
  BOOST_TEST(cluster.IsRunning("second"));
  BOOST_TEST(!cluster.IsRunning("third"));
}

// Guards against capacity that stays in use when a start is never reported, and
// against capacity that is used twice when the report is late.
BOOST_AUTO_TEST_CASE(StartWithoutReportTimesOut) {
  FakeCluster cluster = TwoWorkers();
  cluster.Submit(MakeJob("silent", "south", {2, 8, Adjacency::kSpread}));
  BOOST_REQUIRE(cluster.scheduler.Plan(cluster.now).size() == 1);
  cluster.Submit(MakeJob("next", "south", {2, 8, Adjacency::kSpread}));
  BOOST_TEST(cluster.scheduler.Plan(cluster.now).empty());
  cluster.now = cluster.now + core::Duration::Seconds(31);
  const std::vector<Decision> decisions = cluster.scheduler.Plan(cluster.now);
  BOOST_REQUIRE(decisions.size() == 2);
  const auto* stop = std::get_if<PreemptDecision>(&decisions[0]);
  BOOST_REQUIRE(stop != nullptr);
  BOOST_TEST((stop->mode == PreemptMode::kStop));
  BOOST_TEST(std::get<StartDecision>(decisions[1]).job.Text() == "next");
  cluster.scheduler.OnStarted(core::JobId("silent"), cluster.now);
  BOOST_TEST(cluster.scheduler.Plan(cluster.now).empty());
}

// Guards against a job that starts although its catalogue entry was deleted, or
// its cap lowered, while the job waited for its place to be reclaimed.
BOOST_AUTO_TEST_CASE(JobThatHoldsAPlaceObeysTheCatalogue) {
  for (const bool deleted : {true, false}) {
    FakeCluster cluster = TwoWorkers();
    for (const char* id : {"loan-1", "loan-2"}) {
      BOOST_REQUIRE(cluster.Submit(MakeJob(id, "south", {1, 8})));
    }
    cluster.Plan();
    BOOST_REQUIRE(cluster.Submit(MakeJob("claim", "north", {1, 8})));
    cluster.Plan();
    BOOST_REQUIRE(cluster.stopping.size() == 1);
    model::ClassLimits limits;
    limits.max_accelerators = 4;
    std::vector<model::CatalogueEntry> entries = {MakeEntry("south")};
    if (!deleted) {
      entries.push_back(MakeEntry(
          "north", {{1, GangShape{1, 8, Adjacency::kWorker}}}, limits));
    }
    cluster.scheduler.ApplyCatalogue(MakeCatalogue(entries), cluster.now);
    cluster.End(cluster.stopping.begin()->first.Text(),
                model::JobOutcome::kCancelled);
    cluster.Plan();
    BOOST_TEST(!cluster.IsRunning("claim"));
    BOOST_TEST(cluster.refused.count(core::JobId("claim")) ==
               (deleted ? 1U : 0U));
  }
}

// Guards against a scheduler that is not the planning owner and places gangs or
// jobs with accelerators.
BOOST_AUTO_TEST_CASE(NonOwnerPlacesSingleTasksOnly) {
  SchedulerOptions options;
  options.plans_accelerators = false;
  FakeCluster cluster = TwoWorkers(options);
  BOOST_TEST(!cluster.Submit(MakeJob("gang", "south", {2, 0})));
  BOOST_TEST(!cluster.Submit(MakeJob("gpu", "south", {1, 1})));
  BOOST_TEST(cluster.Submit(MakeJob("task", "south")));
  cluster.Plan();
  BOOST_TEST(cluster.IsRunning("task"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
