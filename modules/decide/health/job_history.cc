#include "modules/decide/health/job_history.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

constexpr std::size_t kMaxRememberedJobs = 20'000;
/// Distinct workers with good work that a job may fail on.
constexpr std::ptrdiff_t kFailuresOnProvenWorkers = 3;
/// Distinct workers of any kind that a job may fail on.
constexpr std::size_t kFailuresOnAnyWorkers = 10;

}  // namespace

const AttemptHistory* JobHistory::Find(const core::JobId& job) const {
  const auto found = this->jobs.find(job);
  return found == this->jobs.end() ? nullptr : &found->second;
}

AttemptHistory& JobHistory::At(const core::JobId& job) {
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
  AttemptHistory& past = this->At(job);
  if (std::find(past.failed_on.begin(), past.failed_on.end(), worker) ==
      past.failed_on.end()) {
    past.failed_on.push_back(worker);
  }
  return past;
}

const AttemptHistory& JobHistory::AddPreemption(const core::JobId& job) {
  AttemptHistory& past = this->At(job);
  ++past.preemptions;
  return past;
}

bool JobHistory::IsFaulty(const AttemptHistory& past,
                          const WorkerHealth& health) {
  const auto proven = std::count_if(
      past.failed_on.begin(), past.failed_on.end(), [&](WorkerIndex worker) {
        return health.IsProven(worker, past.identity);
      });
  return proven >= kFailuresOnProvenWorkers ||
         past.failed_on.size() >= kFailuresOnAnyWorkers;
}

void JobHistory::Forget(const core::JobId& job) {
  this->jobs.erase(job);
}

}  // namespace hemlockdoor::decide
