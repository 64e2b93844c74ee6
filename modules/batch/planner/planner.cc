#include "modules/batch/planner/planner.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hemlockdoor::batch {

namespace {

/// Beyond the drift of clocks, until a lease is held for over.
constexpr core::Duration kLeaseMargin = core::Duration::Milliseconds(150);
/// Ends of unfinished jobs are stored together; the ends stay listed at the
/// worker meanwhile, so nothing is lost.
constexpr core::Duration kProgressDelay = core::Duration::Milliseconds(400);
/// Checkpoints of runs that go on are stored in one call of so many, so that
/// the number of calls does not grow with the number of jobs. Workers save each
/// half to two seconds.
constexpr core::Duration kCheckpointPeriod = core::Duration::Milliseconds(1000);
/// A stop that shows no effect is ordered again.
constexpr core::Duration kStopRetry = core::Duration::Milliseconds(1500);
/// Pause before a unit that was turned away is tried again.
constexpr core::Duration kRejectPause = core::Duration::Milliseconds(150);
/// Capacity is kept for a unit so long while its victims stop.
constexpr core::Duration kReservation = core::Duration::Milliseconds(2500);
/// A batch is answered, or its call ends, within a second. One that is open for
/// longer than two has lost its call, and the agent would get nothing any more.
constexpr core::Duration kBatchOverdue = core::Duration::Milliseconds(2000);
/// Pause between probes of an agent that does not answer.
constexpr core::Duration kProbePause = core::Duration::Milliseconds(250);
/// Distinct jobs that fail in a row before a worker is suspended.
constexpr std::size_t kFailuresToSuspend = 2;
constexpr core::Duration kSuspension = core::Duration::Milliseconds(3000);
constexpr int kMaxSuspensionDoublings = 3;
/// Runs of an earlier term that were never seen have lower numbers than this
/// many per epoch.
constexpr std::int64_t kRunsPerEpoch = 64;
/// Share of its own work that a unit may throw away of others', while it can
/// end in time and later. By the users' worths a core-second of urgent work is
/// worth about seven times as much as one of other work, and about five times
/// as much as the price of one that is thrown away.
constexpr double kUrgentLossShare = 3;
constexpr double kUrgentLateLossShare = 0.3;
constexpr double kOrdinaryLossShare = 0.05;
constexpr double kOrdinaryLateLossShare = 0.02;
/// Levels of priority by which a job falls back in the order of starts when it
/// can end late only, and when callers no longer wait for it: a late job of one
/// priority is worth about as much a core-second as one in time of the next.
constexpr int kLateLevels = 1;
constexpr int kTooLateLevels = 3;
/// Work of this priority and later ones fills gaps between other work.
constexpr int kFillingPriority = 2;
/// Runs of a queue after which their mean replaces the declared estimate.
constexpr int kMinSamples = 3;
constexpr double kMeanWeight = 0.1;
/// Each stop costs a restart, also of work that has just begun.
constexpr double kRestartSeconds = 0.3;
/// Waiting for the data's rack pays off for up to this many run times, since
/// elsewhere a task takes three times as long.
constexpr std::int64_t kRemoteWaitFactor = 1;

/// Work that fills gaps and saves nothing when it is stopped.
bool LosesWorkWhenStopped(const Job& job, const Unit& unit) {
  const StepSpec& step = job.StepOf(unit);
  return job.record.priority >= kFillingPriority && !step.checkpoints &&
         !step.long_running;
}

/// How long a worker may keep a lease that was asked for within a term.
core::Duration LongestLease(core::Duration term) {
  return term + term / kClockDriftDivisor + kLeaseMargin;
}

/// Part of a gang that is not done is missing.
bool IsBrokenGang(const Job& job, const Unit& unit) {
  return job.StepOf(unit).gang && unit.phase != UnitPhase::kDone &&
         static_cast<int>(unit.members.size()) < unit.size;
}

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000.0;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

std::string Text(std::int64_t number) {
  return std::to_string(number);
}

/// The steps' shapes, for the log.
std::string ShapeText(const JobSpec& spec) {
  std::string text;
  for (const StepSpec& step : spec.steps) {
    text += " step=" + Text(step.count) + "x" + Text(step.need.millicores) +
            "m/" + Text(step.need.memory_mb) + "MB/" +
            Text(step.need.accelerators) + "acc";
    text += step.gang ? ",gang" : "";
    text += step.same_rack ? ",one-rack" : "";
    text += step.checkpoints ? ",checkpoints" : "";
    text += step.preferred_rack.empty() ? "" : ",data=" + step.preferred_rack;
    text += step.required_label.empty() ? "" : ",label=" + step.required_label;
    text += step.max_per_worker == 0
                ? ""
                : ",per-worker=" + Text(step.max_per_worker);
    text += ",estimate_ms=" + Text(step.estimate.InMilliseconds());
  }
  return text;
}

}  // namespace

void Planner::BeginTerm(core::SchedulingEpoch new_epoch,
                        const std::vector<MemberRecord>& members,
                        core::TimePoint now) {
  this->epoch = new_epoch;
  this->fleet.clear();
  this->jobs.clear();
  const core::Duration longest = LongestLease(this->options.term);
  this->recovery_ends = now + longest;
  for (const MemberRecord& member : members) {
    AgentView& view = this->fleet[member.agent];
    view.agent = member.agent;
    view.endpoint = member.endpoint;
    view.is_recorded = true;
    view.needs_probe = true;
    view.last_contact = now;
    view.leases_over = now + longest;
  }
  this->Note("term_begun", {},
             "epoch=" + Text(static_cast<std::int64_t>(new_epoch.Number())) +
                 " members=" + Text(static_cast<std::int64_t>(members.size())));
}

