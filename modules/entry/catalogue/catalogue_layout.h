// Keys and values that hold the catalogue in the store.
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
/// Key of the SHA-256 hashes of the operators' tokens.
inline constexpr char kCatalogueOperatorsKey[] = "catalogue/operators";
inline constexpr char kCatalogueEntryPrefix[] = "catalogue/entry/";
/// Number of most recent edits that the head lists. After a lost answer, an
/// entry looks its edit up in this list; it can't tell the outcome once more
/// edits than this have followed.
inline constexpr std::size_t kMaxRecentEdits = 64;
/// Size of the largest value that the store accepts.
inline constexpr std::size_t kMaxStoredValueBytes = 1U << 20U;

/// One accepted edit.
struct CatalogueEdit {
  std::string id;
  core::CatalogueRevision revision;
  bool operator==(const CatalogueEdit&) const = default;
};

/// Value of `catalogue/head`. Revision 0 means that no catalogue has been
/// stored yet.
struct CatalogueHead {
  core::CatalogueRevision revision;
  /// The last `kMaxRecentEdits` edits, the newest last.
  std::vector<CatalogueEdit> edits;
  bool operator==(const CatalogueHead&) const = default;

  /// Returns the listed edit with this id, or null.
  const CatalogueEdit* FindEdit(const std::string& id) const;
  /// Whether `edits` lists every edit made after revision `earlier`, so that an
  /// edit based on `earlier` that is not listed has not taken effect.
  bool ListsAllEditsAfter(core::CatalogueRevision earlier) const;
  /// Returns this head with one more edit; drops the oldest edit when more than
  /// `kMaxRecentEdits` would be listed.
  CatalogueHead WithEdit(CatalogueEdit edit) const;
};

/// The keys and values under `catalogue/` at store revision `store_revision`.
struct StoredCatalogue {
  std::map<std::string, std::string> values;
  /// Store revision that last wrote the head; zero when there is no head.
  store::ModRevision head_mod_revision;
  store::ModRevision store_revision;

  static StoredCatalogue FromListing(const store::Listing& listing);
  /// Applies the events that are newer than `store_revision`. Returns false
  /// when there were none.
  bool Apply(const std::vector<store::WatchEvent>& events);
};

std::string EncodeHead(const CatalogueHead& head);
/// Reads the head from the stored values; revision 0 when there is no head,
/// kInternal when it is malformed.
core::Expected<CatalogueHead> DecodeHead(const StoredCatalogue& stored);

/// Returns the keys and values of a catalogue, without the head.
std::map<std::string, std::string> EncodeCatalogue(
    const model::Catalogue& catalogue);
/// Reads the stored catalogue and gives it the revision of `head`; kInternal
/// when a stored value is malformed.
core::Expected<model::Catalogue> DecodeCatalogue(const StoredCatalogue& stored,
                                                 const CatalogueHead& head);

/// Builds the transaction that replaces the stored values by `catalogue` and
/// `head`. It succeeds only if the stored head has not changed since `stored`
/// was read. kTooLarge when a value exceeds `kMaxStoredValueBytes`.
core::Expected<store::Transaction> MakeCatalogueTransaction(
    const StoredCatalogue& stored,
    const model::Catalogue& catalogue,
    const CatalogueHead& head);

}  // namespace hemlockdoor::entry
