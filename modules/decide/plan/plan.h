// Offline plan: what the scheduler would decide for a set of files.
#pragma once

#include <string>
#include <vector>

#include "modules/decide/scheduler/decisions.h"

namespace hemlockdoor::decide {

/// Text of an input file, and its name for error messages.
struct PlanFile {
  std::string name;
  std::string text;
};

/// Inputs of a plan. The formats are described by docs/examples/.
struct PlanInputs {
  PlanFile workers;
  PlanFile catalogue;
  PlanFile jobs;
  std::uint64_t seed = 1;
};

/// What a plan says of a job.
enum class PlanVerdict {
  kRunning,  ///< It ran already and goes on.
  kPlaced,   ///< It starts now.
  kStopped,  ///< It runs and is asked to leave for another job.
  kWaiting,  ///< It waits, for the reason given.
  kRefused,  ///< It is refused, for the reason given.
};

/// One job of a plan.
struct PlannedJob {
  core::JobId job;
  PlanVerdict verdict = PlanVerdict::kWaiting;
  /// Places when it runs or starts.
  std::vector<Placement> members;
  bool within_guarantee = false;
  /// Why it waits, is refused or is stopped.
  std::string reason;
  /// Jobs that are stopped for it.
  std::vector<core::JobId> stops;
};

/// The outcome of a plan. The same inputs give the same text.
struct PlanReport {
  /// In the order of the jobs file.
  std::vector<PlannedJob> jobs;
  /// Guarantees that the workers cannot meet.
  std::vector<UnmetGuarantee> short_guarantees;

  /// Lines for people.
  std::string ToText() const;
  /// One JSON document.
  std::string ToJson() const;
};

/// Runs the real scheduler once on the inputs. kInvalidArgument names the file
/// and the JSON path.
core::Expected<PlanReport> RunPlan(const PlanInputs& inputs);

}  // namespace hemlockdoor::decide
