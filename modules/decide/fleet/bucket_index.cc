#include "modules/decide/fleet/bucket_index.h"

#include <algorithm>

namespace hemlockdoor::decide {

void BucketIndex::Set(WorkerIndex worker, int key) {
  if (worker >= this->positions.size()) {
    if (key <= 0) {
      return;
    }
    this->positions.resize(worker + 1);
  }
  const auto bounded = static_cast<std::uint8_t>(std::clamp(key, 0, kMaxKey));
  Position& position = this->positions[worker];
  if (position.key == bounded) {
    return;
  }
  if (position.key != 0) {
    std::vector<WorkerIndex>& old = this->buckets[position.key];
    const WorkerIndex last = old.back();
    old[position.offset] = last;
    this->positions[last].offset = position.offset;
    old.pop_back();
    if (old.empty()) {
      this->used_keys &= ~(std::uint64_t{1} << (position.key - 1));
    }
  }
  position.key = bounded;
  if (bounded != 0) {
    std::vector<WorkerIndex>& bucket = this->buckets[bounded];
    position.offset = static_cast<std::uint32_t>(bucket.size());
    bucket.push_back(worker);
    this->used_keys |= std::uint64_t{1} << (bounded - 1);
  }
}

int BucketIndex::NextKey(int key) const {
  if (key > kMaxKey) {
    return 0;
  }
  const int first = std::max(key, 1);
  const std::uint64_t above = this->used_keys >> (first - 1);
  return above == 0 ? 0 : first + std::countr_zero(above);
}

int BucketIndex::LargestKeyUpTo(int max_key) const {
  if (max_key <= 0) {
    return 0;
  }
  const std::uint64_t wanted =
      ~std::uint64_t{0} >> (kMaxKey - std::min(max_key, kMaxKey));
  return static_cast<int>(std::bit_width(this->used_keys & wanted));
}

}  // namespace hemlockdoor::decide
