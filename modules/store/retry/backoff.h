// Exponential backoff with jitter.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "modules/core/core.h"

namespace hemlockdoor::store {

/// Computes delays between attempts. The nominal delay doubles from `first` up
/// to `longest`; the returned delay is drawn uniformly between half of the
/// nominal delay and all of it, so that processes that failed at the same time
/// do not retry at the same time.
class Backoff {
 public:
  Backoff(core::Duration first_delay,
          core::Duration longest_delay,
          std::uint64_t seed)
      : first(first_delay),
        longest(longest_delay),
        nominal(first_delay),
        random(seed) {}

  /// Returns the delay before the next attempt, in whole milliseconds.
  core::Duration Next() {
    const std::int64_t whole = this->nominal.InMilliseconds();
    this->nominal = std::min(this->nominal * 2, this->longest);
    std::uniform_int_distribution<std::int64_t> draw(whole / 2, whole);
    return core::Duration::Milliseconds(draw(this->random));
  }

  /// Starts over with the first delay, for use after a success.
  void Reset() { this->nominal = this->first; }

 private:
  core::Duration first;
  core::Duration longest;
  core::Duration nominal;
  std::mt19937_64 random;
};

}  // namespace hemlockdoor::store
