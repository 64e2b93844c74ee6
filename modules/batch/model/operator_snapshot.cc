#include "modules/batch/model/operator_snapshot.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "modules/model/model.h"

namespace hemlockdoor::batch {

namespace {

/// Limits on what a peer sends. The store's values have at most 1 MB.
constexpr std::size_t kMaxValueBytes = 2U * 1024U * 1024U;
constexpr std::int64_t kMaxRevision = std::int64_t{1} << 53;

nlohmann::json ToJson(const SnapshotSummary& summary) {
  nlohmann::json versions = nlohmann::json::object();
  for (const auto& [key, revision] : summary.versions) {
    versions[key] = revision.Number();
  }
  return {{"endpoint", summary.endpoint},
          {"revision", summary.revision.Number()},
          {"age_ms", summary.age.InMilliseconds()},
          {"versions", versions}};
}

store::ModRevision ReadRevision(model::JsonReader& reader) {
  return store::ModRevision(static_cast<std::uint64_t>(
      reader.RequiredInteger("revision", {0, kMaxRevision})));
}

SnapshotSummary ReadSummary(model::JsonReader& reader) {
  SnapshotSummary summary;
  summary.endpoint = reader.RequiredString("endpoint");
  summary.revision = ReadRevision(reader);
  summary.age =
      core::Duration::Milliseconds(reader.RequiredInteger("age_ms", {0}));
  reader.EachMember(
      "versions",
      [&summary](const std::string& key, const nlohmann::json& value,
                 const std::string& path) -> core::Expected<void> {
        if (!value.is_number_unsigned()) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected a store version", path);
        }
        summary.versions[key] = store::ModRevision(value.get<std::uint64_t>());
        return {};
      });
  return summary;
}

core::Expected<nlohmann::json> ParseObject(const std::string& text) {
  core::Expected<nlohmann::json> document = model::ParseJson(text);
  if (document && !document->is_object()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected an object", "$");
  }
  return document;
}

}  // namespace

OperatorSnapshot::OperatorSnapshot(const store::Listing& listing)
    : revision(listing.revision) {
  for (const store::KeyValue& item : listing.items) {
    this->items[item.key] = item;
  }
}

OperatorSnapshot::KeyVersions OperatorSnapshot::Versions() const {
  KeyVersions versions;
  for (const auto& [key, item] : this->items) {
    versions[key] = item.mod_revision;
  }
  return versions;
}

store::Listing OperatorSnapshot::ToListing() const {
  store::Listing listing;
  listing.revision = this->revision;
  for (const auto& [key, item] : this->items) {
    listing.items.push_back(item);
  }
  return listing;
}

bool OperatorSnapshot::OnEvent(const store::WatchEvent& event) {
  if (event.mod_revision < this->revision) {
    return false;
  }
  // One transaction may change several keys, at the same version.
  this->revision = event.mod_revision;
  if (!event.value) {
    return this->items.erase(event.key) > 0;
  }
  store::KeyValue& item = this->items[event.key];
  const bool is_new = item.mod_revision != event.mod_revision;
  item = {event.key, *event.value, event.mod_revision};
  return is_new;
}

bool OperatorSnapshot::OnSnapshot(const OperatorSnapshot& other) {
  if (other.revision <= this->revision) {
    return false;
  }
  const bool is_changed = other.Versions() != this->Versions();
  *this = other;
  return is_changed;
}

std::string ToText(const SnapshotRequest& request) {
  nlohmann::json document = ToJson(request.summary);
  document["accepts_content"] = request.accepts_content;
  return model::DumpJson(document);
}

core::Expected<SnapshotRequest> SnapshotRequestFromText(
    const std::string& text) {
  const core::Expected<nlohmann::json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  model::JsonReader reader(*document, "$");
  SnapshotRequest request{ReadSummary(reader)};
  request.accepts_content = reader.OptionalBool("accepts_content", true);
  if (const core::Expected<void> end = reader.FinishLenient(); !end) {
    return tl::unexpected<core::Error>(end.error());
  }
  return request;
}

std::string ToText(const SnapshotAnswer& answer) {
  nlohmann::json document = ToJson(answer.summary);
  if (answer.content) {
    document["items"] = nlohmann::json::array();
    for (const store::KeyValue& item : answer.content->ToListing().items) {
      document["items"].push_back({{"key", item.key},
                                   {"value", item.value},
                                   {"revision", item.mod_revision.Number()}});
    }
  }
  return model::DumpJson(document);
}

core::Expected<SnapshotAnswer> SnapshotAnswerFromText(const std::string& text) {
  const core::Expected<nlohmann::json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  model::JsonReader reader(*document, "$");
  SnapshotAnswer answer{ReadSummary(reader), std::nullopt};
  store::Listing listing;
  listing.revision = answer.summary.revision;
  const bool has_content = reader.Raw("items") != nullptr;
  reader.EachElement(
      "items",
      [&listing](const nlohmann::json& element,
                 const std::string& path) -> core::Expected<void> {
        if (!element.is_object()) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected an object", path);
        }
        model::JsonReader item(element, path);
        store::KeyValue read;
        read.key = item.RequiredString("key");
        read.value = item.RequiredString("value", kMaxValueBytes);
        read.mod_revision = ReadRevision(item);
        listing.items.push_back(std::move(read));
        return item.FinishLenient();
      });
  if (const core::Expected<void> end = reader.FinishLenient(); !end) {
    return tl::unexpected<core::Error>(end.error());
  }
  if (has_content) {
    answer.content.emplace(listing);
  }
  return answer;
}

}  // namespace hemlockdoor::batch
