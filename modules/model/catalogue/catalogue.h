// The catalogue: the limits and the guaranteed capacity of each organisation
// and class of jobs.
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

/// Capacity that an organisation is entitled to at any time: `count` gangs of
/// `shape`.
struct Guarantee {
  int count = 1;
  GangShape shape;
  bool operator==(const Guarantee&) const = default;
};

/// Hard limits and the priority of one catalogue entry. An absent limit means
/// unlimited.
struct ClassLimits {
  std::optional<int> max_accelerators;
  std::optional<int> max_slots;
  std::optional<int> max_queued;
  std::optional<core::Duration> max_run;
  /// From 0 to 1000; the higher priority goes first among jobs that are equal
  /// otherwise.
  int priority = 0;
  bool operator==(const ClassLimits&) const = default;
};

/// One catalogue entry: an owner, a class of jobs, and the limits and
/// guarantees of that owner in that class.
struct CatalogueEntry {
  core::CatalogueEntryName name;
  core::OrganisationId owner;
  core::JobClass job_class;
  /// SHA-256 of each bearer token of the owner, as 64 lower-case hexadecimal
  /// digits.
  std::vector<std::string> token_sha256;
  ClassLimits limits;
  std::vector<Guarantee> guarantees;
  bool operator==(const CatalogueEntry&) const = default;
};

/// The whole catalogue at one revision.
struct Catalogue {
  core::CatalogueRevision revision;
  std::map<core::CatalogueEntryName, CatalogueEntry> entries;
  /// SHA-256 of each bearer token of the operators, as 64 lower-case
  /// hexadecimal digits.
  std::vector<std::string> operator_token_sha256;

  /// Returns the entry for this owner and class of jobs; null when the
  /// catalogue has none. The pointer is valid while `entries` is not changed.
  const CatalogueEntry* FindFor(const core::OrganisationId& organisation,
                                const core::JobClass& job_class) const;
};

/// Reads and checks one entry. An error is kInvalidArgument and gives the JSON
/// path; `path` is the place of `document` in the whole document.
core::Expected<CatalogueEntry> CatalogueEntryFromJson(
    const core::CatalogueEntryName& name,
    const nlohmann::json& document,
    const std::string& path);
/// Converts one entry to JSON. The name is left out, since it is the key of the
/// entry in the catalogue document.
nlohmann::json CatalogueEntryToJson(const CatalogueEntry& entry);

/// Parses and checks a whole catalogue document, which may contain comments.
/// Returns kTooLarge for more than 8 MiB, and kInvalidArgument for invalid
/// JSON, more than 16 levels of nesting, an invalid entry, or two entries with
/// the same owner and class.
core::Expected<Catalogue> CatalogueFromText(std::string_view text);
/// Reads and checks a parsed catalogue document: each entry, then the catalogue
/// as a whole with `CheckCatalogue`.
core::Expected<Catalogue> CatalogueFromJson(const nlohmann::json& document);
/// Converts a whole catalogue to JSON, without its revision.
nlohmann::json CatalogueToJson(const Catalogue& catalogue);
/// Returns kInvalidArgument when two entries have the same owner and class.
core::Expected<void> CheckCatalogue(const Catalogue& catalogue);

}  // namespace hemlockdoor::model
