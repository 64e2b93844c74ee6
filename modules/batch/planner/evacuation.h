// Evacuated data centres in the planner: changes, and when they are empty.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "modules/batch/model/evacuation_state.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// A data centre that was evacuated or returned to service.
struct EvacuationChange {
  core::DataCentreId data_centre;
  bool is_evacuated = false;
  /// For a data centre that returned to service, how long it was evacuated as
  /// far as this planner knows; zero otherwise.
  core::Duration age;
};

/// Work that is still in one evacuated data centre.
struct EvacuationLoad {
  /// Units with at least one run there.
  int units = 0;
  /// Expected time until the last of them ends, without long-running ones.
  core::Duration remaining;
};

/// An evacuated data centre without runs.
struct EmptiedDataCentre {
  core::DataCentreId data_centre;
  /// Time from its evacuation, as far as this planner knows it.
  core::Duration took;
};

/// Tracks the evacuated data centres and those that have returned to service.
/// Performs no I/O and reads no clock.
class Evacuations {
 public:
  /// Takes a state, unless a state of a later store version is known. Returns
  /// what has changed.
  std::vector<EvacuationChange> Apply(const EvacuationState& read,
                                      core::TimePoint now);
  const EvacuationState& State() const { return this->state; }
  bool IsEvacuated(const core::DataCentreId& data_centre) const {
    return this->state.data_centres.contains(data_centre);
  }
  /// Returns whether the data centre returned to service a short time ago, so
  /// that its workers may still be cold.
  bool HasReturned(const core::DataCentreId& data_centre,
                   core::TimePoint now) const;
  /// Takes the work that is in each evacuated data centre now. Returns those
  /// that have become empty; each is returned once for each evacuation.
  std::vector<EmptiedDataCentre> OnCounted(
      std::map<core::DataCentreId, EvacuationLoad> counted,
      core::TimePoint now);
  /// Returns the work in all evacuated data centres together, as last counted.
  EvacuationLoad Load() const;

 private:
  EvacuationState state;
  /// When this planner learned of each evacuation.
  std::map<core::DataCentreId, core::TimePoint> since;
  /// When data centres returned to service.
  std::map<core::DataCentreId, core::TimePoint> returned;
  /// Evacuated data centres that were found empty.
  std::set<core::DataCentreId> emptied;
  std::map<core::DataCentreId, EvacuationLoad> loads;
};

}  // namespace hemlockdoor::batch
