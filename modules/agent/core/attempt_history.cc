#include "modules/agent/core/attempt_history.h"

namespace hemlockdoor::agent {

void AttemptHistory::Add(const TaskKey& key,
                         PastAttempt past,
                         core::TimePoint until) {
  const auto found = this->members.find(key);
  if (found != this->members.end()) {
    this->members_by_start_limit.erase({found->second.until, key});
    this->members.erase(found);
  }
  this->members.emplace(key, Record{std::move(past), until});
  this->members_by_start_limit.insert({until, key});
}

void AttemptHistory::Forbid(const AttemptKey& attempt, core::TimePoint until) {
  const auto found = this->forbidden.find(attempt);
  if (found != this->forbidden.end()) {
    if (found->second >= until) {
      return;
    }
    this->forbidden_by_end.erase({found->second, attempt});
  }
  this->forbidden[attempt] = until;
  this->forbidden_by_end.insert({until, attempt});
}

std::optional<PastAttempt> AttemptHistory::Find(const TaskKey& key) const {
  const auto found = this->members.find(key);
  if (found == this->members.end()) {
    return std::nullopt;
  }
  return found->second.past;
}

bool AttemptHistory::HasStarted(const AttemptKey& attempt) const {
  for (auto position = this->members.lower_bound({attempt.job, {}, 0});
       position != this->members.end() && position->first.job == attempt.job;
       ++position) {
    const bool matches = attempt.attempt == core::AttemptNumber() ||
                         position->first.attempt == attempt.attempt;
    if (matches && position->second.past.kind == PastAttemptKind::kEnded) {
      return true;
    }
  }
  return false;
}

bool AttemptHistory::IsForbidden(const AttemptKey& attempt) const {
  return this->forbidden.contains(attempt) ||
         this->forbidden.contains({attempt.job, core::AttemptNumber()});
}

bool AttemptHistory::IsFull() const {
  return this->members.size() + this->forbidden.size() >= kMaxEntries;
}

bool AttemptHistory::MayHaveForgotten(core::TimePoint start_limit) const {
  return this->forgotten_start_limit &&
         start_limit <= *this->forgotten_start_limit;
}

void AttemptHistory::Expire(core::TimePoint now) {
  while (!this->members_by_start_limit.empty()) {
    const TimedKey<TaskKey> oldest = *this->members_by_start_limit.begin();
    const bool half_full = this->members.size() > kMaxEntries / 2;
    const core::TimePoint keep_until =
        half_full ? oldest.until : oldest.until + kExtraRetention;
    if (keep_until >= now) {
      break;
    }
    if (this->members.at(oldest.key).past.kind == PastAttemptKind::kEnded) {
      this->forgotten_start_limit = oldest.until;
    }
    this->members.erase(oldest.key);
    this->members_by_start_limit.erase(this->members_by_start_limit.begin());
  }
  while (!this->forbidden_by_end.empty() &&
         this->forbidden_by_end.begin()->until < now) {
    this->forbidden.erase(this->forbidden_by_end.begin()->key);
    this->forbidden_by_end.erase(this->forbidden_by_end.begin());
  }
}

}  // namespace hemlockdoor::agent
