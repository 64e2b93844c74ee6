// What an entry remembers of the jobs that it has rejected.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

/// A rejected job.
struct RefusedJob {
  /// Time of the caller's first request, in Unix milliseconds.
  std::int64_t first_attempt_wall_ms = 0;
  /// Revision of the latest refusal in the store.
  store::ModRevision revision;
};

/// The jobs that were rejected during the last minute, at most `kMaxJobs`.
class RefusedJobs {
 public:
  /// Returns the job, or nullptr if it is not known.
  const RefusedJob* Find(const core::JobId& job, core::TimePoint now) {
    this->RemoveExpired(now);
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
  }
  void Remember(const core::JobId& job,
                const RefusedJob& refused,
                core::TimePoint now) {
    this->RemoveExpired(now);
    if (this->jobs.insert_or_assign(job, refused).second) {
      this->expiries.emplace_back(now + kRetention, job);
    }
    if (this->expiries.size() > kMaxJobs) {
      this->RemoveOldest();
    }
  }

 private:
  /// Callers ask again within 3 s, up to four times.
  static constexpr core::Duration kRetention = core::Duration::Seconds(60);
  static constexpr std::size_t kMaxJobs = 10'000;

  void RemoveExpired(core::TimePoint now) {
    while (!this->expiries.empty() && this->expiries.front().first <= now) {
      this->RemoveOldest();
    }
  }
  void RemoveOldest() {
    this->jobs.erase(this->expiries.front().second);
    this->expiries.pop_front();
  }

  std::map<core::JobId, RefusedJob> jobs;
  /// In the order of their time.
  std::deque<std::pair<core::TimePoint, core::JobId>> expiries;
};

}  // namespace hemlockdoor::batch
