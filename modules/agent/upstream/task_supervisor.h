// The tasks of one agent on its upstream, from start to end.
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

/// Starts, watches, steers and ends tasks. A task whose start got no answer is
/// looked up, and when the upstream does not know it, the upstream is told to
/// refuse it for ever; only then does it count as not started.
class TaskSupervisor {
 public:
  /// Records adopted tasks in `capacity`, which must outlive this object.
  explicit TaskSupervisor(CapacityLedger& capacity);

  /// Sends a start. The caller has taken the capacity.
  void Start(UpstreamStart start,
             core::TimePoint not_after,
             core::TimePoint now,
             Commands& out);
  void OnStartAnswered(const StartAnswered& answer,
                       core::TimePoint now,
                       Commands& out);
  /// Applies a listing: confirms, adopts or stops what runs on the upstream.
  void OnListed(const TasksListed& listing, core::TimePoint now, Commands& out);
  void OnReported(TaskReported report, core::TimePoint now, Commands& out);
  /// Applies a `finished` report; one of an unknown task is ignored.
  void OnFinished(UpstreamTask task, core::TimePoint now);
  void OnTick(core::TimePoint now, Commands& out);

  /// Stops a task; the first cause stays.
  void RequestStop(const TaskKey& key,
                   model::ResultCause cause,
                   core::TimePoint now,
                   Commands& out);
  /// Asks for a checkpoint; a task that goes on after `grace` is stopped.
  void RequestCheckpoint(const TaskKey& key,
                         core::Duration grace,
                         core::TimePoint now,
                         Commands& out);
  void RequestThrottle(const TaskKey& key, Commands& out);

  /// Tasks that ended since the last call.
  std::vector<TaskEnd> TakeEnds();
  bool Has(const TaskKey& key) const { return this->tasks.contains(key); }
  /// Keys of an attempt's tasks (attempt 0: of the job's).
  std::vector<TaskKey> KeysOf(const AttemptKey& attempt) const;
  std::vector<model::RunningTask> Running(core::TimePoint now) const;
  std::size_t Count() const { return this->tasks.size(); }
  UpstreamLink& Link() { return this->link; }
  const UpstreamLink& Link() const { return this->link; }

  /// A running task is looked for in the upstream's listing so often.
  static constexpr core::Duration kListPeriod = core::Duration::Seconds(1);
  /// Pace of listings before the upstream is known, of questions about an
  /// unclear start, and of repeated stop requests.
  static constexpr core::Duration kRetryPeriod =
      core::Duration::Milliseconds(500);

 private:
  enum class Phase {
    kStarting,  ///< The start is on its way.
    kUnclear,   ///< The start got no answer; the upstream is asked.
    kFencing,   ///< The upstream does not know it and is told to refuse it.
    kRunning,
  };

  struct Task {
    TaskContext context;
    Phase phase = Phase::kStarting;
    core::TimePoint started_at;
    /// From the start to the end as this agent knows it; nothing for adopted
    /// tasks.
    std::optional<observe::Span> span;
    /// The upstream's process that the start was meant for.
    std::string instance;
    std::optional<model::ResultCause> stop_cause;
    std::optional<core::TimePoint> checkpoint_deadline;
    bool request_outstanding = false;
    core::TimePoint next_request;
    int listings_as_ended = 0;
  };
  using Iterator = std::map<TaskKey, Task>::iterator;

  void End(Iterator position,
           model::JobOutcome outcome,
           model::ResultCause cause,
           std::string body,
           core::TimePoint now);
  void EndByState(Iterator position, UpstreamTask task, core::TimePoint now);
  void EndAsUpstreamLost(Iterator position,
                         std::string reason,
                         core::TimePoint now);
  void Request(Iterator position,
               TaskRequestKind kind,
               core::TimePoint now,
               Commands& out);
  void SendDueRequest(Iterator position, core::TimePoint now, Commands& out);
  void OnNotKnown(Iterator position,
                  TaskRequestKind kind,
                  core::TimePoint now,
                  Commands& out);
  void OnListedAsEnded(Iterator position, core::TimePoint now, Commands& out);
  /// Takes over a task that an earlier process started; false when it must be
  /// stopped as unknown.
  bool TryAdopt(const UpstreamTask& task, core::TimePoint now, Commands& out);
  /// Handles a running task that this agent does not know; true when it keeps
  /// the upstream from being reconciled.
  bool HandleUnknownTask(const UpstreamTask& task,
                         core::TimePoint now,
                         Commands& out);
  void QueryMissingTasks(const TasksListed& listing,
                         core::TimePoint now,
                         Commands& out);
  void EndAllAsUpstreamLost(core::TimePoint now);
  bool HasAdoptedTaskToStop() const;

  CapacityLedger& ledger;
  UpstreamLink link;
  std::map<TaskKey, Task> tasks;
  std::vector<TaskEnd> ends;
  /// Unknown running tasks of the last listing. A task may end between the
  /// listing and its arrival, so one is stopped when it is listed twice.
  std::set<TaskKey> unknown_tasks;
  bool listing_outstanding = false;
  core::TimePoint next_listing;
};

}  // namespace hemlockdoor::agent
