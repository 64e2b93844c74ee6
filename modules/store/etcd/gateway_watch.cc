#include "modules/store/etcd/gateway_watch.h"

#include <algorithm>
#include <utility>

#include "modules/model/json/json_reader.h"
#include "modules/wire/loop/run_later.h"

namespace hemlockdoor::store::etcd {

namespace {

/// Bound on one message of a watch; has room for the changes of a transaction
/// that writes several values of 1 MB each, in base64.
constexpr std::size_t kMaxMessageBytes = 16U * 1024U * 1024U;
constexpr model::JsonLimits kMessageLimits = {.max_bytes = kMaxMessageBytes,
                                              .max_depth = 16,
                                              .allow_comments = false};

}  // namespace

GatewayWatch::GatewayWatch(const EtcdOptions& watch_options,
                           std::string watched_prefix,
                           ModRevision from,
                           std::uint64_t seed,
                           std::uint64_t* open_counter,
                           Callback<std::vector<WatchEvent>> events_callback)
    : options(watch_options),
      prefix(std::move(watched_prefix)),
      next_revision(from),
      backoff(watch_options.first_backoff, watch_options.longest_backoff, seed),
      open_count(open_counter),
      on_events(std::move(events_callback)) {}

void GatewayWatch::Open() {
  ++*this->open_count;
  this->buffer.clear();
  wire::HttpCall call;
  call.endpoint = this->options.endpoint;
  call.method = wire::HttpMethod::kPost;
  call.target = "/v3/watch";
  call.body = EncodeWatch(this->prefix, this->next_revision);
  call.timeout = this->options.call_timeout;
  this->stream = std::make_unique<wire::HttpStream>(
      call, [this](const std::string& part) { this->OnData(part); },
      [this](const core::Error&) { this->Reopen(); });
}

void GatewayWatch::Close() {
  this->closed = true;
  this->stream.reset();
}

void GatewayWatch::Reopen() {
  if (this->closed) {
    return;
  }
  this->stream.reset();
  wire::RunLater(&this->context, this->backoff.Next(), [this] {
    if (!this->closed) {
      this->Open();
    }
  });
}

void GatewayWatch::EndAsStale(const std::string& reason) {
  this->Close();
  this->on_events(core::MakeError(core::ErrorCode::kStale, reason));
}

void GatewayWatch::OnData(const std::string& part) {
  // Keeps this watch alive while it runs: a callback may make the owner drop
  // its reference.
  const std::shared_ptr<GatewayWatch> self = this->shared_from_this();
  this->buffer += part;
  std::size_t start = 0;
  while (this->stream) {
    const std::size_t end = this->buffer.find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    this->OnLine(this->buffer.substr(start, end - start));
    start = end + 1;
  }
  if (!this->stream) {
    return;
  }
  this->buffer.erase(0, start);
  if (this->buffer.size() > kMaxMessageBytes) {
    this->Reopen();
  }
}

void GatewayWatch::OnLine(const std::string& line) {
  if (line.empty()) {
    return;
  }
  const core::Expected<nlohmann::json> document =
      model::ParseJson(line, kMessageLimits);
  core::Expected<WatchMessage> message =
      document ? DecodeWatch(*document)
               : tl::unexpected<core::Error>(document.error());
  if (!message) {
    this->Reopen();
    return;
  }
  this->OnMessage(std::move(*message));
}

void GatewayWatch::OnMessage(WatchMessage message) {
  if (message.compacted_revision != ModRevision()) {
    this->EndAsStale(
        "watch lost: the store has compacted changes from version " +
        std::to_string(this->next_revision.Number()));
    return;
  }
  // etcd sends no events to a watch that starts at a future version, so without
  // this check a store that was restored to an older state would go unnoticed.
  if (message.created && message.store_revision.Next() < this->next_revision) {
    this->EndAsStale(
        "watch lost: the store was restored to an older state, version " +
        std::to_string(message.store_revision.Number()));
    return;
  }
  if (message.cancelled) {
    this->Reopen();
    return;
  }
  this->backoff.Reset();
  this->Deliver(std::move(message.events));
}

void GatewayWatch::Deliver(std::vector<WatchEvent> events) {
  const ModRevision first = this->next_revision;
  std::erase_if(events, [first](const WatchEvent& event) {
    return event.mod_revision < first;
  });
  if (events.empty()) {
    return;
  }
  for (const WatchEvent& event : events) {
    this->next_revision =
        std::max(this->next_revision, event.mod_revision.Next());
  }
  this->on_events(std::move(events));
}

}  // namespace hemlockdoor::store::etcd