void Planner::LoadJob(JobRecord record,
                      const ProgressRecord* progress,
                      bool cancelled,
                      core::TimePoint now,
                      std::int64_t wall_ms) {
  const core::JobId id = record.spec.id;
  const std::int64_t age_ms =
      std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms);
  Job job = Job::Create(std::move(record), progress);
  job.accepted = now - core::Duration::Milliseconds(age_ms);
  job.from_earlier_term = true;
  job.cancelled = cancelled && job.outcome == JobOutcome::kOpen;
  const auto floor =
      static_cast<std::int64_t>(this->epoch.Number()) * kRunsPerEpoch;
  for (Unit& unit : job.units) {
    unit.highest_run = std::max(unit.highest_run, floor);
  }
  if (job.outcome != JobOutcome::kOpen) {
    job.ended = now;
  }
  if (job.cancelled) {
    job.outcome = JobOutcome::kCancelled;
    job.ended = now;
  }
  this->jobs.insert_or_assign(id, std::move(job));
}

void Planner::AddJob(JobRecord record, core::TimePoint now) {
  const core::JobId id = record.spec.id;
  if (this->jobs.contains(id)) {
    return;
  }
  Job job = Job::Create(std::move(record), nullptr);
  job.accepted = now;
  this->Note("job_added", id,
             "queue=" + job.record.queue.Text() +
                 " priority=" + Text(job.record.priority) +
                 " units=" + Text(static_cast<std::int64_t>(job.units.size())) +
                 ShapeText(job.record.spec));
  this->jobs.emplace(id, std::move(job));
}

void Planner::CancelJob(const core::JobId& id, core::TimePoint now) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end() || !found->second.IsOpen()) {
    return;
  }
  Job& job = found->second;
  job.cancelled = true;
  this->EndJob(job, JobOutcome::kCancelled, now);
}

void Planner::SetConfiguration(
    std::shared_ptr<const Configuration> new_configuration) {
  this->configuration = std::move(new_configuration);
}

AgentView& Planner::ViewOf(const AgentReport& report, core::TimePoint now) {
  AgentView& view = this->fleet[report.agent];
  const bool is_new = view.agent.IsEmpty();
  view.agent = report.agent;
  view.endpoint = report.endpoint;
  if (view.incarnation != report.incarnation) {
    view.incarnation = report.incarnation;
    view.sequence = 0;
    view.needs_probe = true;
  }
  if (is_new) {
    this->Note("agent_found", {}, "agent=" + report.agent.Text());
    view.needs_probe = true;
  }
  view.last_contact = now;
  return view;
}

ReportAnswer Planner::OnReport(const AgentReport& report, core::TimePoint now) {
  AgentView& view = this->ViewOf(report, now);
  view.leases_over =
      std::max(view.leases_over, now + LongestLease(this->options.term));
  const bool is_current =
      report.epoch == this->epoch && report.sequence > view.sequence;
  if (is_current) {
    view.sequence = report.sequence;
    view.is_lost = false;
    // A probe is settled by the first report that has its batch behind it.
    if (report.batch >= view.batch && view.batch > 0) {
      view.needs_probe = false;
    }
    this->TakeWorker(view, report, now);
    this->TakeEnds(view, report, now);
    this->TakeActive(view, report, now);
    this->TakeMissing(view, report, now);
    view.has_reported =
        view.has_reported || (!view.needs_probe && report.is_complete);
  }
  ReportAnswer answer;
  answer.epoch = this->epoch;
  answer.term = this->options.term;
  if (view.worker) {
    answer.worker = view.worker->identity;
    answer.acknowledged = view.Acknowledgeable();
  }
  return answer;
}

void Planner::TakeWorker(AgentView& view,
                         const AgentReport& report,
                         core::TimePoint now) {
  const bool same_life = view.worker && report.worker &&
                         view.worker->identity == report.worker->identity;
  if (!same_life) {
    view.applied_end = 0;
    view.pending_ends.clear();
    view.strays.clear();
    view.failing_jobs.clear();
    view.suspended_until = core::TimePoint();
    view.suspensions = 0;
  }
  if (view.worker && report.worker &&
      view.worker->state != report.worker->state) {
    this->Note("worker_state", {},
               "worker=" + report.worker->identity.id.Text() + " state=" +
                   (report.worker->state == WorkerState::kDraining ? "draining"
                                                                   : "ready"));
  }
  const bool new_notice = report.worker &&
                          report.worker->state == WorkerState::kDraining &&
                          (!same_life || !view.IsLeaving() ||
                           view.worker->remaining != report.worker->remaining);
  if (new_notice) {
    view.leaves = now + report.worker->remaining;
  }
  view.worker = report.worker;
  view.worker_reachable = report.worker_reachable;
  view.is_complete = report.is_complete;
  view.can_start = report.can_start;
}

void Planner::TakeEnds(AgentView& view,
                       const AgentReport& report,
                       core::TimePoint now) {
  std::vector<RunEnd> ends = report.ends;
  std::sort(ends.begin(), ends.end(),
            [](const RunEnd& left, const RunEnd& right) {
              return left.number < right.number;
            });
  for (const RunEnd& end : ends) {
    if (end.number <= view.applied_end) {
      continue;
    }
    view.applied_end = end.number;
    this->ApplyEnd(view, end, now);
  }
}

