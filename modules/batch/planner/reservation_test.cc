#include "modules/batch/planner/reservation.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeStep;
using testing::MakeWorker;

constexpr Resources kHalf{7500, 31000, 4};

/// Workers of 8 accelerators each, all of which are in use.
Fleet FullFleet(const std::map<std::string, std::string>& rack_of_worker) {
  Fleet fleet;
  for (const auto& [worker, rack] : rack_of_worker) {
    AgentView view;
    view.agent = core::AgentId(worker);
    view.worker = MakeWorker(worker, rack);
    view.is_complete = true;
    view.can_start = true;
    view.membership = Membership::kStored;
    view.has_reported = true;
    view.last_contact = At(0);
    view.used = {0, 0, 8};
    fleet[view.agent] = view;
  }
  return fleet;
}

PlacementRequest RequestFor(const StepSpec& step) {
  PlacementRequest request;
  request.step = &step;
  request.service = core::ServiceName("service");
  request.size = step.count;
  request.now = At(0);
  return request;
}

ExpectedRelease Release(std::int64_t at_ms) {
  return {At(at_ms), kHalf};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ReservationTest)

BOOST_AUTO_TEST_CASE(ChoosesTheWorkersThatAreFreeFirst) {
  const Fleet fleet = FullFleet({{"w1", "r1"}, {"w2", "r1"}, {"w3", "r1"}});
  const ExpectedReleases releases = {
      {core::AgentId("w1"), {Release(900)}},
      {core::AgentId("w2"), {Release(200), Release(300)}},
      {core::AgentId("w3"), {Release(400)}}};
  const StepSpec step = MakeStep(3, kHalf);
  const auto found =
      FindReservation(fleet, RequestFor(step), releases, At(1000));
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((found->start == At(400)));
  const std::vector<core::AgentId> expected = {
      core::AgentId("w2"), core::AgentId("w2"), core::AgentId("w3")};
  BOOST_TEST((found->agents == expected));
}

BOOST_AUTO_TEST_CASE(FindsNothingThatIsFreeTooLate) {
  const Fleet fleet = FullFleet({{"w1", "r1"}});
  const ExpectedReleases releases = {
      {core::AgentId("w1"), {Release(200), Release(700)}}};
  const StepSpec step = MakeStep(2, kHalf);
  BOOST_TEST(!FindReservation(fleet, RequestFor(step), releases, At(600)));
  BOOST_TEST(
      FindReservation(fleet, RequestFor(step), releases, At(700)).has_value());
}

// Spread over two racks, the gang would run several times slower.
BOOST_AUTO_TEST_CASE(KeepsAGangInOneRack) {
  const Fleet fleet = FullFleet({{"w1", "r1"}, {"w2", "r2"}, {"w3", "r2"}});
  const ExpectedReleases releases = {{core::AgentId("w1"), {Release(100)}},
                                     {core::AgentId("w2"), {Release(200)}},
                                     {core::AgentId("w3"), {Release(500)}}};
  StepSpec step = MakeStep(2, kHalf);
  step.gang = true;
  step.same_rack = true;
  const auto found =
      FindReservation(fleet, RequestFor(step), releases, At(1000));
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((found->start == At(500)));
  BOOST_TEST((found->agents.front() == core::AgentId("w2")));
}

BOOST_AUTO_TEST_CASE(HonoursTheLimitOfTasksOnOneWorker) {
  const Fleet fleet = FullFleet({{"w1", "r1"}, {"w2", "r1"}});
  const ExpectedReleases releases = {
      {core::AgentId("w1"), {Release(100), Release(200)}},
      {core::AgentId("w2"), {Release(300)}}};
  StepSpec step = MakeStep(2, kHalf);
  step.max_per_worker = 1;
  const auto found =
      FindReservation(fleet, RequestFor(step), releases, At(1000));
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((found->start == At(300)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
