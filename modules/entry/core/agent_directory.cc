#include "modules/entry/core/agent_directory.h"

#include <algorithm>

namespace hemlockdoor::entry {

AnnouncementEffect AgentDirectory::ApplyAnnouncement(
    const model::Announcement& announcement,
    core::TimePoint now) {
  AnnouncementEffect effect;
  const auto [place, is_new] = this->agents.try_emplace(announcement.agent);
  KnownAgent& known = place->second;
  if (!is_new &&
      known.last_announcement.incarnation == announcement.incarnation &&
      announcement.agent_clock < known.last_announcement.agent_clock) {
    return effect;
  }
  if (!is_new &&
      known.last_announcement.incarnation != announcement.incarnation) {
    effect.previous_incarnation = known.last_announcement.incarnation;
    known = KnownAgent();
  }
  known.last_announcement = announcement;
  known.heard_at = now;
  this->highest_epoch = std::max(this->highest_epoch, announcement.epoch);
  effect.accepted = true;
  return effect;
}

std::vector<core::AgentId> AgentDirectory::RemoveExpired(core::TimePoint now) {
  std::vector<core::AgentId> removed;
  for (auto place = this->agents.begin(); place != this->agents.end();) {
    if (now - place->second.heard_at >= model::kAgentLease) {
      removed.push_back(place->first);
      place = this->agents.erase(place);
    } else {
      ++place;
    }
  }
  return removed;
}

bool AgentDirectory::CountFailure(const core::AgentId& agent,
                                  core::TimePoint now) {
  const auto place = this->agents.find(agent);
  if (place == this->agents.end()) {
    return false;
  }
  KnownAgent& known = place->second;
  ++known.failed_calls;
  if (known.failed_calls < kSuspicionThreshold) {
    return false;
  }
  known.suspected_until = now + kSuspicionTime;
  return true;
}

void AgentDirectory::CountSuccess(const core::AgentId& agent) {
  const auto place = this->agents.find(agent);
  if (place != this->agents.end()) {
    place->second.failed_calls = 0;
    place->second.suspected_until = core::TimePoint();
  }
}

void AgentDirectory::MarkDraining(const core::AgentId& agent) {
  const auto place = this->agents.find(agent);
  if (place != this->agents.end()) {
    place->second.operator_drain = true;
  }
}

bool AgentDirectory::MayPlaceOn(const core::AgentId& agent,
                                core::TimePoint now) const {
  const KnownAgent* known = this->Find(agent);
  if (known == nullptr || !known->last_announcement.shape.has_value()) {
    return false;
  }
  const bool suspected = known->failed_calls >= kSuspicionThreshold &&
                         now < known->suspected_until;
  return !known->last_announcement.draining && !known->operator_drain &&
         !suspected && now - known->heard_at < model::kAgentLease;
}

const KnownAgent* AgentDirectory::Find(const core::AgentId& agent) const {
  const auto place = this->agents.find(agent);
  return place == this->agents.end() ? nullptr : &place->second;
}

core::TimePoint AgentDirectory::EstimateClock(const core::AgentId& agent,
                                              core::TimePoint now) const {
  const KnownAgent* known = this->Find(agent);
  if (known == nullptr) {
    return {};
  }
  return known->last_announcement.agent_clock + (now - known->heard_at);
}

const KnownAgent* AgentDirectory::FindRunning(const core::JobId& job) const {
  for (const auto& [id, known] : this->agents) {
    for (const model::RunningTask& task : known.last_announcement.running) {
      if (task.job == job) {
        return &known;
      }
    }
  }
  return nullptr;
}

const KnownAgent* AgentDirectory::FindResultHolder(
    const core::JobId& job) const {
  for (const auto& [id, known] : this->agents) {
    const std::vector<core::JobId>& held = known.last_announcement.held_results;
    if (std::find(held.begin(), held.end(), job) != held.end()) {
      return &known;
    }
  }
  return nullptr;
}

}  // namespace hemlockdoor::entry