void Planner::ApplyEnd(AgentView& view,
                       const RunEnd& end,
                       core::TimePoint now) {
  view.strays.erase(end.key);
  const auto found = this->jobs.find(end.key.task.job);
  Unit* unit = found == this->jobs.end() ? nullptr
                                         : found->second.FindUnit(end.key.task);
  this->Note("run_ended", end.key.task.job,
             "task=" + end.key.task.ToText() + " run=" + Text(end.key.run) +
                 " how=" + NameOf(end.kind) + " worker=" +
                 (view.worker ? view.worker->identity.id.Text() : ""));
  if (unit == nullptr) {
    return;
  }
  Job& job = found->second;
  unit->highest_run = std::max(unit->highest_run, end.key.run);
  this->NoteRunTime(job, *unit, end, now);
  std::erase_if(unit->members, [&](const Member& member) {
    return member.agent == view.agent && member.index == end.key.task.index &&
           member.run == end.key.run;
  });
  if (!end.checkpoint.empty()) {
    unit->checkpoint = end.checkpoint;
  }
  if (end.kind == RunEndKind::kDone) {
    view.failing_jobs.clear();
    view.suspensions = 0;
    this->OnDone(job, *unit, now);
  } else if (end.kind == RunEndKind::kFailed) {
    this->OnFailedRun(job, *unit, view, end, now);
  }
  const bool must_record =
      end.kind == RunEndKind::kDone || end.kind == RunEndKind::kFailed;
  if (must_record && job.version > job.recorded_version) {
    view.pending_ends.push_back({end.number, job.record.spec.id, job.version});
  }
  this->AfterMembersLeft(job, *unit, now);
}

void Planner::NoteRunTime(const Job& job,
                          const Unit& unit,
                          const RunEnd& end,
                          core::TimePoint now) {
  const auto member = std::find_if(
      unit.members.begin(), unit.members.end(), [&end](const Member& each) {
        return each.run == end.key.run && each.index == end.key.task.index;
      });
  const bool is_sample = end.kind == RunEndKind::kDone &&
                         member != unit.members.end() && !member->adopted &&
                         member->started_from.empty();
  if (!is_sample) {
    return;
  }
  RunTimes& times = this->run_times[job.record.queue];
  const auto took = static_cast<double>((now - member->since).InMilliseconds());
  ++times.samples;
  const double weight = std::max(kMeanWeight, 1.0 / times.samples);
  times.mean_ms += weight * (took - times.mean_ms);
}

void Planner::OnDone(Job& job, Unit& unit, core::TimePoint now) {
  const StepSpec& step = job.StepOf(unit);
  if (step.long_running || unit.phase == UnitPhase::kDone) {
    return;
  }
  unit.phase = UnitPhase::kDone;
  this->ReleaseReservation(unit);
  this->Change(job, now);
  const bool all_done = std::all_of(
      job.units.begin(), job.units.end(),
      [](const Unit& each) { return each.phase == UnitPhase::kDone; });
  if (all_done && job.IsOpen()) {
    this->EndJob(job, JobOutcome::kCompleted, now);
  }
}

void Planner::OnFailedRun(Job& job,
                          Unit& unit,
                          AgentView& view,
                          const RunEnd& end,
                          core::TimePoint now) {
  if (view.worker) {
    unit.avoided.insert(view.worker->identity.id);
    view.failing_jobs.insert(job.record.spec.id);
    if (view.failing_jobs.size() >= kFailuresToSuspend) {
      const int doublings = std::min(view.suspensions, kMaxSuspensionDoublings);
      view.suspended_until = now + kSuspension * (std::int64_t{1} << doublings);
      ++view.suspensions;
      view.failing_jobs.clear();
      this->Note("worker_suspended", {},
                 "worker=" + view.worker->identity.id.Text());
    }
  }
  if (unit.phase == UnitPhase::kDone || job.StepOf(unit).long_running) {
    return;
  }
  unit.failed_runs.insert(end.key.run);
  this->Change(job, now);
  const auto failures = static_cast<int>(unit.failed_runs.size());
  if (failures >= job.record.max_attempts && job.IsOpen()) {
    unit.phase = UnitPhase::kFailed;
    this->EndJob(job, JobOutcome::kFailed, now);
  }
}

void Planner::EndJob(Job& job, JobOutcome outcome, core::TimePoint now) {
  job.outcome = outcome;
  job.ended = now;
  this->Change(job, now);
  this->Note("job_ended", job.record.spec.id,
             std::string("outcome=") + NameOf(outcome) +
                 " after_ms=" + Text((now - job.accepted).InMilliseconds()));
  for (Unit& unit : job.units) {
    this->ReleaseReservation(unit);
    if (outcome != JobOutcome::kCompleted) {
      this->StopUnit(unit);
    }
  }
}

void Planner::Change(Job& job, core::TimePoint now) {
  if (job.version == job.recorded_version) {
    job.changed = now;
  }
  ++job.version;
}

void Planner::StopUnit(Unit& unit) {
  for (Member& member : unit.members) {
    member.stop_wanted = true;
  }
}

void Planner::ReleaseReservation(Unit& unit) {
  unit.reserved.clear();
}

