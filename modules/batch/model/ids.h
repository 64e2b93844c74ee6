// Names of tasks, runs and workers.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

namespace detail {
struct QueueTag {};
struct WorkerTag {};
}  // namespace detail

/// A queue of the configuration; jobs are handed in to one.
using QueueName = core::StrongId<detail::QueueTag>;
/// A worker as it names itself. A restarted worker may keep its id.
using WorkerId = core::StrongId<detail::WorkerTag>;

/// One life of a worker: id and time of birth.
struct WorkerIdentity {
  WorkerId id;
  /// Unix milliseconds of the worker's start; 0 when it did not say.
  std::int64_t born_wall_ms = 0;

  auto operator<=>(const WorkerIdentity&) const = default;
};

/// One task of a job: occurrence, step and index count from 0.
struct TaskName {
  core::JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  /// "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToText() const;
  /// Nothing when the text is not of that form.
  static std::optional<TaskName> FromText(const std::string& text);
  auto operator<=>(const TaskName&) const = default;
};

/// One start of a task. Numbers rise with each start of the task; members of a
/// gang share theirs.
struct RunKey {
  TaskName task;
  std::int64_t run = 0;

  auto operator<=>(const RunKey&) const = default;
};

}  // namespace hemlockdoor::batch
