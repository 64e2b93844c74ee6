// Identifiers of queues, workers, tasks and runs.
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
struct SessionTag {};
}  // namespace detail

/// Name of a queue in the configuration. Each job is submitted to one queue.
using QueueName = core::StrongId<detail::QueueTag>;
/// Id that a worker reports for itself. A restarted worker may reuse its id.
using WorkerId = core::StrongId<detail::WorkerTag>;
/// Number of a session between a planner and an agent. A session ends when the
/// planner counts the agent as lost; the next one in the same epoch has the
/// next number. Orders and terms are valid only in the session they were given
/// in.
using SessionNumber = core::StrongNumber<detail::SessionTag>;

/// One incarnation of a worker: its id and start time. The start time tells a
/// restarted worker from its predecessor with the same id.
struct WorkerIdentity {
  WorkerId id;
  /// Start time in Unix milliseconds; 0 if the worker did not report one.
  std::int64_t born_wall_ms = 0;

  auto operator<=>(const WorkerIdentity&) const = default;
};

/// Identifies one task of a job. Occurrence, step and index count from 0.
struct TaskName {
  core::JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  /// Returns the text form "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToText() const;
  /// Parses the text form; returns nullopt if `text` does not have it.
  static std::optional<TaskName> FromText(const std::string& text);
  auto operator<=>(const TaskName&) const = default;
};

/// Identifies one run of a task. The run number rises with each start of the
/// task. All tasks of a gang share one run number.
struct RunKey {
  TaskName task;
  std::int64_t run = 0;

  auto operator<=>(const RunKey&) const = default;
};

}  // namespace hemlockdoor::batch