void Planner::AfterMembersLeft(Job& job, Unit& unit, core::TimePoint now) {
  if (IsBrokenGang(job, unit)) {
    this->StopUnit(unit);
  }
  if (unit.members.empty()) {
    unit.ready_since = now;
  }
}

void Planner::TakeActive(AgentView& view,
                         const AgentReport& report,
                         core::TimePoint now) {
  std::map<RunKey, Resources> strays;
  for (const ActiveRun& active : report.active) {
    const TaskName& task = active.key.task;
    const auto found = this->jobs.find(task.job);
    Unit* unit =
        found == this->jobs.end() ? nullptr : found->second.FindUnit(task);
    if (unit == nullptr) {
      strays[active.key] = Resources();
      continue;
    }
    Job& job = found->second;
    unit->highest_run = std::max(unit->highest_run, active.key.run);
    job.started = true;
    auto member = std::find_if(
        unit->members.begin(), unit->members.end(), [&](const Member& each) {
          return each.agent == view.agent && each.index == task.index &&
                 each.run == active.key.run;
        });
    if (member == unit->members.end()) {
      Member found_member;
      found_member.agent = view.agent;
      found_member.worker =
          report.worker ? report.worker->identity : WorkerIdentity();
      found_member.index = task.index;
      found_member.run = active.key.run;
      found_member.sent = true;
      found_member.adopted = true;
      found_member.since = now;
      found_member.stop_wanted =
          !job.IsOpen() || unit->phase == UnitPhase::kDone;
      this->Note("run_adopted", task.job,
                 "task=" + task.ToText() + " run=" + Text(active.key.run) +
                     " agent=" + view.agent.Text());
      unit->members.push_back(found_member);
      member = std::prev(unit->members.end());
    }
    member->confirmed = active.confirmed;
    member->percent = active.percent;
    member->still = active.still;
    this->TakeCheckpoint(job, *unit, active, now);
  }
  for (const auto& [key, resources] : strays) {
    if (!view.strays.contains(key)) {
      this->Note("stray_run", key.task.job,
                 "task=" + key.task.ToText() + " agent=" + view.agent.Text());
    }
  }
  if (report.is_complete) {
    view.strays.clear();
  }
  view.strays.merge(strays);
}

void Planner::TakeCheckpoint(Job& job,
                             Unit& unit,
                             const ActiveRun& active,
                             core::TimePoint now) {
  // An earlier run, which is about to be stopped, has done less.
  const bool is_newer = active.key.run >= unit.highest_run &&
                        !active.checkpoint.empty() &&
                        active.checkpoint != unit.checkpoint;
  if (!is_newer || unit.phase == UnitPhase::kDone) {
    return;
  }
  unit.checkpoint = active.checkpoint;
  if (!job.checkpoint_waits) {
    job.checkpoint_waits = now;
  }
}

void Planner::TakeMissing(AgentView& view,
                          const AgentReport& report,
                          core::TimePoint now) {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      bool left = false;
      for (auto member = unit.members.begin(); member != unit.members.end();) {
        const RunKey key{job.NameOf(unit, member->index), member->run};
        const bool is_listed = std::any_of(
            report.active.begin(), report.active.end(),
            [&key](const ActiveRun& active) { return active.key == key; });
        // Without complete lists only a run of an earlier life is known to be
        // over.
        const bool is_earlier_life =
            report.worker && report.worker->identity != member->worker;
        const bool is_settled = member->sent && member->batch <= report.batch &&
                                !is_listed &&
                                (report.is_complete || is_earlier_life);
        if (member->agent != view.agent || !is_settled) {
          ++member;
          continue;
        }
        const auto rejection = std::find_if(
            report.rejections.rbegin(), report.rejections.rend(),
            [&key](const Rejection& each) { return each.key == key; });
        const bool was_rejected = rejection != report.rejections.rend();
        this->Note("run_gone", id,
                   "task=" + key.task.ToText() + " run=" + Text(key.run) +
                       " agent=" + view.agent.Text() + " reason=" +
                       (was_rejected ? NameOf(rejection->reason) : "lost"));
        if (was_rejected) {
          unit.not_before = now + kRejectPause;
          unit.avoided.insert(member->worker.id);
        }
        member = unit.members.erase(member);
        left = true;
      }
      if (left) {
        this->AfterMembersLeft(job, unit, now);
      }
    }
  }
}

AgentView* Planner::WithOpenBatch(const core::AgentId& agent,
                                  std::uint64_t batch) {
  const auto found = this->fleet.find(agent);
  const bool is_open = found != this->fleet.end() && found->second.batch_open &&
                       found->second.batch == batch;
  return is_open ? &found->second : nullptr;
}

void Planner::OnOrdersAnswered(const core::AgentId& agent,
                               std::uint64_t batch) {
  if (AgentView* view = this->WithOpenBatch(agent, batch)) {
    view->batch_open = false;
  }
}

void Planner::OnOrdersUnanswered(const core::AgentId& agent,
                                 std::uint64_t batch,
                                 core::TimePoint now) {
  if (AgentView* view = this->WithOpenBatch(agent, batch)) {
    view->batch_open = false;
    view->needs_probe = true;
    view->next_batch = now + kProbePause;
  }
}

