#include "modules/entry/core/job_table.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::entry {

namespace {

JobTableLimits SmallLimits() {
  JobTableLimits limits;
  limits.max_open = 2;
  limits.max_ended = 1;
  limits.max_bytes = 10;
  return limits;
}

SharedBody Bytes(std::size_t count) {
  return std::make_shared<const std::string>(count, 'x');
}

Job MakeJob(const char* id, std::size_t payload) {
  Job job;
  job.description.id = core::JobId(id);
  job.payload = Bytes(payload);
  return job;
}

core::TimePoint At(std::int64_t milliseconds) {
  return core::TimePoint::FromMilliseconds(milliseconds);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(JobTableTest)

// Guards against a table that grows without limit, in jobs or in bytes.
BOOST_AUTO_TEST_CASE(LimitsAreEnforced) {
  JobTable table(SmallLimits());
  BOOST_TEST(table.Add(MakeJob("a", 6)).has_value());
  BOOST_TEST(
      (table.Add(MakeJob("a", 1)).error().code == core::ErrorCode::kConflict));
  BOOST_TEST((table.Add(MakeJob("b", 5)).error().code ==
              core::ErrorCode::kResourceExhausted));
  BOOST_TEST(table.Add(MakeJob("b", 4)).has_value());
  BOOST_TEST((table.Add(MakeJob("c", 0)).error().code ==
              core::ErrorCode::kResourceExhausted));
  BOOST_TEST(table.HeldBytes() == 10U);
  table.Remove(core::JobId("a"));
  BOOST_TEST(table.HeldBytes() == 4U);
  BOOST_TEST(table.OpenCount() == 1U);
}

// Guards against dropping results that have not been delivered, and against
// delivered results that block new jobs.
BOOST_AUTO_TEST_CASE(OnlyDeliveredResultsAreDroppedForRoom) {
  for (const bool delivered : {true, false}) {
    JobTable table(SmallLimits());
    Job& done = **table.Add(MakeJob("a", 8));
    BOOST_TEST(table.MakeRoomForResult(done, 8));
    table.DropPayload(done);
    BOOST_TEST(table.AttachResult(done, Bytes(8)));
    if (delivered) {
      table.MarkDelivered(done);
    }
    BOOST_TEST(table.UnevictableBytes() == (delivered ? 0U : 8U));
    table.MarkEnded(done, At(1));
    BOOST_TEST(table.Add(MakeJob("b", 5)).has_value() == delivered);
    BOOST_TEST((done.result == nullptr) == delivered);
  }
}

// Guards against ended jobs that are kept forever or removed too early.
BOOST_AUTO_TEST_CASE(EndedJobsAreRemovedOldestFirst) {
  JobTable table(SmallLimits());
  table.MarkEnded(**table.Add(MakeJob("a", 0)), At(5));
  BOOST_TEST(table.Removable(At(5)).empty());
  BOOST_TEST(table.Removable(At(6)).size() == 1U);
  table.MarkEnded(**table.Add(MakeJob("b", 0)), At(9));
  const std::vector<core::JobId> excess = table.Removable(At(0));
  BOOST_REQUIRE(excess.size() == 1U);
  BOOST_TEST(excess.front().Text() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
