// Jobs of steps, as callers describe them and as they are recorded.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// What a task takes of a worker.
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
  /// True when every part is at most that of `other`.
  bool FitsIn(const Resources& other) const {
    return this->millicores <= other.millicores &&
           this->memory_mb <= other.memory_mb &&
           this->accelerators <= other.accelerators;
  }
  bool operator==(const Resources&) const = default;
};

/// An accelerator weighs as many cores when work is measured; from the users'
/// rules on prices.
inline constexpr double kCoresPerAccelerator = 8.0;

/// Processors and accelerators of `resources` as a number of cores.
inline double CoreEquivalents(const Resources& resources) {
  constexpr double kMillicoresPerCore = 1000.0;
  return static_cast<double>(resources.millicores) / kMillicoresPerCore +
         kCoresPerAccelerator * static_cast<double>(resources.accelerators);
}

/// One step of a job: `count` tasks of the same shape.
struct StepSpec {
  int count = 1;
  Resources need;
  /// The caller's rough estimate of one task's run time.
  core::Duration estimate;
  /// Earlier steps that must be done first, counted from 0.
  std::vector<int> after;
  /// Tasks report checkpoints from which a later run continues.
  bool checkpoints = false;
  /// All tasks run together, with one run number, and end together.
  bool gang = false;
  /// A gang that is several times slower across racks.
  bool same_rack = false;
  /// Label that the worker must carry; empty: any.
  std::string required_label;
  /// Rack that holds the data; elsewhere tasks are several times slower.
  std::string preferred_rack;
  /// Most tasks of the step (of one occurrence) on one worker; 0: no limit.
  int max_per_worker = 0;
  /// Copies of a task may run in parallel.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted however they end.
  bool long_running = false;
  /// What the tasks run; tasks of one image behave alike.
  std::string image;
  /// Tail latency that a serving task must stay under; zero: none.
  core::Duration latency_target;
  /// Uses processor time that others leave; its millicores do not count.
  bool fills = false;
  /// Most tasks that the system may make unavailable at once; 0: no limit.
  int max_unavailable = 0;
};

/// A job as the caller described it.
struct JobSpec {
  core::JobId id;
  std::string payload;
  std::vector<StepSpec> steps;
  /// How often the steps run at set times; 0: once, at once.
  int occurrences = 0;
  /// Due time of the first occurrence, Unix milliseconds.
  std::int64_t first_due_wall_ms = 0;
  core::Duration interval;
};

/// What is stored of an accepted job. Never changes.
struct JobRecord {
  JobSpec spec;
  QueueName queue;
  core::ServiceName service;
  core::OrganisationId organisation;
  /// 0 comes first and may preempt the others.
  int priority = 0;
  int max_attempts = 1;
  /// The objective is `slack_factor` times the longest chain of work plus
  /// `objective`.
  double slack_factor = 1.0;
  core::Duration objective;
  std::int64_t accepted_wall_ms = 0;
};

/// The resources that a task of the step takes of a worker's capacity.
inline Resources CountedNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.fills) {
    need.millicores = 0;
  }
  return need;
}

}  // namespace hemlockdoor::batch
