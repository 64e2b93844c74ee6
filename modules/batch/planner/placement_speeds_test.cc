// Placement on workers of different speeds.
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "modules/batch/planner/reservation.h"
#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeStep;
using testing::MakeWorker;

constexpr Resources kHalf{7500, 31000, 4};
constexpr double kSlow = 2.4;
constexpr core::Duration kRunTime = core::Duration::Milliseconds(1500);

struct Machine {
  std::string id;
  double time_factor = 1;
  int used_accelerators = 0;
  /// The planner has an estimate of the time factor.
  bool is_known = true;
};

/// Workers of 8 accelerators each in one rack, and their speeds.
struct UnevenFleet {
  explicit UnevenFleet(const std::vector<Machine>& machines) {
    for (const Machine& machine : machines) {
      AgentView view;
      view.agent = core::AgentId(machine.id);
      view.worker = MakeWorker(machine.id);
      view.is_complete = true;
      view.can_start = true;
      view.membership = Membership::kStored;
      view.has_reported = true;
      view.last_contact = At(0);
      view.used = {0, 0, machine.used_accelerators};
      this->fleet[view.agent] = view;
      constexpr double kManyRuns = 50;
      this->speeds.OnWorker(view.agent, *view.worker);
      if (machine.is_known) {
        this->speeds.Restore(view.agent,
                             {std::log(machine.time_factor), kManyRuns});
      }
    }
  }

  /// Lets the planner find out whether the workers differ.
  void CompareWorkers() { this->speeds.Refresh(At(0)); }

  PlacementRequest RequestFor(const StepSpec& step,
                              int priority,
                              std::int64_t slack_ms) const {
    PlacementRequest request;
    request.step = &step;
    request.service = core::ServiceName("service");
    request.size = step.count;
    request.priority = priority;
    request.speeds = &this->speeds;
    request.run_time = kRunTime;
    request.slack = core::Duration::Milliseconds(slack_ms);
    request.now = At(0);
    return request;
  }

  /// Returns the workers of the placement in the order of the tasks.
  std::vector<std::string> Place(int tasks,
                                 int priority,
                                 std::int64_t slack_ms) const {
    const StepSpec step = MakeStep(tasks, kHalf);
    const auto placed =
        FindPlacement(this->fleet, this->RequestFor(step, priority, slack_ms));
    std::vector<std::string> workers;
    for (const core::AgentId& agent : placed.value()) {
      workers.push_back(agent.Text());
    }
    return workers;
  }

  /// Starts single tasks one after the other and returns how many each worker
  /// got.
  std::map<std::string, int> StartSingly(int tasks,
                                         int priority,
                                         std::int64_t slack_ms) {
    constexpr Resources kNarrow{100, 100, 1};
    const StepSpec step = MakeStep(1, kNarrow);
    std::map<std::string, int> counts;
    for (int task = 0; task < tasks; ++task) {
      const core::AgentId agent =
          FindPlacement(this->fleet, this->RequestFor(step, priority, slack_ms))
              .value()
              .front();
      AgentView& view = this->fleet[agent];
      view.used = view.used + kNarrow;
      ++view.measuring_runs;
      ++counts[agent.Text()];
    }
    return counts;
  }

  Fleet fleet;
  WorkerSpeeds speeds;
};

/// Seven known workers, of which `slow` are slow, and three unknown ones.
std::vector<Machine> PartlyKnownMachines(int slow) {
  std::vector<Machine> machines;
  for (int i = 0; i < 7; ++i) {
    machines.push_back({"known" + std::to_string(i), i < slow ? kSlow : 1.0});
  }
  for (int i = 0; i < 3; ++i) {
    machines.push_back({"unknown" + std::to_string(i), 1.0, 0, false});
  }
  return machines;
}

using Workers = std::vector<std::string>;

constexpr std::int64_t kLittleSlack = 800;
constexpr std::int64_t kMuchSlack = 10'000;

}  // namespace

BOOST_AUTO_TEST_SUITE(PlacementSpeedsTest)

// The best fit alone would choose the slow worker that is half used.
BOOST_AUTO_TEST_CASE(UrgentGangStaysOnFastWorkers) {
  const UnevenFleet fleet({{"a-slow", kSlow, 4}, {"b", 1, 0}, {"c", 1, 4}});
  BOOST_TEST(fleet.Place(3, 0, kLittleSlack) == (Workers{"c", "b", "b"}));
  BOOST_TEST(fleet.Place(1, 0, kLittleSlack) == Workers{"c"});
}

// Fast workers stay free for urgent work that arrives later.
BOOST_AUTO_TEST_CASE(WorkWithTimeToSpareUsesSlowWorkers) {
  const UnevenFleet fleet(
      {{"a", 1, 0}, {"b", 1, 4}, {"c-slow", kSlow, 0}, {"d-slow", kSlow, 0}});
  BOOST_TEST(fleet.Place(1, 2, kMuchSlack) == Workers{"c-slow"});
  BOOST_TEST(fleet.Place(3, 1, kMuchSlack) ==
             (Workers{"c-slow", "c-slow", "d-slow"}));
  BOOST_TEST(fleet.Place(1, 2, kLittleSlack) == Workers{"b"});
}

