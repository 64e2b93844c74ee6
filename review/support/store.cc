#include "review/support/store.h"

#include <QByteArray>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

namespace hemlockdoor::review {

namespace {

constexpr int kTickMs = 20;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

std::string Base64(const std::string& bytes) {
  return QByteArray::fromStdString(bytes).toBase64().toStdString();
}

std::string FromBase64(const std::string& text) {
  return QByteArray::fromBase64(QByteArray::fromStdString(text)).toStdString();
}

std::string QueryValue(const Request& request, const char* name) {
  return QUrlQuery(QString::fromStdString(request.query))
      .queryItemValue(name, QUrl::FullyDecoded)
      .toStdString();
}

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

}  // namespace

Store::Store(const std::string& address,
             std::uint16_t port,
             Record& case_record)
    : fate([](const Request&) { return StoreFate::kServe; }),
      record(case_record),
      last_tick(NowMs()),
      listener(address,
               port,
               [this](const Request& request, const Reply& reply) {
                 this->Handle(request, reply);
               }) {
  QObject::connect(&this->timer, &QTimer::timeout, this,
                   [this] { this->Tick(); });
  this->timer.start(kTickMs);
}

void Store::Put(const std::string& key, const std::string& value) {
  ++this->revision;
  this->Write(key, value, 0);
  this->AnswerWatches();
}

const std::string* Store::Find(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second.value;
}

void Store::CutWatches() {
  for (const Watch& watch : std::exchange(this->watches, {})) {
    watch.reply.Send(kUnavailable, "{}");
  }
}

nlohmann::json Store::RowOf(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", Base64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void Store::Handle(const Request& request, const Reply& reply) {
  const StoreFate call_fate = this->fate(request);
  if (call_fate == StoreFate::kRefuse) {
    reply.Send(kUnavailable, "{}");
    return;
  }
  if (request.path == "/-/kv-watch") {
    this->watches.push_back({QueryValue(request, "prefix"),
                             NumberOr(QueryValue(request, "after"), 0),
                             NowMs() + static_cast<std::int64_t>(NumberOr(
                                           QueryValue(request, "waitMs"), 0)),
                             reply});
    this->AnswerWatches();
    return;
  }
  const Answer answer = this->Execute(request);
  if (call_fate == StoreFate::kDoAndReset) {
    reply.Reset();
  } else if (call_fate == StoreFate::kServe) {
    reply.Send(answer.status, answer.body.dump());
  }
  this->AnswerWatches();
}

Store::Answer Store::Execute(const Request& request) {
  if (request.path == "/-/kv-key") {
    const std::string key = QueryValue(request, "key");
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
      return {kNotFound, {{"currentRev", this->revision}}};
    }
    nlohmann::json row = RowOf(key, found->second);
    row["currentRev"] = this->revision;
    return {200, std::move(row)};
  }
  if (request.path == "/-/kv-range") {
    return this->Range(QueryValue(request, "prefix"),
                       QueryValue(request, "after"));
  }
  if (request.path == "/-/kv-txn") {
    return this->Commit(nlohmann::json::parse(request.body));
  }
  return this->LeaseCall(request);
}

Store::Answer Store::Range(const std::string& prefix,
                           const std::string& after) const {
  constexpr std::size_t kPage = 500;
  nlohmann::json rows = nlohmann::json::array();
  bool truncated = false;
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    truncated = rows.size() >= kPage;
    if (truncated) {
      break;
    }
    rows.push_back(RowOf(key, item));
  }
  return {200,
          {{"items", rows},
           {"truncated", truncated},
           {"currentRev", this->revision}}};
}

