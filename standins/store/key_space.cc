#include "standins/store/key_space.h"

#include <QByteArray>
#include <stdexcept>
#include <utility>

namespace hemlockdoor::standin {

namespace {

std::string ToBase64(const std::string& text) {
  return QByteArray::fromStdString(text).toBase64().toStdString();
}

std::string KeyOf(const nlohmann::json& request) {
  return FromBase64(request.at("key"));
}

std::string RangeEndOf(const nlohmann::json& request) {
  return request.contains("range_end") ? FromBase64(request.at("range_end"))
                                       : std::string();
}

}  // namespace

std::string FromBase64(const nlohmann::json& text) {
  const auto decoded = QByteArray::fromBase64Encoding(
      QByteArray::fromStdString(text.get<std::string>()),
      QByteArray::AbortOnBase64DecodingErrors);
  if (!decoded) {
    throw std::invalid_argument("invalid base64");
  }
  return (*decoded).toStdString();
}

std::int64_t NumberOf(const nlohmann::json& object, const char* name) {
  if (!object.contains(name)) {
    return 0;
  }
  const nlohmann::json& field = object.at(name);
  return field.is_string() ? std::stoll(field.get<std::string>())
                           : field.get<std::int64_t>();
}

bool InRange(const std::string& key,
             const std::string& first,
             const std::string& end) {
  const bool unbounded = end == std::string(1, '\0');
  if (end.empty()) {
    return key == first;
  }
  return key >= first && (unbounded || key < end);
}

nlohmann::json KeyToJson(const std::string& key, const StoredKey& stored) {
  nlohmann::json item;
  item["key"] = ToBase64(key);
  item["mod_revision"] = std::to_string(stored.mod_revision);
  if (stored.version > 0) {
    item["value"] = ToBase64(stored.value);
    item["create_revision"] = std::to_string(stored.create_revision);
    item["version"] = std::to_string(stored.version);
  }
  if (stored.lease != 0) {
    item["lease"] = std::to_string(stored.lease);
  }
  return item;
}

nlohmann::json KeySpace::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(this->revision)},
          {"raft_term", "2"}};
}

nlohmann::json KeySpace::Range(const nlohmann::json& request) const {
  const std::string first = KeyOf(request);
  const std::string end = RangeEndOf(request);
  nlohmann::json answer = {{"header", this->Header()}};
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, stored] : this->keys) {
    if (InRange(key, first, end)) {
      items.push_back(KeyToJson(key, stored));
    }
  }
  if (!items.empty()) {
    answer["count"] = std::to_string(items.size());
    answer["kvs"] = std::move(items);
  }
  return answer;
}

bool KeySpace::CompareHolds(const nlohmann::json& compare) const {
  if (compare.at("target") != "MOD" || compare.at("result") != "EQUAL") {
    throw std::invalid_argument("only MOD EQUAL is known");
  }
  const auto found = this->keys.find(KeyOf(compare));
  const std::int64_t current =
      found == this->keys.end() ? 0 : found->second.mod_revision;
  return current == NumberOf(compare, "mod_revision");
}

nlohmann::json KeySpace::Transact(const nlohmann::json& request) {
  bool holds = true;
  for (const nlohmann::json& compare : request.at("compare")) {
    holds = this->CompareHolds(compare) && holds;
  }
  const nlohmann::json& operations = request.at("success");
  if (holds && !operations.empty()) {
    for (const nlohmann::json& operation : operations) {
      const std::int64_t lease =
          operation.contains("request_put")
              ? NumberOf(operation.at("request_put"), "lease")
              : 0;
      if (lease != 0 && !this->leases.contains(lease)) {
        throw std::out_of_range("etcdserver: requested lease not found");
      }
    }
    ++this->revision;
    for (const nlohmann::json& operation : operations) {
      if (operation.contains("request_put")) {
        this->Put(operation.at("request_put"));
      } else {
        this->DeleteRange(operation.at("request_delete_range"));
      }
    }
  }
  nlohmann::json answer = {{"header", this->Header()}};
  if (holds) {
    answer["succeeded"] = true;
  }
  return answer;
}

void KeySpace::Put(const nlohmann::json& request) {
  const std::string key = KeyOf(request);
  StoredKey& stored = this->keys[key];
  if (stored.version == 0) {
    stored.create_revision = this->revision;
  }
  stored.value = FromBase64(request.at("value"));
  stored.mod_revision = this->revision;
  ++stored.version;
  stored.lease = NumberOf(request, "lease");
  this->history.push_back({key, false, stored});
}

void KeySpace::DeleteRange(const nlohmann::json& request) {
  const std::string first = KeyOf(request);
  const std::string end = RangeEndOf(request);
  std::vector<std::string> matching;
  for (const auto& [key, stored] : this->keys) {
    if (InRange(key, first, end)) {
      matching.push_back(key);
    }
  }
  for (const std::string& key : matching) {
    this->Erase(key);
  }
}

void KeySpace::Erase(const std::string& key) {
  this->keys.erase(key);
  StoredKey tombstone;
  tombstone.mod_revision = this->revision;
  this->history.push_back({key, true, tombstone});
}

nlohmann::json KeySpace::GrantLease(const nlohmann::json& request,
                                    std::int64_t now_ms) {
  const std::int64_t ttl = NumberOf(request, "TTL");
  if (ttl < 1) {
    throw std::invalid_argument("TTL out of range");
  }
  const std::int64_t id = ++this->last_lease;
  this->leases[id] = {ttl, now_ms + ttl * 1000};
  return {{"header", this->Header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl)}};
}

nlohmann::json KeySpace::KeepAlive(const nlohmann::json& request,
                                   std::int64_t now_ms) {
  const std::int64_t id = NumberOf(request, "ID");
  nlohmann::json result = {{"header", this->Header()},
                           {"ID", std::to_string(id)}};
  const auto found = this->leases.find(id);
  if (found != this->leases.end()) {
    found->second.deadline_ms = now_ms + found->second.ttl_seconds * 1000;
    result["TTL"] = std::to_string(found->second.ttl_seconds);
  }
  return {{"result", std::move(result)}};
}

void KeySpace::EndLeases(std::int64_t now_ms, bool all) {
  std::vector<std::string> lapsed_keys;
  for (const auto& [key, stored] : this->keys) {
    const auto lease = this->leases.find(stored.lease);
    if (lease != this->leases.end() &&
        (all || lease->second.deadline_ms <= now_ms)) {
      lapsed_keys.push_back(key);
    }
  }
  std::erase_if(this->leases, [&](const auto& item) {
    return all || item.second.deadline_ms <= now_ms;
  });
  if (!lapsed_keys.empty()) {
    ++this->revision;
  }
  for (const std::string& key : lapsed_keys) {
    this->Erase(key);
  }
}

void KeySpace::Compact() {
  this->history.clear();
  this->compact_revision = this->revision;
}

std::vector<Change> KeySpace::ChangesSince(std::int64_t from,
                                           const std::string& first,
                                           const std::string& end) const {
  std::vector<Change> changes;
  for (const Change& change : this->history) {
    if (change.stored.mod_revision >= from && InRange(change.key, first, end)) {
      changes.push_back(change);
    }
  }
  return changes;
}

}  // namespace hemlockdoor::standin
