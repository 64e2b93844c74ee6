#include "modules/decide/queue/job_queue.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

std::size_t JobQueue::KeyHash::operator()(const BucketKey& key) const {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t hash = 0;
  const std::uint64_t parts[] = {
      key.entry,
      key.service,
      static_cast<std::uint64_t>(key.shape.gang_size),
      static_cast<std::uint64_t>(key.shape.accelerators_per_member),
      static_cast<std::uint64_t>(key.shape.adjacency),
      (key.lane == Lane::kLong ? 4U : 0U) + (key.stoppable ? 2U : 0U) +
          (key.urgent ? 1U : 0U)};
  for (const std::uint64_t part : parts) {
    hash = (hash ^ part) * kMultiplier;
    hash ^= hash >> 32U;
  }
  return hash;
}

BucketHandle JobQueue::Add(const BucketKey& key,
                           JobHandle job,
                           std::uint64_t sequence) {
  if (job >= this->links.size()) {
    this->links.resize(std::max<std::size_t>(job + 1, this->links.size() * 2));
  }
  const auto [place, inserted] = this->by_key.try_emplace(
      key, static_cast<BucketHandle>(this->buckets.size()));
  if (inserted && !this->free_buckets.empty()) {
    place->second = this->free_buckets.back();
    this->free_buckets.pop_back();
    this->buckets[place->second] = QueueBucket();
  } else if (inserted) {
    this->buckets.emplace_back();
  }
  const BucketHandle handle = place->second;
  QueueBucket& bucket = this->buckets[handle];
  bucket.key = key;
  Link& link = this->links[job];
  link.bucket = handle;
  link.sequence = sequence;
  JobHandle before = bucket.last;
  while (before != kNoJob && this->links[before].sequence > sequence) {
    before = this->links[before].previous;
  }
  this->InsertAfter(bucket, job, before);
  ++bucket.count;
  ++this->queued;
  if (bucket.blocked == BlockReason::kNone) {
    this->MarkReady(handle);
  }
  return handle;
}

void JobQueue::InsertAfter(QueueBucket& bucket,
                           JobHandle job,
                           JobHandle before) {
  Link& link = this->links[job];
  link.previous = before;
  link.next = before == kNoJob ? bucket.first : this->links[before].next;
  (before == kNoJob ? bucket.first : this->links[before].next) = job;
  (link.next == kNoJob ? bucket.last : this->links[link.next].previous) = job;
}

void JobQueue::Remove(JobHandle job) {
  Link& link = this->links[job];
  QueueBucket& bucket = this->buckets[link.bucket];
  (link.previous == kNoJob ? bucket.first : this->links[link.previous].next) =
      link.next;
  (link.next == kNoJob ? bucket.last : this->links[link.next].previous) =
      link.previous;
  --bucket.count;
  --this->queued;
}

void JobQueue::MarkReady(BucketHandle handle) {
  QueueBucket& bucket = this->buckets[handle];
  bucket.blocked = BlockReason::kNone;
  if (!bucket.ready) {
    bucket.ready = true;
    this->ready.push_back(handle);
  }
}

void JobQueue::Block(BucketHandle handle, BlockReason reason) {
  QueueBucket& bucket = this->buckets[handle];
  bucket.blocked = reason;
  if (reason != BlockReason::kNoCapacity) {
    this->blocked_by_cap.push_back(handle);
  } else if (bucket.key.shape.accelerators_per_member > 0) {
    this->blocked_for_accelerators.push_back(handle);
  } else {
    this->blocked_for_slots.push_back(handle);
  }
}

void JobQueue::WakeForCapacity(bool accelerators) {
  for (const BucketHandle bucket : std::exchange(this->blocked_for_slots, {})) {
    this->MarkReady(bucket);
  }
  if (!accelerators) {
    return;
  }
  for (const BucketHandle bucket :
       std::exchange(this->blocked_for_accelerators, {})) {
    this->MarkReady(bucket);
  }
}

void JobQueue::WakeEntry(EntryIndex entry) {
  const auto first_woken =
      std::partition(this->blocked_by_cap.begin(), this->blocked_by_cap.end(),
                     [this, entry](BucketHandle bucket) {
                       return this->buckets[bucket].key.entry != entry;
                     });
  const std::vector<BucketHandle> woken(first_woken,
                                        this->blocked_by_cap.end());
  this->blocked_by_cap.erase(first_woken, this->blocked_by_cap.end());
  for (const BucketHandle bucket : woken) {
    this->MarkReady(bucket);
  }
}

std::vector<BucketHandle> JobQueue::TakeReady() {
  std::vector<BucketHandle> taken = std::exchange(this->ready, {});
  std::vector<BucketHandle> with_jobs;
  for (const BucketHandle handle : taken) {
    QueueBucket& bucket = this->buckets[handle];
    bucket.ready = false;
    if (bucket.count > 0) {
      with_jobs.push_back(handle);
    } else {
      this->by_key.erase(bucket.key);
      this->free_buckets.push_back(handle);
    }
  }
  return with_jobs;
}

}  // namespace hemlockdoor::decide
