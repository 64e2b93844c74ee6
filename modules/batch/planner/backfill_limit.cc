#include "modules/batch/planner/lending_limit.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// Growth of the limit, as a share of the fleet a second: a fifth of the fleet
/// in half of a swing of the deployments' demand (15 s and more).
constexpr double kGrowthPerSecond = 0.03;
/// What is left of the accelerators in use after a stop.
constexpr double kCutFactor = 0.8;
/// Stops within this time of each other have one cause and cut once.
constexpr core::Duration kCutPause = core::Duration::Milliseconds(500);

}  // namespace

void LendingLimit::SetUse(std::int64_t new_fleet, std::int64_t now_used) {
  this->fleet = new_fleet;
  this->used = now_used;
}

void LendingLimit::Grow(core::TimePoint now) {
  constexpr double kMsPerSecond = 1000.0;
  const double seconds =
      static_cast<double>((now - this->grown).InMilliseconds()) / kMsPerSecond;
  this->share = std::min(1.0, this->share + kGrowthPerSecond * seconds);
  this->grown = now;
}

void LendingLimit::OnStopped(core::TimePoint now) {
  if (this->fleet == 0 || now < this->cut + kCutPause) {
    return;
  }
  this->Grow(now);
  this->cut = now;
  const double in_use =
      static_cast<double>(this->used) / static_cast<double>(this->fleet);
  this->share = std::min(this->share, kCutFactor * in_use);
}

bool LendingLimit::Allows(std::int64_t accelerators, core::TimePoint now) {
  this->Grow(now);
  return static_cast<double>(this->used + accelerators) <=
         this->share * static_cast<double>(this->fleet);
}

}  // namespace hemlockdoor::batch
