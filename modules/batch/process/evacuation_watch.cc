#include "modules/batch/process/evacuation_watch.h"

#include <utility>

namespace hemlockdoor::batch {

EvacuationWatch::EvacuationWatch(std::string evacuation_prefix)
    : prefix(std::move(evacuation_prefix)) {}

bool EvacuationWatch::OnListing(const store::Listing& listing) {
  if (listing.revision < this->state.revision) {
    return false;
  }
  EvacuationState read;
  read.revision = listing.revision;
  for (const store::KeyValue& item : listing.items) {
    if (const auto name = this->NameIn(item.key)) {
      read.data_centres.insert(*name);
    }
  }
  this->state = std::move(read);
  return true;
}

EventsOutcome EvacuationWatch::OnEvents(
    const std::vector<store::WatchEvent>& events) {
  EventsOutcome outcome = EventsOutcome::kUnchanged;
  for (const store::WatchEvent& event : events) {
    const auto name = this->NameIn(event.key);
    if (!name) {
      continue;
    }
    if (event.mod_revision < this->state.revision) {
      return EventsOutcome::kOutdated;
    }
    if (event.value) {
      this->state.data_centres.insert(*name);
    } else {
      this->state.data_centres.erase(*name);
    }
    this->state.revision = event.mod_revision;
    outcome = EventsOutcome::kChanged;
  }
  return outcome;
}

std::optional<core::DataCentreId> EvacuationWatch::NameIn(
    const std::string& key) const {
  if (!key.starts_with(this->prefix) || key.size() == this->prefix.size()) {
    return std::nullopt;
  }
  return core::DataCentreId(key.substr(this->prefix.size()));
}

}  // namespace hemlockdoor::batch
