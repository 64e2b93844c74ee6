// Catalogue entries in force, with the use of their limits.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// One (organisation, class) with its limits and their use.
struct EntryState {
  core::OrganisationId owner;
  core::JobClass job_class;
  core::CatalogueEntryName name;
  OrganisationIndex organisation = 0;
  /// The catalogue in force has an entry for it.
  bool present = false;
  model::ClassLimits limits;
  std::vector<model::Guarantee> guarantees;
  int used_accelerators = 0;
  int used_slots = 0;
  int queued = 0;

  /// True when the entry is in force and its use is within its caps.
  bool IsWithinCaps() const {
    return this->present &&
           (!this->limits.max_accelerators ||
            this->used_accelerators <= *this->limits.max_accelerators) &&
           (!this->limits.max_slots ||
            this->used_slots <= *this->limits.max_slots);
  }
  /// True when a job of a shape keeps the caps.
  bool FitsAcceleratorCap(const model::GangShape& shape) const {
    return !this->limits.max_accelerators ||
           this->used_accelerators + shape.TotalAccelerators() <=
               *this->limits.max_accelerators;
  }
  bool FitsSlotCap(const model::GangShape& shape) const {
    return !this->limits.max_slots ||
           this->used_slots + shape.gang_size <= *this->limits.max_slots;
  }
};

/// Entries by number. Numbers stay the same for an (organisation, class), also
/// while no entry of the catalogue covers it.
class EntryTable {
 public:
  EntryIndex IndexOf(const core::OrganisationId& owner,
                     const core::JobClass& job_class);
  OrganisationIndex OrganisationOf(const core::OrganisationId& owner);
  EntryState& At(EntryIndex entry) { return this->entries[entry]; }
  const EntryState& At(EntryIndex entry) const { return this->entries[entry]; }
  std::size_t Count() const { return this->entries.size(); }

 private:
  std::vector<EntryState> entries;
  std::unordered_map<std::string, EntryIndex> by_key;
  std::unordered_map<core::OrganisationId, OrganisationIndex> organisations;
};

}  // namespace hemlockdoor::decide
