// Keys, versions, leases and history of the store stand-in.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hemlockdoor::standin {

/// One stored key.
struct StoredKey {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// One change, as watches report it.
struct Change {
  std::string key;
  bool deleted = false;
  StoredKey stored;
};

/// Reads and writes in the terms of the etcd v3 JSON messages. Texts of keys
/// and values are decoded here. Invalid requests throw nlohmann exceptions or
/// std::invalid_argument, which the server answers with 400.
class KeySpace {
 public:
  nlohmann::json Range(const nlohmann::json& request) const;
  /// Throws std::out_of_range when a lease does not exist (404).
  nlohmann::json Transact(const nlohmann::json& request);
  nlohmann::json GrantLease(const nlohmann::json& request, std::int64_t now_ms);
  nlohmann::json KeepAlive(const nlohmann::json& request, std::int64_t now_ms);

  /// Ends leases that have lapsed by `now_ms`; all of them when `all`.
  void EndLeases(std::int64_t now_ms, bool all);
  /// Forgets the history, so that watches from earlier versions are refused.
  void Compact();

  /// Changes since `from`, for keys from `first` up to `end`, without it.
  std::vector<Change> ChangesSince(std::int64_t from,
                                   const std::string& first,
                                   const std::string& end) const;
  std::int64_t Revision() const { return this->revision; }
  std::int64_t CompactRevision() const { return this->compact_revision; }
  nlohmann::json Header() const;

 private:
  struct Lease {
    std::int64_t ttl_seconds = 0;
    std::int64_t deadline_ms = 0;
  };

  bool CompareHolds(const nlohmann::json& compare) const;
  void Put(const nlohmann::json& request);
  void DeleteRange(const nlohmann::json& request);
  void Erase(const std::string& key);

  std::map<std::string, StoredKey> keys;
  std::map<std::int64_t, Lease> leases;
  std::vector<Change> history;
  std::int64_t revision = 1;
  std::int64_t compact_revision = 0;
  std::int64_t last_lease = 7'000;
};

/// Decodes base64; throws std::invalid_argument.
std::string FromBase64(const nlohmann::json& text);
/// One key and value in the terms of the protocol.
nlohmann::json KeyToJson(const std::string& key, const StoredKey& stored);
/// Reads a 64-bit number that may be a text, or be left out.
std::int64_t NumberOf(const nlohmann::json& object, const char* name);
/// Tells whether `key` is in the range of a request.
bool InRange(const std::string& key,
             const std::string& first,
             const std::string& end);

}  // namespace hemlockdoor::standin