// A gang that fits on slow workers alone, or on fast ones alone, would hold
// fast workers at the pace of a slow one.
BOOST_AUTO_TEST_CASE(GangIsNotSpreadOverSpeedsWithoutNeed) {
  const UnevenFleet fleet(
      {{"a", 1, 0}, {"b", 1, 0}, {"c-slow", kSlow, 0}, {"d", 1, 4}});
  BOOST_TEST(fleet.Place(4, 1, kMuchSlack) == (Workers{"d", "a", "a", "b"}));
  BOOST_TEST(fleet.Place(7, 1, kMuchSlack) ==
             (Workers{"c-slow", "c-slow", "d", "a", "a", "b", "b"}));
}

// Work with time to spare that is packed on workers known to be slow measures
// nothing, so that urgent gangs keep meeting slow workers.
BOOST_AUTO_TEST_CASE(WorkWithTimeToSpareMeasuresUnknownWorkers) {
  UnevenFleet fleet(PartlyKnownMachines(3));
  fleet.CompareWorkers();
  const std::map<std::string, int> batch = fleet.StartSingly(8, 2, kMuchSlack);
  BOOST_TEST(batch.at("unknown0") == 2);
  BOOST_TEST(batch.at("unknown1") == 2);
  BOOST_TEST(batch.at("unknown2") == 2);
  BOOST_TEST(batch.at("known0") == 2);
}

// A job that would become late on a slow worker must not be the one to find it.
BOOST_AUTO_TEST_CASE(UrgentWorkDoesNotMeasureWorkers) {
  for (const int priority : {0, 2}) {
    UnevenFleet fleet(PartlyKnownMachines(3));
    fleet.CompareWorkers();
    BOOST_TEST(fleet.StartSingly(1, priority, kLittleSlack).contains("known3"));
  }
}

// One unknown worker in three is slow, so a gang of five that treats them like
// those known to be fast has a slow member nearly nine times in ten.
BOOST_AUTO_TEST_CASE(UrgentGangPrefersWorkersKnownToBeFast) {
  UnevenFleet fleet(PartlyKnownMachines(3));
  fleet.CompareWorkers();
  for (const std::string& worker : fleet.Place(8, 0, kLittleSlack)) {
    BOOST_TEST(worker.starts_with("known"));
    BOOST_TEST(worker > "known2");
  }
}

// Workers that are not slow enough to make urgent jobs late are not measured,
// since that takes whole workers away from wide gangs.
BOOST_AUTO_TEST_CASE(EvenWorkersAreNotMeasured) {
  UnevenFleet fleet(PartlyKnownMachines(0));
  fleet.CompareWorkers();
  BOOST_TEST(fleet.StartSingly(8, 2, kMuchSlack).size() == 1);
  UnevenFleet with_odd_worker(PartlyKnownMachines(1));
  with_odd_worker.CompareWorkers();
  BOOST_TEST(
      !with_odd_worker.StartSingly(8, 2, kMuchSlack).contains("unknown0"));
}

// Starting at once on a slow worker ends after 3,600 ms, waiting for a fast one
// after 2,300 ms.
BOOST_AUTO_TEST_CASE(ReservationPrefersTheEarlierEnd) {
  const UnevenFleet fleet({{"a-slow", kSlow, 0}, {"b", 1, 8}});
  const StepSpec step = MakeStep(1, kHalf);
  const PlacementRequest request = fleet.RequestFor(step, 0, kLittleSlack);
  const auto release_at = [](std::int64_t at_ms) {
    return ExpectedReleases{{core::AgentId("b"), {{At(at_ms), kHalf}}}};
  };
  const auto soon =
      FindReservation(fleet.fleet, request, release_at(800), At(5000));
  BOOST_TEST(soon->agents.front().Text() == "b");
  BOOST_TEST(soon->end.InMilliseconds() == 2300);
  const auto later =
      FindReservation(fleet.fleet, request, release_at(4000), At(5000));
  BOOST_TEST(later->agents.front().Text() == "a-slow");
}

// On even workers neither the speeds nor the time to spare may change where
// work is placed.
BOOST_AUTO_TEST_CASE(EvenFleetIsUsedAsWithoutSpeeds) {
  std::mt19937 random(7);
  const auto draw = [&random](int limit) {
    return std::uniform_int_distribution<>(0, limit - 1)(random);
  };
  for (int round = 0; round < 300; ++round) {
    std::vector<Machine> machines;
    for (int i = 0; i < 12; ++i) {
      machines.push_back({"w" + std::to_string(10 + i), 1.0, draw(9)});
    }
    UnevenFleet fleet(machines);
    ExpectedReleases releases;
    for (auto& [agent, view] : fleet.fleet) {
      view.worker->rack = core::RackId("r" + std::to_string(draw(3)));
      releases[agent] = {{At(draw(3000)), kHalf}};
    }
    StepSpec step = MakeStep(1 + draw(6), kHalf);
    step.same_rack = draw(2) == 0;
    step.preferred_rack = draw(3) == 0 ? "r1" : "";
    PlacementRequest request =
        fleet.RequestFor(step, draw(3), draw(8000) - 2000);
    request.allow_remote = draw(2) == 0;
    PlacementRequest plain = request;
    plain.speeds = nullptr;
    plain.run_time = core::Duration();
    plain.slack = core::Duration();
    BOOST_TEST((FindPlacement(fleet.fleet, request) ==
                FindPlacement(fleet.fleet, plain)));
    const auto reserved =
        FindReservation(fleet.fleet, request, releases, At(3000));
    const auto expected =
        FindReservation(fleet.fleet, plain, releases, At(3000));
    BOOST_TEST(reserved.has_value() == expected.has_value());
    BOOST_TEST((!reserved || reserved->agents == expected->agents));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
