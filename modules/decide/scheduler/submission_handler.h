// Checks submitted jobs and queues those that pass.
#pragma once

#include "modules/decide/scheduler/job_lifecycle.h"

namespace hemlockdoor::decide {

/// Handles job submissions.
class SubmissionHandler {
 public:
  explicit SubmissionHandler(SchedulerState& scheduler)
      : state(scheduler), lifecycle(scheduler) {}

  /// Queues a job, or refuses it with a reason. Has no effect when the job is
  /// already known, unless its start has timed out. Takes constant time, except
  /// for the first job of a shape after the workers changed.
  tl::expected<void, RefuseDecision> Submit(
      const model::JobDescription& description,
      core::TimePoint now);
  /// Creates the record of a job without queueing the job.
  JobHandle MakeRecord(const model::JobDescription& description,
                       core::TimePoint now);

 private:
  using Check = std::optional<RefuseDecision>;

  Check CheckShape(const model::JobDescription& job) const;
  Check CheckFailureHistory(const model::JobDescription& job,
                            core::TimePoint now);
  Check CheckLimits(const model::JobDescription& job,
                    const EntryState& entry) const;
  Check CheckFeasible(const model::JobDescription& job, core::TimePoint now);
  Check CheckDeadline(const model::JobDescription& job,
                      const EntryState& entry);

  SchedulerState& state;
  JobLifecycle lifecycle;
};

}  // namespace hemlockdoor::decide
