// Time of day that is not affected by jumps of the system clock.
#pragma once

#include <cstdint>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Derives the time of day from the steady clock and the time of day at
/// construction, so that a jump of the system clock does not shift due times.
class StableWallClock {
 public:
  StableWallClock()
      : offset_ms(core::Clock::WallMilliseconds() -
                  core::Clock::Now().InMilliseconds()) {}

  std::int64_t WallMilliseconds(core::TimePoint now) const {
    return now.InMilliseconds() + this->offset_ms;
  }

 private:
  std::int64_t offset_ms;
};

}  // namespace hemlockdoor::batch
