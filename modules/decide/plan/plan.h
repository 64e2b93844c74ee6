// Offline plan: the decisions of the scheduler for workers, a catalogue and
// jobs that are read from files.
#pragma once

#include <string>
#include <vector>

#include "modules/decide/scheduler/decisions.h"

namespace hemlockdoor::decide {

/// An input file: its name, for error messages, and its content.
struct PlanFile {
  std::string name;
  std::string text;
};

/// Inputs of a plan. docs/examples/ shows the file formats.
struct PlanInputs {
  PlanFile workers;
  PlanFile catalogue;
  PlanFile jobs;
  /// Seed of the scheduler's random choices.
  std::uint64_t seed = 1;
};

/// The scheduler's decision on a job.
enum class PlanVerdict {
  kRunning,  ///< The job already runs and continues.
  kPlaced,   ///< The job starts now.
  kStopped,  ///< The job runs and is preempted.
  kWaiting,  ///< The job is queued; `reason` tells why.
  kRefused,  ///< The job is refused; `reason` tells why.
};

/// The outcome of a plan for one job.
struct PlannedJob {
  core::JobId job;
  PlanVerdict verdict = PlanVerdict::kWaiting;
  /// The places of the members, for a job that runs or starts.
  std::vector<Placement> members;
  bool within_guarantee = false;
  /// Why the job waits or is refused; for a stopped job how it is preempted,
  /// and for which job.
  std::string reason;
  /// Jobs that are preempted for this job.
  std::vector<core::JobId> stops;
};

/// The outcome of a plan. It depends on nothing but the inputs.
struct PlanReport {
  /// In the order of the jobs file.
  std::vector<PlannedJob> jobs;
  /// Guarantees that the workers lack the capacity for.
  std::vector<UnmetGuarantee> short_guarantees;

  /// Formats the report for people: one line for each job, then one for each
  /// entry whose guarantees cannot be met.
  std::string ToText() const;
  /// Formats the report as one JSON document.
  std::string ToJson() const;
};

/// Runs the scheduler once on the inputs and returns its decisions. Invalid
/// inputs give kInvalidArgument, with the file and the JSON path in
/// `Error::path`.
core::Expected<PlanReport> RunPlan(const PlanInputs& inputs);

}  // namespace hemlockdoor::decide
