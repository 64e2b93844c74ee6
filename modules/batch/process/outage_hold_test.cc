#include "modules/batch/process/outage_hold.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <iterator>
#include <optional>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;

core::Duration Ms(std::int64_t milliseconds) {
  return core::Duration::Milliseconds(milliseconds);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OutageHoldTest)

BOOST_AUTO_TEST_CASE(CallersAreRefusedAtOnceEarlyInAnOutage) {
  for (const std::int64_t outage_ms : {0, 500, 1999}) {
    BOOST_TEST((OutageHoldEnd(Ms(outage_ms), At(4000), At(1000)) == At(1000)));
  }
}

// The deployments' outages last 3 s to 6 s.
BOOST_AUTO_TEST_CASE(CallersWaitLessThanHalfOfTheirTimeLateInAnOutage) {
  for (const std::int64_t outage_ms : {2000, 4000, 9000}) {
    const core::TimePoint end =
        OutageHoldEnd(Ms(outage_ms), At(4000), At(1000));
    BOOST_TEST((end > At(1000)));
    BOOST_TEST((end < At(2500)));
  }
}

BOOST_AUTO_TEST_CASE(ACallerWithoutTimeLeftIsRefusedAtOnce) {
  BOOST_TEST((OutageHoldEnd(Ms(3000), At(1000), At(1000)) == At(1000)));
  BOOST_TEST((OutageHoldEnd(Ms(3000), At(900), At(1000)) == At(1000)));
}

// Replays an outage of 4.2 s with callers that wait for 3 s and, when they are
// refused, come back after 1.05, 0.8, 0.55 and 0.35 s, as seen on a deployment.
BOOST_AUTO_TEST_CASE(MoreCallersOutlastAnOutageThanWithRefusalsAtOnce) {
  constexpr std::int64_t kOutageEnd = 4200;
  constexpr std::int64_t kPatience = 3000;
  constexpr std::int64_t kArrivalStep = 50;
  const std::int64_t pauses[] = {1050, 800, 550, 350};
  // Returns the time of acceptance, or nothing.
  const auto accepted_at = [&](std::int64_t arrival,
                               bool holds) -> std::optional<std::int64_t> {
    std::int64_t now = arrival;
    for (std::size_t attempt = 0; attempt <= std::size(pauses); ++attempt) {
      const std::int64_t hold_end =
          holds ? OutageHoldEnd(Ms(now), At(arrival + kPatience), At(now))
                      .InMilliseconds()
                : now;
      if (hold_end >= kOutageEnd || now >= kOutageEnd) {
        return std::max(now, kOutageEnd);
      }
      if (attempt == std::size(pauses)) {
        break;
      }
      now = hold_end + pauses[attempt];
      if (now >= arrival + kPatience) {
        break;
      }
    }
    return std::nullopt;
  };
  int served = 0;
  int served_at_once = 0;
  std::int64_t delay = 0;
  std::int64_t delay_at_once = 0;
  for (std::int64_t arrival = 0; arrival < kOutageEnd;
       arrival += kArrivalStep) {
    const auto held = accepted_at(arrival, true);
    const auto refused = accepted_at(arrival, false);
    served += held ? 1 : 0;
    served_at_once += refused ? 1 : 0;
    delay += held.value_or(kOutageEnd) - kOutageEnd;
    delay_at_once += refused.value_or(kOutageEnd) - kOutageEnd;
  }
  BOOST_TEST(served >= served_at_once);
  BOOST_TEST(delay < delay_at_once);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
