// The planner's view of the agents and their workers.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// End of a run that is acknowledged to the worker once the store holds
/// `version`, or a later one, of the job's progress.
struct PendingEnd {
  /// RunEnd::number.
  std::uint64_t number = 0;
  core::JobId job;
  /// Job::version that covers this end.
  std::uint64_t version = 0;
};

/// Whether the stored member list contains an agent.
enum class Membership {
  kAbsent,
  kStored,
  /// A write that adds or removes the agent has been sent, and neither it nor a
  /// later one has been confirmed: what is stored is unknown.
  kInDoubt,
};

/// No runs are started on a worker whose latest report is older than this.
inline constexpr core::Duration kReportTimeout =
    core::Duration::Milliseconds(1800);

/// What keeps a worker from being given starts, apart from its room and from a
/// suspension.
enum class StartObstacle {
  kNone,
  kNoWorker,
  kDraining,
  kUnreachable,  ///< Its latest poll had no answer.
  kIncomplete,   ///< Its lists may lack runs.
  kNoTerm,       ///< Its agent cannot set the lease of a run.
  kNotStored,    ///< Its agent is not in the stored member list.
  kNotReported,  ///< Its agent has sent no complete report in this term.
  kLongLeases,   ///< It has restarted, and the member list does not say so yet.
  kLost,         ///< The leases of its agent have expired.
  kProbed,       ///< It is unknown which batches reached its agent.
  kEvacuated,
  kSilent,   ///< Its agent has not reported recently.
  kStalled,  ///< All runs on it stand still.
};

/// Returns the name used in logs.
std::string NameOf(StartObstacle obstacle);

/// An agent and its worker.
struct AgentView {
  core::AgentId agent;
  std::string endpoint;
  core::Incarnation incarnation;
  /// Processes of the agent in the order of their first contact. Reports of
  /// processes that have ended may still arrive.
  std::map<core::Incarnation, std::uint64_t> contacts;
  /// Sequence number of the latest report that was applied.
  std::uint64_t sequence = 0;
  std::optional<WorkerDescription> worker;
  bool worker_reachable = true;
  /// While the worker drains: the earliest time at which it may leave, which
  /// ends all runs on it.
  core::TimePoint leaves_at;
  /// The worker is slow until this time, because it has started recently.
  core::TimePoint cold_until;
  /// The worker's data centre is evacuated, so it gets no starts. Brought up to
  /// date at the begin of each decision, like the next field.
  bool is_evacuated = false;
  /// The worker is cold, and its data centre has returned to service recently.
  bool ranks_as_cold = false;
  /// The lists of the latest report covered everything on the worker, in the
  /// present session.
  bool is_complete = false;
  /// The latest report listed runs, or copies of starts that may still begin
  /// some.
  bool lists_runs = false;
  /// The agent reported that it can set the lease of the runs it starts.
  bool can_start = false;
  /// The agent is sent starts only as a stored member, so that the next planner
  /// knows where runs may be.
  Membership membership = Membership::kAbsent;
  /// The agent has sent a complete report in this planner's term, with no probe
  /// outstanding.
  bool has_reported = false;
  core::TimePoint last_contact;
  /// Latest time until which the worker may hold a lease that this agent asked
  /// for. An agent that has not reported by then is considered lost, and its
  /// runs may be started elsewhere.
  core::TimePoint leases_expire_at;
  /// The same for calls from before the session, by earlier processes of this
  /// agent or from an earlier incarnation of the worker.
  core::TimePoint earlier_leases_expire_at;
  /// No report arrived before `leases_expire_at`.
  bool is_lost = false;
  /// Orders of earlier sessions may still arrive at the agent, which refuses
  /// them.
  SessionNumber session;
  /// Latest identity of the agent's worker, also when it has none at present.
  WorkerIdentity latest_worker;
  /// Until when the worker may hold leases as long as a worker accepts, since
  /// it has started anew.
  core::TimePoint long_leases_until;
  /// `long_leases_until` is in the future, as of the last decision or report.
  bool has_long_leases = false;
  /// The stored member list says so. Until it does, no runs are started on the
  /// worker: the next planner would count with the term.
  bool stored_long_leases = false;
  /// The worker has started anew, and no report shows that the new incarnation
  /// has been polled. It may still carry out calls for the former one.
  bool awaits_fencing = false;
  /// Number of the latest order batch. At most one batch is open, that is, sent
  /// and not yet answered.
  std::uint64_t batch = 0;
  bool batch_open = false;
  core::TimePoint batch_sent_at;
  /// It is unknown which batches reached the agent: the latest one went
  /// unanswered, or the agent is new, restarted or lost. The next batch is then
  /// a probe, without starts; a report that covers it clears this flag.
  bool needs_probe = false;
  /// No batch is sent before this time.
  core::TimePoint next_batch_at;
  /// Resources of the runs of known units that are, or may be, on the worker.
  Resources used;
  /// Active or ordered runs whose pace will show the speed of the worker.
  int measuring_runs = 0;
  /// Resources reserved for units that wait here for preempted runs to stop, by
  /// the priority of the unit.
  std::map<int, Resources> reserved;
  /// Runs on the worker that belong to no known unit. They are to be stopped.
  /// Their resources are not known, and entered as zero.
  std::map<RunKey, Resources> orphan_runs;
  /// Earliest time at which their stops are ordered again.
  core::TimePoint next_stray_stop_at;
  /// Highest number (RunEnd::number) among the ends that were applied to their
  /// jobs.
  std::uint64_t applied_end = 0;
  /// Applied ends that must not be acknowledged yet, in rising order.
  std::deque<PendingEnd> pending_ends;
  /// Jobs with failed runs on this worker since its last successful run or
  /// suspension, without those that led to an earlier suspension.
  std::set<core::JobId> failing_jobs;
  /// Jobs whose failed runs led to a suspension, since the last successful run.
  /// Their further failures do not count: they may be the jobs' own.
  std::set<core::JobId> counted_jobs;
  /// After failed runs, the worker gets no starts before this time, except
  /// those of units that the other workers could not hold even if they were
  /// empty.
  core::TimePoint suspended_until;
  /// All runs on the worker have stalled; it gets no starts before this time.
  core::TimePoint stalled_until;
  /// Suspensions for failures since the last successful run; each doubles the
  /// length of the next.
  int suspensions = 0;

