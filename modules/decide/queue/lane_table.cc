#include "modules/decide/queue/lane_table.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Weight of the newest run time; about the last 20 jobs count.
constexpr double kNewestWeight = 0.05;
/// Run time assumed when nothing is declared and nothing was observed.
constexpr core::Duration kUnknownRun = core::Duration::Seconds(1);

}  // namespace

WorkKindIndex LaneTable::KindOf(const WorkKind& kind) {
  const auto [place, inserted] = this->by_kind.try_emplace(
      kind, static_cast<WorkKindIndex>(this->estimates.size()));
  if (inserted) {
    this->estimates.emplace_back();
  }
  return place->second;
}

Lane LaneTable::LaneOf(WorkKindIndex kind, core::Duration declared) const {
  return this->Expected(kind, declared) > this->short_limit ? Lane::kLong
                                                            : Lane::kShort;
}

core::Duration LaneTable::Expected(WorkKindIndex kind,
                                   core::Duration declared) const {
  const Estimate& estimate = this->estimates[kind];
  if (estimate.observations > 0) {
    return core::Duration::Milliseconds(
        static_cast<std::int64_t>(estimate.mean_ms));
  }
  return declared > core::Duration() ? declared : kUnknownRun;
}

void LaneTable::Observe(WorkKindIndex kind, core::Duration run) {
  Estimate& estimate = this->estimates[kind];
  ++estimate.observations;
  const double weight =
      std::max(kNewestWeight, 1.0 / static_cast<double>(estimate.observations));
  estimate.mean_ms +=
      weight * (static_cast<double>(run.InMilliseconds()) - estimate.mean_ms);
}

void LaneTable::ObserveAtLeast(WorkKindIndex kind, core::Duration run) {
  if (this->Expected(kind, core::Duration()) < run) {
    this->Observe(kind, run);
  }
}

}  // namespace hemlockdoor::decide
