// Quarantine of workers that fail what they start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// State of a worker's health.
enum class HealthState : std::uint8_t {
  kHealthy,
  kQuarantined,  ///< Gets no work until the next trial.
  kTrial,        ///< Gets one trial job.
};

/// Counts failures of distinct jobs on each worker. A worker that fails several
/// distinct jobs in a row is quarantined; after a delay that doubles with each
/// failed trial it gets one trial job, and a success readmits it.
class WorkerHealth {
 public:
  explicit WorkerHealth(std::uint64_t random_seed) : seed(random_seed) {}

  /// A job ended well here. True when this readmits the worker.
  bool OnSuccess(WorkerIndex worker);
  /// A job failed here. True when this quarantines the worker.
  bool OnFailure(WorkerIndex worker, JobHandle job, core::TimePoint now);
  /// The failures of a job are the job's own fault: they no longer count here.
  /// True when this readmits the worker.
  bool DiscountFailures(WorkerIndex worker, JobHandle job);
  /// A worker that vanished and came back begins anew, but keeps its
  /// quarantine.
  HealthState StateOf(WorkerIndex worker) const;
  /// Workers whose quarantine is over now; they are on trial from now on.
  std::vector<WorkerIndex> TakeTrials(core::TimePoint now);
  /// A trial job was started here; no other until it ends.
  void OnTrialStarted(WorkerIndex worker, core::TimePoint now);
  /// Other work ended well here lately, and none but this job failed: a failure
  /// here speaks against the job.
  bool IsProven(WorkerIndex worker, JobHandle job) const;
  core::TimePoint NextTrial(WorkerIndex worker) const;
  int FailureCount(WorkerIndex worker) const;
  const std::vector<WorkerIndex>& Quarantined() const {
    return this->quarantined;
  }

 private:
  struct Health {
    HealthState state = HealthState::kHealthy;
    std::uint8_t failed_trials = 0;
    /// Some job ended well here since the last quarantine.
    bool succeeded = false;
    std::vector<JobHandle> failed_jobs;
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
