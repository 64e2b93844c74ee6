#include "modules/decide/fleet/adjacency.h"

#include <bit>
#include <boost/test/unit_test.hpp>
#include <random>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::Adjacency;

BOOST_AUTO_TEST_SUITE(AdjacencyTest)

// Guards against runs of adjacent accelerators that span two blocks.
BOOST_AUTO_TEST_CASE(RunsEndAtBlocks) {
  struct Case {
    int total;
    int per_group;
    std::uint64_t free;
    int longest;
  };
  const Case cases[] = {
      {8, 0, 0xFF, 8}, {8, 4, 0xFF, 4},        {8, 4, 0x3C, 2},
      {8, 0, 0x3C, 4}, {6, 4, 0x3F, 4},        {64, 0, ~0ULL, 64},
      {8, 0, 0, 0},    {1, 0, 1, 1},           {8, 3, 0xC0, 2},
      {0, 0, 0, 0},    {8, 0, 0b1011'0111, 3},
  };
  for (const Case& row : cases) {
    const AcceleratorBlocks blocks(row.total, row.per_group);
    BOOST_TEST(blocks.LongestRun(AcceleratorSet(row.free)) == row.longest);
  }
}

// Guards against choosing accelerators that are not free or not adjacent, and
// against a member capacity that differs from the number of members that `Take`
// can place one after another.
BOOST_AUTO_TEST_CASE(TakePlacesAsManyMembersAsMemberCapacity) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 2000; ++round) {
    const int total = 1 + static_cast<int>(random() % 16);
    const int per_group = static_cast<int>(random() % 5);
    const int size = 1 + static_cast<int>(random() % 4);
    const bool adjacent = random() % 2 == 0;
    const AcceleratorBlocks blocks(total, per_group);
    AcceleratorSet free(random() & AcceleratorSet::First(total).Mask());
    const int capacity = blocks.MemberCapacity(free, size, adjacent);
    int taken_members = 0;
    while (true) {
      const AcceleratorSet taken = blocks.Take(free, size, adjacent);
      if (taken.Count() == 0) {
        break;
      }
      BOOST_REQUIRE(taken.Count() == size);
      BOOST_REQUIRE(free.Contains(taken));
      BOOST_REQUIRE((!adjacent || blocks.LongestRun(taken) == size));
      free = free.Without(taken);
      ++taken_members;
    }
    BOOST_REQUIRE(taken_members == capacity);
  }
}

// Guards against counting a job within a guarantee whose shape is smaller than
// the job's or has a weaker adjacency.
BOOST_AUTO_TEST_CASE(ShapeFitsOnlyIntoShapeAtLeastAsStrict) {
  const model::GangShape rack{4, 2, Adjacency::kRack};
  BOOST_TEST(ShapeFitsInto({4, 2, Adjacency::kWorker}, rack));
  BOOST_TEST(ShapeFitsInto({1, 1, Adjacency::kAny}, rack));
  BOOST_TEST(!ShapeFitsInto({4, 2, Adjacency::kSpread}, rack));
  BOOST_TEST(!ShapeFitsInto({5, 2, Adjacency::kRack}, rack));
  BOOST_TEST(!ShapeFitsInto({4, 3, Adjacency::kRack}, rack));
  BOOST_TEST(!ShapeFitsInto({4, 0, Adjacency::kAny}, rack));
  BOOST_TEST(
      !ShapeFitsInto({4, 2, Adjacency::kRack}, {4, 2, Adjacency::kWorker}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
