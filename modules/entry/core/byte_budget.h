// Bounds the payload and result bytes that an entry holds.
#pragma once

#include <cstddef>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Bytes of payloads and results held by one entry. The limit leaves room for
/// the copies that receiving and sending one body needs within 64 MB resident.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit_bytes) : limit(limit_bytes) {}

  /// Counts `bytes` as held; false when they do not fit.
  [[nodiscard]] bool TryTake(std::size_t bytes) {
    if (bytes > this->limit - this->held) {
      return false;
    }
    this->held += bytes;
    return true;
  }
  /// Gives back what `TryTake` counted.
  void Release(std::size_t bytes) {
    HD_ASSERT(bytes <= this->held);
    this->held -= bytes;
  }
  std::size_t Held() const { return this->held; }

 private:
  std::size_t limit;
  std::size_t held = 0;
};

}  // namespace hemlockdoor::entry
