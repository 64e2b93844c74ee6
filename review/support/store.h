// Stand-in of the platform's metadata store.
#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/support/http.h"
#include "review/support/record.h"

namespace hemlockdoor::review {

/// What the store does with one call.
enum class StoreFate {
  kServe,
  /// Answers 503; nothing is done.
  kRefuse,
  /// Does it, and resets the connection without an answer.
  kDoAndReset,
  /// Does it, and never answers.
  kDoAndStaySilent,
};

/// Serves the store's calls on one address, by the pages' section on it.
class Store : public QObject {
 public:
  Store(const std::string& address, std::uint16_t port, Record& case_record);

  /// Writes a key as the operator.
  void Put(const std::string& key, const std::string& value);
  /// Returns the value of a key, or nullptr.
  const std::string* Find(const std::string& key) const;
  /// Ends the waiting watches; with `status` 503 as at the start of an outage.
  void CutWatches();

  /// Decides the fate of each call; the default serves all.
  std::function<StoreFate(const Request&)> fate;
  /// Leases do not run out while this is set.
  bool leases_paused = false;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t left_ms = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::int64_t end_ms = 0;
    Reply reply;
  };
  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  void Handle(const Request& request, const Reply& reply);
  Answer Execute(const Request& request);
  Answer Range(const std::string& prefix, const std::string& after) const;
  Answer Commit(const nlohmann::json& call);
  Answer LeaseCall(const Request& request);
  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void AnswerWatches();
  void Tick();
  static nlohmann::json RowOf(const std::string& key, const Item& item);

  Record& record;
  std::map<std::string, Item> items;
  std::vector<Event> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t last_lease = 100;
  std::uint64_t revision = 10;
  std::vector<Watch> watches;
  std::int64_t last_tick = 0;
  QTimer timer;
  Listener listener;
};

}  // namespace hemlockdoor::review
