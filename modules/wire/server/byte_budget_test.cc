#include "modules/wire/server/byte_budget.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <thread>
#include <vector>

namespace hemlockdoor::wire {

BOOST_AUTO_TEST_SUITE(ByteBudgetTest)

// Guards against a process that holds more bytes than its budget, and against
// bytes that are never returned.
BOOST_AUTO_TEST_CASE(GrantsNoMoreThanItsLimit) {
  ByteBudget budget(100);
  ByteShare first = budget.TryAcquire(60);
  BOOST_TEST(bool(first));
  BOOST_TEST(!budget.TryAcquire(41));
  ByteShare second = budget.TryAcquire(40);
  BOOST_TEST(bool(second));
  BOOST_TEST(!budget.TryAcquire(1));
  const ByteShare copy = first;
  first.reset();
  BOOST_TEST(budget.UsedBytes() == 100U);
  second.reset();
  BOOST_TEST(budget.UsedBytes() == 60U);
  BOOST_TEST(!budget.TryAcquire(101));
}

// Guards against new bytes being admitted while bytes that could not be
// refused exceed the limit.
BOOST_AUTO_TEST_CASE(ChargedBytesBlockNewOnes) {
  ByteBudget budget(100);
  ByteShare held = budget.TryAcquire(50);
  ByteShare charged = budget.Charge(80);
  BOOST_TEST(budget.UsedBytes() == 130U);
  BOOST_TEST(!budget.TryAcquire(1));
  held.reset();
  BOOST_TEST(!budget.TryAcquire(21));
  BOOST_TEST(bool(budget.TryAcquire(20)));
  charged.reset();
  BOOST_TEST(budget.UsedBytes() == 0U);
}

// Guards against a joined share that returns one of its parts early or twice.
BOOST_AUTO_TEST_CASE(JoinedShareHoldsBothParts) {
  ByteBudget server(10);
  ByteBudget process(20);
  ByteShare both = JoinShares(server.TryAcquire(10), process.TryAcquire(15));
  BOOST_TEST(!server.TryAcquire(1));
  BOOST_TEST(!process.TryAcquire(6));
  both.reset();
  BOOST_TEST(server.UsedBytes() == 0U);
  BOOST_TEST(process.UsedBytes() == 0U);
}

// Guards against two threads that acquire the same bytes, and against bytes
// that are lost when threads return shares at the same time.
BOOST_AUTO_TEST_CASE(ThreadsNeverExceedTheLimit) {
  constexpr std::size_t kLimit = 10;
  ByteBudget budget(kLimit);
  std::atomic<std::size_t> held = 0;
  std::atomic<bool> exceeded = false;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int turn = 0; turn < 10'000; ++turn) {
        const ByteShare share = budget.TryAcquire(4);
        if (share) {
          exceeded = exceeded || (held += 4) > kLimit;
          held -= 4;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(!exceeded);
  BOOST_TEST(budget.UsedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::wire
