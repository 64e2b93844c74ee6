// Reads the files of an offline plan.
#pragma once

#include <vector>

#include "modules/decide/plan/plan.h"
#include "modules/decide/scheduler/scheduler.h"

namespace hemlockdoor::decide {

/// One job of a jobs file; with members it runs already.
struct PlanJob {
  model::JobDescription description;
  std::vector<Placement> members;
  /// Time since its start.
  core::Duration running_for;
};

core::Expected<std::vector<WorkerView>> ReadPlanWorkers(const PlanFile& file);
core::Expected<std::vector<PlanJob>> ReadPlanJobs(const PlanFile& file);

}  // namespace hemlockdoor::decide