void Planner::CloseOverdueBatches(core::TimePoint now) {
  for (auto& [agent, view] : this->fleet) {
    if (!view.batch_open || now < view.batch_sent + kBatchOverdue) {
      continue;
    }
    this->Note(
        "orders_overdue", {},
        "agent=" + agent.Text() +
            " batch=" + Text(static_cast<std::int64_t>(view.batch)) +
            " open_ms=" + Text((now - view.batch_sent).InMilliseconds()) +
            " last_contact_ms=" +
            Text((now - view.last_contact).InMilliseconds()));
    this->OnOrdersUnanswered(agent, view.batch, now);
  }
}

void Planner::OnMembersRecorded(const std::vector<MemberRecord>& members) {
  for (auto& [agent, view] : this->fleet) {
    const auto found = std::find_if(
        members.begin(), members.end(),
        [&id = agent](const MemberRecord& each) { return each.agent == id; });
    view.is_recorded =
        found != members.end() && found->endpoint == view.endpoint;
  }
}

std::optional<std::vector<MemberRecord>> Planner::ChangedMembers() const {
  std::vector<MemberRecord> members;
  bool changed = false;
  for (const auto& [agent, view] : this->fleet) {
    // Nothing runs there, and nothing starts there unless it is recorded.
    const bool signed_off = view.is_complete && !view.worker;
    const bool is_gone = view.is_lost || signed_off;
    if (!is_gone) {
      members.push_back({view.agent, view.endpoint});
    }
    changed = changed || is_gone == view.is_recorded;
  }
  if (!changed) {
    return std::nullopt;
  }
  return members;
}

void Planner::OnProgressRecorded(const core::JobId& id, std::uint64_t version) {
  const auto found = this->jobs.find(id);
  if (found != this->jobs.end()) {
    found->second.recorded_version =
        std::max(found->second.recorded_version, version);
  }
  for (auto& [agent, view] : this->fleet) {
    while (!view.pending_ends.empty()) {
      const PendingEnd& pending = view.pending_ends.front();
      const auto job = this->jobs.find(pending.job);
      const bool recorded = job == this->jobs.end() ||
                            job->second.recorded_version >= pending.version;
      if (!recorded) {
        break;
      }
      view.pending_ends.pop_front();
    }
  }
}

std::vector<ProgressWrite> Planner::TakeProgressWrites(core::TimePoint now,
                                                       std::int64_t wall_ms,
                                                       std::size_t limit) {
  std::vector<ProgressWrite> writes;
  const auto take = [&writes, wall_ms](Job& job) {
    // Whatever becomes of the write, the run's next checkpoint waits again.
    job.checkpoint_waits.reset();
    writes.push_back({job.Progress(wall_ms), job.version});
  };
  const bool is_due = std::any_of(
      this->jobs.begin(), this->jobs.end(), [now](const auto& entry) {
        const Job& job = entry.second;
        return job.version > job.recorded_version &&
               (job.outcome != JobOutcome::kOpen ||
                now >= job.changed + kProgressDelay);
      });
  if (is_due) {
    for (auto& [id, job] : this->jobs) {
      if (job.version > job.recorded_version && writes.size() < limit) {
        take(job);
      }
    }
  }
  if (now < this->checkpoints_due) {
    return writes;
  }
  std::vector<Job*> waiting;
  for (auto& [id, job] : this->jobs) {
    if (job.checkpoint_waits && job.IsOpen()) {
      waiting.push_back(&job);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const Job* left, const Job* right) {
              return *left->checkpoint_waits < *right->checkpoint_waits;
            });
  waiting.resize(std::min(waiting.size(), limit - writes.size()));
  for (Job* job : waiting) {
    take(*job);
  }
  if (!waiting.empty()) {
    this->checkpoints_due = now + kCheckpointPeriod;
  }
  return writes;
}

std::vector<core::JobId> Planner::TakeExpiredJobs(core::TimePoint now) {
  std::vector<core::JobId> expired;
  for (auto entry = this->jobs.begin(); entry != this->jobs.end();) {
    const Job& job = entry->second;
    const bool has_members =
        std::any_of(job.units.begin(), job.units.end(),
                    [](const Unit& unit) { return !unit.members.empty(); });
    const bool done = job.outcome != JobOutcome::kOpen && !has_members &&
                      job.version == job.recorded_version &&
                      now >= job.ended + this->options.retention;
    if (!done) {
      ++entry;
      continue;
    }
    expired.push_back(entry->first);
    entry = this->jobs.erase(entry);
  }
  return expired;
}

std::optional<JobState> Planner::StateOf(const core::JobId& id) const {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return std::nullopt;
  }
  const Job& job = found->second;
  if (job.cancelled) {
    return JobState::kCancelled;
  }
  // An end is shown only once it is stored, so that no later planner can run
  // the job again.
  const bool is_recorded = job.version == job.recorded_version;
  if (job.outcome == JobOutcome::kCompleted && is_recorded) {
    return JobState::kCompleted;
  }
  if (job.outcome == JobOutcome::kFailed && is_recorded) {
    return JobState::kFailed;
  }
  return job.started ? JobState::kRunning : JobState::kQueued;
}

bool Planner::MayEndSoon(const core::JobId& id) const {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end() || found->second.cancelled) {
    return false;
  }
  const Job& job = found->second;
  if (job.outcome != JobOutcome::kOpen) {
    return job.version != job.recorded_version;
  }
  return std::all_of(job.units.begin(), job.units.end(), [](const Unit& unit) {
    return unit.phase == UnitPhase::kDone || !unit.members.empty();
  });
}

