#include "modules/model/catalogue/catalogue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "modules/model/json/json_reader.h"

namespace hemlockdoor::model {

namespace {

constexpr std::int64_t kMaxCap = 10'000'000;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxGuaranteeCount = 100'000;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kSha256HexDigits = 64;
constexpr JsonLimits kCatalogueLimits = {.max_bytes = 8U * 1024U * 1024U,
                                         .max_depth = 16,
                                         .allow_comments = true};

bool IsName(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string ReadName(JsonReader& reader, const std::string& field) {
  const std::string text = reader.RequiredString(field, kMaxNameBytes);
  if (!IsName(text)) {
    reader.Fail(field,
                "expected 1 to 128 letters, digits, '-', '_' or '.', got \"" +
                    text + "\"");
  }
  return text;
}

std::optional<int> ReadCap(JsonReader& reader, const std::string& field) {
  constexpr std::int64_t kAbsent = -1;
  const std::int64_t value =
      reader.OptionalInteger(field, kAbsent, {0, kMaxCap});
  return value == kAbsent ? std::nullopt
                          : std::optional<int>(static_cast<int>(value));
}

core::Expected<ClassLimits> ReadLimits(const nlohmann::json& document,
                                       const std::string& path) {
  JsonReader reader(document, path);
  ClassLimits limits;
  limits.max_accelerators = ReadCap(reader, "max_accelerators");
  limits.max_slots = ReadCap(reader, "max_slots");
  limits.max_queued = ReadCap(reader, "max_queued");
  const std::int64_t max_run_ms =
      reader.OptionalInteger("max_run_ms", 0, {1, INT64_MAX});
  if (max_run_ms > 0) {
    limits.max_run = core::Duration::Milliseconds(max_run_ms);
  }
  limits.priority = static_cast<int>(
      reader.OptionalInteger("priority", 0, {0, kMaxPriority}));
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return limits;
}

core::Expected<Guarantee> ReadGuarantee(const nlohmann::json& document,
                                        const std::string& path) {
  JsonReader reader(document, path);
  Guarantee guarantee;
  guarantee.count = static_cast<int>(
      reader.OptionalInteger("count", 1, {1, kMaxGuaranteeCount}));
  guarantee.shape.gang_size = static_cast<int>(
      reader.OptionalInteger("gang_size", 1, {1, kMaxGangSize}));
  guarantee.shape.accelerators_per_member =
      static_cast<int>(reader.RequiredInteger("accelerators_per_member",
                                              {1, kMaxAcceleratorsPerWorker}));
  const std::string name = reader.OptionalString("adjacency", "any");
  const std::optional<Adjacency> adjacency = AdjacencyFromName(name);
  if (!adjacency) {
    reader.Fail("adjacency",
                "expected any, worker, rack or spread, got \"" + name + "\"");
  }
  guarantee.shape.adjacency = adjacency.value_or(Adjacency::kAny);
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return guarantee;
}

core::Expected<std::vector<std::string>> ReadTokenHashes(
    JsonReader& reader,
    const std::string& field) {
  std::vector<std::string> hashes;
  reader.EachElement(
      field,
      [&hashes](const nlohmann::json& element,
                const std::string& path) -> core::Expected<void> {
        const auto is_hex = [](unsigned char c) {
          return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        };
        const std::string text =
            element.is_string() ? element.get<std::string>() : std::string();
        if (text.size() != kSha256HexDigits ||
            !std::all_of(text.begin(), text.end(), is_hex)) {
          return core::MakeError(
              core::ErrorCode::kInvalidArgument,
              "expected a SHA-256 as 64 lower-case hexadecimal digits", path);
        }
        hashes.push_back(text);
        return {};
      });
  return hashes;
}

nlohmann::json GuaranteeToJson(const Guarantee& guarantee) {
  nlohmann::json document;
  document["count"] = guarantee.count;
  document["gang_size"] = guarantee.shape.gang_size;
  document["accelerators_per_member"] = guarantee.shape.accelerators_per_member;
  document["adjacency"] = AdjacencyName(guarantee.shape.adjacency);
  return document;
}

nlohmann::json LimitsToJson(const ClassLimits& limits) {
  nlohmann::json document = nlohmann::json::object();
  if (limits.max_accelerators) {
    document["max_accelerators"] = *limits.max_accelerators;
  }
  if (limits.max_slots) {
    document["max_slots"] = *limits.max_slots;
  }
  if (limits.max_queued) {
    document["max_queued"] = *limits.max_queued;
  }
  if (limits.max_run) {
    document["max_run_ms"] = limits.max_run->InMilliseconds();
  }
  document["priority"] = limits.priority;
  return document;
}

}  // namespace

const CatalogueEntry* Catalogue::FindFor(
    const core::OrganisationId& organisation,
    const core::JobClass& job_class) const {
  for (const auto& [name, entry] : this->entries) {
    if (entry.owner == organisation && entry.job_class == job_class) {
      return &entry;
    }
  }
  return nullptr;
}

core::Expected<CatalogueEntry> CatalogueEntryFromJson(
    const core::CatalogueEntryName& name,
    const nlohmann::json& document,
    const std::string& path) {
  if (!IsName(name.Text())) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "entry name must be 1 to 128 letters, digits, '-', "
                           "'_' or '.', got \"" +
                               name.Text() + "\"",
                           path);
  }
  JsonReader reader(document, path);
  CatalogueEntry entry;
  entry.name = name;
  entry.owner = core::OrganisationId(ReadName(reader, "owner"));
  entry.job_class = core::JobClass(ReadName(reader, "class"));
  entry.token_sha256 = *ReadTokenHashes(reader, "token_sha256");
  if (const nlohmann::json* limits = reader.Raw("limits")) {
    core::Expected<ClassLimits> read = ReadLimits(*limits, path + ".limits");
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    entry.limits = *read;
  }
  reader.EachElement(
      "guarantees",
      [&entry](const nlohmann::json& element,
               const std::string& element_path) -> core::Expected<void> {
        core::Expected<Guarantee> read = ReadGuarantee(element, element_path);
        if (!read) {
          return tl::unexpected<core::Error>(read.error());
        }
        entry.guarantees.push_back(*read);
        return {};
      });
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return entry;
}

