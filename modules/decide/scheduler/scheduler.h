// The scheduler: all placement, queueing, limit and reclaim decisions.
// Deterministic for a seed; no I/O, no Qt, no clock of its own.
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
  /// Which jobs this scheduler is given. An entry that is not planning owner
  /// places only jobs without accelerators that are single tasks.
  bool plans_accelerators = true;
  Policy policy;
};

/// What is known of a worker beyond its shape.
struct WorkerView {
  core::AgentId agent;
  model::WorkerShape shape;
  /// Slots used by tasks that this scheduler did not place.
  int foreign_slots = 0;
  /// Accelerators used by tasks that this scheduler did not place.
  model::AcceleratorSet foreign_accelerators;
  bool draining = false;
};

/// A task that runs already, found after a restart or a change of owner.
struct RunningJob {
  model::JobDescription description;
  std::vector<Placement> members;
  core::TimePoint started;
};

/// One quarantined worker.
struct QuarantinedWorker {
  core::AgentId agent;
  std::string reason;
  core::TimePoint next_trial;
};

/// All decisions of one entry or of an offline plan.
class Scheduler {
 public:
  /// Fails with kInvalidArgument for options out of range.
  static core::Expected<Scheduler> Create(const SchedulerOptions& options);

  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  ~Scheduler();

  /// Adds a worker or takes over what is newly known of it.
  void UpsertWorker(const WorkerView& worker, core::TimePoint now);
  /// Forgets a worker; jobs on it must be ended by `OnEnded`.
  void RemoveWorker(const core::AgentId& agent, core::TimePoint now);

  /// Tells whether all guarantees of a catalogue can be packed at once on the
  /// workers known now; the error names the entry and the reason.
  core::Expected<void> CheckGuarantees(const model::Catalogue& catalogue) const;
  /// Takes a catalogue into force; nothing in progress is cut.
  void ApplyCatalogue(const model::Catalogue& catalogue, core::TimePoint now);
  /// Guarantees that the workers known now cannot meet.
  std::vector<UnmetGuarantee> UnmetGuarantees() const;

  /// Queues a job, or refuses it at once (never to be started).
  tl::expected<void, RefuseDecision> Submit(const model::JobDescription& job,
                                            core::TimePoint now);
  /// Takes a queued job out; false when it is not queued (running or unknown).
  bool Cancel(const core::JobId& job, core::TimePoint now);
  /// Counts a job as running that was started before.
  void Adopt(const RunningJob& job, core::TimePoint now);

  /// Decides what to do now. Call after events and at least each 100 ms while
  /// jobs wait; cost is bounded by the work that became possible.
  std::vector<Decision> Plan(core::TimePoint now);

  /// The job started on all its members.
  void OnStarted(const core::JobId& job, core::TimePoint now);
  /// A start was refused by `agent`; the job is queued again at its old place.
  void OnStartRefused(const core::JobId& job,
                      const core::AgentId& agent,
                      core::TimePoint now);
  /// The job ended; `failed_on` names the member at fault, if any. A job that
  /// was preempted and is to run again is submitted again by the caller.
  void OnEnded(const core::JobId& job,
               model::JobOutcome outcome,
               const std::optional<core::AgentId>& failed_on,
               core::TimePoint now);

  /// True when the job holds capacity of one of its entry's guarantees, which
  /// is not taken back for others.
  bool IsWithinGuarantee(const core::JobId& job) const;
  /// Why a queued job waits; nothing when it is not queued.
  std::optional<WaitReason> WhyWaiting(const core::JobId& job) const;
  /// Workers that get trial work only.
  std::vector<QuarantinedWorker> Quarantined() const;
  /// Jobs queued now.
  std::size_t QueuedCount() const;

 private:
  struct State;
  explicit Scheduler(std::unique_ptr<State> initial);
  std::unique_ptr<State> state;
};

}  // namespace hemlockdoor::decide
