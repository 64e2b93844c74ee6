#include "modules/entry/catalogue/catalogue_layout.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::entry {

namespace {

using core::ErrorCode;

core::Expected<CatalogueEdit> ReadEdit(const nlohmann::json& element,
                                       const std::string& path) {
  model::JsonReader reader(element, path);
  CatalogueEdit edit;
  edit.id = reader.RequiredString("id");
  edit.revision = core::CatalogueRevision(reader.RequiredCounter("revision"));
  if (core::Expected<void> read = reader.FinishLenient(); !read) {
    return tl::unexpected<core::Error>(read.error());
  }
  return edit;
}

}  // namespace

const CatalogueEdit* CatalogueHead::FindEdit(const std::string& id) const {
  const auto found =
      std::find_if(this->edits.begin(), this->edits.end(),
                   [&id](const CatalogueEdit& edit) { return edit.id == id; });
  return found == this->edits.end() ? nullptr : &*found;
}

bool CatalogueHead::ListsAllEditsAfter(core::CatalogueRevision earlier) const {
  const bool list_is_complete = this->edits.size() < kMaxRecentEdits;
  return list_is_complete || this->edits.front().revision <= earlier.Next();
}

CatalogueHead CatalogueHead::WithEdit(CatalogueEdit edit) const {
  CatalogueHead next = *this;
  next.revision = edit.revision;
  next.edits.push_back(std::move(edit));
  if (next.edits.size() > kMaxRecentEdits) {
    next.edits.erase(next.edits.begin());
  }
  return next;
}

StoredCatalogue StoredCatalogue::FromListing(const store::Listing& listing) {
  StoredCatalogue stored;
  stored.store_revision = listing.revision;
  for (const store::KeyValue& item : listing.items) {
    stored.values[item.key] = item.value;
    if (item.key == kCatalogueHeadKey) {
      stored.head_mod_revision = item.mod_revision;
    }
  }
  return stored;
}

bool StoredCatalogue::Apply(const std::vector<store::WatchEvent>& events) {
  const store::ModRevision known = this->store_revision;
  bool changed = false;
  for (const store::WatchEvent& event : events) {
    if (event.mod_revision <= known) {
      continue;
    }
    changed = true;
    this->store_revision = std::max(this->store_revision, event.mod_revision);
    if (event.value) {
      this->values[event.key] = *event.value;
    } else {
      this->values.erase(event.key);
    }
    if (event.key == kCatalogueHeadKey) {
      this->head_mod_revision =
          event.value ? event.mod_revision : store::ModRevision();
    }
  }
  return changed;
}

std::string EncodeHead(const CatalogueHead& head) {
  nlohmann::json edits = nlohmann::json::array();
  for (const CatalogueEdit& edit : head.edits) {
    edits.push_back({{"id", edit.id},
                     {"revision", std::to_string(edit.revision.Number())}});
  }
  const nlohmann::json document = {
      {"revision", std::to_string(head.revision.Number())},
      {"edits", std::move(edits)}};
  return model::DumpJson(document);
}

core::Expected<CatalogueHead> DecodeHead(const StoredCatalogue& stored) {
  const auto found = stored.values.find(kCatalogueHeadKey);
  CatalogueHead head;
  if (found == stored.values.end()) {
    return head;
  }
  const core::Expected<nlohmann::json> document =
      model::ParseJson(found->second);
  if (!document) {
    return core::MakeError(ErrorCode::kInternal, document.error().message,
                           kCatalogueHeadKey);
  }
  model::JsonReader reader(*document, kCatalogueHeadKey);
  head.revision = core::CatalogueRevision(reader.RequiredCounter("revision"));
  reader.EachElement("edits",
                     [&head](const nlohmann::json& element,
                             const std::string& path) -> core::Expected<void> {
                       core::Expected<CatalogueEdit> edit =
                           ReadEdit(element, path);
                       if (!edit) {
                         return tl::unexpected<core::Error>(edit.error());
                       }
                       head.edits.push_back(std::move(*edit));
                       return {};
                     });
  if (core::Expected<void> read = reader.FinishLenient(); !read) {
    return core::MakeError(ErrorCode::kInternal, read.error().message,
                           read.error().path);
  }
  return head;
}

std::map<std::string, std::string> EncodeCatalogue(
    const model::Catalogue& catalogue) {
  std::map<std::string, std::string> values;
  for (const auto& [name, entry] : catalogue.entries) {
    values[kCatalogueEntryPrefix + name.Text()] =
        model::DumpJson(model::CatalogueEntryToJson(entry));
  }
  if (!catalogue.operator_token_sha256.empty()) {
    values[kCatalogueOperatorsKey] =
        model::DumpJson({{"token_sha256", catalogue.operator_token_sha256}});
  }
  return values;
}

core::Expected<model::Catalogue> DecodeCatalogue(const StoredCatalogue& stored,
                                                 const CatalogueHead& head) {
  constexpr std::size_t kPrefixBytes = sizeof(kCatalogueEntryPrefix) - 1;
  nlohmann::json document = {{"entries", nlohmann::json::object()}};
  for (const auto& [key, value] : stored.values) {
    const bool is_entry = key.starts_with(kCatalogueEntryPrefix);
    if (!is_entry && key != kCatalogueOperatorsKey) {
      continue;
    }
    core::Expected<nlohmann::json> part = model::ParseJson(value);
    if (!part) {
      return core::MakeError(ErrorCode::kInternal, part.error().message, key);
    }
    nlohmann::json& place = is_entry
                                ? document["entries"][key.substr(kPrefixBytes)]
                                : document["operators"];
    place = std::move(*part);
  }
  core::Expected<model::Catalogue> catalogue =
      model::CatalogueFromJson(document);
  if (!catalogue) {
    return core::MakeError(ErrorCode::kInternal, catalogue.error().message,
                           catalogue.error().path);
  }
  catalogue->revision = head.revision;
  return catalogue;
}

core::Expected<store::Transaction> MakeCatalogueTransaction(
    const StoredCatalogue& stored,
    const model::Catalogue& catalogue,
    const CatalogueHead& head) {
  std::map<std::string, std::string> wanted = EncodeCatalogue(catalogue);
  store::Transaction transaction;
  transaction.compares.push_back({kCatalogueHeadKey, stored.head_mod_revision});
  transaction.writes.push_back(
      {kCatalogueHeadKey, EncodeHead(head), std::nullopt});
  for (const auto& [key, value] : stored.values) {
    if (key != kCatalogueHeadKey && !wanted.contains(key)) {
      transaction.writes.push_back({key, std::nullopt, std::nullopt});
    }
  }
  for (auto& [key, value] : wanted) {
    const auto found = stored.values.find(key);
    if (value.size() > kMaxStoredValueBytes) {
      return core::MakeError(ErrorCode::kTooLarge,
                             "value has " + std::to_string(value.size()) +
                                 " bytes; the store accepts at most " +
                                 std::to_string(kMaxStoredValueBytes),
                             key);
    }
    if (found == stored.values.end() || found->second != value) {
      transaction.writes.push_back({key, std::move(value), std::nullopt});
    }
  }
  return transaction;
}

}  // namespace hemlockdoor::entry