  /// Returns the resources that a unit of `priority` may use: what is neither
  /// in use nor reserved for units of the same or a more urgent priority.
  Resources FreeResources(int priority) const;
  bool IsDraining() const {
    return this->worker && this->worker->state == WorkerState::kDraining;
  }
  /// Returns the first obstacle to a start on the worker.
  StartObstacle ObstacleAt(core::TimePoint now) const;
  /// Returns true if runs may be started on the worker now, unless it is
  /// suspended.
  bool IsUsable(core::TimePoint now) const {
    return this->ObstacleAt(now) == StartObstacle::kNone;
  }
  /// Returns true if orders to the agent are expected to arrive soon.
  bool MayReceiveStarts(core::TimePoint now) const {
    return this->worker && !this->is_lost && !this->needs_probe &&
           now < this->last_contact + kReportTimeout;
  }
  bool IsSuspended(core::TimePoint now) const {
    return now < this->suspended_until;
  }
  /// Returns true if the worker answers and its present process refuses the
  /// starts of runs that are over: those of former processes by their token,
  /// its own because it stopped or ended the runs. A worker that is about to
  /// leave does not count, since its successor knows nothing of either.
  bool RefusesOpenStarts(core::TimePoint now) const {
    return this->worker && this->worker->state == WorkerState::kReady &&
           this->worker_reachable && this->is_complete && this->can_start &&
           !this->is_lost && now < this->last_contact + kReportTimeout;
  }
  /// Returns true if a process of the worker is there that may not have been
  /// polled with the present token, and so may carry out earlier starts.
  bool AwaitsFirstPoll() const {
    return this->worker && this->worker->state == WorkerState::kReady &&
           !this->is_lost && (!this->is_complete || !this->can_start);
  }
  /// Returns the highest number up to which all ends may be acknowledged, so
  /// that the worker may drop them.
  std::uint64_t HighestAcknowledgeableEnd() const;
};

}  // namespace hemlockdoor::batch
