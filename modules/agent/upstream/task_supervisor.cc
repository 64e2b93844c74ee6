#include "modules/agent/upstream/task_supervisor.h"

#include <utility>

namespace hemlockdoor::agent {

namespace {

/// A task that has been listed as ended this many times, without its report
/// having arrived, is queried.
constexpr int kEndedListingsPerQuery = 5;

/// Returns the outcome of a task that ended because it was stopped for `cause`.
model::JobOutcome StoppedOutcome(model::ResultCause cause) {
  return cause == model::ResultCause::kCancelled ? model::JobOutcome::kCancelled
                                                 : model::JobOutcome::kFailed;
}

}  // namespace

TaskSupervisor::TaskSupervisor(CapacityLedger& capacity) : ledger(capacity) {}

void TaskSupervisor::Start(UpstreamStart start,
                           core::TimePoint not_after,
                           core::TimePoint now,
                           Commands& out) {
  Task task;
  task.context = start.context;
  task.started_at = now;
  task.instance = this->link.Instance();
  task.span = observe::Span::StartForRequest("agent.task", start.traceparent);
  task.span->SetAttribute("job", start.key.job.Text());
  start.traceparent = observe::ToTraceparent(task.span->Context());
  const bool inserted = this->tasks.emplace(start.key, std::move(task)).second;
  HD_ASSERT(inserted);
  out.emplace_back(StartTask{std::move(start), not_after});
}

void TaskSupervisor::OnStartAnswered(const StartAnswered& answer,
                                     core::TimePoint now,
                                     Commands& out) {
  if (answer.outcome != StartOutcome::kNotSent) {
    this->link.OnCall(answer.outcome != StartOutcome::kUnclear, now);
  }
  const auto position = this->tasks.find(answer.key);
  if (position == this->tasks.end() ||
      position->second.phase != Phase::kStarting) {
    return;  // The task ended before this answer arrived.
  }
  switch (answer.outcome) {
    case StartOutcome::kAccepted:
      position->second.phase = Phase::kRunning;
      this->SendDueRequest(position, now, out);
      return;
    case StartOutcome::kRefused:
      this->End(position, model::JobOutcome::kNotRun,
                model::ResultCause::kUpstreamRefused, answer.detail, now);
      return;
    case StartOutcome::kNotSent:
      this->End(position, model::JobOutcome::kNotRun,
                model::ResultCause::kNotStarted, answer.detail, now);
      return;
    case StartOutcome::kUnclear:
      position->second.phase = Phase::kUnclear;
      out.emplace_back(LogRecord{
          RecordLevel::kWarn, "start got no usable answer, querying the task",
          answer.key.job});
      this->SendDueRequest(position, now, out);
      return;
  }
}

void TaskSupervisor::End(Iterator position,
                         model::JobOutcome outcome,
                         model::ResultCause cause,
                         std::string body,
                         core::TimePoint now) {
  TaskEnd end;
  end.key = position->first;
  end.context = position->second.context;
  end.outcome = outcome;
  end.cause = cause;
  end.body = std::move(body);
  end.run_time = now - position->second.started_at;
  if (position->second.span && outcome != model::JobOutcome::kDone) {
    position->second.span->SetFailed();
  }
  this->ends.push_back(std::move(end));
  this->tasks.erase(position);
}

void TaskSupervisor::EndByState(Iterator position,
                                UpstreamTask task,
                                core::TimePoint now) {
  const std::optional<model::ResultCause> stop = position->second.stop_cause;
  switch (task.state) {
    case UpstreamTaskState::kRunning:
      return;
    case UpstreamTaskState::kDone:
      this->End(position, model::JobOutcome::kDone, model::ResultCause::kTask,
                std::move(task.body), now);
      return;
    case UpstreamTaskState::kFailed:
      this->End(position, model::JobOutcome::kFailed, model::ResultCause::kTask,
                std::move(task.body), now);
      return;
    case UpstreamTaskState::kStopped: {
      const model::ResultCause cause = stop.value_or(model::ResultCause::kTask);
      this->End(position, StoppedOutcome(cause), cause,
                "stopped: " + std::string(model::ResultCauseName(cause)), now);
      return;
    }
    case UpstreamTaskState::kCheckpointed:
      this->End(position, model::JobOutcome::kFailed,
                model::ResultCause::kCheckpointed, "checkpointed", now);
      return;
    case UpstreamTaskState::kNeverStarted:
      if (position->second.phase == Phase::kRunning) {
        this->EndAsUpstreamLost(
            position,
            "the upstream had accepted the task and no longer knows it", now);
        return;
      }
      // An upstream process that started after the task's start was sent does
      // not know which tasks the process before it ran.
      if (task.instance.empty() || task.instance != position->second.instance) {
        this->EndAsUpstreamLost(
            position, "the upstream restarted and may have run the task before",
            now);
        return;
      }
      const bool cancelled = stop == model::ResultCause::kCancelled;
      this->End(position,
                cancelled ? model::JobOutcome::kCancelled
                          : model::JobOutcome::kNotRun,
                cancelled ? model::ResultCause::kCancelled
                          : model::ResultCause::kNotStarted,
                "the upstream never started the task", now);
      return;
  }
}

void TaskSupervisor::EndAsUpstreamLost(Iterator position,
                                       std::string reason,
                                       core::TimePoint now) {
  const model::JobOutcome outcome = position->second.context.repeatable
                                        ? model::JobOutcome::kFailed
                                        : model::JobOutcome::kUnknown;
  this->End(position, outcome, model::ResultCause::kUpstreamLost,
            std::move(reason), now);
}

void TaskSupervisor::Request(Iterator position,
                             TaskRequestKind kind,
                             core::TimePoint now,
                             Commands& out) {
  position->second.request_outstanding = true;
  position->second.next_request = now + kRetryPeriod;
  out.emplace_back(RequestTask{position->first, kind});
}

void TaskSupervisor::SendDueRequest(Iterator position,
                                    core::TimePoint now,
                                    Commands& out) {
  const Task& task = position->second;
  if (task.request_outstanding || now < task.next_request) {
    return;
  }
  const bool stopping = task.stop_cause.has_value();
  switch (task.phase) {
    case Phase::kStarting:
      return;
    case Phase::kUnclear:
      this->Request(position,
                    stopping ? TaskRequestKind::kStop : TaskRequestKind::kQuery,
                    now, out);
      return;
    case Phase::kFencing:
      this->Request(position, TaskRequestKind::kStop, now, out);
      return;
    case Phase::kRunning:
      if (stopping) {
        this->Request(position, TaskRequestKind::kStop, now, out);
      }
      return;
  }
}

void TaskSupervisor::OnReported(TaskReported report,
                                core::TimePoint now,
                                Commands& out) {
  this->link.OnCall(report.outcome != ReportOutcome::kNoAnswer, now);
  const auto position = this->tasks.find(report.key);
  if (position == this->tasks.end()) {
    return;
  }
  Task& task = position->second;
  task.request_outstanding = false;
  if (report.outcome == ReportOutcome::kNoAnswer) {
    return;
  }
  if (report.outcome == ReportOutcome::kNotKnown) {
    this->OnNotKnown(position, report.kind, now, out);
    return;
  }
  if (report.task.state != UpstreamTaskState::kRunning) {
    this->EndByState(position, std::move(report.task), now);
    return;
  }
  if (task.phase == Phase::kUnclear || task.phase == Phase::kFencing) {
    task.phase = Phase::kRunning;
    out.emplace_back(LogRecord{RecordLevel::kInfo,
                               "unanswered start resolved: the task is running",
                               report.key.job});
    this->SendDueRequest(position, now, out);
  }
}

void TaskSupervisor::OnNotKnown(Iterator position,
                                TaskRequestKind kind,
                                core::TimePoint now,
                                Commands& out) {
  Task& task = position->second;
  const bool start_may_arrive =
      task.phase == Phase::kUnclear || task.phase == Phase::kFencing;
  if (start_may_arrive && kind == TaskRequestKind::kQuery) {
    // The start may still be in flight, or unread in the upstream's socket.
    task.phase = Phase::kFencing;
    // If the start arrives before the stop, the task starts and is stopped.
    task.stop_cause =
        task.stop_cause.value_or(model::ResultCause::kUpstreamLost);
    this->Request(position, TaskRequestKind::kStop, now, out);
    return;
  }
  this->EndAsUpstreamLost(position, "the upstream does not know the task", now);
}

void TaskSupervisor::OnFinished(UpstreamTask task, core::TimePoint now) {
  this->link.OnCall(true, now);
  const auto position = this->tasks.find(task.key);
  if (position != this->tasks.end()) {
    this->EndByState(position, std::move(task), now);
  }
}

void TaskSupervisor::OnListed(const TasksListed& listing,
                              core::TimePoint now,
                              Commands& out) {
  this->listing_outstanding = false;
  this->link.OnCall(listing.tasks.has_value(), now);
  if (!listing.tasks) {
    return;
  }
  bool all_tasks_known = true;
  std::set<TaskKey> listed_unknown_tasks;
  for (const UpstreamTask& listed : *listing.tasks) {
    const auto position = this->tasks.find(listed.key);
    if (position != this->tasks.end()) {
      const bool ended = listed.state != UpstreamTaskState::kRunning;
      if (position->second.phase == Phase::kUnclear && !ended) {
        position->second.phase = Phase::kRunning;
      }
      if (ended) {
        this->OnListedAsEnded(position, now, out);
      }
      continue;
    }
    if (!this->link.WasReconciled() && this->TryAdopt(listed, now, out)) {
      continue;
    }
    if (listed.state != UpstreamTaskState::kRunning) {
      continue;
    }
    listed_unknown_tasks.insert(listed.key);
    all_tasks_known =
        !this->HandleUnknownTask(listed, now, out) && all_tasks_known;
  }
  this->unknown_tasks = std::move(listed_unknown_tasks);
  this->QueryMissingTasks(listing, now, out);
  const bool reconciled = all_tasks_known && !this->HasAdoptedTaskToStop();
  if (reconciled && !this->link.IsReconciled()) {
    out.emplace_back(LogRecord{RecordLevel::kInfo,
                               "reconciled with the upstream, tasks: " +
                                   std::to_string(this->tasks.size()),
                               {}});
  }
  this->link.SetReconciled(reconciled);
}

void TaskSupervisor::OnListedAsEnded(Iterator position,
                                     core::TimePoint now,
                                     Commands& out) {
  // The upstream repeats its `finished` report until the agent accepts it. A
  // query at every listing would transfer a large result many times over.
  Task& task = position->second;
  ++task.listings_as_ended;
  if (task.listings_as_ended % kEndedListingsPerQuery == 0 &&
      !task.request_outstanding && task.phase != Phase::kStarting) {
    this->Request(position, TaskRequestKind::kQuery, now, out);
  }
}

bool TaskSupervisor::TryAdopt(const UpstreamTask& task,
                              core::TimePoint now,
                              Commands& out) {
  const core::Expected<TaskContext> context = TaskContextFromText(task.context);
  if (!context || task.state == UpstreamTaskState::kNeverStarted) {
    return false;
  }
  const bool running = task.state == UpstreamTaskState::kRunning;
  if (running && !this->ledger.TryRecord(task.key, context->accelerators)) {
    return false;
  }
  Task adopted;
  adopted.context = *context;
  adopted.phase = Phase::kRunning;
  adopted.started_at = now;
  // The gang's state was lost with the earlier agent process, so the
  // gang's members can no longer be coordinated and the task is stopped.
  if (running && context->gang_size > 1) {
    adopted.stop_cause = model::ResultCause::kAgentRestarted;
  }
  const auto position = this->tasks.emplace(task.key, std::move(adopted)).first;
  out.emplace_back(LogRecord{RecordLevel::kInfo,
                             "adopted a task of an earlier agent process",
                             task.key.job});
  if (running) {
    this->SendDueRequest(position, now, out);
  } else {
    this->Request(position, TaskRequestKind::kQuery, now, out);
  }
  return true;
}

bool TaskSupervisor::HandleUnknownTask(const UpstreamTask& task,
                                       core::TimePoint /*now*/,
                                       Commands& out) {
  const bool certain =
      !this->link.IsReconciled() || this->unknown_tasks.contains(task.key);
  if (certain) {
    out.emplace_back(LogRecord{RecordLevel::kWarn,
                               "stopping a task that this agent does not know",
                               task.key.job});
    out.emplace_back(RequestTask{task.key, TaskRequestKind::kStop});
  }
  return certain;
}

void TaskSupervisor::QueryMissingTasks(const TasksListed& listing,
                                       core::TimePoint now,
                                       Commands& out) {
  std::set<TaskKey> listed;
  for (const UpstreamTask& task : *listing.tasks) {
    listed.insert(task.key);
  }
  for (auto position = this->tasks.begin(); position != this->tasks.end();
       ++position) {
    const Task& task = position->second;
    const bool missing =
        task.phase == Phase::kRunning && task.started_at < listing.asked_at &&
        !task.request_outstanding && !listed.contains(position->first);
    if (missing) {
      this->Request(position, TaskRequestKind::kQuery, now, out);
    }
  }
}

bool TaskSupervisor::HasAdoptedTaskToStop() const {
  for (const auto& [key, task] : this->tasks) {
    if (task.stop_cause == model::ResultCause::kAgentRestarted) {
      return true;
    }
  }
  return false;
}

void TaskSupervisor::OnTick(core::TimePoint now, Commands& out) {
  if (!this->tasks.empty() && this->link.IsLost(now)) {
    out.emplace_back(LogRecord{
        RecordLevel::kError,
        "no contact with the upstream for more than " +
            std::to_string(UpstreamLink::kUpstreamLease.InMilliseconds()) +
            " ms, ending its tasks",
        {}});
    this->EndAllAsUpstreamLost(now);
  }
  for (auto position = this->tasks.begin(); position != this->tasks.end();
       ++position) {
    Task& task = position->second;
    const bool too_long = task.context.max_run > core::Duration() &&
                          now - task.started_at > task.context.max_run;
    if (too_long && !task.stop_cause) {
      task.stop_cause = model::ResultCause::kRunTimeExceeded;
    }
    if (task.checkpoint_deadline && now > *task.checkpoint_deadline &&
        !task.stop_cause) {
      task.stop_cause = model::ResultCause::kPreempted;
    }
    this->SendDueRequest(position, now, out);
  }
  const bool wants_listing = !this->link.IsReconciled() || !this->tasks.empty();
  if (wants_listing && !this->listing_outstanding &&
      now >= this->next_listing) {
    this->listing_outstanding = true;
    this->next_listing =
        now + (this->link.IsReconciled() ? kListPeriod : kRetryPeriod);
    out.emplace_back(ListTasks{now});
  }
}

void TaskSupervisor::EndAllAsUpstreamLost(core::TimePoint now) {
  while (!this->tasks.empty()) {
    this->EndAsUpstreamLost(this->tasks.begin(),
                            "lost contact with the upstream", now);
  }
  // Tasks may still run if the upstream is only frozen. When it answers again,
  // a listing shows them as unknown and they are stopped.
  this->link.SetReconciled(false);
}

void TaskSupervisor::RequestStop(const TaskKey& key,
                                 model::ResultCause cause,
                                 core::TimePoint now,
                                 Commands& out) {
  const auto position = this->tasks.find(key);
  if (position == this->tasks.end() || position->second.stop_cause) {
    return;
  }
  position->second.stop_cause = cause;
  position->second.next_request = now;
  this->SendDueRequest(position, now, out);
}

void TaskSupervisor::RequestCheckpoint(const TaskKey& key,
                                       core::Duration grace,
                                       core::TimePoint now,
                                       Commands& out) {
  const auto position = this->tasks.find(key);
  if (position == this->tasks.end() || position->second.checkpoint_deadline) {
    return;
  }
  position->second.checkpoint_deadline = now + grace;
  out.emplace_back(RequestTask{key, TaskRequestKind::kCheckpoint});
}

void TaskSupervisor::RequestThrottle(const TaskKey& key, Commands& out) {
  if (this->tasks.contains(key)) {
    out.emplace_back(RequestTask{key, TaskRequestKind::kThrottle});
  }
}

std::vector<TaskEnd> TaskSupervisor::TakeEnds() {
  return std::exchange(this->ends, {});
}

std::vector<TaskKey> TaskSupervisor::KeysOf(const AttemptKey& attempt) const {
  std::vector<TaskKey> keys;
  for (auto position = this->tasks.lower_bound({attempt.job, {}, 0});
       position != this->tasks.end() && position->first.job == attempt.job;
       ++position) {
    if (attempt.attempt == core::AttemptNumber() ||
        position->first.attempt == attempt.attempt) {
      keys.push_back(position->first);
    }
  }
  return keys;
}

std::vector<model::RunningTask> TaskSupervisor::Running(
    core::TimePoint now) const {
  std::vector<model::RunningTask> running;
  for (const auto& [key, task] : this->tasks) {
    model::RunningTask one;
    one.job = key.job;
    one.attempt = key.attempt;
    one.member = key.member;
    one.organisation = task.context.organisation;
    one.job_class = task.context.job_class;
    one.accelerators = task.context.accelerators;
    one.run_time = now - task.started_at;
    running.push_back(std::move(one));
  }
  return running;
}

}  // namespace hemlockdoor::agent
