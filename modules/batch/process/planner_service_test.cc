#include "modules/batch/process/planner_service.h"

#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"
#include "modules/wire/testing/wait_for.h"

namespace hemlockdoor::batch {

namespace {

using wire::testing::WaitFor;

constexpr const char* kJob = "j";

/// An agent that executes each order at once.
class ObedientAgent {
 public:
  ObedientAgent() {
    auto listening = wire::HttpServer::Listen(
        "127.0.0.1", 0, wire::HttpServerLimits(),
        [this](const wire::HttpRequest& request,
               const wire::HttpResponder& responder) {
          const core::Expected<OrderBatch> batch =
              OrderBatchFromText(request.body);
          BOOST_REQUIRE(batch.has_value());
          this->report.epoch = batch->epoch;
          this->report.batch = batch->number;
          for (const StartOrder& start : batch->starts) {
            ActiveRun run;
            run.key = start.key;
            run.confirmed = true;
            this->report.active.push_back(run);
          }
          this->waiting.push_back(responder);
          if (!this->holds_answers) {
            this->Answer();
          }
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
    this->report.agent = core::AgentId("agent");
    this->report.endpoint = "127.0.0.1:" + std::to_string(this->server->Port());
    this->report.incarnation = core::Incarnation(7);
    this->report.worker = testing::MakeWorker("w1");
    this->report.is_complete = true;
  }

  const AgentReport& NextReport() {
    ++this->report.sequence;
    return this->report;
  }
  bool Runs() const { return !this->report.active.empty(); }
  std::size_t RunCount() const { return this->report.active.size(); }
  /// From now on, orders are executed but not answered until `Answer` is
  /// called.
  void HoldAnswers() { this->holds_answers = true; }
  void Answer() {
    this->holds_answers = false;
    for (const wire::HttpResponder& responder : this->waiting) {
      wire::HttpResponse response;
      response.body = ToText(this->NextReport());
      responder.Respond(std::move(response));
    }
    this->waiting.clear();
  }
  void EndRuns() {
    for (const ActiveRun& run : this->report.active) {
      this->report.ends.push_back(
          {++this->last_end, run.key, RunEndKind::kDone, {}});
    }
    this->report.active.clear();
  }

 private:
  AgentReport report;
  std::vector<wire::HttpResponder> waiting;
  bool holds_answers = false;
  std::uint64_t last_end = 0;
  std::unique_ptr<wire::HttpServer> server;
};

/// A planner with one agent that runs the only task of a job.
struct PlannerWithRunningJob {
  explicit PlannerWithRunningJob(
      core::Duration lease = entry::kPlanningLease,
      core::Duration retention = PlannerOptions().retention)
      : service(Options(lease, retention), store) {
    this->store.DriveByTimer();
    BOOST_REQUIRE(
        WaitFor([this] { return this->service.Active() != nullptr; }, 5000));
    this->Submit(kJob);
    this->service.OnReport(this->agent.NextReport());
    BOOST_REQUIRE(WaitFor([this] { return this->agent.Runs(); }, 5000));
  }

  static PlannerServiceOptions Options(
      core::Duration lease,
      core::Duration retention = PlannerOptions().retention) {
    PlannerServiceOptions options;
    options.entry = core::EntryId("entry");
    options.endpoint = "127.0.0.1:1";
    options.term = core::Duration::Seconds(5);
    options.retention = retention;
    options.ownership.lease = lease;
    options.ownership.renewal = lease / 6;
    return options;
  }

  void Submit(const std::string& job) {
    // Later than anything that the planner has read.
    constexpr store::ModRevision kLateRevision(1'000'000);
    this->service.OnSubmitted(
        testing::MakeJob(job, {testing::MakeStep(1, {1000, 1000, 1})}),
        kLateRevision);
  }

  store::MemoryStore store;
  ObedientAgent agent;
  PlannerService<store::MemoryStore> service;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PlannerServiceTest)

// Guards against TWICE: a job has ended and been forgotten, but its record is
// still in the store, or was read there before its removal. It is not taken for
// a new job, whether the planner reads the store again or is told of the
// record.
BOOST_AUTO_TEST_CASE(AnEndedAndForgottenJobDoesNotRunAgain) {
  PlannerWithRunningJob running(entry::kPlanningLease,
                                core::Duration::Milliseconds(200));
  const JobRecord record =
      testing::MakeJob("stored", {testing::MakeStep(1, {1000, 1000, 1})});
  const std::string key = store_keys::JobKey(record.spec.id);
  store::ModRevision revision;
  running.store.Commit({{}, {{key, ToText(record), std::nullopt}}},
                       [&revision](const auto& outcome) {
                         BOOST_REQUIRE(outcome.has_value());
                         revision = outcome->revision;
                       });
  BOOST_REQUIRE(WaitFor([&] { return running.agent.RunCount() == 2; }, 2000));
  running.agent.EndRuns();
  running.service.OnReport(running.agent.NextReport());
  const auto is_stored = [&running](const std::string& wanted) {
    return running.store.TakeSnapshot().items.contains(wanted);
  };
  BOOST_REQUIRE(WaitFor(
      [&] { return is_stored(store_keys::ProgressKey(record.spec.id)); },
      2000));
  const store::MemoryStoreSnapshot before_removal =
      running.store.TakeSnapshot();
  BOOST_REQUIRE(WaitFor([&] { return !is_stored(key); }, 3000));

  running.service.OnReport(running.agent.NextReport());
  running.service.OnSubmitted(record, revision);
  BOOST_TEST(!WaitFor([&running] { return running.agent.Runs(); }, 500));
  // The removal had no effect, and the watch is lost.
  running.store.Restore(before_removal);
  running.service.OnReport(running.agent.NextReport());
  BOOST_TEST(!WaitFor([&running] { return running.agent.Runs(); }, 1500));
}

// Callers ask for the state when the last task ends. An immediate answer of
// "running" makes them wait a quarter of a second before they ask again.
BOOST_AUTO_TEST_CASE(DelaysTheStateAnswerUntilTheEndIsStored) {
  PlannerWithRunningJob running;
  std::optional<OwnedState> state;
  running.service.FindState(
      core::JobId(kJob),
      [&state](std::optional<OwnedState> found) { state = found; });
  BOOST_TEST(!state.has_value());
  running.agent.EndRuns();
  running.service.OnReport(running.agent.NextReport());
  BOOST_REQUIRE(WaitFor([&state] { return state.has_value(); }, 1000));
  BOOST_TEST((state->state == JobState::kCompleted));
}

// The delay of the state answer is bounded when the job does not end.
BOOST_AUTO_TEST_CASE(AnswersForAContinuingJobAfterAShortDelay) {
  PlannerWithRunningJob running;
  std::optional<OwnedState> state;
  running.service.FindState(
      core::JobId(kJob),
      [&state](std::optional<OwnedState> found) { state = found; });
  // Callers wait three seconds for an answer; a tenth of that is acceptable.
  BOOST_REQUIRE(WaitFor([&state] { return state.has_value(); }, 300));
  BOOST_TEST((state->state == JobState::kRunning));
}

BOOST_AUTO_TEST_CASE(AnswersPendingStateQueriesWhenPlanningStops) {
  PlannerWithRunningJob running;
  bool answered = false;
  running.service.FindState(
      core::JobId(kJob),
      [&answered](std::optional<OwnedState> /*found*/) { answered = true; });
  running.service.Resign();
  BOOST_TEST(WaitFor([&answered] { return answered; }, 300));
}

// Guards against an answer to orders that is dropped because it arrives while
// the renewal of the planning lease is overdue. On insigne-qc (mix, seed
// 773277612604) the store reset connections at that moment: the agent received
// no more orders, and four jobs were lost.
BOOST_AUTO_TEST_CASE(ProcessesOrderAnswersWhileTheLeaseRenewalIsOverdue) {
  constexpr core::Duration kLease = core::Duration::Milliseconds(600);
  PlannerWithRunningJob running(kLease);
  running.agent.HoldAnswers();
  running.Submit("second");
  BOOST_REQUIRE(WaitFor([&] { return running.agent.RunCount() == 2; }, 1000));
  // Renewals take effect in the store, but their answers arrive too late.
  store::MemoryStoreFaults slow;
  slow.delay = kLease * 3 / 4;
  running.store.SetFaults(slow);
  BOOST_REQUIRE(
      WaitFor([&] { return running.service.Active() == nullptr; }, 3000));
  running.agent.Answer();
  // The answer arrives within some milliseconds.
  WaitFor([] { return false; }, 50);
  BOOST_REQUIRE(running.service.Active() == nullptr);
  running.store.SetFaults(store::MemoryStoreFaults());
  BOOST_REQUIRE(
      WaitFor([&] { return running.service.Active() != nullptr; }, 3000));
  running.Submit("third");
  running.service.OnReport(running.agent.NextReport());
  BOOST_TEST(WaitFor([&] { return running.agent.RunCount() == 3; }, 500));
}

// A claim that completes after the resignation must be released: otherwise no
// other entry can plan until the lease expires.
BOOST_AUTO_TEST_CASE(ReleasesAClaimThatCompletesAfterTheResignation) {
  store::MemoryStore store;
  store.DriveByTimer();
  store::MemoryStoreFaults slow;
  slow.delay = core::Duration::Milliseconds(100);
  store.SetFaults(slow);
  const auto is_owned = [&store] {
    return store.TakeSnapshot().items.contains(
        entry::PlanningOwnership::kOwnerKey);
  };
  PlannerService<store::MemoryStore> service(
      PlannerWithRunningJob::Options(entry::kPlanningLease), store);
  // The claim has taken effect; its answer has not arrived yet.
  BOOST_REQUIRE(WaitFor(is_owned, 3000));
  BOOST_REQUIRE(service.Active() == nullptr);
  service.Resign();
  // Much shorter than the lease of 5 s.
  BOOST_TEST(WaitFor([&is_owned] { return !is_owned(); }, 1000));
}

// A planner is replaced between the operator's write and the next start. Its
// successor withholds starts until the read that it has requested is answered,
// and then follows it.
BOOST_AUTO_TEST_CASE(StartsNothingBeforeTheEvacuationsAreReadInThisTerm) {
  store::MemoryStore store;
  ObedientAgent agent;
  PlannerService<store::MemoryStore> service(
      PlannerWithRunningJob::Options(entry::kPlanningLease), store);
  bool is_confirmed = true;
  int reads = 0;
  service.SetEvacuationSource({[&](core::TimePoint) { return is_confirmed; },
                               [&] {
                                 ++reads;
                                 is_confirmed = false;
                               }});
  const JobRecord record =
      testing::MakeJob("stored", {testing::MakeStep(1, {1000, 1000, 1})});
  store.Commit(
      {{},
       {{store_keys::JobKey(record.spec.id), ToText(record), std::nullopt}}},
      [](const auto&) {});
  store.DriveByTimer();
  BOOST_REQUIRE(WaitFor([&] { return service.Active() != nullptr; }, 5000));
  BOOST_TEST(reads == 1);
  const auto runs_within = [&](int milliseconds) {
    return WaitFor(
        [&] {
          service.OnReport(agent.NextReport());
          return agent.Runs();
        },
        milliseconds);
  };
  BOOST_TEST(!runs_within(700));
  EvacuationState evacuated{{core::DataCentreId()}, store::ModRevision(50)};
  service.SetEvacuations(evacuated);
  is_confirmed = true;
  BOOST_TEST(!runs_within(700));
  service.SetEvacuations({{}, store::ModRevision(51)});
  BOOST_TEST(runs_within(2000));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
