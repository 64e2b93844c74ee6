// What an agent knows of its worker, and what it may order there.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// No worker keeps a lease longer than this.
inline constexpr core::Duration kLongestLease = core::Duration::Seconds(11);

/// How the worker answered a start.
enum class StartResult { kStarted, kRejected, kUnknown };

/// One look at the worker: what runs and which ends are unacknowledged.
struct WorkerListing {
  /// The worker's own steady clock when it answered, in milliseconds.
  std::int64_t worker_clock_ms = 0;
  /// Birth that the list names; 0 when it names none.
  std::int64_t born_wall_ms = 0;
  std::vector<ActiveRun> running;
  std::vector<RunEnd> ends;
};

/// A start to be sent to the worker.
struct StartCall {
  StartOrder order;
  core::SchedulingEpoch epoch;
  WorkerIdentity worker;
  /// On the worker's clock: no start after it, and the lease's end.
  std::int64_t deadline_ms = 0;
};

/// A stop to be sent to the worker.
struct StopCall {
  RunKey key;
  core::SchedulingEpoch epoch;
  WorkerIdentity worker;
};

/// Calls to be made for a batch of orders.
struct BatchCalls {
  std::vector<StartCall> starts;
  std::vector<StopCall> stops;
};

/// The agent's state: pure, driven by events with their time. A run that was
/// ordered is reported as active until the worker's own words prove it over.
/// A predecessor may have asked for leases up to `kLongestLease`.
class WorkerSupervisor {
 public:
  WorkerSupervisor(core::AgentId agent_id,
                   std::string own_endpoint,
                   core::Incarnation own_incarnation,
                   core::TimePoint now);

  /// The worker announced itself. `sequence` tells late announcements of one
  /// life; a life born earlier than the known one is ignored.
  void OnAnnouncement(const WorkerDescription& description,
                      std::uint64_t sequence,
                      std::int64_t worker_clock_ms,
                      core::TimePoint now);
  /// The worker signed off.
  void OnDeparture(const WorkerId& id);
  /// Answer to a report sent at `sent`. A lower epoch is ignored.
  void OnReportAnswer(const ReportAnswer& answer, core::TimePoint sent);
  /// Orders of a planner. kStale when its epoch or batch number is old or the
  /// batch is meant for another incarnation of this agent.
  core::Expected<BatchCalls> OnOrders(const OrderBatch& batch,
                                      core::TimePoint now);
  void OnStartAnswer(const RunKey& key,
                     StartResult result,
                     RejectReason reason,
                     std::int64_t worker_clock_ms,
                     core::TimePoint now);
  void OnStopAnswer(const RunKey& key,
                    bool answered,
                    std::int64_t worker_clock_ms,
                    core::TimePoint now);
  void OnListing(const WorkerListing& listing, core::TimePoint now);
  /// Stops that are due again, since a start or an earlier stop got no answer.
  std::vector<StopCall> DueStops(core::TimePoint now);
  /// Starts to be sent again: starting a run is idempotent, so a start whose
  /// answer was lost is answered by the copy.
  std::vector<StartCall> DueStarts(core::TimePoint now);

  /// A look at the worker is about to be sent: the lease's end to ask for, on
  /// the worker's clock. Nothing outside a term, and while the worker does not
  /// answer, so that its tasks are known to be over after the lease.
  std::optional<std::int64_t> BeginLook(core::TimePoint now);
  /// The look got no answer.
  void OnLookFailed(core::TimePoint now);
  /// True while the planner's term lasts.
  bool HasTerm(core::TimePoint now) const { return now < this->term_until; }
  /// Ends the worker may forget.
  std::uint64_t Acknowledged() const;
  const std::optional<WorkerDescription>& Worker() const {
    return this->worker;
  }
  core::SchedulingEpoch Epoch() const { return this->epoch; }
  bool IsWorkerReachable() const { return this->failed_looks == 0; }
  /// The worker lists ends that it may not forget yet.
  bool HasUnacknowledgedEnds() const { return !this->ends.empty(); }
  /// True when something changed since the last report.
  bool HasNews() const { return this->news; }
  /// True while a start waits for the worker's answer.
  bool AwaitsStarts() const;
  AgentReport MakeReport(core::TimePoint now);

 private:
  enum class RunState { kStarting, kRunning, kStopping };
  struct Run {
    RunState state = RunState::kStarting;
    /// A start got no answer and may still arrive. Settled by the answer to a
    /// copy, by the run in a list, or by a stop.
    bool uncertain = false;
    StartOrder order;
    int starts_sent = 0;
    bool start_due = false;
    /// Worker clock of the answer that settled the state; lists from before
    /// it say nothing of this run.
    std::int64_t settled_clock_ms = 0;
    /// Worker clock of the list in which its percentage last changed.
    std::int64_t moved_clock_ms = 0;
    bool stop_answered = false;
    std::optional<core::TimePoint> stop_sent;
    ActiveRun active;
  };

  std::optional<std::int64_t> LeaseDeadline(core::TimePoint now) const;
  void NoteLease(core::TimePoint now);
  void StartNewLife(const WorkerDescription& description);
  void ObserveClock(std::int64_t worker_clock_ms, core::TimePoint now);
  void Reject(const RunKey& key, RejectReason reason);
  /// Takes over what a list says of a run.
  void TakeListed(Run& run, const ActiveRun& listed, std::int64_t listed_at_ms);
  void TakeRunning(const WorkerListing& listing);
  void TakeEnds(const WorkerListing& listing);
  void DropVanished(const WorkerListing& listing);

  core::AgentId agent;
  std::string endpoint;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0;
  core::SchedulingEpoch epoch;
  std::uint64_t batch = 0;
  core::TimePoint term_until;
  /// When every lease that was asked for has ended.
  core::TimePoint leases_over;
  int failed_looks = 0;
  std::optional<WorkerDescription> worker;
  std::uint64_t announcement = 0;
  /// Worker clock and the time it was heard.
  std::optional<std::int64_t> clock_ms;
  core::TimePoint clock_heard;
  /// The worker's lists are known, or it is known to be gone.
  bool is_complete = false;
  /// Worker clock of the newest list.
  std::int64_t listed_clock_ms = 0;
  std::map<RunKey, Run> runs;
  std::map<std::uint64_t, RunEnd> ends;
  std::uint64_t acknowledged = 0;
  std::deque<Rejection> rejections;
  bool news = true;
};

}  // namespace hemlockdoor::batch
