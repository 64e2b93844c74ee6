#include <boost/test/unit_test.hpp>
#include <thread>

#include "modules/core/core.h"

namespace hemlockdoor::core {

BOOST_AUTO_TEST_SUITE(BoundedRingTest)

// Guards against a push to a full queue that overwrites an older message or
// blocks the producer.
BOOST_AUTO_TEST_CASE(FullRingRejectsPushAndKeepsOrder) {
  BoundedRing<int> ring(2);
  BOOST_TEST(ring.TryPush(1));
  BOOST_TEST(ring.TryPush(2));
  BOOST_TEST(!ring.TryPush(3));
  BOOST_TEST(ring.TryPop().value() == 1);
  BOOST_TEST(ring.TryPop().value() == 2);
  BOOST_TEST(!ring.TryPop().has_value());
}

// Guards against messages that are lost, duplicated or reordered when one
// thread pushes and another pops.
BOOST_AUTO_TEST_CASE(DeliversEachMessageOnceBetweenThreads) {
  constexpr int kMessages = 20000;
  BoundedRing<int> ring(64);
  std::thread producer([&ring] {
    for (int i = 0; i < kMessages; ++i) {
      while (!ring.TryPush(i)) {
        std::this_thread::yield();
      }
    }
  });
  int expected = 0;
  while (expected < kMessages) {
    const std::optional<int> message = ring.TryPop();
    if (message.has_value()) {
      BOOST_REQUIRE(*message == expected);
      ++expected;
    }
  }
  producer.join();
  BOOST_TEST(ring.Count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::core