nlohmann::json CatalogueEntryToJson(const CatalogueEntry& entry) {
  nlohmann::json document;
  document["owner"] = entry.owner.Text();
  document["class"] = entry.job_class.Text();
  if (!entry.token_sha256.empty()) {
    document["token_sha256"] = entry.token_sha256;
  }
  document["limits"] = LimitsToJson(entry.limits);
  nlohmann::json guarantees = nlohmann::json::array();
  for (const Guarantee& guarantee : entry.guarantees) {
    guarantees.push_back(GuaranteeToJson(guarantee));
  }
  document["guarantees"] = std::move(guarantees);
  return document;
}

core::Expected<void> CheckCatalogue(const Catalogue& catalogue) {
  std::map<std::pair<core::OrganisationId, core::JobClass>,
           core::CatalogueEntryName>
      covered;
  for (const auto& [name, entry] : catalogue.entries) {
    const auto [place, inserted] =
        covered.try_emplace({entry.owner, entry.job_class}, name);
    if (!inserted) {
      return core::MakeError(core::ErrorCode::kInvalidArgument,
                             "owner \"" + entry.owner.Text() +
                                 "\" and class \"" + entry.job_class.Text() +
                                 "\" already have the entry \"" +
                                 place->second.Text() + "\"",
                             "$.entries." + name.Text());
    }
  }
  return {};
}

core::Expected<Catalogue> CatalogueFromJson(const nlohmann::json& document) {
  JsonReader reader(document, "$");
  Catalogue catalogue;
  reader.EachMember(
      "entries",
      [&catalogue](const std::string& key, const nlohmann::json& value,
                   const std::string& path) -> core::Expected<void> {
        core::Expected<CatalogueEntry> entry =
            CatalogueEntryFromJson(core::CatalogueEntryName(key), value, path);
        if (!entry) {
          return tl::unexpected<core::Error>(entry.error());
        }
        catalogue.entries.emplace(entry->name, *entry);
        return {};
      });
  if (const nlohmann::json* operators = reader.Raw("operators")) {
    JsonReader operator_reader(*operators, "$.operators");
    catalogue.operator_token_sha256 =
        *ReadTokenHashes(operator_reader, "token_sha256");
    if (core::Expected<void> read = operator_reader.Finish(); !read) {
      return tl::unexpected<core::Error>(read.error());
    }
  }
  if (core::Expected<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  if (core::Expected<void> checked = CheckCatalogue(catalogue); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  return catalogue;
}

core::Expected<Catalogue> CatalogueFromText(std::string_view text) {
  const core::Expected<nlohmann::json> document =
      ParseJson(text, kCatalogueLimits);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  return CatalogueFromJson(*document);
}

nlohmann::json CatalogueToJson(const Catalogue& catalogue) {
  nlohmann::json entries = nlohmann::json::object();
  for (const auto& [name, entry] : catalogue.entries) {
    entries[name.Text()] = CatalogueEntryToJson(entry);
  }
  nlohmann::json document;
  document["entries"] = std::move(entries);
  if (!catalogue.operator_token_sha256.empty()) {
    document["operators"]["token_sha256"] = catalogue.operator_token_sha256;
  }
  return document;
}

}  // namespace hemlockdoor::model
