// Quarantine of workers on which jobs keep failing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// Whether a worker gets jobs.
enum class HealthState : std::uint8_t {
  kHealthy,
  kQuarantined,  ///< Gets no jobs until the next trial.
  kTrial,        ///< Gets one trial job.
};

/// Counts the distinct jobs that failed on each worker since its last success.
/// A worker on which several distinct jobs failed in a row is quarantined: 3,
/// or 2 without a success on record. After a delay the worker gets one trial
/// job, whose success readmits the worker. The delay starts at 5 s, doubles
/// with each failed trial up to 640 s, and has a jitter of 25 % either way.
class WorkerHealth {
 public:
  explicit WorkerHealth(std::uint64_t random_seed) : seed(random_seed) {}

  /// Records that a job succeeded on a worker. Returns true when this readmits
  /// the worker.
  bool OnSuccess(WorkerIndex worker);
  /// Records that a job failed on a worker. Returns true when this quarantines
  /// the worker, also after a failed trial.
  bool OnFailure(WorkerIndex worker, JobHandle job, core::TimePoint now);
  /// Removes the failure of a job that turned out to be faulty from a worker's
  /// record. Returns true when this readmits the worker; a worker that has also
  /// failed a trial stays quarantined.
  bool DiscountFailures(WorkerIndex worker, JobHandle job);
  /// Returns the state of a worker; kHealthy for one without a record.
  HealthState StateOf(WorkerIndex worker) const;
  /// Starts a trial for each worker whose delay has passed and returns these
  /// workers. A trial without a result within 60 s is repeated.
  std::vector<WorkerIndex> TakeTrials(core::TimePoint now);
  /// Records that the trial job of a worker has started, and restarts the
  /// timeout of the trial.
  void OnTrialStarted(WorkerIndex worker, core::TimePoint now);
  /// Returns true when a worker is healthy, has a success on record, and no job
  /// other than this one has failed on the worker since. A failure there is
  /// evidence against the job.
  bool IsProven(WorkerIndex worker, JobHandle job) const;
  /// Returns the time of the next trial of a quarantined worker, or the time at
  /// which the current trial times out.
  core::TimePoint NextTrial(WorkerIndex worker) const;
  /// Returns the number of distinct jobs that failed since the last success.
  int FailureCount(WorkerIndex worker) const;
  /// Returns the workers that are quarantined or on trial, in no particular
  /// order.
  const std::vector<WorkerIndex>& Quarantined() const {
    return this->quarantined;
  }

 private:
  struct Health {
    HealthState state = HealthState::kHealthy;
    std::uint8_t failed_trials = 0;
    /// A job has succeeded on this worker since the record was last reset.
    bool succeeded = false;
    /// Distinct jobs that failed since the last success.
    std::vector<JobHandle> failed_jobs;
    /// The next trial, or the time at which the current trial times out.
    core::TimePoint next_trial;
  };

  Health& At(WorkerIndex worker);
  void Quarantine(WorkerIndex worker, core::TimePoint now);
  void Readmit(WorkerIndex worker);
  core::Duration TrialDelay(WorkerIndex worker, int failed_trials) const;

  std::uint64_t seed;
  std::vector<Health> workers;
  std::vector<WorkerIndex> quarantined;
};

}  // namespace hemlockdoor::decide
