// A job in the planner: its units, their runs and what is recorded of them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// One task's run that holds, or may hold, capacity on a worker.
struct Member {
  core::AgentId agent;
  WorkerIdentity worker;
  int index = 0;
  std::int64_t run = 0;
  /// Batch in which it was ordered; 0: not sent yet, or taken over.
  std::uint64_t batch = 0;
  bool sent = false;
  bool confirmed = false;
  /// Started by an earlier planner; `since` is when it was first seen.
  bool adopted = false;
  bool stop_wanted = false;
  std::optional<core::TimePoint> stop_sent;
  /// When it was ordered or first seen.
  core::TimePoint since;
  /// The checkpoint that it was started from; empty: it began anew. All members
  /// of a gang have the same.
  std::string started_from;
  int percent = 0;
  /// How long `percent` had not changed when it was last reported.
  core::Duration still;
};

enum class UnitPhase {
  kBlocked,  ///< Earlier steps are not done, or it is not due.
  kReady,    ///< May start when it has no members.
  kDone,
  kFailed,
};

/// What is placed as a whole: one task, or all tasks of a gang.
struct Unit {
  int occurrence = 0;
  int step = 0;
  /// First task index, and the number of tasks.
  int first = 0;
  int size = 1;
  UnitPhase phase = UnitPhase::kBlocked;
  std::vector<Member> members;
  std::set<std::int64_t> failed_runs;
  std::int64_t highest_run = 0;
  /// The newest that its runs saved, as far as reported.
  std::string checkpoint;
  /// Workers on which it failed or was turned away.
  std::set<WorkerId> avoided;
  /// No start before; after a start that was turned away.
  core::TimePoint not_before;
  core::TimePoint ready_since;
  /// Capacity kept for it while others are being stopped, by agent.
  std::map<core::AgentId, Resources> reserved;
  core::TimePoint reserved_until;

  /// A stop of some of its runs is wanted.
  bool IsStopping() const {
    return std::any_of(this->members.begin(), this->members.end(),
                       [](const Member& member) { return member.stop_wanted; });
  }
};

/// One job.
struct Job {
  JobRecord record;
  core::TimePoint accepted;
  /// May have runs that this planner has not heard of yet.
  bool from_earlier_term = false;
  bool cancelled = false;
  JobOutcome outcome = JobOutcome::kOpen;
  std::vector<Unit> units;
  bool started = false;
  /// Rises with each change of the progress record.
  std::uint64_t version = 0;
  std::uint64_t recorded_version = 0;
  /// When the oldest unrecorded change was made.
  core::TimePoint changed;
  /// Since when a checkpoint of a run that goes on waits to be stored.
  std::optional<core::TimePoint> checkpoint_waits;
  core::TimePoint ended;

  /// Makes the units of a record, with what is known of its progress.
  static Job Create(JobRecord record, const ProgressRecord* progress);
  /// The unit of a task; nullptr when the job has no such task.
  Unit* FindUnit(const TaskName& task);
  /// The progress to be stored.
  ProgressRecord Progress(std::int64_t wall_ms) const;
  bool IsOpen() const {
    return this->outcome == JobOutcome::kOpen && !this->cancelled;
  }
  const StepSpec& StepOf(const Unit& unit) const {
    return this->record.spec.steps[static_cast<std::size_t>(unit.step)];
  }
  TaskName NameOf(const Unit& unit, int index) const {
    return TaskName{this->record.spec.id, unit.occurrence, unit.step, index};
  }
  /// All units of the step are done.
  bool IsStepDone(int occurrence, int step) const;

 private:
  /// Index of the first unit of each (occurrence, step).
  std::map<std::pair<int, int>, std::size_t> first_units;
};

}  // namespace hemlockdoor::batch
