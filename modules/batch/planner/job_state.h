// State of a job in the planner: its units, their runs and its progress.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/model/messages.h"
#include "modules/batch/planner/wait_reason.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// One run of a task of a unit, which occupies or may occupy capacity on a
/// worker.
struct UnitMember {
  core::AgentId agent;
  WorkerIdentity worker;
  /// Task index within the step.
  int index = 0;
  /// Run number.
  std::int64_t run = 0;
  /// Number of the order batch with the start or, if `in_doubt`, of the latest
  /// batch that revoked it. A complete report that covers this batch and does
  /// not list the run proves that it is over. 0 if the start has not been sent,
  /// or if an earlier planner sent it.
  std::uint64_t batch = 0;
  /// The start has been sent to the agent, and when; the time is that of the
  /// first report of an adopted run.
  bool sent = false;
  core::TimePoint sent_at;
  /// The worker has confirmed the start.
  bool confirmed = false;
  /// The start was sent to an earlier process of the agent, which did not
  /// confirm it, so the worker may still carry it out.
  bool in_doubt = false;
  /// The run was started by an earlier planner and found in a report.
  bool adopted = false;
  bool stop_requested = false;
  std::optional<core::TimePoint> stop_sent_at;
  /// Time of placement, or of the first report of an adopted run.
  core::TimePoint since;
  /// Checkpoint from which the run was started; empty if it started from the
  /// beginning. The same for all members of a gang.
  std::string started_from;
  /// Reported progress from 0 to 100, and when a report first stated it.
  int percent = 0;
  core::TimePoint percent_at;
  /// Time for which `percent` had not changed at the latest report.
  core::Duration still;
};

/// A start of a run that is over, of which a copy had no answer; see
/// `ActiveRun::is_over`. It occupies nothing.
struct OpenStart {
  core::AgentId agent;
  /// Task index within the step.
  int index = 0;
  /// Run number.
  std::int64_t run = 0;

  bool operator==(const OpenStart&) const = default;
};

/// The newest checkpoint of a unit. Checkpoints are opaque, and the reports of
/// the members of a gang arrive in any order, so their age is told from the
/// run, its progress, and the kind of report.
class CheckpointState {
 public:
  CheckpointState() = default;
  /// Starts from a stored checkpoint.
  explicit CheckpointState(std::string stored) : text(std::move(stored)) {}

  /// Returns the checkpoint; empty if there is none.
  const std::string& Text() const { return this->text; }
  /// A run that is active with this progress has this checkpoint. Returns true
  /// if it became the newest one.
  bool OnActive(const ActiveRun& active);
  /// A run has ended with this checkpoint. A run that is stopped saves all its
  /// progress, so its checkpoint is newer than all others of the same run.
  void OnEnd(const RunEnd& end);

 private:
  std::string text;
  /// Run that reported it, and its progress, from 0 to 100.
  std::int64_t run = 0;
  int percent = 0;
  /// It was saved when the run was stopped.
  bool is_final = false;
};

enum class UnitPhase {
  kBlocked,  ///< Waits for earlier steps or for its due time.
  kReady,    ///< May be placed as long as it has no members.
  kDone,
  kFailed,
};

/// Unit of placement: one task, or all tasks of a gang.
struct Unit {
  int occurrence = 0;
  int step = 0;
  /// Index of the first task, and number of tasks.
  int first = 0;
  int size = 1;
  UnitPhase phase = UnitPhase::kBlocked;
  /// Runs that have not ended, one for each task.
  std::vector<UnitMember> members;
  /// Copies of earlier starts that a later process of a worker may carry out.
  std::vector<OpenStart> open_starts;
  /// Numbers of the runs that failed.
  std::set<std::int64_t> failed_runs;
  /// Highest run number used so far.
  std::int64_t highest_run = 0;
  /// Newest checkpoint of its runs. Any member of a gang may have reported it.
  CheckpointState checkpoint;
  /// Workers on which a run failed or a start was rejected. Placement prefers
  /// others.
  std::set<WorkerId> avoided_workers;
  /// Earliest time of the next start, after a rejected one.
  core::TimePoint start_not_before;
  /// When the unit became ready, or when its last member left.
  core::TimePoint ready_since;
  /// Capacity reserved for the unit, by agent.
  std::map<core::AgentId, Resources> reserved;
  /// The reservation is for capacity that preempted runs free. It holds until
  /// `reserved_until`; any other is decided anew with each decision.
  bool reserved_by_preemption = false;
  core::TimePoint reserved_until;
  /// Time factor of the slowest of the workers of its latest runs.
  double time_factor = 1.0;
  /// Number of times it was preempted.
  int preemptions = 0;
  /// What kept it from its start in the latest decision, if it was ready.
  WaitReason wait_reason = WaitReason::kNone;

  /// Returns true if some of its runs are to be stopped.
  bool IsStopping() const {
    return std::any_of(
        this->members.begin(), this->members.end(),
        [](const UnitMember& member) { return member.stop_requested; });
  }
};

/// A job and its progress.
struct Job {
  JobRecord record;
  core::TimePoint accepted;
  /// The job was loaded when the term began. It may have runs, started by an
  /// earlier planner, that no agent has reported to this one yet.
  bool from_earlier_term = false;
  bool cancelled = false;
  JobOutcome outcome = JobOutcome::kOpen;
  /// All units, ordered by occurrence, step and first task.
  std::vector<Unit> units;
  /// See `ChainLengths`.
  std::vector<int> chain_lengths;
  /// A run was reported, or a run number was used in an earlier term.
  bool started = false;
  /// Version of the progress; rises with each change that must be stored.
  std::uint64_t version = 0;
  /// Version of the progress in the store.
  std::uint64_t recorded_version = 0;
  /// Time of the oldest change that is not stored yet.
  core::TimePoint unrecorded_since;
  /// Time since which a new checkpoint of a running task waits to be stored.
  std::optional<core::TimePoint> checkpoint_waiting_since;
  core::TimePoint ended;
  /// Time since which the job has had ready units and nothing running, and when
  /// this was logged last. Kept by the planner.
  std::optional<core::TimePoint> idle_since;
  core::TimePoint idle_logged_at;

  /// Creates the job and its units from the stored record, and restores its
  /// progress if `progress` is not nullptr.
  static Job Create(JobRecord record, const ProgressRecord* progress);
  /// Returns the unit of a task, or nullptr if the job has no such task.
  Unit* FindUnit(const TaskName& task);
  /// Returns the progress to be stored; `wall_ms` is recorded as the time of
  /// the end if the job has ended.
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
  /// Returns true if some unit has runs that have not ended.
  bool HasRuns() const;
  /// Returns the first ready unit of an open job that has nothing running, or
  /// nullptr.
  const Unit* FirstWaitingUnit() const;
  /// Returns true if all units of the step are done in this occurrence.
  bool IsStepDone(int occurrence, int step) const;

 private:
  /// Index of the first unit of each (occurrence, step).
  std::map<std::pair<int, int>, std::size_t> first_units;
};

/// Jobs of this and higher priority numbers are backfill work.
inline constexpr int kBackfillPriority = 2;

/// Returns true for backfill work that loses its progress when it is stopped.
inline bool IsUncheckpointedBackfill(const Job& job, const Unit& unit) {
  const StepSpec& step = job.StepOf(unit);
  return job.record.priority >= kBackfillPriority && !step.checkpoints &&
         !step.long_running;
}

}  // namespace hemlockdoor::batch
