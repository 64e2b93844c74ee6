// Explains in words why a job waits.
#pragma once

#include <string>

#include "modules/decide/scheduler/scheduler_state.h"

namespace hemlockdoor::decide {

/// Explains the wait of a job from the current state of the scheduler.
class WaitExplainer {
 public:
  explicit WaitExplainer(const SchedulerState& scheduler) : state(scheduler) {}

  /// Returns nothing when the job is unknown or does not wait for a start.
  std::optional<WaitReason> Explain(const core::JobId& id) const;

 private:
  std::string ExplainCap(const JobRecord& job, BlockReason reason) const;
  std::string ExplainCapacity(JobHandle job) const;
  std::string ExplainSlots(const JobRecord& job) const;

  const SchedulerState& state;
};

}  // namespace hemlockdoor::decide
