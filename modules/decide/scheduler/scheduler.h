// The scheduler: makes all placement, queueing, limit and reclaim decisions.
// Deterministic for a seed; without I/O, Qt or a clock of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/scheduler/decisions.h"
#include "modules/decide/scheduler/policy.h"
#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// Fixed parameters of a scheduler.
struct SchedulerOptions {
  std::uint64_t seed = 1;
  /// True for the planning owner, which places all jobs. Any other entry places
  /// only jobs that have one member and no accelerators.
  bool plans_accelerators = true;
  Policy policy;
};

/// State of a worker as reported by its agent.
struct WorkerView {
  core::AgentId agent;
  model::WorkerShape shape;
  /// Slots used by tasks that this scheduler did not place.
  int foreign_slots = 0;
  /// Accelerators used by tasks that this scheduler did not place.
  model::AcceleratorSet foreign_accelerators;
  bool draining = false;
};

/// A job that runs already, found after a restart or a change of the planning
/// owner.
struct RunningJob {
  model::JobDescription description;
  std::vector<Placement> members;
  core::TimePoint started;
};

/// A worker that gets trial jobs only, because jobs failed on it.
struct QuarantinedWorker {
  core::AgentId agent;
  std::string reason;
  core::TimePoint next_trial;
};

/// Makes the decisions of one entry or of an offline plan. All times are passed
/// in. Not synchronised: the caller uses it from one thread at a time.
class Scheduler {
 public:
  /// Fails with kInvalidArgument for options out of range.
  static core::Expected<Scheduler> Create(const SchedulerOptions& options);

  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  ~Scheduler();

  /// Adds a worker, or updates the state of a known worker.
  void UpsertWorker(const WorkerView& worker, core::TimePoint now);
  /// Marks a worker as absent. Jobs on it stay counted as running until the
  /// caller reports their end with `OnEnded`.
  void RemoveWorker(const core::AgentId& agent, core::TimePoint now);

  /// Checks that all guarantees of a catalogue fit at once on the workers that
  /// are present and not draining, regardless of running jobs. The error names
  /// the entry and the reason.
  core::Expected<void> CheckGuarantees(const model::Catalogue& catalogue) const;
  /// Applies a catalogue; ignores one with a lower revision than the current
  /// one. Running jobs are not stopped.
  void ApplyCatalogue(const model::Catalogue& catalogue, core::TimePoint now);
  /// Returns the guarantees that do not fit on the usable workers.
  std::vector<UnmetGuarantee> UnmetGuarantees() const;

  /// Queues a job, or refuses it at once. Has no effect when the job is known
  /// already, unless its start has timed out.
  tl::expected<void, RefuseDecision> Submit(const model::JobDescription& job,
                                            core::TimePoint now);
  /// Removes a job that has not been granted a start; false when the job is
  /// granted, running or unknown.
  bool Cancel(const core::JobId& job, core::TimePoint now);
  /// Counts a job as running that was started before this scheduler was
  /// created or became responsible for it.
  void Adopt(const RunningJob& job, core::TimePoint now);

  /// Returns the decisions that are due now. Call it after events, and at least
  /// every 100 ms while jobs wait. The cost depends on the jobs that may have
  /// become able to start, not on the length of the queues.
  std::vector<Decision> Plan(core::TimePoint now);

  /// Records that a job has started on all its members.
  void OnStarted(const core::JobId& job, core::TimePoint now);
  /// Records that `agent` refused a start; the job is queued again at its
  /// previous position.
  void OnStartRefused(const core::JobId& job,
                      const core::AgentId& agent,
                      core::TimePoint now);
  /// Records that a job has ended; `failed_on` names the agent of the member
  /// that failed, if any. The caller submits a preempted job again when it is
  /// to run again.
  void OnEnded(const core::JobId& job,
               model::JobOutcome outcome,
               const std::optional<core::AgentId>& failed_on,
               core::TimePoint now);

  /// True when the job uses one of its entry's guarantees; its capacity is then
  /// not reclaimed for other jobs.
  bool IsWithinGuarantee(const core::JobId& job) const;
  /// Returns why a job waits; nothing when the job does not wait for a start.
  std::optional<WaitReason> WhyWaiting(const core::JobId& job) const;
  /// Returns the workers that get trial jobs only.
  std::vector<QuarantinedWorker> Quarantined() const;
  /// Number of jobs that wait for a start, including those that hold a place
  /// which is being reclaimed.
  std::size_t QueuedCount() const;

 private:
  struct State;
  explicit Scheduler(std::unique_ptr<State> initial);
  std::unique_ptr<State> state;
};

}  // namespace hemlockdoor::decide
