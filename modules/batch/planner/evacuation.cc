#include "modules/batch/planner/evacuation.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::batch {

namespace {

/// Time after the return of a data centre to service for which the warm-up of
/// its workers is taken into account. Workers state how much of it is left, so
/// this only has to be longer than any warm-up.
constexpr core::Duration kReturnPeriod = core::Duration::Seconds(60);

}  // namespace

std::vector<EvacuationChange> Evacuations::Apply(const EvacuationState& read,
                                                 core::TimePoint now) {
  std::vector<EvacuationChange> changes;
  if (read.revision < this->state.revision) {
    return changes;
  }
  for (const core::DataCentreId& data_centre : read.data_centres) {
    if (!this->IsEvacuated(data_centre)) {
      changes.push_back({data_centre, true, core::Duration()});
      this->since[data_centre] = now;
      this->returned.erase(data_centre);
    }
  }
  for (const core::DataCentreId& data_centre : this->state.data_centres) {
    if (!read.data_centres.contains(data_centre)) {
      changes.push_back(
          {data_centre, false, now - this->since.at(data_centre)});
      this->since.erase(data_centre);
      this->emptied.erase(data_centre);
      this->loads.erase(data_centre);
      this->returned[data_centre] = now;
    }
  }
  this->state = read;
  return changes;
}

bool Evacuations::HasReturned(const core::DataCentreId& data_centre,
                              core::TimePoint now) const {
  const auto found = this->returned.find(data_centre);
  return found != this->returned.end() && now < found->second + kReturnPeriod;
}

std::vector<EmptiedDataCentre> Evacuations::OnCounted(
    std::map<core::DataCentreId, EvacuationLoad> counted,
    core::TimePoint now) {
  this->loads = std::move(counted);
  std::vector<EmptiedDataCentre> empty;
  for (const core::DataCentreId& data_centre : this->state.data_centres) {
    const auto load = this->loads.find(data_centre);
    const bool is_empty = load == this->loads.end() || load->second.units == 0;
    if (is_empty && this->emptied.insert(data_centre).second) {
      empty.push_back({data_centre, now - this->since.at(data_centre)});
    }
  }
  return empty;
}

EvacuationLoad Evacuations::Load() const {
  EvacuationLoad total;
  for (const auto& [data_centre, load] : this->loads) {
    total.units += load.units;
    total.remaining = std::max(total.remaining, load.remaining);
  }
  return total;
}

}  // namespace hemlockdoor::batch
