#include "modules/entry/core/agent_directory.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::entry {

namespace {

core::TimePoint At(std::int64_t milliseconds) {
  return core::TimePoint::FromMilliseconds(milliseconds);
}

model::Announcement Announced(std::int64_t agent_clock_ms,
                              std::uint64_t incarnation = 1) {
  model::Announcement announcement;
  announcement.agent = core::AgentId("a");
  announcement.incarnation = core::Incarnation(incarnation);
  announcement.agent_clock = At(agent_clock_ms);
  announcement.shape = model::WorkerShape();
  return announcement;
}

const core::AgentId kAgent("a");

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentDirectoryTest)

// Guards against placing work on an agent whose lease has expired because it
// sent no announcement for 3 s.
BOOST_AUTO_TEST_CASE(SilentAgentIsRemovedAfterItsLease) {
  AgentDirectory directory;
  directory.ApplyAnnouncement(Announced(100), At(1000));
  BOOST_TEST(directory.MayPlaceOn(kAgent, At(3999)));
  BOOST_TEST(!directory.MayPlaceOn(kAgent, At(4000)));
  BOOST_TEST(directory.RemoveExpired(At(3999)).empty());
  BOOST_TEST(directory.RemoveExpired(At(4000)).size() == 1U);
  BOOST_TEST(directory.Find(kAgent) == nullptr);
}

// Guards against a delayed announcement that undoes a drain, and against
// missing the restart of an agent.
BOOST_AUTO_TEST_CASE(OlderAnnouncementsAreIgnored) {
  AgentDirectory directory;
  model::Announcement draining = Announced(200);
  draining.draining = true;
  directory.ApplyAnnouncement(draining, At(1000));
  BOOST_TEST(!directory.ApplyAnnouncement(Announced(100), At(1001)).accepted);
  BOOST_TEST(!directory.MayPlaceOn(kAgent, At(1002)));
  const AnnouncementEffect restart =
      directory.ApplyAnnouncement(Announced(5, 2), At(1003));
  BOOST_TEST(restart.accepted);
  BOOST_TEST((restart.previous_incarnation == core::Incarnation(1)));
  BOOST_TEST(directory.MayPlaceOn(kAgent, At(1004)));
}

// Guards against placing work on an agent that cannot be called although its
// announcements still arrive.
BOOST_AUTO_TEST_CASE(TwoFailedCallsMakeAnAgentSuspected) {
  AgentDirectory directory;
  directory.ApplyAnnouncement(Announced(100), At(1000));
  BOOST_TEST(!directory.CountFailure(kAgent, At(1000)));
  BOOST_TEST(directory.MayPlaceOn(kAgent, At(1000)));
  BOOST_TEST(directory.CountFailure(kAgent, At(1001)));
  directory.ApplyAnnouncement(Announced(101), At(1002));
  BOOST_TEST(!directory.MayPlaceOn(kAgent, At(1002)));
  directory.CountSuccess(kAgent);
  BOOST_TEST(directory.MayPlaceOn(kAgent, At(1003)));
}

// Guards against an estimate ahead of the agent's clock. The start limit would
// then be too late, and a delayed request could start a job that was already
// reported as not run.
BOOST_AUTO_TEST_CASE(ClockEstimateIsNeverAhead) {
  AgentDirectory directory;
  // Sent when the agent's clock showed 500 ms; in transit for 70 ms.
  directory.ApplyAnnouncement(Announced(500), At(1070));
  BOOST_TEST((directory.EstimateClock(kAgent, At(1170)) == At(600)));
  BOOST_TEST((directory.EstimateClock(core::AgentId("b"), At(9999)) == At(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
