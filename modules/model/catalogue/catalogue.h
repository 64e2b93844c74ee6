// The catalogue: what each organisation may claim and what it is guaranteed.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/job/job.h"

namespace hemlockdoor::model {

/// `count` gangs of `shape` that an organisation can always have.
struct Guarantee {
  int count = 1;
  GangShape shape;
  bool operator==(const Guarantee&) const = default;
};

/// Hard caps and weights of one catalogue entry. An absent cap is no cap.
struct ClassLimits {
  std::optional<int> max_accelerators;
  std::optional<int> max_slots;
  std::optional<int> max_queued;
  std::optional<core::Duration> max_run;
  /// Higher goes first among equals; 0 to 1000.
  int priority = 0;
  bool operator==(const ClassLimits&) const = default;
};

/// One entry: an owner, a class of work, limits and guaranteed shapes.
struct CatalogueEntry {
  core::CatalogueEntryName name;
  core::OrganisationId owner;
  core::JobClass job_class;
  /// SHA-256 of the owner's bearer tokens, as 64 hexadecimal digits.
  std::vector<std::string> token_sha256;
  ClassLimits limits;
  std::vector<Guarantee> guarantees;
  bool operator==(const CatalogueEntry&) const = default;
};

/// A whole catalogue at one revision.
struct Catalogue {
  core::CatalogueRevision revision;
  std::map<core::CatalogueEntryName, CatalogueEntry> entries;
  /// SHA-256 of the operators' bearer tokens, as 64 hexadecimal digits.
  std::vector<std::string> operator_token_sha256;

  /// The entry that covers an organisation's class of work, or null.
  const CatalogueEntry* FindFor(const core::OrganisationId& organisation,
                                const core::JobClass& job_class) const;
};

/// Reads and checks one entry; the error names path and value.
core::Expected<CatalogueEntry> CatalogueEntryFromJson(
    const core::CatalogueEntryName& name,
    const nlohmann::json& document,
    const std::string& path);
/// Writes one entry, without its name.
nlohmann::json CatalogueEntryToJson(const CatalogueEntry& entry);

/// Reads and checks a whole catalogue document (comments allowed): each entry,
/// and that no two entries cover the same owner and class.
core::Expected<Catalogue> CatalogueFromText(std::string_view text);
/// Reads and checks a parsed catalogue document.
core::Expected<Catalogue> CatalogueFromJson(const nlohmann::json& document);
/// Writes a whole catalogue, without its revision.
nlohmann::json CatalogueToJson(const Catalogue& catalogue);
/// Checks what concerns several entries at once.
core::Expected<void> CheckCatalogue(const Catalogue& catalogue);

}  // namespace hemlockdoor::model