std::size_t Planner::CountWaitingJobs(const QueueName& queue) const {
  return static_cast<std::size_t>(std::count_if(
      this->jobs.begin(), this->jobs.end(), [&queue](const auto& entry) {
        const Job& job = entry.second;
        return job.record.queue == queue && job.IsOpen() && !job.started &&
               job.record.spec.occurrences == 0;
      }));
}

std::vector<AgentOrders> Planner::Decide(core::TimePoint now,
                                         std::int64_t wall_ms) {
  this->CloseOverdueBatches(now);
  this->DropLost(now);
  this->UpdatePhases(now, wall_ms);
  this->RecountUsage();
  if (!this->IsRecovering(now)) {
    this->CheckGangs();
  }
  this->EvacuateLeaving(now);
  this->MoveStalled(now);
  this->Schedule(now);
  return this->CollectOrders(now);
}

void Planner::DropLost(core::TimePoint now) {
  for (auto& [agent, view] : this->fleet) {
    if (view.is_lost || now < view.leases_over) {
      continue;
    }
    view.is_lost = true;
    view.needs_probe = true;
    view.strays.clear();
    this->Note("agent_lost", {},
               "agent=" + agent.Text() + " silent_ms=" +
                   Text((now - view.last_contact).InMilliseconds()));
    this->RemoveMembers(view, now);
  }
}

void Planner::RemoveMembers(const AgentView& view, core::TimePoint now) {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const std::size_t removed = std::erase_if(
          unit.members,
          [&view](const Member& member) { return member.agent == view.agent; });
      if (removed > 0) {
        this->AfterMembersLeft(job, unit, now);
      }
    }
  }
}

bool Planner::IsRecovering(core::TimePoint now) const {
  if (now >= this->recovery_ends) {
    return false;
  }
  return std::any_of(
      this->fleet.begin(), this->fleet.end(), [](const auto& entry) {
        return entry.second.is_recorded && !entry.second.has_reported &&
               !entry.second.is_lost;
      });
}

void Planner::UpdatePhases(core::TimePoint now, std::int64_t wall_ms) {
  for (auto& [id, job] : this->jobs) {
    if (!job.IsOpen()) {
      continue;
    }
    for (Unit& unit : job.units) {
      if (unit.phase != UnitPhase::kBlocked) {
        continue;
      }
      const JobSpec& spec = job.record.spec;
      const std::int64_t due_ms =
          spec.first_due_wall_ms +
          unit.occurrence * spec.interval.InMilliseconds();
      const bool is_due = spec.occurrences == 0 || wall_ms >= due_ms;
      const StepSpec& step = job.StepOf(unit);
      const bool released =
          std::all_of(step.after.begin(), step.after.end(),
                      [&owner = job, &unit](int earlier) {
                        return owner.IsStepDone(unit.occurrence, earlier);
                      });
      if (is_due && released) {
        unit.phase = UnitPhase::kReady;
        unit.ready_since = now;
      }
    }
  }
}

void Planner::RecountUsage() {
  for (auto& [agent, view] : this->fleet) {
    view.used = Resources();
    view.reserved.clear();
    for (const auto& [key, held] : view.strays) {
      view.used = view.used + held;
    }
  }
  std::int64_t borrowed = 0;
  for (auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      const Resources need = CountedNeed(job.StepOf(unit));
      if (LosesWorkWhenStopped(job, unit)) {
        borrowed +=
            need.accelerators * static_cast<std::int64_t>(unit.members.size());
      }
      for (const Member& member : unit.members) {
        const auto found = this->fleet.find(member.agent);
        if (found != this->fleet.end()) {
          found->second.used = found->second.used + need;
        }
      }
      for (const auto& [agent, kept] : unit.reserved) {
        const auto found = this->fleet.find(agent);
        if (found != this->fleet.end()) {
          Resources& reserved = found->second.reserved[job.record.priority];
          reserved = reserved + kept;
        }
      }
    }
  }
  this->SetLending(borrowed);
}

void Planner::SetLending(std::int64_t borrowed) {
  std::int64_t accelerators = 0;
  for (const auto& [agent, view] : this->fleet) {
    if (view.worker && !view.is_lost) {
      accelerators += view.worker->capacity.accelerators;
    }
  }
  this->lending.SetUse(accelerators, borrowed);
}

void Planner::CheckGangs() {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      if (IsBrokenGang(job, unit)) {
        this->StopUnit(unit);
      }
    }
  }
}

Planner::Rank Planner::RankOf(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const {
  int level = job.record.priority;
  if (!this->IsWithinGuarantee(job)) {
    switch (this->ProspectOf(job, unit, now)) {
      case Prospect::kInTime:
        break;
      case Prospect::kLate:
        level += kLateLevels;
        break;
      case Prospect::kTooLate:
        level += kTooLateLevels;
        break;
    }
  }
  return {level, job.record.priority, job.accepted};
}

void Planner::Schedule(core::TimePoint now) {
  const bool recovering = this->IsRecovering(now);
  std::vector<Ready> ready;
  for (auto& [id, job] : this->jobs) {
    if (!job.IsOpen() || (recovering && job.from_earlier_term)) {
      continue;
    }
    for (Unit& unit : job.units) {
      if (!unit.reserved.empty() && now >= unit.reserved_until) {
        this->ReturnReserved(job, unit);
      }
      const bool may_start = unit.phase == UnitPhase::kReady &&
                             unit.members.empty() && now >= unit.not_before;
      if (may_start) {
        ready.push_back({&job, &unit, this->RankOf(job, unit, now)});
      }
    }
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const Ready& left, const Ready& right) {
                     return left.rank < right.rank;
                   });
  const Job* failed_job = nullptr;
  int failed_step = -1;
  for (const auto& [job, unit, rank] : ready) {
    // Tasks of one step have one shape: when one does not fit, none does.
    if (job == failed_job && unit->step == failed_step) {
      continue;
    }
    if (!this->TryStart(*job, *unit, now)) {
      failed_job = job;
      failed_step = unit->step;
    }
  }
}

