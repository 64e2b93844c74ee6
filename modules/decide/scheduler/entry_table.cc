#include "modules/decide/scheduler/entry_table.h"

namespace hemlockdoor::decide {

EntryIndex EntryTable::IndexOf(const core::OrganisationId& owner,
                               const core::JobClass& job_class) {
  const std::string key = owner.Text() + '\n' + job_class.Text();
  const auto [place, inserted] = this->by_key.try_emplace(
      key, static_cast<EntryIndex>(this->entries.size()));
  if (inserted) {
    EntryState entry;
    entry.owner = owner;
    entry.job_class = job_class;
    entry.organisation = this->OrganisationOf(owner);
    this->entries.push_back(entry);
  }
  return place->second;
}

OrganisationIndex EntryTable::OrganisationOf(
    const core::OrganisationId& owner) {
  return this->organisations
      .try_emplace(owner,
                   static_cast<OrganisationIndex>(this->organisations.size()))
      .first->second;
}

}  // namespace hemlockdoor::decide
