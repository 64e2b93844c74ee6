#include "modules/agent/core/attempt_history.h"

namespace hemlockdoor::agent {

void AttemptHistory::Add(const TaskKey& key,
                         PastAttempt past,
                         core::TimePoint until) {
  const auto found = this->members.find(key);
  if (found != this->members.end()) {
    this->member_order.erase({found->second.until, key});
    this->members.erase(found);
  }
  this->members.emplace(key, Remembered{std::move(past), until});
  this->member_order.insert({until, key});
}

void AttemptHistory::Forbid(const AttemptKey& attempt, core::TimePoint until) {
  const auto found = this->forbidden.find(attempt);
  if (found != this->forbidden.end()) {
    if (found->second >= until) {
      return;
    }
    this->forbidden_order.erase({found->second, attempt});
  }
  this->forbidden[attempt] = until;
  this->forbidden_order.insert({until, attempt});
}

std::optional<PastAttempt> AttemptHistory::Find(const TaskKey& key) const {
  const auto found = this->members.find(key);
  if (found == this->members.end()) {
    return std::nullopt;
  }
  return found->second.past;
}

bool AttemptHistory::HasEnded(const AttemptKey& attempt) const {
  for (auto position = this->members.lower_bound({attempt.job, {}, 0});
       position != this->members.end() && position->first.job == attempt.job;
       ++position) {
    const bool matches = attempt.attempt == core::AttemptNumber() ||
                         position->first.attempt == attempt.attempt;
    if (matches && position->second.past.kind == PastKind::kEnded) {
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
  return this->forgotten_until && start_limit <= *this->forgotten_until;
}

void AttemptHistory::Expire(core::TimePoint now) {
  while (!this->member_order.empty()) {
    const Timed<TaskKey> oldest = *this->member_order.begin();
    const bool crowded = this->members.size() > kMaxEntries / 2;
    const core::TimePoint keep_until =
        crowded ? oldest.until : oldest.until + kExtraMemory;
    if (keep_until >= now) {
      break;
    }
    if (this->members.at(oldest.key).past.kind == PastKind::kEnded) {
      this->forgotten_until = oldest.until;
    }
    this->members.erase(oldest.key);
    this->member_order.erase(this->member_order.begin());
  }
  while (!this->forbidden_order.empty() &&
         this->forbidden_order.begin()->until < now) {
    this->forbidden.erase(this->forbidden_order.begin()->key);
    this->forbidden_order.erase(this->forbidden_order.begin());
  }
}

}  // namespace hemlockdoor::agent
