// Collects the evacuated data centres from the store keys of the operators.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/evacuation_state.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

/// What the events of a watch meant for the evacuated data centres.
enum class EventsOutcome {
  kUnchanged,
  kChanged,
  /// A change is older than the state, so the state may be wrong and has to be
  /// read again. This happens if the watch began before the state was read.
  kOutdated,
};

/// The evacuated data centres according to the listings and events of a watch.
/// A data centre is evacuated while the key that consists of a prefix and its
/// name exists. Keys without the prefix are ignored. Performs no I/O.
class EvacuationWatch {
 public:
  explicit EvacuationWatch(std::string evacuation_prefix);

  /// Takes a complete listing; data centres whose keys are missing have
  /// returned to service. Ignores a listing that is older than the state.
  /// Returns whether the state was replaced.
  bool OnListing(const store::Listing& listing);
  /// Takes changes, in the order of their store versions.
  EventsOutcome OnEvents(const std::vector<store::WatchEvent>& events);
  /// Returns the state; its revision is 0 before the first listing.
  const EvacuationState& State() const { return this->state; }

 private:
  /// Returns the data centre that a key names, or nullopt for other keys.
  std::optional<core::DataCentreId> NameIn(const std::string& key) const;

  std::string prefix;
  EvacuationState state;
};

}  // namespace hemlockdoor::batch