PlacementRequest Planner::RequestFor(const Job& job,
                                     const Unit& unit,
                                     core::TimePoint now) const {
  PlacementRequest request;
  const StepSpec& step = job.StepOf(unit);
  request.step = &step;
  request.service = job.record.service;
  const QueueConfig* queue = this->configuration->FindQueue(job.record.queue);
  if (queue != nullptr) {
    request.service = queue->service;
  }
  request.size = unit.size;
  request.priority = job.record.priority;
  request.avoided = &unit.avoided;
  request.own_reserved = &unit.reserved;
  request.now = now;
  request.accept_remote =
      now >=
          unit.ready_since + this->TypicalRun(job, unit) * kRemoteWaitFactor ||
      !CouldFitNear(this->fleet, request);
  if (step.max_per_worker > 0) {
    for (const Unit& other : job.units) {
      if (other.step == unit.step && other.occurrence == unit.occurrence) {
        for (const Member& member : other.members) {
          ++request.present[member.agent];
        }
      }
    }
  }
  return request;
}

bool Planner::MayBorrow(const Job& job, const Unit& unit, core::TimePoint now) {
  const StepSpec& step = job.StepOf(unit);
  return !LosesWorkWhenStopped(job, unit) ||
         this->lending.Allows(step.need.accelerators * unit.size, now);
}

bool Planner::TryStart(Job& job, Unit& unit, core::TimePoint now) {
  if (!this->MayBorrow(job, unit, now)) {
    return false;
  }
  const PlacementRequest request = this->RequestFor(job, unit, now);
  const auto placed = FindPlacement(this->fleet, request);
  if (placed) {
    this->Assign(job, unit, *placed, now);
    return true;
  }
  return unit.reserved.empty() && this->TryPreempt(job, unit, request, now);
}

bool Planner::IsWithinGuarantee(const Job& job) const {
  if (job.record.priority != 0) {
    return false;
  }
  const OrganisationConfig* organisation =
      this->configuration->FindOrganisation(job.record.organisation);
  if (organisation == nullptr) {
    return false;
  }
  std::int64_t needed = 0;
  for (const auto& [id, other] : this->jobs) {
    const bool counts = other.IsOpen() && other.record.priority == 0 &&
                        other.record.organisation == job.record.organisation;
    if (!counts) {
      continue;
    }
    std::int64_t widest = 0;
    for (const StepSpec& step : other.record.spec.steps) {
      widest = std::max(widest, step.need.accelerators * step.count);
    }
    needed += widest;
  }
  return needed <= organisation->guaranteed_accelerators;
}

core::Duration Planner::TypicalRun(const Job& job, const Unit& unit) const {
  const auto found = this->run_times.find(job.record.queue);
  if (found == this->run_times.end() || found->second.samples < kMinSamples) {
    return job.StepOf(unit).estimate;
  }
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(found->second.mean_ms));
}

Prospect Planner::ProspectOf(const Job& job,
                             const Unit& unit,
                             core::TimePoint now) const {
  // Neither ends by an objective that counts from its acceptance.
  if (job.StepOf(unit).long_running || job.record.spec.occurrences > 0) {
    return Prospect::kInTime;
  }
  const core::Duration run = this->TypicalRun(job, unit);
  return ProspectAt(job, unit.step, run, now);
}

double Planner::LossLimit(const Job& job,
                          const Unit& unit,
                          core::TimePoint now) const {
  if (this->IsWithinGuarantee(job)) {
    return std::numeric_limits<double>::infinity();
  }
  const double own_work = CoreEquivalents(job.StepOf(unit).need) *
                          static_cast<double>(unit.size) *
                          Seconds(this->TypicalRun(job, unit));
  const bool in_time = this->ProspectOf(job, unit, now) == Prospect::kInTime;
  if (job.record.priority == 0) {
    return own_work * (in_time ? kUrgentLossShare : kUrgentLateLossShare);
  }
  return own_work * (in_time ? kOrdinaryLossShare : kOrdinaryLateLossShare);
}

double Planner::CostOfStopping(const Job& job,
                               const Unit& unit,
                               core::TimePoint now) const {
  const StepSpec& step = job.StepOf(unit);
  // A stop saves what there is.
  const double lost =
      step.checkpoints ? 0.0 : Seconds(now - unit.members.front().since);
  return (lost + kRestartSeconds) * CoreEquivalents(step.need) *
         static_cast<double>(unit.size);
}

std::vector<Victim> Planner::VictimsFor(const Job& job, core::TimePoint now) {
  std::vector<Victim> victims;
  for (auto& [id, other] : this->jobs) {
    if (other.record.priority <= job.record.priority) {
      continue;
    }
    for (Unit& unit : other.units) {
      if (!unit.members.empty() && !unit.IsStopping()) {
        victims.push_back(
            {&other, &unit, this->CostOfStopping(other, unit, now)});
      }
    }
  }
  return victims;
}

