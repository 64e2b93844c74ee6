// What other operators reported: silent agents, hand-overs between planners,
// pauses longer than a permission lasts, and restarts.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeJob;
using testing::MakeStep;
using testing::MakeWorker;
using testing::SimulatedFleet;

constexpr Resources kSmall{5600, 23000, 1};
const RunKey kRun{{core::JobId("j"), 0, 0, 0}, 1};
const WorkerIdentity kWorker = MakeWorker("w1").identity;

/// An agent with a term of 5 s that began at 1000 ms.
WorkerSupervisor MakeAgent() {
  WorkerSupervisor agent(core::AgentId("agent"), "127.0.0.1:1",
                         core::Incarnation(7), At(0));
  agent.OnAnnouncement(MakeWorker("w1"), 1, 500, At(1000));
  ReportAnswer answer;
  answer.epoch = core::SchedulingEpoch(1);
  answer.term = core::Duration::Seconds(5);
  agent.OnReportAnswer(answer, At(1000), At(1000));
  agent.OnListing({510, 1000, {}, {}}, At(1010), At(1010));
  return agent;
}

OrderBatch MakeBatch(std::uint64_t epoch, std::uint64_t number) {
  OrderBatch batch;
  batch.epoch = core::SchedulingEpoch(epoch);
  batch.number = number;
  batch.worker = MakeWorker("w1").identity;
  batch.starts = {{kRun, "payload", "", ""}};
  return batch;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PermissionTest)

