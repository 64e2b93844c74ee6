// Checks jobs on arrival.
#pragma once

#include "modules/decide/scheduler/job_lifecycle.h"

namespace hemlockdoor::decide {

/// Queues a job, or refuses it with a reason. Constant time, but for the first
/// job of a shape after workers changed.
class SubmissionHandler {
 public:
  explicit SubmissionHandler(SchedulerState& scheduler)
      : state(scheduler), lifecycle(scheduler) {}

  tl::expected<void, RefuseDecision> Submit(
      const model::JobDescription& description,
      core::TimePoint now);
  /// Makes the record of a job, without queueing it.
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