Store::Answer Store::Commit(const nlohmann::json& call) {
  nlohmann::json current = nlohmann::json::array();
  bool holds = true;
  for (const nlohmann::json& row : call.value("expect", nlohmann::json())) {
    const std::string key = row["key"];
    const auto found = this->items.find(key);
    const bool exists = found != this->items.end();
    holds = holds && row["revision"] == (exists ? found->second.revision : 0);
    if (exists) {
      current.push_back(RowOf(key, found->second));
    }
  }
  if (!holds) {
    return {kPreconditionFailed, {{"items", current}}};
  }
  for (const nlohmann::json& row : call.value("writes", nlohmann::json())) {
    const std::uint64_t lease = row.value("lease", std::uint64_t{0});
    if (lease != 0 && !this->leases.contains(lease)) {
      return {kNotFound, nlohmann::json::object()};
    }
  }
  ++this->revision;
  for (const nlohmann::json& row : call.value("writes", nlohmann::json())) {
    this->Write(row["key"], FromBase64(row["value"]),
                row.value("lease", std::uint64_t{0}));
  }
  for (const nlohmann::json& key : call.value("remove", nlohmann::json())) {
    this->Remove(key);
  }
  return {200, {{"revision", this->revision}}};
}

Store::Answer Store::LeaseCall(const Request& request) {
  const std::string keep = "/-/kv-keep/";
  const std::string end = "/-/kv-lease-end/";
  if (request.path == "/-/kv-lease") {
    const std::int64_t ttl = nlohmann::json::parse(request.body)["ttlMs"];
    this->leases[++this->last_lease] = {ttl, ttl};
    return {200, {{"lease", this->last_lease}, {"ttlMs", ttl}}};
  }
  if (request.path.starts_with(keep)) {
    const auto found =
        this->leases.find(std::stoull(request.path.substr(keep.size())));
    if (found == this->leases.end()) {
      return {kNotFound, nlohmann::json::object()};
    }
    found->second.left_ms = found->second.ttl_ms;
    return {200, {{"ttlMs", found->second.ttl_ms}}};
  }
  if (request.path.starts_with(end)) {
    const auto found =
        this->leases.find(std::stoull(request.path.substr(end.size())));
    if (found != this->leases.end()) {
      found->second.left_ms = 0;
    }
  }
  return {};
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  std::uint64_t lease) {
  Item& item = this->items[key];
  item.value = value;
  item.created = item.revision == 0 ? this->revision : item.created;
  item.revision = this->revision;
  item.lease = lease;
  this->history.push_back({key, this->revision, false, item});
  if (key.starts_with("owner") || key == "hd/members") {
    this->record.Line("store: " + key + " = " + value);
  }
}

void Store::Remove(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->history.push_back({key, this->revision, true, {}});
    this->record.Line("store: " + key + " removed");
  }
}

void Store::AnswerWatches() {
  const std::int64_t now = NowMs();
  for (const Watch& watch : std::exchange(this->watches, {})) {
    nlohmann::json events = nlohmann::json::array();
    for (const Event& event : this->history) {
      if (event.revision <= watch.after ||
          !event.key.starts_with(watch.prefix)) {
        continue;
      }
      events.push_back(event.removed
                           ? nlohmann::json{{"key", event.key},
                                            {"revision", event.revision},
                                            {"removed", true}}
                           : RowOf(event.key, event.item));
    }
    if (events.empty() && now < watch.end_ms) {
      this->watches.push_back(watch);
      continue;
    }
    watch.reply.Send(
        200, nlohmann::json{{"events", events}, {"currentRev", this->revision}}
                 .dump());
  }
}

void Store::Tick() {
  const std::int64_t now = NowMs();
  const std::int64_t passed = now - std::exchange(this->last_tick, now);
  if (!this->leases_paused) {
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      lease->second.left_ms -= passed;
      if (lease->second.left_ms > 0) {
        ++lease;
        continue;
      }
      std::vector<std::string> ended;
      for (const auto& [key, item] : this->items) {
        if (item.lease == lease->first) {
          ended.push_back(key);
        }
      }
      this->revision += ended.empty() ? 0 : 1;
      for (const std::string& key : ended) {
        this->Remove(key);
      }
      lease = this->leases.erase(lease);
    }
  }
  this->AnswerWatches();
}

}  // namespace hemlockdoor::review
