// Limits the bytes of payloads and results that an entry holds in memory.
#pragma once

#include <cstddef>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Counts the bytes of payloads and results that one entry holds, up to a fixed
/// limit. The limit is far below the 64 MB of resident memory that an entry may
/// use, because receiving and sending a body needs further copies of it.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit_bytes) : limit(limit_bytes) {}

  /// Adds `bytes` to the held bytes. Returns false, and adds nothing, when the
  /// limit would be exceeded.
  [[nodiscard]] bool TryTake(std::size_t bytes) {
    if (bytes > this->limit - this->held) {
      return false;
    }
    this->held += bytes;
    return true;
  }
  /// Returns bytes taken with `TryTake` to the budget.
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
