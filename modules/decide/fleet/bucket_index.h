// Index of workers by a small number, such as their free slots, with
// constant-time updates.
#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

namespace hemlockdoor::decide {

/// Index of a worker in the fleet. A worker keeps its index for the lifetime of
/// the fleet, also while it is absent.
using WorkerIndex = std::uint32_t;

/// Groups workers into buckets by a key from 1 to 64. A worker with key 0 is in
/// no bucket.
class BucketIndex {
 public:
  static constexpr int kMaxKey = 64;

  /// Moves a worker to the bucket of a key, clamped to 0 to 64, in constant
  /// time. Memory grows with the largest worker index used.
  void Set(WorkerIndex worker, int key);
  /// Returns the smallest key with a non-empty bucket that is at least `key`,
  /// or 0 when there is none.
  int NextKey(int key) const;
  /// Returns the largest key with a non-empty bucket, or 0 when there is none.
  int LargestKey() const { return this->LargestKeyUpTo(kMaxKey); }
  /// As `LargestKey`, among the keys up to `max_key`.
  int LargestKeyUpTo(int max_key) const;
  /// Returns the workers in the bucket of a key, in no particular order.
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
