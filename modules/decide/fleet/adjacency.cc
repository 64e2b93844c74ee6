#include "modules/decide/fleet/adjacency.h"

#include <algorithm>
#include <bit>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::Adjacency;

bool AdjacencySatisfies(Adjacency offered, Adjacency wanted) {
  if (wanted == Adjacency::kAny || wanted == offered) {
    return true;
  }
  return wanted == Adjacency::kWorker && offered == Adjacency::kRack;
}

bool ShapeFitsInto(const model::GangShape& wanted,
                   const model::GangShape& offered) {
  return wanted.accelerators_per_member > 0 &&
         wanted.gang_size <= offered.gang_size &&
         wanted.accelerators_per_member <= offered.accelerators_per_member &&
         AdjacencySatisfies(offered.adjacency, wanted.adjacency);
}

AcceleratorBlocks::AcceleratorBlocks(int total_count, int per_group)
    : total(total_count), block_size(per_group > 0 ? per_group : total_count) {}

template <typename Visitor>
void AcceleratorBlocks::ForEachRun(AcceleratorSet free, Visitor&& visit) const {
  for (int begin = 0; begin < this->total; begin += this->block_size) {
    const int width = std::min(this->block_size, this->total - begin);
    std::uint64_t bits =
        (free.Mask() >> begin) & AcceleratorSet::First(width).Mask();
    int offset = begin;
    while (bits != 0) {
      const int gap = std::countr_zero(bits);
      bits >>= gap;
      offset += gap;
      const int length = std::countr_one(bits);
      visit(offset, length);
      bits = length >= 64 ? 0 : bits >> length;
      offset += length;
    }
  }
}

int AcceleratorBlocks::LongestRun(AcceleratorSet free) const {
  int longest = 0;
  this->ForEachRun(free, [&longest](int /*first*/, int length) {
    longest = std::max(longest, length);
  });
  return longest;
}

int AcceleratorBlocks::MemberCapacity(AcceleratorSet free,
                                      int size,
                                      bool adjacent) const {
  if (!adjacent) {
    return free.Count() / size;
  }
  int members = 0;
  this->ForEachRun(free, [&members, size](int /*first*/, int length) {
    members += length / size;
  });
  return members;
}

AcceleratorSet AcceleratorBlocks::Take(AcceleratorSet free,
                                       int size,
                                       bool adjacent) const {
  // Longer than any run: a worker has at most 64 accelerators.
  constexpr int kNoRun = 65;
  int best_first = 0;
  int best_length = kNoRun;
  this->ForEachRun(free, [&](int first, int length) {
    if (length >= size && length < best_length) {
      best_first = first;
      best_length = length;
    }
  });
  if (best_length != kNoRun) {
    return AcceleratorSet(AcceleratorSet::First(size).Mask() << best_first);
  }
  if (adjacent || free.Count() < size) {
    return {};
  }
  std::uint64_t taken = 0;
  std::uint64_t rest = free.Mask();
  for (int i = 0; i < size; ++i) {
    taken |= rest & -rest;
    rest &= rest - 1;
  }
  return AcceleratorSet(taken);
}

}  // namespace hemlockdoor::decide
