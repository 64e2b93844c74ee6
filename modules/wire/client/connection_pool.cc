#include "modules/wire/client/connection_pool.h"

#include <QNetworkProxy>
#include <algorithm>

namespace hemlockdoor::wire::detail {

ConnectionPool::ConnectionPool() : lasting(this->CreateManager()) {}

QNetworkAccessManager* ConnectionPool::CreateManager() {
  auto* manager = new QNetworkAccessManager(this);
  manager->setProxy(QNetworkProxy::NoProxy);
  return manager;
}

ConnectionPool::Connections ConnectionPool::Acquire(const Endpoint& endpoint) {
  const auto found = this->suspects.find(endpoint);
  if (found == this->suspects.end()) {
    return {this->lasting, 0, 0};
  }
  const Suspect& suspect = found->second;
  if (!suspect.is_unreachable) {
    return {this->lasting, suspect.group, 0};
  }
  if (this->NewestTrial() <= suspect.timed_out_trial) {
    this->trials[++this->trial_count].manager = this->CreateManager();
    this->DeleteUnusedTrials();
  }
  Trial& trial = this->trials.rbegin()->second;
  ++trial.calls;
  return {trial.manager, 0, this->NewestTrial()};
}

void ConnectionPool::Release(const Endpoint& endpoint,
                             const Connections& used,
                             CallEnd call_end) {
  if (used.trial != 0) {
    --this->trials.at(used.trial).calls;
  }
  if (call_end == CallEnd::kTimedOut) {
    Suspect& suspect = this->suspects[endpoint];
    suspect.timed_out_trial = std::max(suspect.timed_out_trial, used.trial);
    const bool is_current = used.trial == 0 && used.group == suspect.group;
    if (is_current && !suspect.is_unreachable) {
      suspect.is_unreachable = true;
      ++suspect.group;
      ++this->unreachable_count;
    }
  } else if (const auto found = this->suspects.find(endpoint);
             found != this->suspects.end() && found->second.is_unreachable) {
    found->second.is_unreachable = false;
    --this->unreachable_count;
  }
  this->DeleteUnusedTrials();
}

void ConnectionPool::DeleteUnusedTrials() {
  const std::uint64_t newest = this->NewestTrial();
  std::erase_if(this->trials, [this, newest](const auto& item) {
    const auto& [number, trial] = item;
    const bool is_needed =
        trial.calls > 0 || (number == newest && this->unreachable_count > 0);
    if (!is_needed) {
      trial.manager->deleteLater();
    }
    return !is_needed;
  });
}

}  // namespace hemlockdoor::wire::detail
