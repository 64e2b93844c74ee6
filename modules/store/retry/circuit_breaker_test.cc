#include "modules/store/retry/circuit_breaker.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::store {

BOOST_AUTO_TEST_SUITE(CircuitBreakerTest)

// Guards against a flood of calls to a store that is down, and against a
// breaker that stays open after the store has recovered.
BOOST_AUTO_TEST_CASE(ProbesOneAtATimeAndClosesOnSuccess) {
  const core::Duration first = core::Duration::Milliseconds(100);
  CircuitBreaker breaker(3, Backoff(first, first * 8, 7));
  core::TimePoint now;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(breaker.TryAcquire(now));
    breaker.OnFailure(now);
  }
  int probes = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    now = now + core::Duration::Milliseconds(1);
    if (breaker.TryAcquire(now)) {
      ++probes;
      BOOST_TEST(!breaker.TryAcquire(now));
      breaker.OnFailure(now);
    }
  }
  BOOST_TEST(probes > 10);
  BOOST_TEST(probes < 30);
  now = now + first * 8;
  BOOST_TEST(breaker.TryAcquire(now));
  breaker.OnSuccess();
  BOOST_TEST(breaker.TryAcquire(now));
  BOOST_TEST(breaker.TryAcquire(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::store
