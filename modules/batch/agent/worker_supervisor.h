// State of an agent: its worker, the runs there, and the planner's orders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/model/evacuation_state.h"
#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// The worker's answer to a start. `kUnknown`: there was no answer, so the run
/// may have been started.
enum class StartResult { kStarted, kRejected, kUnknown };

/// The worker's answer to a poll: its active runs and unacknowledged ends.
struct WorkerListing {
  /// The worker's steady clock at the time of the answer, in milliseconds.
  std::int64_t worker_clock_ms = 0;
  /// Start time of the worker incarnation that answered; 0 when not stated.
  std::int64_t born_wall_ms = 0;
  std::vector<ActiveRun> running;
  std::vector<RunEnd> ends;
  /// Token that the poll carried. From then on the worker refuses calls with
  /// lower ones, late ones too.
  FencingToken fence;
  /// The worker may have ends that it did not list. A run that is in neither
  /// list may then have ended, or be over for another reason.
  bool ends_are_truncated = false;
};

/// A start to be sent to the worker.
struct StartCall {
  StartOrder order;
  FencingToken fence;
  WorkerIdentity worker;
  /// Latest start time and end of the lease, on the worker's clock.
  std::int64_t deadline_ms = 0;
};

/// A stop to be sent to the worker.
struct StopCall {
  RunKey key;
  FencingToken fence;
  WorkerIdentity worker;
};

/// Calls to the worker that carry out a batch of orders.
struct BatchCalls {
  std::vector<StartCall> starts;
  std::vector<StopCall> stops;
  /// Starts that were rejected because the worker's data centre is evacuated.
  std::vector<RunKey> refused_evacuated;
};

/// Why an agent no longer lists a run, apart from its end and from an answer
/// that rejected its start.
enum class RemovalReason {
  kNotListed,          ///< A listing of the worker did not contain it.
  kNewIncarnation,     ///< The worker has started anew.
  kConnectionRefused,  ///< No process listens at the worker's address.
  kLeasesExpired,      ///< All leases of an unreachable worker have expired.
  kDeparted,           ///< The worker has deregistered.
};

/// Returns the name used in logs and metrics.
std::string NameOf(RemovalReason reason);

/// A run that the agent no longer lists, as the agent knew it last.
struct RemovedRun {
  RunKey key;
  RemovalReason reason = RemovalReason::kNotListed;
  /// Incarnation of the worker that the agent knew of before the removal.
  WorkerIdentity worker;
  /// The worker had confirmed the start.
  bool confirmed = false;
  /// A start had no answer, so that it could still be carried out.
  bool uncertain = false;
};

/// Longest time after which a call without an answer may still be carried out.
inline constexpr core::Duration kMaxCallDelay = core::Duration::Seconds(12);

/// Number of refused polls in a row that show that the worker's process has
/// ended. One refusal can fall into the moment in which a worker reopens its
/// socket.
inline constexpr int kRefusalsToEndRuns = 2;

/// State machine of an agent. Performs no I/O and reads no clock: events carry
/// the current time. A run that the planner ordered is reported as active until
/// an answer or announcement of the worker proves that it is not running, or
/// until all leases of an unreachable worker have expired. Calls name the
/// worker by its id alone, so those for a former incarnation may reach the
/// present one. They, and a predecessor of this agent, may have requested
/// leases of up to `kMaxWorkerLease`; the planner tells a closer limit.
class WorkerSupervisor {
 public:
  WorkerSupervisor(core::AgentId agent_id,
                   std::string own_endpoint,
                   core::Incarnation own_incarnation,
                   core::TimePoint now);

