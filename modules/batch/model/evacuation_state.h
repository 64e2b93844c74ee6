// Data centres that the operators have evacuated.
#pragma once

#include <set>

#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

/// The evacuated data centres, where no task may be started, as of one version
/// of the store. A state of a later version replaces an earlier one, also if it
/// has fewer data centres.
struct EvacuationState {
  std::set<core::DataCentreId> data_centres;
  /// Store version at which the state was read; 0 if it was never read.
  store::ModRevision revision;

  bool operator==(const EvacuationState&) const = default;
};

}  // namespace hemlockdoor::batch
