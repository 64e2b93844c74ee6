// Starts, reservations and migrations while data centres are evacuated.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "modules/batch/planner/planner.h"
#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::MakeJob;
using testing::MakeStep;
using testing::SimulatedFleet;

constexpr Resources kSmall{1000, 1000, 1};
constexpr Resources kWhole{64000, 262144, 8};

WorkerDescription MakeWorker(const std::string& id,
                             const std::string& data_centre) {
  WorkerDescription worker = testing::MakeWorker(id);
  worker.data_centre = core::DataCentreId(data_centre);
  return worker;
}

/// Evacuates exactly these data centres, as of a store version.
void Evacuate(SimulatedFleet& fleet,
              std::uint64_t revision,
              const std::vector<std::string>& names) {
  EvacuationState state;
  state.revision = store::ModRevision(revision);
  for (const std::string& name : names) {
    state.data_centres.insert(core::DataCentreId(name));
  }
  fleet.planner.SetEvacuations(state, fleet.now);
}

std::size_t CountOn(const SimulatedFleet& fleet, const std::string& worker) {
  const auto active = fleet.Active();
  return static_cast<std::size_t>(std::count_if(
      active.begin(), active.end(),
      [&worker](const auto& run) { return run.first == worker; }));
}

std::size_t CountLogged(SimulatedFleet& fleet, const std::string& event) {
  const auto log = fleet.planner.TakeDecisionLog();
  return static_cast<std::size_t>(std::count_if(
      log.begin(), log.end(),
      [&event](const auto& entry) { return entry.event == event; }));
}

