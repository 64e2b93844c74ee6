#include "modules/decide/queue/run_time_estimator.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Weight of the newest run time in the moving average, which covers about the
/// last 20 jobs.
constexpr double kNewestWeight = 0.05;
/// Run time expected when none is declared and none was observed.
constexpr core::Duration kUnknownRun = core::Duration::Seconds(1);

}  // namespace

RunTimeGroupIndex RunTimeEstimator::GroupOf(const RunTimeGroup& group) {
  const auto [place, inserted] = this->by_group.try_emplace(
      group, static_cast<RunTimeGroupIndex>(this->estimates.size()));
  if (inserted) {
    this->estimates.emplace_back();
  }
  return place->second;
}

Lane RunTimeEstimator::LaneOf(RunTimeGroupIndex group,
                              core::Duration declared) const {
  return this->ExpectedRunTime(group, declared) > this->short_limit
             ? Lane::kLong
             : Lane::kShort;
}

core::Duration RunTimeEstimator::ExpectedRunTime(
    RunTimeGroupIndex group,
    core::Duration declared) const {
  const Estimate& estimate = this->estimates[group];
  if (estimate.observations > 0) {
    return core::Duration::Milliseconds(
        static_cast<std::int64_t>(estimate.mean_ms));
  }
  return declared > core::Duration() ? declared : kUnknownRun;
}

void RunTimeEstimator::ObserveRun(RunTimeGroupIndex group, core::Duration run) {
  Estimate& estimate = this->estimates[group];
  ++estimate.observations;
  const double weight =
      std::max(kNewestWeight, 1.0 / static_cast<double>(estimate.observations));
  estimate.mean_ms +=
      weight * (static_cast<double>(run.InMilliseconds()) - estimate.mean_ms);
}

void RunTimeEstimator::ObserveOngoingRun(RunTimeGroupIndex group,
                                         core::Duration run) {
  if (this->ExpectedRunTime(group, core::Duration()) < run) {
    this->ObserveRun(group, run);
  }
}

}  // namespace hemlockdoor::decide