// An agent is only silent for a while: nothing of its work is started
// elsewhere, stopped or given up.
BOOST_AUTO_TEST_CASE(ASilentAgentKeepsItsRuns) {
  for (const std::int64_t silence_ms : {500, 1800, 3000, 4500, 5000}) {
    SimulatedFleet fleet({MakeWorker("w1"), MakeWorker("w2")});
    fleet.planner.AddJob(MakeJob("j", {MakeStep(1, kSmall)}), fleet.now);
    fleet.Settle();
    const auto before = fleet.Active();
    fleet.DisconnectAgent(before.front().first);
    fleet.Advance(silence_ms);
    fleet.ConnectAgent(before.front().first);
    fleet.Advance(20'000);
    BOOST_TEST_CONTEXT("silent for " << silence_ms) {
      BOOST_TEST((fleet.Active() == before));
    }
  }
}

// Guards against LOST: a worker is gone for good, and its agent restarts before
// the leases have expired. The new process never hears of the worker, and the
// task starts elsewhere neither before they have expired nor much later.
BOOST_AUTO_TEST_CASE(TasksOfALostWorkerRunAgainThoughItsAgentRestarted) {
  SimulatedFleet fleet({MakeWorker("w1"), MakeWorker("w2")});
  fleet.planner.AddJob(MakeJob("j", {MakeStep(1, kSmall)}), fleet.now);
  fleet.Settle();
  BOOST_REQUIRE_EQUAL(fleet.Active().size(), 1U);
  const std::string lost = fleet.Active().front().first;
  fleet.DisconnectAgent(lost);
  const core::TimePoint restarted = fleet.now + core::Duration::Seconds(2);
  WorkerSupervisor agent(core::AgentId("agent-" + lost), "127.0.0.1:1",
                         core::Incarnation(8), restarted);
  const auto report = [&agent, &fleet] {
    agent.OnReportAnswer(
        fleet.planner.OnReport(agent.MakeReport(fleet.now), fleet.now),
        fleet.now, fleet.now);
  };
  constexpr std::int64_t kStepMs = 50;
  std::int64_t silent_ms = 0;
  std::size_t starts = 0;
  for (fleet.now = restarted; starts == 0 && silent_ms < 20'000;
       fleet.now = fleet.now + core::Duration::Milliseconds(kStepMs)) {
    silent_ms = (fleet.now - restarted).InMilliseconds() + 2000;
    fleet.ReportAll();
    agent.OnTick(fleet.now);
    report();
    for (const AgentOrders& orders : fleet.planner.Decide(fleet.now, 0)) {
      starts += orders.batch.starts.size();
      if (orders.agent == core::AgentId("agent-" + lost)) {
        BOOST_TEST(agent.OnOrders(orders.batch, fleet.now).has_value());
      }
      fleet.planner.OnOrdersAnswered(orders.agent, orders.batch.number);
    }
  }
  // A term of 5 s, twice the drift of 2%, and a margin.
  BOOST_TEST(starts == 1U);
  BOOST_TEST(silent_ms > 5100);
  BOOST_TEST(silent_ms < 6000);
}

// Two planners around a hand-over: once an agent has heard of the new one, by
// an order or by an answer, it carries out nothing for the old one.
BOOST_AUTO_TEST_CASE(OrdersOfTwoPlannersAreNotBothCarriedOut) {
  for (const bool heard_by_order : {false, true}) {
    WorkerSupervisor agent = MakeAgent();
    if (heard_by_order) {
      BOOST_TEST(agent.OnOrders(MakeBatch(2, 1), At(1100)).has_value());
    } else {
      ReportAnswer answer;
      answer.epoch = core::SchedulingEpoch(2);
      answer.term = core::Duration::Seconds(5);
      agent.OnReportAnswer(answer, At(1100), At(1100));
    }
    for (const std::uint64_t number : {1U, 2U, 1000U}) {
      const auto calls = agent.OnOrders(MakeBatch(1, number), At(1200));
      BOOST_TEST(!calls.has_value());
    }
    // An answer of the old planner grants no term either.
    ReportAnswer old_answer;
    old_answer.epoch = core::SchedulingEpoch(1);
    old_answer.term = core::Duration::Seconds(60);
    agent.OnReportAnswer(old_answer, At(1300), At(1300));
    BOOST_TEST(!agent.HasTerm(At(7000)));
  }
}

// Guards against TWICE: a batch is sent as a cut begins and arrives after it.
// By then the planner has counted the agent as lost and started the task
// elsewhere, and the agent has a valid term again.
BOOST_AUTO_TEST_CASE(OrdersFromBeforeACutAreNotCarriedOutAfterIt) {
  SimulatedFleet fleet({MakeWorker("w1"), MakeWorker("w2")});
  fleet.planner.AddJob(MakeJob("j", {MakeStep(1, kSmall)}), fleet.now);
  const std::vector<AgentOrders> delayed =
      fleet.planner.Decide(fleet.now, fleet.now.InMilliseconds());
  BOOST_REQUIRE_EQUAL(delayed.size(), 1U);
  BOOST_REQUIRE_EQUAL(delayed.front().batch.starts.size(), 1U);
  const std::string cut = delayed.front().batch.worker.id.Text();
  fleet.DisconnectAgent(cut);
  fleet.Advance(8000);
  BOOST_REQUIRE_EQUAL(fleet.Active().size(), 1U);
  BOOST_TEST(fleet.Active().front().first != cut);

  WorkerSupervisor agent(delayed.front().agent, "127.0.0.1:1",
                         core::Incarnation(7), At(0));
  agent.OnAnnouncement(MakeWorker(cut), 1, 500, fleet.now);
  agent.OnListing({510, 1000, {}, {}}, fleet.now, fleet.now);
  const auto report = [&agent, &fleet] {
    agent.OnReportAnswer(
        fleet.planner.OnReport(agent.MakeReport(fleet.now), fleet.now),
        fleet.now, fleet.now);
  };
  report();
  BOOST_TEST(agent.HasTerm(fleet.now));
  BOOST_TEST(!agent.OnOrders(delayed.front().batch, fleet.now).has_value());

  // Orders that the planner gives after the return are carried out.
  fleet.planner.AddJob(MakeJob("k", {MakeStep(12, kSmall)}), fleet.now);
  std::size_t starts = 0;
  for (int round = 0; round < 10; ++round) {
    fleet.now = fleet.now + core::Duration::Milliseconds(300);
    fleet.ReportAll();
    report();
    fleet.RecordMembers();
    for (const AgentOrders& orders :
         fleet.planner.Decide(fleet.now, fleet.now.InMilliseconds())) {
      if (orders.agent == delayed.front().agent) {
        const auto calls = agent.OnOrders(orders.batch, fleet.now);
        BOOST_REQUIRE(calls.has_value());
        starts += calls->starts.size();
        fleet.planner.OnOrdersAnswered(orders.agent, orders.batch.number);
      }
    }
  }
  BOOST_TEST(starts > 0U);
}

// A start whose answer is outstanding when the planner counts the agent as lost
// is not sent again in the agent's next session.
BOOST_AUTO_TEST_CASE(AStartIsNotRepeatedInALaterSession) {
  WorkerSupervisor agent = MakeAgent();
  BOOST_REQUIRE(agent.OnOrders(MakeBatch(1, 1), At(1010)).has_value());
  ReportAnswer answer;
  answer.epoch = core::SchedulingEpoch(1);
  answer.term = core::Duration::Seconds(5);
  answer.session = SessionNumber(1);
  agent.OnReportAnswer(answer, At(8000), At(8010));
  agent.OnStartAnswer(kRun, kWorker, StartResult::kUnknown,
                      RejectReason::kInvalid, 0, At(8020));
  BOOST_TEST(agent.DueStarts(At(8020)).empty());
  BOOST_TEST(agent.DueStops(At(8020)).size() == 1U);
  // An answer of the earlier session grants no term.
  answer.session = SessionNumber(0);
  agent.OnReportAnswer(answer, At(60'000), At(60'000));
  BOOST_TEST(!agent.HasTerm(At(60'000)));
}

// An agent is paused with an order in its hands. It asks for a lease and starts
// the run only within its term.
BOOST_AUTO_TEST_CASE(APausedAgentStartsNothingAfterItsTerm) {
  for (const std::int64_t pause_ms : {0, 1000, 4900, 5100, 8000, 60'000}) {
    const bool in_term = pause_ms < 4990;
    const core::TimePoint now = At(1010 + pause_ms);
    BOOST_TEST_CONTEXT("paused for " << pause_ms) {
      WorkerSupervisor agent = MakeAgent();
      const auto calls = agent.OnOrders(MakeBatch(1, 1), now);
      BOOST_REQUIRE(calls.has_value());
      BOOST_TEST(calls->starts.size() == (in_term ? 1U : 0U));
      BOOST_TEST(agent.BeginPoll(now).has_value() == in_term);
      // Paused between a start without an answer and its repetition.
      WorkerSupervisor repeating = MakeAgent();
      BOOST_REQUIRE(repeating.OnOrders(MakeBatch(1, 1), At(1010)).has_value());
      repeating.OnStartAnswer(kRun, kWorker, StartResult::kUnknown,
                              RejectReason::kInvalid, 0, At(1010));
      BOOST_TEST(repeating.DueStarts(now).size() == (in_term ? 1U : 0U));
    }
  }
}

// A start that was sent just before a pause carries the end of the term on the
// worker's clock, so that a worker refuses it when it arrives late.
BOOST_AUTO_TEST_CASE(AStartCarriesTheEndOfTheTerm) {
  WorkerSupervisor agent = MakeAgent();
  const auto calls = agent.OnOrders(MakeBatch(1, 1), At(5900));
  BOOST_REQUIRE(calls.has_value());
  BOOST_REQUIRE_EQUAL(calls->starts.size(), 1U);
  // The worker's clock showed 510 at 1010, and the term ends at 6000.
  BOOST_TEST(calls->starts.front().deadline_ms == 5500);
}

// After a restart of the planner, a worker is used only when its agent has
// reported to the new one, and a worker that has left is not used again.
BOOST_AUTO_TEST_CASE(ARestartedPlannerDoesNotUseWorkersThatHaveLeft) {
  SimulatedFleet fleet({MakeWorker("w1"), MakeWorker("w2")});
  fleet.planner.BeginTerm(core::SchedulingEpoch(2),
                          {{core::AgentId("agent-w1"), "127.0.0.1:1"},
                           {core::AgentId("agent-w2"), "127.0.0.1:1"}},
                          fleet.now);
  fleet.ReportOf("w1").worker.reset();
  fleet.planner.AddJob(MakeJob("j", {MakeStep(8, kSmall)}), fleet.now);
  BOOST_TEST(fleet.planner.Decide(fleet.now, 0).size() == 2U);
  fleet.Advance(10'000);
  for (const auto& orders : fleet.planner.Decide(fleet.now, 0)) {
    BOOST_TEST(orders.agent.Text() != "agent-w1");
  }
  BOOST_TEST(fleet.ReportOf("w2").active.size() == 8U);
  BOOST_TEST(fleet.ReportOf("w1").active.empty());
}

// The clock of an announcement, which others can send too, does not make leases
// longer than the term once the worker itself has answered.
BOOST_AUTO_TEST_CASE(AnAnnouncedClockDoesNotExtendLeases) {
  WorkerSupervisor agent(core::AgentId("agent"), "127.0.0.1:1",
                         core::Incarnation(7), At(0));
  agent.OnAnnouncement(MakeWorker("w1"), 1, 900'000'000, At(1000));
  ReportAnswer answer;
  answer.epoch = core::SchedulingEpoch(1);
  answer.term = core::Duration::Seconds(5);
  agent.OnReportAnswer(answer, At(1000), At(1000));
  agent.OnListing({510, 1000, {}, {}}, At(1010), At(1010));
  BOOST_TEST((agent.BeginPoll(At(1010)) == std::optional<std::int64_t>(5500)));
  agent.OnAnnouncement(MakeWorker("w1"), 2, 900'000'000, At(1020));
  BOOST_TEST((agent.BeginPoll(At(1020)) == std::optional<std::int64_t>(5500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
