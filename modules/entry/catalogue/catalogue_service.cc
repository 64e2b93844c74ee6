#include "modules/entry/catalogue/catalogue_service.h"

namespace hemlockdoor::entry {

core::Expected<model::Catalogue> ChangedCatalogue(
    const model::Catalogue& base,
    const CatalogueChange& change) {
  model::Catalogue changed = base;
  if (const auto* put = std::get_if<PutCatalogueEntry>(&change)) {
    changed.entries[put->entry.name] = put->entry;
  } else if (const auto* removal = std::get_if<DeleteCatalogueEntry>(&change)) {
    if (changed.entries.erase(removal->name) == 0) {
      return core::MakeError(
          core::ErrorCode::kNotFound,
          "the catalogue has no entry \"" + removal->name.Text() + "\"");
    }
  } else {
    changed = std::get<ReplaceCatalogue>(change).catalogue;
  }
  if (core::Expected<void> checked = model::CheckCatalogue(changed); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  return changed;
}

}  // namespace hemlockdoor::entry
