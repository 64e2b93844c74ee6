// How the catalogue is laid out in the store.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"
#include "modules/store/port/key_value_store.h"

namespace hemlockdoor::entry {

inline constexpr char kCataloguePrefix[] = "catalogue/";
inline constexpr char kCatalogueHeadKey[] = "catalogue/head";
/// Hashes of the operators' tokens.
inline constexpr char kCatalogueOperatorsKey[] = "catalogue/operators";
inline constexpr char kCatalogueEntryPrefix[] = "catalogue/entry/";
/// Edits that the head names. A lost answer is resolved as long as no more
/// edits than this were made since.
inline constexpr std::size_t kMaxRecentEdits = 64;
/// Largest value that the platform's store accepts.
inline constexpr std::size_t kMaxStoredValueBytes = 1U << 20U;

/// One accepted edit.
struct CatalogueEdit {
  std::string id;
  core::CatalogueRevision revision;
  bool operator==(const CatalogueEdit&) const = default;
};

/// Value of `catalogue/head`. Revision 0: no catalogue has been stored yet.
struct CatalogueHead {
  core::CatalogueRevision revision;
  /// Newest last.
  std::vector<CatalogueEdit> edits;
  bool operator==(const CatalogueHead&) const = default;

  /// The edit with this id, or null.
  const CatalogueEdit* FindEdit(const std::string& id) const;
  /// Whether every edit after `revision` is still named.
  bool ListsAllEditsAfter(core::CatalogueRevision earlier) const;
  /// The head after one more edit.
  CatalogueHead WithEdit(CatalogueEdit edit) const;
};

/// The stored keys and values under the prefix, as of one store version.
struct StoredCatalogue {
  std::map<std::string, std::string> values;
  store::ModRevision head_mod_revision;
  store::ModRevision store_revision;

  static StoredCatalogue FromListing(const store::Listing& listing);
  /// Takes over changes that are newer; false when there were none.
  bool Apply(const std::vector<store::WatchEvent>& events);
};

std::string EncodeHead(const CatalogueHead& head);
/// Head of the stored values; revision 0 when there is none.
core::Expected<CatalogueHead> DecodeHead(const StoredCatalogue& stored);

/// All values of a catalogue but its head.
std::map<std::string, std::string> EncodeCatalogue(
    const model::Catalogue& catalogue);
/// The stored catalogue at the revision of its head.
core::Expected<model::Catalogue> DecodeCatalogue(const StoredCatalogue& stored,
                                                 const CatalogueHead& head);

/// The transaction that brings the stored values to `catalogue` and `head`,
/// provided that the head has not changed. kTooLarge when a value exceeds what
/// the store accepts.
core::Expected<store::Transaction> MakeCatalogueTransaction(
    const StoredCatalogue& stored,
    const model::Catalogue& catalogue,
    const CatalogueHead& head);

}  // namespace hemlockdoor::entry
