// Where jobs failed and how often they were stopped, across attempts.
#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"
#include "modules/decide/health/worker_health.h"

namespace hemlockdoor::decide {

/// What is remembered of a job between its attempts.
struct AttemptHistory {
  /// A number that stays the same for all attempts.
  JobHandle identity = 0;
  /// Distinct workers that the job failed on.
  std::vector<WorkerIndex> failed_on;
  /// Times the job was stopped for others.
  int preemptions = 0;
};

/// Remembers jobs that failed or were stopped, and forgets the oldest above a
/// bound.
class JobHistory {
 public:
  /// The past of a job, or null when it has none.
  const AttemptHistory* Find(const core::JobId& job) const;
  /// Adds a failure; one on a worker known already changes nothing.
  const AttemptHistory& AddFailure(const core::JobId& job, WorkerIndex worker);
  const AttemptHistory& AddPreemption(const core::JobId& job);
  /// The failures speak against the job: it failed on several workers that run
  /// other work well, or on very many workers.
  static bool IsFaulty(const AttemptHistory& past, const WorkerHealth& health);
  /// The job ended for good.
  void Forget(const core::JobId& job);
  std::size_t Count() const { return this->jobs.size(); }

 private:
  AttemptHistory& At(const core::JobId& job);

  std::unordered_map<core::JobId, AttemptHistory> jobs;
  std::deque<core::JobId> oldest_first;
  JobHandle next_identity = 0;
};

}  // namespace hemlockdoor::decide