void Planner::Reserve(const Job& job,
                      Unit& unit,
                      const std::vector<core::AgentId>& agents,
                      core::TimePoint now) {
  const Resources need = CountedNeed(job.StepOf(unit));
  for (const core::AgentId& agent : agents) {
    unit.reserved[agent] = unit.reserved[agent] + need;
    Resources& reserved = this->fleet[agent].reserved[job.record.priority];
    reserved = reserved + need;
  }
  unit.reserved_until = now + kReservation;
}

void Planner::ReturnReserved(const Job& job, Unit& unit) {
  for (const auto& [agent, kept] : unit.reserved) {
    Resources& reserved = this->fleet[agent].reserved[job.record.priority];
    reserved = reserved - kept;
  }
  this->ReleaseReservation(unit);
}

bool Planner::TryPreempt(Job& job,
                         Unit& unit,
                         const PlacementRequest& request,
                         core::TimePoint now) {
  const auto placement =
      FindPreemptingPlacement(this->fleet, request, this->VictimsFor(job, now));
  if (!placement || placement->cost > this->LossLimit(job, unit, now)) {
    return false;
  }
  this->Reserve(job, unit, placement->agents, now);
  for (const Victim& victim : placement->victims) {
    this->StopUnit(*victim.unit);
    if (LosesWorkWhenStopped(*victim.job, *victim.unit)) {
      this->lending.OnStopped(now);
    }
    this->Note("unit_preempted", victim.job->record.spec.id,
               "for=" + job.record.spec.id.Text() +
                   " cost=" + Text(static_cast<std::int64_t>(victim.cost)));
  }
  return true;
}

void Planner::Assign(Job& job,
                     Unit& unit,
                     const std::vector<core::AgentId>& agents,
                     core::TimePoint now) {
  const Resources need = CountedNeed(job.StepOf(unit));
  this->ReturnReserved(job, unit);
  if (LosesWorkWhenStopped(job, unit)) {
    this->lending.OnStarted(need.accelerators * unit.size);
  }
  ++unit.highest_run;
  std::string where;
  for (std::size_t i = 0; i < agents.size(); ++i) {
    AgentView& view = this->fleet[agents[i]];
    view.used = view.used + need;
    Member member;
    member.agent = agents[i];
    member.worker = view.worker->identity;
    member.index = unit.first + static_cast<int>(i);
    member.run = unit.highest_run;
    member.since = now;
    member.started_from = unit.checkpoint;
    unit.members.push_back(member);
    where += (i == 0 ? "" : ",") + view.worker->identity.id.Text();
  }
  this->Note(
      "unit_placed", job.record.spec.id,
      "task=" + job.NameOf(unit, unit.first).ToText() +
          " run=" + Text(unit.highest_run) + " workers=" + where +
          " waited_ms=" + Text((now - unit.ready_since).InMilliseconds()));
}

std::vector<AgentOrders> Planner::CollectOrders(core::TimePoint now) {
  std::map<core::AgentId, OrderBatch> batches;
  const auto may_order = [this, now](const core::AgentId& agent) {
    const auto found = this->fleet.find(agent);
    return found != this->fleet.end() && !found->second.batch_open &&
           now >= found->second.next_batch;
  };
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      for (auto member = unit.members.begin(); member != unit.members.end();) {
        const RunKey key{job.NameOf(unit, member->index), member->run};
        if (!member->sent && member->stop_wanted) {
          // Never left this process.
          member = unit.members.erase(member);
          continue;
        }
        if (may_order(member->agent)) {
          AgentView& view = this->fleet[member->agent];
          const std::uint64_t number = view.batch + 1;
          const bool stop_due =
              member->stop_wanted &&
              (!member->stop_sent || now >= *member->stop_sent + kStopRetry);
          if (!member->sent && !view.needs_probe) {
            batches[member->agent].starts.push_back(
                {key, job.record.spec.payload, member->started_from, ""});
            member->sent = true;
            member->batch = number;
          } else if (member->sent && stop_due) {
            batches[member->agent].stops.push_back(key);
            member->stop_sent = now;
          }
        }
        ++member;
      }
    }
  }
  for (auto& [agent, view] : this->fleet) {
    if (!may_order(agent)) {
      continue;
    }
    for (const auto& [key, held] : view.strays) {
      batches[agent].stops.push_back(key);
    }
    // One that is lost and no member any more reports when it comes back.
    if (view.needs_probe && (view.is_recorded || !view.is_lost)) {
      batches[agent];
    }
  }
  std::vector<AgentOrders> orders;
  for (auto& [agent, batch] : batches) {
    AgentView& view = this->fleet[agent];
    batch.epoch = this->epoch;
    batch.number = ++view.batch;
    batch.planner = this->options.endpoint;
    batch.agent_incarnation = view.incarnation;
    batch.worker = view.worker ? view.worker->identity : WorkerIdentity();
    view.batch_open = true;
    view.batch_sent = now;
    if (!view.strays.empty()) {
      view.next_batch = now + kStopRetry;
    }
    orders.push_back({agent, view.endpoint, std::move(batch)});
  }
  return orders;
}

void Planner::Note(std::string event,
                   const core::JobId& job,
                   std::string detail) {
  this->notes.push_back({std::move(event), job, std::move(detail)});
}

}  // namespace hemlockdoor::batch
