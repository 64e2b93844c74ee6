#include "modules/decide/health/job_history.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Bounds the memory of the history.
constexpr std::size_t kMaxRememberedJobs = 20'000;
/// A job that failed on this many distinct proven workers is faulty.
constexpr std::ptrdiff_t kFailuresOnProvenWorkers = 3;
/// A job that failed on this many distinct workers of any kind is faulty.
constexpr std::size_t kFailuresOnAnyWorkers = 10;

}  // namespace

const AttemptHistory* JobHistory::Find(const core::JobId& job) const {
  const auto found = this->jobs.find(job);
  return found == this->jobs.end() ? nullptr : &found->second;
}

AttemptHistory& JobHistory::FindOrAdd(const core::JobId& job) {
  const auto [place, inserted] = this->jobs.try_emplace(job);
  if (!inserted) {
    return place->second;
  }
  place->second.identity = this->next_identity++;
  this->oldest_first.push_back(job);
  while (this->oldest_first.size() > kMaxRememberedJobs) {
    this->jobs.erase(this->oldest_first.front());
    this->oldest_first.pop_front();
  }
  return this->jobs.at(job);
}

const AttemptHistory& JobHistory::AddFailure(const core::JobId& job,
                                             WorkerIndex worker) {
  AttemptHistory& attempts = this->FindOrAdd(job);
  if (std::find(attempts.failed_on.begin(), attempts.failed_on.end(), worker) ==
      attempts.failed_on.end()) {
    attempts.failed_on.push_back(worker);
  }
  return attempts;
}

const AttemptHistory& JobHistory::AddPreemption(const core::JobId& job) {
  AttemptHistory& attempts = this->FindOrAdd(job);
  ++attempts.preemptions;
  return attempts;
}

bool JobHistory::IsFaulty(const AttemptHistory& attempts,
                          const WorkerHealth& health) {
  const auto proven =
      std::count_if(attempts.failed_on.begin(), attempts.failed_on.end(),
                    [&](WorkerIndex worker) {
                      return health.IsProven(worker, attempts.identity);
                    });
  return proven >= kFailuresOnProvenWorkers ||
         attempts.failed_on.size() >= kFailuresOnAnyWorkers;
}

void JobHistory::Forget(const core::JobId& job) {
  this->jobs.erase(job);
}

}  // namespace hemlockdoor::decide
