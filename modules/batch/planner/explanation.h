// What the planner would do with a job now, and why.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/batch/model/job_spec.h"
#include "modules/batch/planner/admission.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Asks for the explanation of one job.
struct ExplainRequest {
  /// An accepted job; empty if the other fields describe a job.
  core::JobId job;
  QueueName queue;
  /// May be empty.
  core::OrganisationId organisation;
  std::vector<StepSpec> steps;
};

/// What happens with tasks of a step.
enum class StepOutcome {
  kStarts,
  kWaits,
  kPreempts,  ///< Waits for other work that is stopped for it.
  kNever,     ///< No set of the known workers can hold it.
  kRunning,
  kDone,
};

/// A worker on which tasks of the step are placed or for which they wait.
struct ChosenWorker {
  WorkerId worker;
  core::DataCentreId data_centre;
  core::RackId rack;
  int tasks = 0;
};

/// A unit that is stopped.
struct PreemptedWork {
  core::JobId job;
  core::OrganisationId organisation;
  int priority = 0;
  /// Number of tasks.
  int tasks = 0;
  /// Core-seconds that are lost.
  double loss = 0;
};

/// Tasks of one step with the same outcome.
struct StepExplanation {
  /// Number of the step, from 0.
  int step = 0;
  StepOutcome outcome = StepOutcome::kWaits;
  /// Number of tasks of the step with this outcome.
  std::int64_t tasks = 0;
  /// At most `kMaxNamedWorkers` of the workers, and how many there are.
  std::vector<ChosenWorker> workers;
  std::size_t worker_count = 0;
  /// From now to the expected start and end of the tasks; nullopt if unknown.
  std::optional<core::Duration> expected_start;
  std::optional<core::Duration> expected_end;
  /// At most `kMaxReasons`.
  std::vector<std::string> reasons;
  /// At most `kMaxNamedWorkers` of the units that are stopped, how many there
  /// are, and the core-seconds that are lost by them in total.
  std::vector<PreemptedWork> preempted;
  std::size_t preempted_count = 0;
  double loss = 0;
  /// Core-seconds that may be lost for one unit; nullopt if there is no bound,
  /// because the job is within the guarantee of its organisation.
  std::optional<double> loss_bound;
};

/// Units of a job that are before the explained job in the start order.
struct JobAhead {
  core::JobId job;
  core::OrganisationId organisation;
  int priority = 0;
  std::int64_t units = 0;
  /// What places it before the explained job.
  std::string rule;
};

/// Answer to an `ExplainRequest`.
struct Explanation {
  core::SchedulingEpoch epoch;
  /// Age of the oldest report of an agent that is not lost.
  core::Duration oldest_report;
  /// Empty for an accepted job.
  std::optional<AdmissionDecision> admission;
  std::vector<StepExplanation> steps;
  /// At most `kMaxJobsAhead` of the jobs, in the start order, and the number of
  /// jobs and units ahead.
  std::vector<JobAhead> ahead;
  std::int64_t jobs_ahead = 0;
  std::int64_t units_ahead = 0;
};

/// Bounds of the size of an answer.
inline constexpr std::size_t kMaxNamedWorkers = 20;
inline constexpr std::size_t kMaxReasons = 5;
inline constexpr std::size_t kMaxJobsAhead = 20;

/// Decodes a request from JSON. Fails with kInvalidArgument and the JSON path
/// of the invalid field. Unknown fields are invalid, since a misspelt
/// requirement would make the answer wrong.
core::Expected<ExplainRequest> ExplainRequestFromText(const std::string& text);

std::string ToText(const Explanation& explanation);

/// Returns the name used in answers: "starts", "waits", "preempts", "never",
/// "running" or "done".
std::string NameOf(StepOutcome outcome);

}  // namespace hemlockdoor::batch
