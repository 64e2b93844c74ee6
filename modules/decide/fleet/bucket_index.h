// Workers sorted into buckets by a small number, with constant-time moves.
#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace hemlockdoor::decide {

/// Position of a worker in the fleet; stable while the worker is known.
using WorkerIndex = std::uint32_t;

/// Buckets of workers by a key of 1 to 64. Key 0 means: in no bucket.
class BucketIndex {
 public:
  static constexpr int kMaxKey = 64;

  /// Puts a worker under a key; constant time.
  void Set(WorkerIndex worker, int key);
  /// The smallest used key of at least `key`; 0 when there is none.
  int NextKey(int key) const;
  /// The largest used key, or the largest of at most `most`; 0 when none is.
  int LargestKey() const { return this->LargestKeyUpTo(kMaxKey); }
  int LargestKeyUpTo(int most) const;
  /// Workers under a key, in no particular order.
  const std::vector<WorkerIndex>& Bucket(int key) const {
    return this->buckets[static_cast<std::size_t>(key)];
  }

 private:
  struct Position {
    std::uint8_t key = 0;
    std::uint32_t offset = 0;
  };

  std::array<std::vector<WorkerIndex>, kMaxKey + 1> buckets;
  std::vector<Position> positions;
  /// Bit k-1 is set when bucket k is not empty.
  std::uint64_t used_keys = 0;
};

}  // namespace hemlockdoor::decide
