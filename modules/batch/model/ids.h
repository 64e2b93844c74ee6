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
/// Number of a session between a planner and an agent. A session covers one
/// process of the agent, and ends when the planner counts the agent as lost;
/// the next one in the same epoch has the next number. Orders, terms and
/// complete lists of runs are valid only in the session they were given in.
using SessionNumber = core::StrongNumber<detail::SessionTag>;

/// Ranks the calls to a worker by the permission under which they are sent. A
/// worker refuses a call with a lower token than the highest that it has seen.
/// An agent raises the token when its worker has started anew or may have, so
/// that earlier calls are refused once the present incarnation has been polled.
struct FencingToken {
  core::SchedulingEpoch epoch;
  SessionNumber session;
  /// Number of times that the agent has raised the token during the session.
  std::uint64_t raises = 0;

  /// Returns one number with the same order, for fewer than 65,536 sessions in
  /// an epoch and 16,384 raises in a session. It fits into 53 bits, which all
  /// JSON parsers represent exactly, for up to eight million epochs.
  std::uint64_t Number() const;
  auto operator<=>(const FencingToken&) const = default;
};

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