  /// Handles an announcement of the worker. Ignores announcements of an older
  /// incarnation of the worker, and those whose `sequence` is lower than the
  /// last one of the same incarnation.
  void OnAnnouncement(const WorkerDescription& description,
                      std::uint64_t sequence,
                      std::int64_t worker_clock_ms,
                      core::TimePoint now);
  /// Handles a deregistration, which names no incarnation. Returns true if it
  /// is that of the present one, which is known to be draining; its runs have
  /// ended then. Otherwise it may be a late one of a former incarnation and is
  /// ignored.
  bool OnDeparture(const WorkerId& id);
  /// Handles the planner's answer, which arrived at `received`, to a report
  /// that was sent at `sent`. Ignores answers of an older epoch or session.
  void OnReportAnswer(const ReportAnswer& answer,
                      core::TimePoint sent,
                      core::TimePoint received);
  /// Handles a batch of orders. Returns kStale when the epoch, session or batch
  /// number is outdated or the batch is addressed to another incarnation of
  /// this agent.
  core::Expected<BatchCalls> OnOrders(const OrderBatch& batch,
                                      core::TimePoint now);
  /// Handles the result of a start that was sent to `addressed`. Ignored if
  /// that is not the present incarnation: either may have answered. `reason`
  /// matters only for kRejected, `worker_clock_ms` only when the worker
  /// answered.
  void OnStartAnswer(const RunKey& key,
                     const WorkerIdentity& addressed,
                     StartResult result,
                     RejectReason reason,
                     std::int64_t worker_clock_ms,
                     core::TimePoint now);
  /// Handles the result of a stop that was sent to `addressed`, which has to be
  /// the present incarnation as in `OnStartAnswer`. The run stays active until
  /// a later listing no longer contains it or contains its end.
  void OnStopAnswer(const RunKey& key,
                    const WorkerIdentity& addressed,
                    bool answered,
                    std::int64_t worker_clock_ms,
                    core::TimePoint now);
  /// Handles a listing, the answer at `now` to a poll that was sent at `sent`.
  /// Ignores listings of another incarnation of the worker and those older than
  /// the newest one. After a listing of a later incarnation, no run is started
  /// until that is announced.
  void OnListing(const WorkerListing& listing,
                 core::TimePoint sent,
                 core::TimePoint now);
  /// Returns the stops to send now and marks them as sent: those of runs whose
  /// start was not answered, and earlier stops whose run has not ended yet. Of
  /// a restarted worker, whose lease may outlast the term, all runs are stopped
  /// before the term ends.
  std::vector<StopCall> DueStops(core::TimePoint now);
  /// Returns the starts to send again and marks them as sent. Starting a run is
  /// idempotent, so the answer to the repeated start replaces a lost answer.
  std::vector<StartCall> DueStarts(core::TimePoint now);

  /// Returns the end of the lease to request with the next poll, on the
  /// worker's clock. Returns nothing outside a term. Returns nothing either
  /// while the worker does not answer: no lease is extended then, so that its
  /// tasks are known to have ended once the last requested lease has expired.
  std::optional<std::int64_t> BeginPoll(core::TimePoint now);
  /// Handles a poll without a usable answer.
  void OnPollFailed(core::TimePoint now);
  /// Handles a poll that was sent at `sent` and refused because no process
  /// listens at the worker's address. After `kRefusalsToEndRuns` such polls in
  /// a row, the worker's process has ended, and with it all runs that the
  /// worker had confirmed before the first of them was sent. Starts without an
  /// answer stay listed, since a later process of the worker may still receive
  /// them.
  void OnPollRefused(core::TimePoint sent, core::TimePoint now);
  /// Handles the passing of time. Runs that are over and were listed for a
  /// start without an answer leave the list in time. If this process has heard
  /// of no worker by the time at which all leases of its predecessors have
  /// expired, nothing runs here, and the lists are complete.
  void OnTick(core::TimePoint now);
  /// Returns whether the term that the planner granted is still valid.
  bool HasTerm(core::TimePoint now) const { return now < this->term_end; }
  /// Returns the number of the last end that the planner has acknowledged, so
  /// that the worker may forget this end and all earlier ones. Returns 0 unless
  /// the worker has listed such ends in its answer to the latest poll, not long
  /// ago: another incarnation, which numbers its ends anew, must not receive
  /// it.
  std::uint64_t Acknowledged(core::TimePoint now) const;
  const std::optional<WorkerDescription>& Worker() const {
    return this->worker;
  }
  /// Returns the worker to poll: the present one or, while copies of starts are
  /// open, the one that was there last, whose successor refuses them once it
  /// has been polled. Empty if there is none.
  std::optional<WorkerIdentity> PollTarget() const;
  /// Returns the token for calls to the worker.
  FencingToken Fence() const {
    return {this->epoch, this->session, this->token_raises};
  }
  bool IsWorkerReachable() const { return this->failed_polls == 0; }
  /// Returns whether some ends listed by the worker are not acknowledged yet.
  bool HasUnacknowledgedEnds() const { return !this->ends.empty(); }
  /// Returns whether the state has changed since the last report in a way that
  /// the planner must learn without waiting for the next periodic report.
  bool HasUnreportedChange() const { return this->unreported_change; }
  /// Returns whether the outcome of some start is still open.
  bool HasPendingStarts() const;
  /// Returns whether the lists of runs cover everything on the worker; see
  /// `AgentReport::is_complete`.
  bool IsComplete(core::TimePoint now) const;
  /// Returns whether only another listing can show that some run, whose stop
  /// the worker has answered, is over.
  bool AwaitsListing() const;
  /// Returns the runs removed since the last call, in the order of removal.
  std::vector<RemovedRun> TakeRemovedRuns() {
    return std::exchange(this->removed_runs, {});
  }
  /// Returns a report of the current state with the next sequence number and
  /// resets `HasUnreportedChange`.
  AgentReport MakeReport(core::TimePoint now);

