#include "modules/agent/core/held_results.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::agent {

namespace {

constexpr core::Duration kFirstRetryDelay = core::Duration::Milliseconds(200);
constexpr core::Duration kMaxRetryDelay = core::Duration::Seconds(5);
/// Memory that a result counts for beyond its body.
constexpr std::int64_t kOverheadBytes = 512;
/// Bound on the number of results, whatever their size: each announcement lists
/// the jobs of all of them.
constexpr std::size_t kMaxResults = 2048;

std::int64_t SizeOf(const model::ResultNotice& notice) {
  return static_cast<std::int64_t>(notice.body.size()) + kOverheadBytes;
}

core::Duration RetryDelay(int failures) {
  constexpr int kMaxDoublings = 5;
  const std::int64_t factor = std::int64_t{1}
                              << std::min(failures - 1, kMaxDoublings);
  return std::min(kMaxRetryDelay, kFirstRetryDelay * factor);
}

}  // namespace

HeldResults::HeldResults(std::int64_t byte_bound) : max_bytes(byte_bound) {}

bool HeldResults::HasRoomFor(std::size_t body_bytes) const {
  // A result larger than the byte bound is accepted when no other is held.
  // Otherwise it could never be delivered.
  const std::int64_t size =
      static_cast<std::int64_t>(body_bytes) + kOverheadBytes;
  return this->held.empty() || (this->bytes + size <= this->max_bytes &&
                                this->held.size() < kMaxResults);
}

bool HeldResults::AcceptsNewWork() const {
  return this->bytes <= this->max_bytes / 4 * 3 &&
         this->held.size() < kMaxResults / 2;
}

void HeldResults::Add(model::ResultNotice notice, std::string reply_to) {
  const TaskKey key{notice.job, notice.attempt, notice.member};
  const auto found = this->held.find(key);
  if (found != this->held.end()) {
    const bool improves =
        found->second.notice->outcome == model::JobOutcome::kUnknown;
    if (!improves || found->second.sending) {
      return;
    }
    this->Erase(found);
  }
  this->bytes += SizeOf(notice);
  HeldResult result;
  result.notice =
      std::make_shared<const model::ResultNotice>(std::move(notice));
  result.reply_to = std::move(reply_to);
  this->held.emplace(key, std::move(result));
}

HeldResults::Iterator HeldResults::Erase(Iterator position) {
  if (position->second.sending) {
    --this->sending;
    this->sending_large =
        this->sending_large && !HeldResults::IsLarge(position->second);
  }
  this->bytes -= SizeOf(*position->second.notice);
  return this->held.erase(position);
}

int HeldResults::Acknowledge(const AttemptKey& attempt) {
  int dropped = 0;
  auto position = this->held.lower_bound({attempt.job, {}, 0});
  while (position != this->held.end() && position->first.job == attempt.job) {
    const bool matches = attempt.attempt == core::AttemptNumber() ||
                         position->first.attempt == attempt.attempt;
    if (matches) {
      position = this->Erase(position);
      ++dropped;
    } else {
      ++position;
    }
  }
  return dropped;
}

std::vector<DueDelivery> HeldResults::TakeDue(core::TimePoint now) {
  std::vector<DueDelivery> due;
  for (auto& [key, result] : this->held) {
    if (this->sending >= kMaxDeliveries) {
      break;
    }
    const bool large = HeldResults::IsLarge(result);
    if (result.sending || result.due > now || (large && this->sending_large)) {
      continue;
    }
    result.sending = true;
    ++this->sending;
    this->sending_large = this->sending_large || large;
    due.push_back({result.notice, result.reply_to, result.failures});
  }
  return due;
}

void HeldResults::EndDelivery(const TaskKey& key,
                              bool acknowledged,
                              core::TimePoint now) {
  const auto found = this->held.find(key);
  if (found == this->held.end() || !found->second.sending) {
    return;
  }
  if (acknowledged) {
    this->Erase(found);
    return;
  }
  HeldResult& result = found->second;
  result.sending = false;
  --this->sending;
  this->sending_large = this->sending_large && !HeldResults::IsLarge(result);
  ++result.failures;
  // The first retry goes to another entry at once, later ones are delayed.
  result.due = result.failures == 1 ? now : now + RetryDelay(result.failures);
}

bool HeldResults::Holds(const TaskKey& key) const {
  return this->held.contains(key);
}

std::vector<model::ResultNotice> HeldResults::OfJob(
    const core::JobId& job) const {
  std::vector<model::ResultNotice> results;
  for (auto position = this->held.lower_bound({job, {}, 0});
       position != this->held.end() && position->first.job == job; ++position) {
    results.push_back(*position->second.notice);
  }
  return results;
}

std::vector<core::JobId> HeldResults::Jobs() const {
  std::vector<core::JobId> jobs;
  for (const auto& [key, result] : this->held) {
    if (jobs.empty() || jobs.back() != key.job) {
      jobs.push_back(key.job);
    }
  }
  return jobs;
}

bool HeldResults::IsLarge(const HeldResult& result) {
  return result.notice->body.size() >= kLargeBytes;
}

}  // namespace hemlockdoor::agent
