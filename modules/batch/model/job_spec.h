// Jobs and their steps, as submitted by callers and as stored.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Resources that a task needs, or that a worker has.
struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  Resources operator+(const Resources& other) const {
    return {this->millicores + other.millicores,
            this->memory_mb + other.memory_mb,
            this->accelerators + other.accelerators};
  }
  Resources operator-(const Resources& other) const {
    return {this->millicores - other.millicores,
            this->memory_mb - other.memory_mb,
            this->accelerators - other.accelerators};
  }
  /// Returns true if no resource exceeds that of `other`.
  bool FitsIn(const Resources& other) const {
    return this->millicores <= other.millicores &&
           this->memory_mb <= other.memory_mb &&
           this->accelerators <= other.accelerators;
  }
  bool operator==(const Resources&) const = default;
};

/// Number of cores that one accelerator is worth when the amount of work is
/// measured, according to the users' price rules.
inline constexpr double kCoresPerAccelerator = 8.0;

/// Converts processors and accelerators to an equivalent number of cores.
/// Memory does not count.
inline double CoreEquivalents(const Resources& resources) {
  constexpr double kMillicoresPerCore = 1000.0;
  return static_cast<double>(resources.millicores) / kMillicoresPerCore +
         kCoresPerAccelerator * static_cast<double>(resources.accelerators);
}

/// One step of a job: `count` tasks of the same shape.
struct StepSpec {
  int count = 1;
  Resources need;
  /// Caller's estimate of the run time of one task.
  core::Duration estimate;
  /// Indices, from 0, of earlier steps that must be done before this one
  /// starts.
  std::vector<int> after;
  /// Tasks save checkpoints from which a later run can continue.
  bool checkpoints = false;
  /// Gang scheduling: all tasks start together with the same run number, and if
  /// one of them ends early the others are stopped.
  bool gang = false;
  /// The gang runs several times slower if its tasks are spread over racks.
  bool same_rack = false;
  /// Label that a worker must have; empty if any worker will do.
  std::string required_label;
  /// Rack that holds the input data; on other racks tasks run several times
  /// slower. Empty if there is no such rack.
  std::string preferred_rack;
  /// Maximum number of tasks of this step and occurrence on one worker; 0 means
  /// no limit.
  int max_per_worker = 0;
  /// Several copies of a task may run in parallel (speculative execution).
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool long_running = false;
  /// Image that the tasks run. Tasks of the same image are assumed to behave
  /// alike.
  std::string image;
  /// Upper bound on the tail latency of a serving task; zero if there is none.
  core::Duration latency_target;
  /// Tasks use only idle processor time, so their millicores are not counted
  /// against the worker's capacity.
  bool fills = false;
  /// Maximum number of tasks that the system may make unavailable at the same
  /// time; 0 means no limit.
  int max_unavailable = 0;
};

/// A job as submitted by the caller.
struct JobSpec {
  core::JobId id;
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences of the steps; 0 means once, immediately.
  int occurrences = 0;
  /// Due time of the first occurrence, Unix milliseconds.
  std::int64_t first_due_wall_ms = 0;
  /// Time between the due times of consecutive occurrences.
  core::Duration interval;
};

/// Whose a job is. It decides who may ask for the job and cancel it.
struct JobOwner {
  /// Empty if the job was submitted without a key.
  core::OrganisationId organisation;
  /// The queue that the job was submitted to.
  QueueName queue;
};

/// Stored record of an accepted job. It is immutable; progress is stored in
/// ProgressRecord.
struct JobRecord {
  JobSpec spec;
  QueueName queue;
  core::ServiceName service;
  core::OrganisationId organisation;
  /// 0 is the most urgent. Jobs of a lower number may preempt those of a higher
  /// one.
  int priority = 0;
  /// Failed runs of a task after which the job fails.
  int max_attempts = 1;
  /// The completion time objective is `slack_factor` times the run time of the
  /// critical path, plus `objective`.
  double slack_factor = 1.0;
  core::Duration objective;
  /// Unix milliseconds.
  std::int64_t accepted_wall_ms = 0;
  /// Time of the caller's first request if an earlier one was rejected, in Unix
  /// milliseconds; otherwise 0. Completion times are measured from it.
  std::int64_t first_attempt_wall_ms = 0;

  /// Returns the time from the caller's first request to the acceptance.
  core::Duration AgeWhenAccepted() const {
    return core::Duration::Milliseconds(
        this->first_attempt_wall_ms == 0
            ? 0
            : std::max<std::int64_t>(
                  0, this->accepted_wall_ms - this->first_attempt_wall_ms));
  }
  JobOwner Owner() const { return {this->organisation, this->queue}; }
};

/// Largest number of tasks of a job, over all steps and occurrences. The
/// planner keeps state for each of them, and every planner loads each stored
/// job.
inline constexpr std::int64_t kMaxTasksPerJob = 20'000;

/// Fails with kInvalidArgument, naming the field, unless each number of the job
/// is in range, each step depends on earlier steps only, and the job has at
/// most `kMaxTasksPerJob` tasks.
core::Expected<void> ValidateJobSpec(const JobSpec& spec);

/// Returns for each step the number of steps, itself included, on the longest
/// chain of steps that depend on each other and begins with it. Expects a valid
/// job.
std::vector<int> ChainLengths(const JobSpec& spec);

/// Returns the resources of one task that count against a worker's capacity.
inline Resources CountedNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.fills) {
    need.millicores = 0;
  }
  return need;
}

}  // namespace hemlockdoor::batch