 private:
  enum class RunState { kStarting, kRunning, kStopping };
  struct Run {
    RunState state = RunState::kStarting;
    /// A start was not answered and may still arrive at the worker. Resolved by
    /// the answer to a repeated start, by a listing that shows the run, or by
    /// an answered stop.
    bool uncertain = false;
    StartOrder order;
    int start_attempts = 0;
    /// Starts that have been sent and answered, and when the latest was sent.
    int sent_starts = 0;
    int answered_starts = 0;
    core::TimePoint last_start_sent;
    FencingToken latest_token;
    /// The worker has listed the run.
    bool was_listed = false;

    /// Returns the number of starts that may still be carried out. One of those
    /// that began a listed run may be the one that was answered.
    int OpenStarts() const {
      return this->sent_starts -
             std::max(this->answered_starts, this->was_listed ? 1 : 0);
    }
    bool start_due = false;
    /// Worker clock and time of the answer that determined the state. The
    /// absence of the run proves nothing in an older listing, or in the answer
    /// to a poll that was sent before.
    std::int64_t settled_clock_ms = 0;
    core::TimePoint settled_at;
    /// Worker clock of the listing in which the run's progress percentage last
    /// changed.
    std::int64_t progress_clock_ms = 0;
    bool stop_answered = false;
    std::optional<core::TimePoint> stop_sent;
    ActiveRun active;
  };

  /// Returns whether a message of the epoch and session is outdated.
  bool IsOutdated(core::SchedulingEpoch message_epoch,
                  SessionNumber message_session) const;
  /// Takes the epoch and session of a message that is not outdated. When the
  /// planner has counted this agent as lost, starts without an answer are
  /// stopped and not sent again, since it may have started the runs elsewhere.
  /// With a new epoch they are not sent again either: the token of the epoch
  /// would carry them past the poll that completes the lists.
  void EnterSession(core::SchedulingEpoch new_epoch, SessionNumber new_session);
  /// Takes the evacuations of a message that is not outdated, unless those of a
  /// later store version are known. Orders that an earlier message announced as
  /// allowed may still be under way when the data centre is evacuated.
  void ObserveEvacuations(const std::set<core::DataCentreId>& evacuated,
                          store::ModRevision revision);
  /// Returns whether the worker is in an evacuated data centre.
  bool IsEvacuated() const {
    return this->worker &&
           this->evacuations.data_centres.contains(this->worker->data_centre);
  }
  std::optional<std::int64_t> LeaseDeadline(core::TimePoint now) const;
  /// Returns the lowest token of a poll whose answer makes the lists complete.
  FencingToken RequiredFence() const {
    return {this->epoch, this->session, this->restart_raises};
  }
  /// Has calls that were sent so far refused from the next poll on.
  void RaiseToken();
  /// Records that a call for a former incarnation may have extended the lease
  /// of the present one until now.
  void RecordRestartLease(core::TimePoint now);
  /// Marks all runs as stopping if the term is about to end and the worker may
  /// hold a lease that lasts longer. The planner may start them elsewhere then.
  void StopRunsThatOutlastTheTerm(core::TimePoint now);
  /// Counts a poll without a usable answer, and drops all runs once all leases
  /// have expired.
  void RecordFailedPoll(core::TimePoint now);
  /// Records that a lease up to the end of the term is requested from the
  /// worker. The recorded expiry allows for the drift between the clocks.
  void RecordRequestedLease(core::TimePoint now);
  void ResetForNewIncarnation(const WorkerDescription& description,
                              core::TimePoint now);
  /// Takes the clock from an answer of the worker.
  void ObserveClock(std::int64_t worker_clock_ms, core::TimePoint now);
  /// Takes the clock from an announcement, until the worker has answered a
  /// call. Others can send announcements too, and a clock that is too high
  /// would make leases longer than granted.
  void ObserveAnnouncedClock(std::int64_t worker_clock_ms, core::TimePoint now);
  void Reject(const RunKey& key, RejectReason reason);
  /// Keeps the run listed as long as an open start could begin it anew. The
  /// present incarnation would refuse the start, but a later one would not.
  void ListWhileStartsAreOpen(const RunKey& key, const Run& run);
  /// Records that the run is about to be removed, for `TakeRemovedRuns`.
  void NoteRemoval(const RunKey& key, const Run& run, RemovalReason reason);
  /// Removes and records the runs for which `is_over` returns true. Returns
  /// their number.
  template <typename Predicate>
  std::size_t RemoveRunsIf(RemovalReason reason, Predicate is_over) {
    return std::erase_if(this->runs, [&](const auto& entry) {
      const bool over = is_over(entry.second);
      if (over) {
        this->NoteRemoval(entry.first, entry.second, reason);
        this->ListWhileStartsAreOpen(entry.first, entry.second);
      }
      return over;
    });
  }
  /// Returns whether a lease or start that was requested before the session may
  /// still take effect.
  bool MayEarlierCallsAct(core::TimePoint now) const {
    return now < this->earlier_calls_limit;
  }
  /// Returns whether the worker has listed an end of the run.
  bool HasEnded(const RunKey& key) const;
  /// Handles a revoked start: the run is stopped and, if this process does not
  /// know it, counts as a start without an answer.
  void Revoke(const RunKey& key, core::TimePoint now, BatchCalls& calls);
  /// Marks the run as stopping, and adds the stop if there is a worker. Without
  /// one, `DueStops` returns it later.
  void StopRun(const RunKey& key,
               Run& run,
               core::TimePoint now,
               BatchCalls& calls);
  /// Updates the run from its row in a listing.
  void UpdateRun(Run& run,
                 const ActiveRun& listed,
                 std::int64_t listing_clock_ms);
  void MergeRunning(const WorkerListing& listing, core::TimePoint now);
  void RecordEnds(const WorkerListing& listing);
  void RemoveMissingRuns(const WorkerListing& listing, core::TimePoint sent);
  /// Returns whether another incarnation than the known one has taken its
  /// place.
  bool IsSuperseded() const { return this->superseding_born_wall_ms != 0; }
  /// Returns whether `identity` is the incarnation that the agent knows of.
  bool IsPresentWorker(const WorkerIdentity& identity) const {
    return this->worker && this->worker->identity == identity;
  }
  /// Drops all runs, since all leases and the deadlines of all starts have
  /// passed. The lists are then complete.
  void OnAllLeasesExpired();

