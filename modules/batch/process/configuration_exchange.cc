#include "modules/batch/process/configuration_exchange.h"

#include <algorithm>
#include <utility>

#include "modules/batch/process/internal_api.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::batch {

ConfigurationExchange::ConfigurationExchange(std::string own_endpoint,
                                             PeerList peer_list,
                                             ExchangeHandlers exchange_handlers)
    : endpoint(std::move(own_endpoint)),
      peers(std::move(peer_list)),
      handlers(std::move(exchange_handlers)) {
  QObject::connect(&this->timer, &QTimer::timeout,
                   [this] { this->OnTick(core::Clock::Now()); });
  this->timer.start(static_cast<int>(kPeriod.InMilliseconds()));
}

void ConfigurationExchange::NotifyPeers() {
  if (std::exchange(this->is_notification_due, true)) {
    return;
  }
  wire::RunLater(&this->context, kNotifyDelay, [this] {
    this->is_notification_due = false;
    this->AskSeveral();
  });
}

void ConfigurationExchange::OnTick(core::TimePoint now) {
  if (this->handlers.age_at_store(now) <= kMaxStoreAge) {
    this->periods_without_store = 0;
    return;
  }
  const int period = this->periods_without_store++;
  const bool peers_know = this->handlers.age(now) <= kMaxPeerAge;
  if (period == 0) {
    this->AskSeveral();
  } else if (peers_know || period % kIdlePeriods == 0) {
    const std::vector<std::string> list = this->AllPeers();
    if (!list.empty()) {
      this->Ask(list[this->next_peer++ % list.size()]);
    }
  }
}

std::vector<std::string> ConfigurationExchange::Callers() const {
  std::vector<std::string> endpoints;
  for (const auto& [caller, called_at] : this->callers) {
    endpoints.push_back(caller);
  }
  return endpoints;
}

std::vector<std::string> ConfigurationExchange::AllPeers() const {
  std::vector<std::string> all = this->peers();
  for (const std::string& caller : this->Callers()) {
    if (std::find(all.begin(), all.end(), caller) == all.end()) {
      all.push_back(caller);
    }
  }
  return all;
}

void ConfigurationExchange::RememberCaller(const std::string& caller,
                                           core::TimePoint now) {
  if (!wire::Endpoint::Parse(caller)) {
    return;
  }
  std::erase_if(this->callers, [now](const auto& item) {
    return now >= item.second + kCallerLifetime;
  });
  if (this->callers.size() < kMaxCallers || this->callers.contains(caller)) {
    this->callers[caller] = now;
  }
}

void ConfigurationExchange::AskSeveral() {
  const std::vector<std::string> list = this->AllPeers();
  const std::size_t count = std::min(list.size(), kMaxPeersAtOnce);
  for (std::size_t i = 0; i < count; ++i) {
    this->Ask(list[this->next_peer++ % list.size()]);
  }
}

void ConfigurationExchange::Ask(const std::string& peer) {
  if (!this->asked_peers.insert(peer).second) {
    return;
  }
  this->Send(peer, false, [this, peer] { this->asked_peers.erase(peer); });
}

void ConfigurationExchange::Fetch(const std::string& peer) {
  if (std::exchange(this->is_fetching, true)) {
    this->newer_peer = peer;
    return;
  }
  this->Send(peer, true, [this] {
    this->is_fetching = false;
    if (const std::string next = std::exchange(this->newer_peer, {});
        !next.empty()) {
      // What has just arrived may be all that this peer knows.
      wire::RunLater(&this->context, core::Duration(),
                     [this, next] { this->Ask(next); });
    }
  });
}

void ConfigurationExchange::Send(const std::string& peer,
                                 bool accepts_content,
                                 std::function<void()> on_end) {
  const core::Expected<wire::Endpoint> address = wire::Endpoint::Parse(peer);
  if (!address) {
    on_end();
    return;
  }
  wire::HttpCall call;
  call.endpoint = *address;
  call.method = wire::HttpMethod::kPost;
  call.target = internal_api::kConfiguration;
  call.body = ToText(SnapshotRequest{this->Summary(), accepts_content});
  call.timeout = kTimeout;
  call.max_transfer = kMaxTransfer;
  this->client.Send(
      call,
      [this, peer, sent_at = core::Clock::Now(), on_end = std::move(on_end)](
          const core::Expected<wire::HttpResponse>& response) {
        on_end();
        if (response && response->status == wire::http_status::kOk) {
          this->OnAnswer(peer, response->body, sent_at);
        }
      });
}

void ConfigurationExchange::OnAnswer(const std::string& peer,
                                     const std::string& text,
                                     core::TimePoint sent_at) {
  const core::Expected<SnapshotAnswer> answer = SnapshotAnswerFromText(text);
  if (!answer) {
    observe::Log(observe::LogLevel::kWarn,
                 answer.error().path + ": " + answer.error().message, {},
                 {{"event", "configuration_answer_invalid"}, {"peer", peer}});
  } else if (!answer->content && this->KnowsMore(answer->summary)) {
    // Without the content, the answer confirms nothing.
    this->Fetch(peer);
  } else {
    this->handlers.on_answer(*answer, sent_at);
  }
}

bool ConfigurationExchange::KnowsMore(const SnapshotSummary& summary) const {
  const OperatorSnapshot& snapshot = this->handlers.snapshot();
  return summary.revision > snapshot.Revision() &&
         summary.versions != snapshot.Versions();
}

bool ConfigurationExchange::HandlePeer(const wire::HttpRequest& request,
                                       const wire::HttpResponder& responder) {
  if (request.path != internal_api::kConfiguration) {
    return false;
  }
  wire::HttpResponse response;
  const core::Expected<SnapshotRequest> asked =
      SnapshotRequestFromText(request.body);
  if (!asked) {
    response.status = wire::http_status::kBadRequest;
    responder.Respond(std::move(response));
    return true;
  }
  const SnapshotSummary& asker = asked->summary;
  this->RememberCaller(asker.endpoint, core::Clock::Now());
  SnapshotAnswer answer{this->Summary(), std::nullopt};
  if (asked->accepts_content && answer.summary.revision > asker.revision &&
      answer.summary.versions != asker.versions) {
    answer.content = this->handlers.snapshot();
  }
  response.body = ToText(answer);
  responder.Respond(std::move(response));
  if (this->KnowsMore(asker)) {
    this->Fetch(asker.endpoint);
  }
  return true;
}

SnapshotSummary ConfigurationExchange::Summary() const {
  const OperatorSnapshot& snapshot = this->handlers.snapshot();
  return {this->endpoint, snapshot.Revision(),
          this->handlers.age(core::Clock::Now()), snapshot.Versions()};
}

}  // namespace hemlockdoor::batch
