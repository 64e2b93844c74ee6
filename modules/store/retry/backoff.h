// Exponential delay with jitter between attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "modules/core/core.h"

namespace hemlockdoor::store {

/// Delays that double from `first` up to `longest`. Each is drawn between half
/// and the whole of the nominal delay, so that processes that failed together
/// do not retry together.
class Backoff {
 public:
  Backoff(core::Duration first_delay,
          core::Duration longest_delay,
          std::uint64_t seed)
      : first(first_delay),
        longest(longest_delay),
        nominal(first_delay),
        random(seed) {}

  /// The delay before the next attempt.
  core::Duration Next() {
    const std::int64_t whole = this->nominal.InMilliseconds();
    this->nominal = std::min(this->nominal * 2, this->longest);
    std::uniform_int_distribution<std::int64_t> draw(whole / 2, whole);
    return core::Duration::Milliseconds(draw(this->random));
  }

  /// Starts again with the first delay.
  void Reset() { this->nominal = this->first; }

 private:
  core::Duration first;
  core::Duration longest;
  core::Duration nominal;
  std::mt19937_64 random;
};

}  // namespace hemlockdoor::store
