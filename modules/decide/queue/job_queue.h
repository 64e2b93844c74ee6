// Queued jobs, in buckets of jobs that can run in the same places.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"

namespace hemlockdoor::decide {

/// A bucket by its number in the queue.
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

/// Jobs of one key in the order of their arrival.
struct QueueBucket {
  BucketKey key;
  JobHandle first = kNoJob;
  JobHandle last = kNoJob;
  std::uint32_t count = 0;
  BlockReason blocked = BlockReason::kNone;
  /// Listed among the buckets that may be able to start.
  bool ready = false;
};

/// Intrusive lists over job handles: adding, taking out and cancelling cost
/// constant time.
class JobQueue {
 public:
  /// Adds a job; `sequence` is its place among the jobs of its bucket.
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

  /// Marks a bucket as not able to start until it is woken.
  void Block(BucketHandle bucket, BlockReason reason);
  /// Buckets that wait for accelerators.
  const std::vector<BucketHandle>& BlockedForAccelerators() const {
    return this->blocked_for_accelerators;
  }
  /// Capacity was freed: blocked buckets may be able to start. `accelerators`
  /// tells whether some were among it.
  void WakeForCapacity(bool accelerators);
  /// The limits of an entry have room again.
  void WakeEntry(EntryIndex entry);
  /// Lists a bucket again that `TakeReady` returned and that is not blocked.
  void MarkReady(BucketHandle bucket);
  /// Buckets with jobs that are not blocked. The caller blocks each of them,
  /// empties it or lists it again.
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
