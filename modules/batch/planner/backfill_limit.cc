#include "modules/batch/planner/backfill_limit.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

/// Growth of the limit per second, as a share of the fleet. Demand on the
/// deployments swings with a period of 15 s or more; in half of such a period
/// the limit grows by about a fifth of the fleet.
constexpr double kGrowthPerSecond = 0.03;
/// After a preemption the limit is this share of the accelerators in use.
constexpr double kCutFactor = 0.8;
/// Preemptions within this time after a decrease have the same cause and do not
/// lower the limit again.
constexpr core::Duration kMinCutInterval = core::Duration::Milliseconds(500);

}  // namespace

void BackfillLimit::SetUsage(std::int64_t new_fleet, std::int64_t now_used) {
  this->fleet = new_fleet;
  this->used = now_used;
}

void BackfillLimit::Grow(core::TimePoint now) {
  constexpr double kMsPerSecond = 1000.0;
  const double seconds =
      static_cast<double>((now - this->last_growth).InMilliseconds()) /
      kMsPerSecond;
  this->share = std::min(1.0, this->share + kGrowthPerSecond * seconds);
  this->last_growth = now;
}

void BackfillLimit::OnPreempted(core::TimePoint now) {
  if (this->fleet == 0 || now < this->last_cut + kMinCutInterval) {
    return;
  }
  this->Grow(now);
  this->last_cut = now;
  const double in_use =
      static_cast<double>(this->used) / static_cast<double>(this->fleet);
  this->share = std::min(this->share, kCutFactor * in_use);
}

bool BackfillLimit::Allows(std::int64_t accelerators, core::TimePoint now) {
  this->Grow(now);
  return static_cast<double>(this->used + accelerators) <=
         this->share * static_cast<double>(this->fleet);
}

}  // namespace hemlockdoor::batch