  core::AgentId agent;
  std::string endpoint;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0;
  core::SchedulingEpoch epoch;
  SessionNumber session;
  std::uint64_t batch = 0;
  core::TimePoint term_end;
  /// When all leases that this process requested from the worker have expired.
  core::TimePoint leases_expired_at;
  /// Longest lease that the worker accepts, as far as known.
  core::Duration max_worker_lease = kMaxWorkerLease;
  /// When a lease has expired that calls for a former incarnation requested
  /// from the present one.
  core::TimePoint restart_lease_end;
  /// When all leases and starts that were requested before the session, by
  /// earlier processes of this agent or from an earlier incarnation of the
  /// worker, have expired.
  core::TimePoint earlier_calls_limit;
  int failed_polls = 0;
  /// Refused polls, one after the other, since the latest poll with another
  /// result; when the first of them was sent, and when the last was handled.
  int refused_polls = 0;
  core::TimePoint first_refusal_sent;
  core::TimePoint last_refusal_at;
  std::optional<WorkerDescription> worker;
  /// Latest incarnation that this process has known of.
  WorkerIdentity latest_worker;
  /// Number of times that the token was raised during the session, as of now
  /// and as of the latest restart of the worker.
  std::uint64_t token_raises = 0;
  std::uint64_t restart_raises = 0;
  /// Starts have been sent with the present token.
  bool has_sent_starts = false;
  /// When `worker` was announced first.
  core::TimePoint announced_at;
  /// Start time of another incarnation that has answered a poll which was sent
  /// after `worker` was announced and answered one; 0 if there is none. And
  /// when that poll was sent.
  std::int64_t superseding_born_wall_ms = 0;
  core::TimePoint superseding_sent;
  std::uint64_t announcement = 0;
  /// Highest known reading of the worker's clock, and the local time at which
  /// the agent received that reading.
  std::optional<std::int64_t> clock_ms;
  core::TimePoint clock_read_at;
  /// `clock_ms` comes from an announcement.
  bool clock_is_announced = false;
  /// The agent has received a listing of the current worker incarnation, or the
  /// worker has deregistered.
  bool is_complete = false;
  /// Worker clock of the newest listing, and highest token of a listing.
  std::int64_t last_listing_clock_ms = 0;
  core::TimePoint last_listing_at;
  FencingToken last_listing_fence;
  std::map<RunKey, Run> runs;
  /// Open starts of a run that is over. A later incarnation of the worker may
  /// carry them out.
  struct LateStarts {
    int count = 0;
    core::TimePoint last_sent;
  };
  std::map<RunKey, LateStarts> late_starts;
  std::map<std::uint64_t, RunEnd> ends;
  std::uint64_t acknowledged = 0;
  /// The latest listing contained acknowledged ends.
  bool lists_acknowledged_ends = false;
  std::deque<Rejection> rejections;
  std::vector<RemovedRun> removed_runs;
  EvacuationState evacuations;
  /// Speed of the worker, as the planner estimated it last.
  ReportedSpeed speed;
  bool unreported_change = true;
};

}  // namespace hemlockdoor::batch
