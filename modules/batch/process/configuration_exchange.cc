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
  const core::Expected<wire::Endpoint> address = wire::Endpoint::Parse(peer);
  if (!address || !this->asked_peers.insert(peer).second) {
    return;
  }
  wire::HttpCall call;
  call.endpoint = *address;
  call.method = wire::HttpMethod::kPost;
  call.target = internal_api::kConfiguration;
  call.body = ToText(this->Summary());
  call.timeout = kTimeout;
  const core::TimePoint sent_at = core::Clock::Now();
  this->client.Send(
      call, [this, peer,
             sent_at](const core::Expected<wire::HttpResponse>& response) {
        this->asked_peers.erase(peer);
        if (!response || response->status != wire::http_status::kOk) {
          return;
        }
        const core::Expected<SnapshotAnswer> answer =
            SnapshotAnswerFromText(response->body);
        if (!answer) {
          observe::Log(
              observe::LogLevel::kWarn,
              answer.error().path + ": " + answer.error().message, {},
              {{"event", "configuration_answer_invalid"}, {"peer", peer}});
          return;
        }
        this->handlers.on_answer(*answer, sent_at);
      });
}

bool ConfigurationExchange::HandlePeer(const wire::HttpRequest& request,
                                       const wire::HttpResponder& responder) {
  if (request.path != internal_api::kConfiguration) {
    return false;
  }
  wire::HttpResponse response;
  const core::Expected<SnapshotSummary> asked =
      SnapshotSummaryFromText(request.body);
  if (!asked) {
    response.status = wire::http_status::kBadRequest;
    responder.Respond(std::move(response));
    return true;
  }
  this->RememberCaller(asked->endpoint, core::Clock::Now());
  SnapshotAnswer answer{this->Summary(), std::nullopt};
  if (answer.summary.revision > asked->revision &&
      answer.summary.versions != asked->versions) {
    answer.content = this->handlers.snapshot();
  }
  response.body = ToText(answer);
  responder.Respond(std::move(response));
  if (asked->revision > answer.summary.revision &&
      asked->versions != answer.summary.versions) {
    this->Ask(asked->endpoint);
  }
  return true;
}

SnapshotSummary ConfigurationExchange::Summary() const {
  const OperatorSnapshot& snapshot = this->handlers.snapshot();
  return {this->endpoint, snapshot.Revision(),
          this->handlers.age(core::Clock::Now()), snapshot.Versions()};
}

}  // namespace hemlockdoor::batch
