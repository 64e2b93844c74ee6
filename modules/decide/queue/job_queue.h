// Queue of jobs, in buckets of jobs that can run in the same places.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"

namespace hemlockdoor::decide {

/// Index of a bucket in the queue.
using BucketHandle = std::uint32_t;

/// Jobs with the same key can run in the same places.
struct BucketKey {
  EntryIndex entry = 0;
  ServiceIndex service = 0;
  model::GangShape shape;
  Lane lane = Lane::kShort;
  bool stoppable = true;
  bool urgent = false;
  bool operator==(const BucketKey&) const = default;
};

/// Why the first job of a bucket cannot start.
enum class BlockReason : std::uint8_t {
  kNone,
  kNoCapacity,
  kAcceleratorCap,
  kSlotCap,
};

/// Jobs with the same key in the order of their arrival.
struct QueueBucket {
  BucketKey key;
  JobHandle first = kNoJob;
  JobHandle last = kNoJob;
  std::uint32_t count = 0;
  BlockReason blocked = BlockReason::kNone;
  /// True while the bucket is in the list of buckets to try.
  bool ready = false;
};

/// Queued jobs in linked lists over job handles. Removing a job, or adding one
/// at the end of its bucket, takes constant time.
class JobQueue {
 public:
  /// Adds a job; jobs of a bucket are ordered by `sequence`.
  BucketHandle Add(const BucketKey& key, JobHandle job, std::uint64_t sequence);
  void Remove(JobHandle job);
  const QueueBucket& At(BucketHandle bucket) const {
    return this->buckets[bucket];
  }
  BucketHandle BucketOf(JobHandle job) const { return this->links[job].bucket; }
  JobHandle NextOf(JobHandle job) const { return this->links[job].next; }
  std::uint64_t SequenceOf(JobHandle job) const {
    return this->links[job].sequence;
  }
  std::size_t Count() const { return this->queued; }
  std::size_t BucketCount() const { return this->buckets.size(); }

  /// Marks a bucket as blocked until `WakeForCapacity`, `WakeEntry` or
  /// `MarkReady` wakes it.
  void Block(BucketHandle bucket, BlockReason reason);
  /// Buckets that wait for accelerators.
  const std::vector<BucketHandle>& BlockedForAccelerators() const {
    return this->blocked_for_accelerators;
  }
  /// Marks buckets blocked for capacity as ready after capacity was freed:
  /// those without accelerators, and with `accelerators` also the others.
  void WakeForCapacity(bool accelerators);
  /// Marks the buckets as ready that were blocked by a cap of an entry.
  void WakeEntry(EntryIndex entry);
  /// Marks a bucket as ready, so that the next `TakeReady` returns it if it has
  /// jobs.
  void MarkReady(BucketHandle bucket);
  /// Returns the ready buckets that have jobs, and frees those that have none.
  /// The caller must call `Block` or `MarkReady` for each returned bucket that
  /// still has jobs afterwards.
  std::vector<BucketHandle> TakeReady();

 private:
  struct Link {
    JobHandle next = kNoJob;
    JobHandle previous = kNoJob;
    BucketHandle bucket = 0;
    std::uint64_t sequence = 0;
  };
  struct KeyHash {
    std::size_t operator()(const BucketKey& key) const;
  };

  void InsertAfter(QueueBucket& bucket, JobHandle job, JobHandle before);

  std::vector<Link> links;
  std::vector<QueueBucket> buckets;
  std::vector<BucketHandle> free_buckets;
  std::unordered_map<BucketKey, BucketHandle, KeyHash> by_key;
  std::vector<BucketHandle> ready;
  std::vector<BucketHandle> blocked_for_slots;
  std::vector<BucketHandle> blocked_for_accelerators;
  std::vector<BucketHandle> blocked_by_cap;
  std::size_t queued = 0;
};

}  // namespace hemlockdoor::decide
