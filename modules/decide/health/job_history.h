// Failures and preemptions of jobs over all of their attempts.
#pragma once

#include <deque>
#include <unordered_map>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"
#include "modules/decide/health/worker_health.h"

namespace hemlockdoor::decide {

/// Failures and preemptions of a job over all of its attempts.
struct AttemptHistory {
  /// Identifies the job in `WorkerHealth`; the same for all attempts.
  JobHandle identity = 0;
  /// Distinct workers on which the job failed.
  std::vector<WorkerIndex> failed_on;
  /// Number of times the job was preempted.
  int preemptions = 0;
};

/// Records the jobs that failed or were preempted. The number of jobs is
/// bounded: a new job beyond the bound evicts the one that was added first.
class JobHistory {
 public:
  /// Returns the history of a job, or null when the job is not recorded.
  const AttemptHistory* Find(const core::JobId& job) const;
  /// Records that a job failed on a worker. A further failure on the same
  /// worker changes nothing.
  const AttemptHistory& AddFailure(const core::JobId& job, WorkerIndex worker);
  /// Records that a job was preempted once more.
  const AttemptHistory& AddPreemption(const core::JobId& job);
  /// Returns true when the failures are attributed to the job rather than to
  /// the workers: it failed on 3 proven workers, which complete other jobs, or
  /// on 10 workers of any kind.
  static bool IsFaulty(const AttemptHistory& attempts,
                       const WorkerHealth& health);
  /// Removes a job that will not be attempted again.
  void Forget(const core::JobId& job);
  std::size_t Count() const { return this->jobs.size(); }

 private:
  /// Returns the history of a job; adds the job when it is not recorded.
  AttemptHistory& FindOrAdd(const core::JobId& job);

  std::unordered_map<core::JobId, AttemptHistory> jobs;
  std::deque<core::JobId> oldest_first;
  JobHandle next_identity = 0;
};

}  // namespace hemlockdoor::decide
