// Supervision of an agent's tasks on its upstream, from start to end.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/agent/core/capacity_ledger.h"
#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/agent/upstream/upstream_link.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::agent {

/// The end of one task.
struct TaskEnd {
  TaskKey key;
  TaskContext context;
  model::JobOutcome outcome = model::JobOutcome::kUnknown;
  model::ResultCause cause = model::ResultCause::kTask;
  std::string body;
  core::Duration run_time;
};

/// Starts, monitors, throttles, checkpoints and stops tasks on the upstream.
///
/// When a start gets no usable answer, the supervisor queries the task. When
/// the upstream does not know the task, the start may still be in flight, so
/// the supervisor sends a stop, after which the upstream refuses the start for
/// good. Only when the upstream then confirms that the task never started, and
/// has not restarted since the start was sent, does it count as not started.
class TaskSupervisor {
 public:
  /// `capacity` receives the resources of adopted tasks and must outlive this
  /// object.
  explicit TaskSupervisor(CapacityLedger& capacity);

  /// Sends a start, unless `not_after` passes before it is sent. The caller has
  /// already taken the capacity.
  void Start(UpstreamStart start,
             core::TimePoint not_after,
             core::TimePoint now,
             Commands& out);
  /// Handles the answer to a start.
  void OnStartAnswered(const StartAnswered& answer,
                       core::TimePoint now,
                       Commands& out);
  /// Compares the tasks that the upstream lists with the known tasks. Queries
  /// tasks that are missing, adopts unknown tasks before the upstream was first
  /// reconciled, and stops other unknown running tasks.
  void OnListed(const TasksListed& listing, core::TimePoint now, Commands& out);
  /// Handles the answer to a request about one task.
  void OnReported(TaskReported report, core::TimePoint now, Commands& out);
  /// Handles a `finished` report; ignores it when the task is unknown.
  void OnFinished(UpstreamTask task, core::TimePoint now);
  /// Checks run time limits, checkpoint deadlines and the loss of the upstream;
  /// sends the requests and listings that are due.
  void OnTick(core::TimePoint now, Commands& out);

  /// Stops a task, repeating the request until the task has ended. The first
  /// cause is kept when there are several.
  void RequestStop(const TaskKey& key,
                   model::ResultCause cause,
                   core::TimePoint now,
                   Commands& out);
  /// Asks the upstream once to end a task at a checkpoint. A task that still
  /// runs after `grace` is stopped as preempted.
  void RequestCheckpoint(const TaskKey& key,
                         core::Duration grace,
                         core::TimePoint now,
                         Commands& out);
  /// Asks the upstream once to throttle a task.
  void RequestThrottle(const TaskKey& key, Commands& out);

  /// Returns the tasks that ended since the last call.
  std::vector<TaskEnd> TakeEnds();
  bool Has(const TaskKey& key) const { return this->tasks.contains(key); }
  /// Returns the keys of an attempt's tasks; with attempt 0, of all attempts of
  /// the job.
  std::vector<TaskKey> KeysOf(const AttemptKey& attempt) const;
  /// Returns all tasks that have not ended, with their run times at `now`.
  std::vector<model::RunningTask> Running(core::TimePoint now) const;
  std::size_t Count() const { return this->tasks.size(); }
  UpstreamLink& Link() { return this->link; }
  const UpstreamLink& Link() const { return this->link; }

  /// Period of listings while the upstream is reconciled and there are tasks.
  static constexpr core::Duration kListPeriod = core::Duration::Seconds(1);
  /// Period of listings while the upstream is not reconciled, and interval
  /// between repeated queries about an unclear start and between repeated
  /// stops.
  static constexpr core::Duration kRetryPeriod =
      core::Duration::Milliseconds(500);

 private:
  enum class Phase {
    kStarting,  ///< The start was sent; its answer is outstanding.
    kUnclear,   ///< The start got no usable answer; the task is queried.
    kFencing,   ///< The upstream did not know the task; stops are sent so that
                ///< it refuses the start.
    kRunning,   ///< The upstream has accepted, listed or reported the task.
  };

  struct Task {
    TaskContext context;
    Phase phase = Phase::kStarting;
    core::TimePoint started_at;
    /// Trace span from sending the start to learning of the end; nothing for
    /// adopted tasks.
    std::optional<observe::Span> span;
    /// Instance id of the upstream when the start was sent.
    std::string instance;
    /// Set when the task is to be stopped.
    std::optional<model::ResultCause> stop_cause;
    /// The task is stopped when it runs beyond this time.
    std::optional<core::TimePoint> checkpoint_deadline;
    bool request_outstanding = false;
    /// `SendDueRequest` sends nothing before this time.
    core::TimePoint next_request;
    /// Listings that showed the task as ended.
    int listings_as_ended = 0;
  };
  using Iterator = std::map<TaskKey, Task>::iterator;

  void End(Iterator position,
           model::JobOutcome outcome,
           model::ResultCause cause,
           std::string body,
           core::TimePoint now);
  /// Ends the task by the state that the upstream reports, unless it runs.
  void EndByState(Iterator position, UpstreamTask task, core::TimePoint now);
  /// Ends a task that may have run: as failed when it is repeatable, otherwise
  /// with an unknown outcome.
  void EndAsUpstreamLost(Iterator position,
                         std::string reason,
                         core::TimePoint now);
  void Request(Iterator position,
               TaskRequestKind kind,
               core::TimePoint now,
               Commands& out);
  /// Sends the query or stop that the phase and `stop_cause` require, unless a
  /// request is outstanding or `next_request` lies ahead.
  void SendDueRequest(Iterator position, core::TimePoint now, Commands& out);
  /// Handles the answer that the upstream does not know the task.
  void OnNotKnown(Iterator position,
                  TaskRequestKind kind,
                  core::TimePoint now,
                  Commands& out);
  /// Queries a task that is listed as ended, with every fifth such listing.
  void OnListedAsEnded(Iterator position, core::TimePoint now, Commands& out);
  /// Adopts a task that an earlier agent process started. Returns false when
  /// the task has no valid context, never started, or runs with accelerators
  /// that another task holds.
  bool TryAdopt(const UpstreamTask& task, core::TimePoint now, Commands& out);
  /// Stops a running task that this agent does not know, unless the upstream is
  /// reconciled and the previous listing did not show the task. Returns true
  /// when it sent the stop; the upstream then counts as not reconciled.
  bool HandleUnknownTask(const UpstreamTask& task,
                         core::TimePoint now,
                         Commands& out);
  /// Queries running tasks that the listing lacks although they were started
  /// before it was requested.
  void QueryMissingTasks(const TasksListed& listing,
                         core::TimePoint now,
                         Commands& out);
  void EndAllAsUpstreamLost(core::TimePoint now);
  /// Returns true while an adopted gang task is being stopped.
  bool HasAdoptedTaskToStop() const;

  CapacityLedger& ledger;
  UpstreamLink link;
  std::map<TaskKey, Task> tasks;
  std::vector<TaskEnd> ends;
  /// Unknown running tasks of the last listing. While the upstream is
  /// reconciled, an unknown task is stopped only when two listings in a row
  /// show it: a known task may end between the making of a listing and its
  /// arrival.
  std::set<TaskKey> unknown_tasks;
  bool listing_outstanding = false;
  /// No listing is requested before this time.
  core::TimePoint next_listing;
};

}  // namespace hemlockdoor::agent
