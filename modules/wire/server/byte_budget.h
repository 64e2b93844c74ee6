// Limit on the total bytes held by a group of requests.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace hemlockdoor::wire {

/// A share of a byte budget. Destroying the last copy, on any thread, returns
/// the bytes to the budget. A null pointer is no share.
using ByteShare = std::shared_ptr<const void>;

/// Returns a share that holds both shares.
inline ByteShare JoinShares(ByteShare first, ByteShare second) {
  return std::make_shared<const std::pair<ByteShare, ByteShare>>(
      std::move(first), std::move(second));
}

/// Grants shares of a fixed number of bytes. Thread-safe. Shares may outlive
/// the budget.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit_bytes)
      : limit(limit_bytes),
        used(std::make_shared<std::atomic<std::size_t>>(0)) {}

  /// Returns a share of `bytes`, or null when fewer bytes than that are free.
  ByteShare TryAcquire(std::size_t bytes) {
    std::size_t before = this->used->load();
    do {
      if (bytes > this->limit || before > this->limit - bytes) {
        return nullptr;
      }
    } while (!this->used->compare_exchange_weak(before, before + bytes));
    return this->MakeShare(bytes);
  }

  /// Returns a share of `bytes` even when fewer bytes than that are free, for
  /// bytes that are already in memory and must not be dropped. `TryAcquire`
  /// fails until enough shares have been returned.
  ByteShare Charge(std::size_t bytes) {
    *this->used += bytes;
    return this->MakeShare(bytes);
  }

  std::size_t UsedBytes() const { return this->used->load(); }
  std::size_t LimitBytes() const { return this->limit; }

 private:
  ByteShare MakeShare(std::size_t bytes) const {
    return {this->used.get(),
            [counter = this->used, bytes](const void*) { *counter -= bytes; }};
  }

  std::size_t limit;
  std::shared_ptr<std::atomic<std::size_t>> used;
};

}  // namespace hemlockdoor::wire
