// Random draws of a soak.
#pragma once

#include <cstdint>
#include <random>

namespace hemlockdoor::soak {

/// Inclusive range of a draw.
struct Range {
  int low;
  int high;
};

/// Draws that follow from a seed.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine(seed) {}
  int Draw(Range range) {
    return range.low +
           static_cast<int>(this->engine() % static_cast<std::uint64_t>(
                                                 range.high - range.low + 1));
  }
  bool Chance(int percent) { return this->Draw({1, 100}) <= percent; }

 private:
  std::mt19937_64 engine;
};

}  // namespace hemlockdoor::soak
