// Catalogue entries of the scheduler, with their limits and current use.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// Limits, guarantees and current use of one (organisation, class).
struct EntryState {
  core::OrganisationId owner;
  core::JobClass job_class;
  core::CatalogueEntryName name;
  OrganisationIndex organisation = 0;
  /// True while the applied catalogue has an entry for the pair.
  bool present = false;
  model::ClassLimits limits;
  std::vector<model::Guarantee> guarantees;
  int used_accelerators = 0;
  int used_slots = 0;
  int queued = 0;

  /// True when the applied catalogue has the entry and its current use is
  /// within its caps.
  bool IsWithinCaps() const {
    return this->present &&
           (!this->limits.max_accelerators ||
            this->used_accelerators <= *this->limits.max_accelerators) &&
           (!this->limits.max_slots ||
            this->used_slots <= *this->limits.max_slots);
  }
  /// True when starting a job of a shape keeps the accelerator cap.
  bool FitsAcceleratorCap(const model::GangShape& shape) const {
    return !this->limits.max_accelerators ||
           this->used_accelerators + shape.TotalAccelerators() <=
               *this->limits.max_accelerators;
  }
  /// True when starting a job of a shape keeps the slot cap.
  bool FitsSlotCap(const model::GangShape& shape) const {
    return !this->limits.max_slots ||
           this->used_slots + shape.gang_size <= *this->limits.max_slots;
  }
};

/// Entries by index. The index of an (organisation, class) never changes, also
/// while no entry of the applied catalogue covers the pair.
class EntryTable {
 public:
  /// Returns the index of a pair; adds the pair when it is new.
  EntryIndex IndexOf(const core::OrganisationId& owner,
                     const core::JobClass& job_class);
  /// Returns the index of an organisation; adds it when it is new.
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