void AddJob(SimulatedFleet& fleet,
            const std::string& id,
            const StepSpec& step,
            int priority = 1) {
  fleet.planner.AddJob(MakeJob(id, {step}, priority), fleet.now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlannerEvacuationTest)

// Without the exclusion a third of all starts went to evacuated data centres.
BOOST_AUTO_TEST_CASE(StartsNothingInEvacuatedDataCentresUntilTheyReturn) {
  SimulatedFleet fleet(
      {MakeWorker("w1", "a"), MakeWorker("w2", "b"), MakeWorker("w3", "c")});
  Evacuate(fleet, 10, {"a", "b"});
  AddJob(fleet, "j", MakeStep(24, kSmall));
  fleet.Settle();
  BOOST_TEST(CountOn(fleet, "w3") == 8U);
  BOOST_TEST(fleet.Active().size() == 8U);
  // The same request again, and the state of an earlier store version.
  Evacuate(fleet, 11, {"a", "b"});
  Evacuate(fleet, 9, {});
  fleet.Advance(1000);
  BOOST_TEST(fleet.Active().size() == 8U);
  Evacuate(fleet, 12, {"b"});
  fleet.Settle();
  BOOST_TEST(CountOn(fleet, "w1") == 8U);
  BOOST_TEST(CountOn(fleet, "w2") == 0U);
}

BOOST_AUTO_TEST_CASE(JobsWaitWhileAllDataCentresAreEvacuated) {
  SimulatedFleet fleet({MakeWorker("w1", "a"), MakeWorker("w2", "b")});
  Evacuate(fleet, 10, {"a", "b"});
  AddJob(fleet, "j", MakeStep(1, kSmall));
  fleet.Advance(2000);
  BOOST_TEST(fleet.Active().empty());
  BOOST_TEST(CountLogged(fleet, "job_waits") == 1U);
  Evacuate(fleet, 11, {"a"});
  fleet.Settle();
  BOOST_TEST(CountOn(fleet, "w2") == 1U);
}

// A unit is placed while a batch to its agent is open, so its start is not sent
// before the data centre is evacuated.
BOOST_AUTO_TEST_CASE(WithdrawsStartsThatHaveNotBeenSent) {
  SimulatedFleet fleet({MakeWorker("w1", "a"), MakeWorker("w2", "b")});
  fleet.DropOrders("w1");
  AddJob(fleet, "sent", MakeStep(1, kSmall));
  fleet.Settle();
  AddJob(fleet, "unsent", MakeStep(1, kSmall));
  fleet.Settle();
  BOOST_REQUIRE(fleet.Active().empty());
  Evacuate(fleet, 10, {"a"});
  fleet.Settle();
  BOOST_TEST(CountOn(fleet, "w2") == 1U);
  fleet.DeliverOrders("w1");
  fleet.Advance(8000);
  BOOST_TEST(CountOn(fleet, "w1") == 0U);
  BOOST_TEST(CountOn(fleet, "w2") == 2U);
}

// The other members of a gang must not wait on their workers for a member whose
// start was withdrawn.
BOOST_AUTO_TEST_CASE(RestartsAGangOfWhichOneStartWasWithdrawn) {
  SimulatedFleet fleet(
      {MakeWorker("w1", "a"), MakeWorker("w2", "b"), MakeWorker("w3", "c")});
  fleet.DropOrders("w1");
  AddJob(fleet, "open", MakeStep(1, {1000, 1000, 0}));
  fleet.Settle();
  StepSpec gang = MakeStep(3, {60000, 1000, 8});
  gang.gang = true;
  AddJob(fleet, "gang", gang);
  fleet.Settle();
  BOOST_REQUIRE_EQUAL(fleet.Active().size(), 2U);
  Evacuate(fleet, 10, {"a"});
  fleet.Settle();
  BOOST_TEST(fleet.Active().size() <= 1U);
  fleet.DeliverOrders("w1");
  Evacuate(fleet, 11, {});
  fleet.Advance(8000);
  BOOST_TEST(CountOn(fleet, "w1") >= 1U);
  BOOST_TEST(fleet.Active().size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReleasesReservationsInEvacuatedDataCentres) {
  SimulatedFleet fleet({MakeWorker("w1", "a"), MakeWorker("w2", "b")});
  StepSpec backfill = MakeStep(1, kWhole);
  backfill.checkpoints = true;
  backfill.estimate = core::Duration::Seconds(60);
  AddJob(fleet, "b1", backfill, 2);
  AddJob(fleet, "b2", backfill, 2);
  fleet.Settle();
  BOOST_REQUIRE_EQUAL(fleet.Active().size(), 2U);
  fleet.DropOrders("w1");
  fleet.DropOrders("w2");
  AddJob(fleet, "urgent", MakeStep(1, kWhole), 0);
  fleet.Settle();
  const auto reserved_on = [&fleet](const std::string& worker) {
    const AgentView& view =
        fleet.planner.Agents().at(core::AgentId("agent-" + worker));
    const auto found = view.reserved.find(0);
    return found == view.reserved.end() ? 0 : found->second.accelerators;
  };
  BOOST_REQUIRE_EQUAL(reserved_on("w1") + reserved_on("w2"), 8);
  const bool is_first = reserved_on("w1") == 8;
  Evacuate(fleet, 10, {is_first ? "a" : "b"});
  fleet.Settle();
  BOOST_TEST(reserved_on(is_first ? "w1" : "w2") == 0);
  BOOST_TEST(reserved_on(is_first ? "w2" : "w1") == 8);
}

// A planner that is not sure of the evacuations sends no start, also none that
// it placed before.
BOOST_AUTO_TEST_CASE(SendsNoStartsWhileTheyAreWithheld) {
  SimulatedFleet fleet({MakeWorker("w1", "a")});
  fleet.DropOrders("w1");
  AddJob(fleet, "sent", MakeStep(1, kSmall));
  fleet.Settle();
  AddJob(fleet, "unsent", MakeStep(1, kSmall));
  fleet.Settle();
  fleet.planner.WithholdStarts(true);
  fleet.DeliverOrders("w1");
  AddJob(fleet, "new", MakeStep(1, kSmall));
  fleet.Advance(4000);
  BOOST_TEST(fleet.Active().empty());
  fleet.planner.WithholdStarts(false);
  fleet.Settle();
  BOOST_TEST(fleet.Active().size() == 3U);
}

// An agent that learns of the evacuation first refuses starts under way. That
// is no fault of the task or of the worker.
BOOST_AUTO_TEST_CASE(ARefusalForAnEvacuationCountsAgainstNobody) {
  SimulatedFleet fleet({MakeWorker("w1", "a")});
  AddJob(fleet, "j", MakeStep(1, kSmall));
  const auto orders = fleet.planner.Decide(fleet.now, 0);
  BOOST_REQUIRE_EQUAL(orders.size(), 1U);
  BOOST_REQUIRE_EQUAL(orders.front().batch.starts.size(), 1U);
  AgentReport& report = fleet.ReportOf("w1");
  report.batch = orders.front().batch.number;
  report.rejections = {
      {orders.front().batch.starts.front().key, RejectReason::kEvacuated}};
  fleet.planner.OnOrdersAnswered(orders.front().agent, report.batch);
  fleet.ReportAll();
  const Unit& unit = fleet.planner.Jobs().at(core::JobId("j")).units.front();
  BOOST_TEST(unit.members.empty());
  BOOST_TEST(unit.avoided_workers.empty());
  BOOST_TEST(unit.failed_runs.empty());
  fleet.Advance(1000);
  BOOST_TEST(CountOn(fleet, "w1") == 1U);
}

BOOST_AUTO_TEST_CASE(AnswersAndOrdersCarryTheEvacuations) {
  SimulatedFleet fleet({MakeWorker("w1", "a"), MakeWorker("w2", "b")});
  Evacuate(fleet, 10, {"a"});
  AgentReport& report = fleet.ReportOf("w2");
  ++report.sequence;
  const ReportAnswer answer = fleet.planner.OnReport(report, fleet.now);
  BOOST_TEST(answer.evacuated.contains(core::DataCentreId("a")));
  BOOST_TEST(answer.evacuation_revision.Number() == 10U);
  AddJob(fleet, "j", MakeStep(1, kSmall));
  const auto orders = fleet.planner.Decide(fleet.now, 0);
  BOOST_REQUIRE_EQUAL(orders.size(), 1U);
  BOOST_TEST((orders.front().batch.evacuated == answer.evacuated));
  BOOST_TEST(orders.front().batch.evacuation_revision.Number() == 10U);
}

// Short work ends where it is; long-running work would never leave by itself.
BOOST_AUTO_TEST_CASE(MigratesLongRunningUnitsOneAtATime) {
  SimulatedFleet fleet({MakeWorker("w1", "a"), MakeWorker("w2", "b")});
  Evacuate(fleet, 9, {"b"});
  StepSpec service = MakeStep(3, kSmall);
  service.long_running = true;
  AddJob(fleet, "service", service);
  AddJob(fleet, "short", MakeStep(2, kSmall));
  fleet.Settle();
  BOOST_REQUIRE_EQUAL(CountOn(fleet, "w1"), 5U);
  Evacuate(fleet, 10, {"a"});
  fleet.ReportAll();
  std::size_t stops = 0;
  for (const AgentOrders& each : fleet.planner.Decide(fleet.now, 0)) {
    stops += each.batch.stops.size();
    fleet.planner.OnOrdersUnanswered(each.agent, each.batch.number, fleet.now);
  }
  BOOST_TEST(stops == 1U);
  fleet.Advance(8000);
  BOOST_TEST(CountOn(fleet, "w1") == 2U);
  BOOST_TEST(CountOn(fleet, "w2") == 3U);
}

BOOST_AUTO_TEST_CASE(LogsOnceThatADataCentreIsEmpty) {
  SimulatedFleet fleet({MakeWorker("w1", "a")});
  AddJob(fleet, "j", MakeStep(1, kSmall));
  fleet.Settle();
  BOOST_REQUIRE_EQUAL(CountOn(fleet, "w1"), 1U);
  Evacuate(fleet, 10, {"a"});
  fleet.Advance(1000);
  BOOST_TEST(fleet.planner.EvacuatedLoad().units == 1);
  BOOST_TEST(CountLogged(fleet, "evacuation_empty") == 0U);
  fleet.End("w1", fleet.Active().front().second, RunEndKind::kDone);
  fleet.Advance(2000);
  BOOST_TEST(fleet.planner.EvacuatedLoad().units == 0);
  BOOST_TEST(CountLogged(fleet, "evacuation_empty") == 1U);
}

// Cold workers are slow. Without an evacuation their order stays as it was.
BOOST_AUTO_TEST_CASE(ColdWorkersOfAReturnedDataCentreRankBehindWarmOnes) {
  struct Case {
    bool was_evacuated;
    std::int64_t cold_ms;
    std::string expected;
  };
  for (const Case& each : {Case{false, 9000, "w1"}, Case{true, 0, "w1"},
                           Case{true, 9000, "w2"}, Case{true, 1000, "w1"}}) {
    WorkerDescription cold = MakeWorker("w1", "a");
    cold.cold_left = core::Duration::Milliseconds(each.cold_ms);
    SimulatedFleet fleet({cold, MakeWorker("w2", "b")});
    if (each.was_evacuated) {
      Evacuate(fleet, 10, {"a"});
      fleet.Advance(1000);
      Evacuate(fleet, 11, {});
    }
    AddJob(fleet, "j", MakeStep(1, kSmall));
    fleet.Settle();
    BOOST_TEST_CONTEXT(each.was_evacuated << " " << each.cold_ms) {
      BOOST_TEST(CountOn(fleet, each.expected) == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
