// Reads the workers file and the jobs file of an offline plan.
#pragma once

#include <vector>

#include "modules/decide/plan/plan.h"
#include "modules/decide/scheduler/scheduler.h"

namespace hemlockdoor::decide {

/// One job of a jobs file.
struct PlanJob {
  model::JobDescription description;
  /// The places of a job that already runs; empty for a queued job.
  std::vector<Placement> members;
  /// Time since the start of a running job.
  core::Duration running_for;
};

/// Each returns kInvalidArgument for an invalid file, with the file and the
/// JSON path in `Error::path`.
core::Expected<std::vector<WorkerView>> ReadPlanWorkers(const PlanFile& file);
core::Expected<std::vector<PlanJob>> ReadPlanJobs(const PlanFile& file);

}  // namespace hemlockdoor::decide
