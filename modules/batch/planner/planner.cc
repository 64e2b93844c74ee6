#include "modules/batch/planner/planner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace hemlockdoor::batch {

namespace {

/// Safety margin, in addition to clock drift, before a lease counts as expired.
constexpr core::Duration kLeaseMargin = core::Duration::Milliseconds(150);
/// Delay during which run ends of open jobs are collected into one write. The
/// worker lists the ends until they are stored, so none is lost meanwhile.
constexpr core::Duration kProgressWriteDelay =
    core::Duration::Milliseconds(400);
/// Interval between writes of the checkpoints of running tasks. One write
/// covers many jobs, so that the number of store calls does not grow with the
/// number of jobs. Workers save a checkpoint every 0.5 s to 2 s.
constexpr core::Duration kCheckpointPeriod = core::Duration::Milliseconds(1000);
/// Interval after which a stop is ordered again if the run has not ended.
constexpr core::Duration kStopRetry = core::Duration::Milliseconds(1500);
/// Time between the orders for the first and the last member of a gang from
/// which on it is logged. Members wait for each other for 3 s or more.
constexpr core::Duration kSlowGangOrders = core::Duration::Milliseconds(500);
/// Time without progress after which a member of a gang counts as waiting for
/// the others. Agents report a standstill of 900 ms at once.
constexpr core::Duration kGangStandstill = core::Duration::Milliseconds(900);
/// Pause before a unit is placed again after its start was rejected.
constexpr core::Duration kRejectionBackoff = core::Duration::Milliseconds(150);
/// A call with orders normally ends within a second, with or without an answer.
/// A batch that is open for longer than two seconds counts as unanswered;
/// otherwise the agent would never get orders again if the end of a call went
/// unnoticed.
constexpr core::Duration kBatchTimeout = core::Duration::Milliseconds(2000);
/// `UnitMember::batch` of a doubtful start that no batch has revoked yet.
constexpr std::uint64_t kNoBatch = std::numeric_limits<std::uint64_t>::max();
/// Interval between probes of an agent that does not answer.
constexpr core::Duration kProbeInterval = core::Duration::Milliseconds(250);
/// Number of distinct jobs that must fail on a worker, with no success in
/// between, before the worker is suspended.
constexpr std::size_t kFailuresToSuspend = 2;
/// Length of the first suspension. It doubles with each further one that
/// follows without a success in between, up to kMaxSuspensionDoublings times.
constexpr core::Duration kBaseSuspension = core::Duration::Milliseconds(3000);
constexpr int kMaxSuspensionDoublings = 3;
/// Run numbers in an epoch begin above the epoch times this number, so that
/// they exceed the numbers of runs from earlier terms that were never reported
/// or stored. This holds as long as a unit starts fewer times than this in one
/// epoch.
constexpr std::int64_t kRunsPerEpoch = 100'000;
/// Number of priority levels by which a job is moved back in the order of
/// starts if it is expected to end late, or too late to be of value. Per
/// core-second a late job is worth about as much as a job of the next priority
/// that ends in time.
constexpr int kLatePenaltyLevels = 1;
constexpr int kTooLatePenaltyLevels = 3;
/// Number of completed runs of a queue after which their average replaces the
/// declared estimate.
constexpr int kMinRunTimeSamples = 3;
/// Weight of a new sample in the moving average of run times, once there are
/// enough samples; the first ones are averaged evenly.
constexpr double kRunTimeAverageWeight = 0.1;
/// Delay scheduling: a unit waits for capacity in the rack with its input data,
/// or for a single rack, for up to this many run times. Elsewhere a task takes
/// three times as long.
constexpr std::int64_t kLocalityWaitFactor = 1;
/// Longest time for which a unit waits for a worker with an open start that may
/// have ended or is about to leave. Jobs must have something running again
/// within 3 s. Copies may arrive later than that: if the worker has restarted
/// by then, and a copy precedes its first poll, a task runs twice.
constexpr core::Duration kMaxOpenStartWait = core::Duration::Milliseconds(1500);

/// Returns the longest time that a worker may hold a lease that an agent asked
/// for within its term.
core::Duration MaxLeaseDuration(core::Duration term) {
  return term + term / kClockDriftDivisor + kLeaseMargin;
}

/// Returns true if the unit is a gang that is not done and has too few members.
bool IsIncompleteGang(const Job& job, const Unit& unit) {
  return job.StepOf(unit).gang && unit.phase != UnitPhase::kDone &&
         static_cast<int>(unit.members.size()) < unit.size;
}

/// Exchanges the workers of tasks so that a task with an open start is on the
/// worker that may receive it, if that was chosen. A crash of the worker then
/// ends the new run before a copy of the start can begin the old one.
void ReturnTasksToOpenStarts(const Unit& unit,
                             std::vector<core::AgentId>& agents) {
  std::set<std::size_t> returned;
  for (const OpenStart& start : unit.open_starts) {
    const auto task = static_cast<std::size_t>(start.index - unit.first);
    for (std::size_t other = 0; other < agents.size(); ++other) {
      const bool may_exchange = agents[other] == start.agent &&
                                !returned.contains(other) &&
                                !returned.contains(task);
      if (may_exchange) {
        std::swap(agents[task], agents[other]);
        returned.insert(task);
      }
    }
  }
}

/// Returns true if `unit` cannot start either, given that `failed` of the same
/// job could not. All tasks of a step need the same resources, but one that has
/// waited longer may start in more places, and the limit of tasks on a worker
/// applies to each occurrence.
bool CannotFitEither(const Job& job, const Unit& unit, const Unit& failed) {
  const bool has_other_limit = job.StepOf(unit).max_per_worker > 0 &&
                               unit.occurrence != failed.occurrence;
  return unit.step == failed.step && !has_other_limit &&
         unit.ready_since >= failed.ready_since;
}

std::string Text(std::int64_t number) {
  return std::to_string(number);
}

/// Describes the steps of a job for the log.
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
  this->speeds = WorkerSpeeds();
  this->room = RoomMeter();
  const core::Duration longest = MaxLeaseDuration(this->options.term);
  this->recovery_deadline = now + longest;
  for (const MemberRecord& member : members) {
    AgentView& view = this->fleet[member.agent];
    view.agent = member.agent;
    view.endpoint = member.endpoint;
    view.membership = Membership::kStored;
    view.needs_probe = true;
    view.last_contact = now;
    view.leases_expire_at = now + longest;
    view.earlier_leases_expire_at = now + longest;
    if (member.long_leases) {
      view.stored_long_leases = true;
      this->ExtendLeases(
          view, now + MaxLeaseDuration(this->options.max_worker_lease));
      this->recovery_deadline =
          std::max(this->recovery_deadline, view.leases_expire_at);
    }
  }
  this->LogDecision(
      "term_begun", {},
      "epoch=" + Text(static_cast<std::int64_t>(new_epoch.Number())) +
          " members=" + Text(static_cast<std::int64_t>(members.size())));
}

void Planner::LoadJob(JobRecord record,
                      const ProgressRecord* progress,
                      bool cancelled,
                      core::TimePoint now,
                      std::int64_t wall_ms) {
  const core::JobId id = record.spec.id;
  const core::Duration age =
      core::Duration::Milliseconds(
          std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms)) +
      record.AgeWhenAccepted();
  Job job = Job::Create(std::move(record), progress);
  job.accepted = now - age;
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
  this->caller_cost.AddJob(job);
  this->jobs.insert_or_assign(id, std::move(job));
}

void Planner::AddJob(JobRecord record, core::TimePoint now) {
  const core::JobId id = record.spec.id;
  if (this->jobs.contains(id)) {
    return;
  }
  Job job = Job::Create(std::move(record), nullptr);
  job.accepted = now - job.record.AgeWhenAccepted();
  this->LogDecision("job_added", id,
                    "queue=" + job.record.queue.Text() +
                        " priority=" + Text(job.record.priority) + " units=" +
                        Text(static_cast<std::int64_t>(job.units.size())) +
                        ShapeText(job.record.spec));
  this->caller_cost.AddJob(job);
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

AgentView& Planner::UpdateView(const AgentReport& report, core::TimePoint now) {
  AgentView& view = this->fleet[report.agent];
  const bool is_new = view.agent.IsEmpty();
  if (is_new) {
    // An earlier planner may have granted terms to earlier processes.
    view.earlier_leases_expire_at = this->recovery_deadline;
  }
  view.agent = report.agent;
  view.endpoint = report.endpoint;
  if (view.incarnation != report.incarnation) {
    if (view.incarnation != core::Incarnation()) {
      view.earlier_leases_expire_at =
          std::max(view.earlier_leases_expire_at, view.leases_expire_at);
      view.session = view.session.Next();
      this->OnAgentRestarted(view);
    }
    view.incarnation = report.incarnation;
    view.sequence = 0;
    view.needs_probe = true;
  }
  if (is_new) {
    this->LogDecision("agent_found", {}, "agent=" + report.agent.Text());
    view.needs_probe = true;
  }
  view.last_contact = now;
  return view;
}

void Planner::ExtendLeases(AgentView& view, core::TimePoint until) {
  view.has_long_leases = true;
  view.long_leases_until = std::max(view.long_leases_until, until);
  view.earlier_leases_expire_at =
      std::max(view.earlier_leases_expire_at, view.long_leases_until);
  view.leases_expire_at =
      std::max(view.leases_expire_at, view.long_leases_until);
}

void Planner::OnAgentRestarted(const AgentView& view) {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      for (UnitMember& member : unit.members) {
        if (member.agent != view.agent || !member.sent || member.confirmed) {
          continue;
        }
        member.in_doubt = true;
        member.batch = kNoBatch;
        member.stop_sent_at.reset();
        this->LogDecision("start_in_doubt", id,
                          "task=" + job.NameOf(unit, member.index).ToText() +
                              " run=" + Text(member.run) +
                              " agent=" + view.agent.Text());
      }
    }
  }
}

bool Planner::IsPresentProcess(const AgentReport& report) {
  AgentView& view = this->fleet[report.agent];
  const std::uint64_t next = view.contacts.size() + 1;
  const std::uint64_t number =
      view.contacts.try_emplace(report.incarnation, next).first->second;
  if (view.incarnation == core::Incarnation() ||
      view.incarnation == report.incarnation) {
    return true;
  }
  // Only a process that was running when it was first answered reports in this
  // epoch.
  return report.epoch == this->epoch &&
         number > view.contacts.at(view.incarnation);
}

ReportAnswer Planner::OnReport(const AgentReport& report, core::TimePoint now) {
  if (!this->IsPresentProcess(report)) {
    // If the process runs, it reports again, in this epoch. Otherwise nobody
    // receives the answer.
    this->LogDecision("late_report", {}, "agent=" + report.agent.Text());
    ReportAnswer answer;
    answer.epoch = this->epoch;
    answer.session = this->fleet[report.agent].session;
    return answer;
  }
  AgentView& view = this->UpdateView(report, now);
  view.leases_expire_at = std::max(view.leases_expire_at,
                                   now + MaxLeaseDuration(this->options.term));
  if (report.restart_lease > core::Duration()) {
    this->ExtendLeases(view, now + report.restart_lease + kLeaseMargin);
  }
  this->speeds.Restore(report.agent, report.speed);
  const bool is_current =
      report.epoch == this->epoch && report.sequence > view.sequence;
  if (is_current) {
    view.sequence = report.sequence;
    view.is_lost = false;
    // The first report that covers the latest batch settles a probe.
    if (report.batch >= view.batch && view.batch > 0) {
      view.needs_probe = false;
    }
    this->ApplyWorker(view, report, now);
    this->ApplyEnds(view, report, now);
    this->ApplyActiveRuns(view, report, now);
    this->RemoveMissingRuns(view, report, now);
    view.has_reported =
        view.has_reported || (!view.needs_probe && view.is_complete);
  }
  ReportAnswer answer;
  answer.epoch = this->epoch;
  answer.session = view.session;
  answer.term = this->options.term;
  answer.speed = this->speeds.ReportedOf(report.agent);
  answer.earlier_leases =
      std::max(view.earlier_leases_expire_at - now, core::Duration());
  if (view.worker) {
    answer.worker = view.worker->identity;
    answer.acknowledged = view.HighestAcknowledgeableEnd();
  }
  answer.max_worker_lease =
      std::min(this->options.max_worker_lease, kMaxWorkerLease);
  answer.evacuated = this->evacuations.State().data_centres;
  answer.evacuation_revision = this->evacuations.State().revision;
  return answer;
}

void Planner::ApplyWorker(AgentView& view,
                          const AgentReport& report,
                          core::TimePoint now) {
  const bool same_incarnation =
      view.worker && report.worker &&
      view.worker->identity == report.worker->identity;
  const bool has_restarted = report.worker &&
                             !view.latest_worker.id.IsEmpty() &&
                             view.latest_worker != report.worker->identity;
  if (has_restarted) {
    view.awaits_fencing = true;
    this->LogDecision(
        "worker_restarted", {},
        "agent=" + view.agent.Text() +
            " worker=" + report.worker->identity.id.Text() +
            " born=" + Text(report.worker->identity.born_wall_ms) +
            " former_born=" + Text(view.latest_worker.born_wall_ms));
  }
  if (report.worker) {
    view.latest_worker = report.worker->identity;
  }
  if (!same_incarnation) {
    view.applied_end = 0;
    view.pending_ends.clear();
    view.orphan_runs.clear();
    view.failing_jobs.clear();
    view.counted_jobs.clear();
    view.suspended_until = core::TimePoint();
    view.stalled_until = core::TimePoint();
    view.suspensions = 0;
  }
  if (view.worker && report.worker &&
      view.worker->state != report.worker->state) {
    this->LogDecision(
        "worker_state", {},
        "worker=" + report.worker->identity.id.Text() + " state=" +
            (report.worker->state == WorkerState::kDraining ? "draining"
                                                            : "ready"));
  }
  const bool is_new_drain_notice =
      report.worker && report.worker->state == WorkerState::kDraining &&
      (!same_incarnation || !view.IsDraining() ||
       view.worker->remaining != report.worker->remaining);
  if (is_new_drain_notice) {
    view.leaves_at = now + report.worker->remaining;
  }
  const bool has_new_warm_up =
      report.worker &&
      (!same_incarnation || view.worker->cold_left != report.worker->cold_left);
  if (has_new_warm_up) {
    view.cold_until = now + report.worker->cold_left;
  }
  if (report.worker) {
    this->speeds.OnWorker(report.agent, *report.worker);
  }
  view.worker = report.worker;
  view.worker_reachable = report.worker_reachable;
  const bool is_in_session = !report.session || *report.session == view.session;
  view.is_complete = report.is_complete && is_in_session;
  if (view.awaits_fencing) {
    this->ExtendLeases(view,
                       now + MaxLeaseDuration(this->options.max_worker_lease));
    view.awaits_fencing = !view.is_complete;
  }
  view.can_start = report.can_start;
}

void Planner::ApplyEnds(AgentView& view,
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
  view.orphan_runs.erase(end.key);
  const auto found = this->jobs.find(end.key.task.job);
  Unit* unit = found == this->jobs.end() ? nullptr
                                         : found->second.FindUnit(end.key.task);
  this->LogDecision(
      "run_ended", end.key.task.job,
      "task=" + end.key.task.ToText() + " run=" + Text(end.key.run) +
          " how=" + NameOf(end.kind) +
          " worker=" + (view.worker ? view.worker->identity.id.Text() : ""));
  if (unit == nullptr) {
    return;
  }
  Job& job = found->second;
  unit->highest_run = std::max(unit->highest_run, end.key.run);
  this->RecordRunTime(job, *unit, end, now);
  const std::size_t removed =
      std::erase_if(unit->members, [&](const UnitMember& member) {
        return member.agent == view.agent &&
               member.index == end.key.task.index && member.run == end.key.run;
      });
  unit->checkpoint.OnEnd(end);
  if (end.kind == RunEndKind::kDone) {
    for (UnitMember& member : unit->members) {
      member.stop_requested =
          member.stop_requested || member.run != end.key.run;
    }
    view.failing_jobs.clear();
    view.counted_jobs.clear();
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
  if (removed > 0) {
    this->OnMembersRemoved(job, *unit, now);
  }
}

void Planner::RecordRunTime(const Job& job,
                            const Unit& unit,
                            const RunEnd& end,
                            core::TimePoint now) {
  const auto member = std::find_if(
      unit.members.begin(), unit.members.end(), [&end](const UnitMember& each) {
        return each.run == end.key.run && each.index == end.key.task.index;
      });
  if (member != unit.members.end()) {
    this->RecordSpeed(job, unit, *member, end, now);
  }
  const bool is_sample = end.kind == RunEndKind::kDone &&
                         member != unit.members.end() && !member->adopted &&
                         member->started_from.empty();
  if (!is_sample) {
    return;
  }
  RunTimeAverage& times = this->run_times[job.record.queue];
  const double took =
      static_cast<double>((now - member->since).InMilliseconds()) /
      unit.time_factor;
  ++times.samples;
  const double weight = std::max(kRunTimeAverageWeight, 1.0 / times.samples);
  times.mean_ms += weight * (took - times.mean_ms);
}

void Planner::OnDone(Job& job, Unit& unit, core::TimePoint now) {
  const StepSpec& step = job.StepOf(unit);
  if (step.long_running || unit.phase == UnitPhase::kDone) {
    return;
  }
  unit.phase = UnitPhase::kDone;
  this->ClearReservation(unit);
  this->MarkChanged(job, now);
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
    unit.avoided_workers.insert(view.worker->identity.id);
    if (!view.counted_jobs.contains(job.record.spec.id)) {
      view.failing_jobs.insert(job.record.spec.id);
    }
    if (view.failing_jobs.size() >= kFailuresToSuspend) {
      const int doublings = std::min(view.suspensions, kMaxSuspensionDoublings);
      view.suspended_until =
          now + kBaseSuspension * (std::int64_t{1} << doublings);
      ++view.suspensions;
      view.counted_jobs.merge(view.failing_jobs);
      view.failing_jobs.clear();
      this->LogDecision("worker_suspended", {},
                        "worker=" + view.worker->identity.id.Text());
    }
  }
  if (unit.phase == UnitPhase::kDone || job.StepOf(unit).long_running) {
    return;
  }
  unit.failed_runs.insert(end.key.run);
  this->MarkChanged(job, now);
  const auto failures = static_cast<int>(unit.failed_runs.size());
  if (failures >= job.record.max_attempts && job.IsOpen()) {
    unit.phase = UnitPhase::kFailed;
    this->EndJob(job, JobOutcome::kFailed, now);
  }
}

void Planner::EndJob(Job& job, JobOutcome outcome, core::TimePoint now) {
  job.outcome = outcome;
  job.ended = now;
  this->MarkChanged(job, now);
  this->LogDecision("job_ended", job.record.spec.id,
                    std::string("outcome=") + NameOf(outcome) + " after_ms=" +
                        Text((now - job.accepted).InMilliseconds()));
  for (Unit& unit : job.units) {
    this->ClearReservation(unit);
    if (outcome != JobOutcome::kCompleted) {
      this->StopUnit(unit);
    }
  }
}

void Planner::MarkChanged(Job& job, core::TimePoint now) {
  if (job.version == job.recorded_version) {
    job.unrecorded_since = now;
  }
  ++job.version;
}

void Planner::StopUnit(Unit& unit) {
  for (UnitMember& member : unit.members) {
    member.stop_requested = true;
  }
}

void Planner::ClearReservation(Unit& unit) {
  unit.reserved.clear();
  unit.reserved_by_preemption = false;
}

void Planner::StopIncompleteGang(const Job& job,
                                 Unit& unit,
                                 core::TimePoint now) {
  if (IsIncompleteGang(job, unit)) {
    this->StopGang(job, unit, now);
  }
}

void Planner::StopGang(const Job& job, Unit& unit, core::TimePoint now) {
  const auto first =
      std::min_element(unit.members.begin(), unit.members.end(),
                       [](const UnitMember& left, const UnitMember& right) {
                         return left.since < right.since;
                       });
  const bool is_stopped =
      std::all_of(unit.members.begin(), unit.members.end(),
                  [](const UnitMember& each) { return each.stop_requested; });
  if (is_stopped) {
    return;
  }
  const auto begun =
      std::count_if(unit.members.begin(), unit.members.end(),
                    [](const UnitMember& each) { return each.confirmed; });
  this->LogDecision(
      "gang_stopped", job.record.spec.id,
      "task=" + job.NameOf(unit, unit.first).ToText() +
          " run=" + Text(first->run) +
          " members=" + Text(static_cast<std::int64_t>(unit.members.size())) +
          " confirmed=" + Text(begun) + " size=" + Text(unit.size) +
          " placed_ms=" + Text((now - first->since).InMilliseconds()));
  this->StopUnit(unit);
}

void Planner::StopWaitingGangs(core::TimePoint now) {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const bool may_wait =
          job.StepOf(unit).gang && unit.phase != UnitPhase::kDone;
      if (may_wait && this->WaitsInVain(unit, now)) {
        this->StopGang(job, unit, now);
      }
    }
  }
}

bool Planner::WaitsInVain(const Unit& unit, core::TimePoint now) const {
  const core::Duration limit = this->options.gang_wait / 2;
  const auto has_waited = [this, now, limit](const UnitMember& member) {
    return member.confirmed && member.still >= kGangStandstill &&
           now >= member.sent_at + limit &&
           now < member.sent_at + this->options.gang_wait;
  };
  const auto may_be_missing = [this](const UnitMember& member) {
    const auto found = this->fleet.find(member.agent);
    return !member.confirmed || found == this->fleet.end() ||
           !found->second.worker_reachable;
  };
  const bool is_sure =
      static_cast<int>(unit.members.size()) == unit.size &&
      std::none_of(unit.members.begin(), unit.members.end(), may_be_missing);
  return !is_sure &&
         std::any_of(unit.members.begin(), unit.members.end(), has_waited);
}

void Planner::LogSlowGangOrders(const Job& job,
                                const Unit& unit,
                                core::TimePoint now) {
  core::TimePoint first_sent = now;
  for (const UnitMember& member : unit.members) {
    if (!member.sent) {
      return;
    }
    first_sent = std::min(first_sent, member.sent_at);
  }
  const bool is_ordered_now = std::any_of(
      unit.members.begin(), unit.members.end(),
      [now](const UnitMember& each) { return each.sent_at == now; });
  if (is_ordered_now && now - first_sent >= kSlowGangOrders) {
    this->LogDecision("gang_ordered_slowly", job.record.spec.id,
                      "task=" + job.NameOf(unit, unit.first).ToText() +
                          " run=" + Text(unit.highest_run) + " spread_ms=" +
                          Text((now - first_sent).InMilliseconds()));
  }
}

void Planner::OnMembersRemoved(Job& job, Unit& unit, core::TimePoint now) {
  this->StopIncompleteGang(job, unit, now);
  if (unit.members.empty()) {
    unit.ready_since = now;
  }
}

void Planner::ApplyActiveRuns(AgentView& view,
                              const AgentReport& report,
                              core::TimePoint now) {
  view.lists_runs = !report.active.empty();
  std::map<RunKey, Resources> orphan_runs;
  for (const ActiveRun& active : report.active) {
    const TaskName& task = active.key.task;
    const auto found = this->jobs.find(task.job);
    Unit* unit =
        found == this->jobs.end() ? nullptr : found->second.FindUnit(task);
    if (active.is_over &&
        (unit == nullptr || unit->phase == UnitPhase::kDone)) {
      continue;
    }
    if (unit == nullptr) {
      orphan_runs[active.key] = Resources();
      continue;
    }
    Job& job = found->second;
    unit->highest_run = std::max(unit->highest_run, active.key.run);
    job.started = true;
    if (active.is_over) {
      this->ApplyOpenStart(job, *unit, view, active, now);
      continue;
    }
    std::erase(unit->open_starts,
               OpenStart{view.agent, task.index, active.key.run});
    auto member = std::find_if(unit->members.begin(), unit->members.end(),
                               [&](const UnitMember& each) {
                                 return each.agent == view.agent &&
                                        each.index == task.index &&
                                        each.run == active.key.run;
                               });
    if (member == unit->members.end()) {
      this->WithdrawUnlessSent(*unit);
      const bool is_superseded =
          std::any_of(unit->members.begin(), unit->members.end(),
                      [&active](const UnitMember& each) {
                        return each.run > active.key.run;
                      });
      if (is_superseded) {
        // A copy of an earlier start has begun the run on a restarted worker.
        orphan_runs[active.key] = CountedNeed(job.StepOf(*unit));
        continue;
      }
      UnitMember found_member;
      found_member.agent = view.agent;
      found_member.worker =
          report.worker ? report.worker->identity : WorkerIdentity();
      found_member.index = task.index;
      found_member.run = active.key.run;
      found_member.sent = true;
      found_member.sent_at = now;
      found_member.adopted = true;
      found_member.since = now;
      found_member.stop_requested = !job.IsOpen() ||
                                    unit->phase == UnitPhase::kDone ||
                                    view.orphan_runs.erase(active.key) > 0;
      this->LogDecision("run_adopted", task.job,
                        "task=" + task.ToText() +
                            " run=" + Text(active.key.run) +
                            " agent=" + view.agent.Text());
      unit->members.push_back(found_member);
      unit->time_factor =
          std::max(unit->time_factor, this->speeds.FactorOf(view.agent));
      member = std::prev(unit->members.end());
    }
    member->confirmed = active.confirmed;
    if (active.confirmed && member->in_doubt) {
      member->in_doubt = false;
      member->batch = 0;
    }
    if (member->percent != active.percent) {
      member->percent = active.percent;
      member->percent_at = now;
    }
    member->still = active.still;
    this->RecordPace(job, *unit, *member, report, now);
    this->ApplyCheckpoint(job, *unit, active, now);
  }
  for (const auto& [key, resources] : orphan_runs) {
    if (!view.orphan_runs.contains(key)) {
      this->LogDecision(
          "stray_run", key.task.job,
          "task=" + key.task.ToText() + " agent=" + view.agent.Text());
    }
  }
  if (view.is_complete) {
    view.orphan_runs.clear();
  }
  view.orphan_runs.merge(orphan_runs);
}

void Planner::WithdrawUndeliverableStarts(core::TimePoint now) {
  const auto is_undeliverable = [this, now](const UnitMember& member) {
    const auto found = this->fleet.find(member.agent);
    return !member.sent &&
           (found == this->fleet.end() || !found->second.MayReceiveStarts(now));
  };
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      if (std::any_of(unit.members.begin(), unit.members.end(),
                      is_undeliverable)) {
        this->WithdrawUnsentStarts(job, unit, "undeliverable");
      }
    }
  }
}

void Planner::WithdrawUnlessSent(Unit& unit) {
  const bool is_unsent =
      std::none_of(unit.members.begin(), unit.members.end(),
                   [](const UnitMember& member) { return member.sent; });
  if (is_unsent) {
    unit.members.clear();
  }
}

void Planner::ApplyOpenStart(Job& job,
                             Unit& unit,
                             const AgentView& view,
                             const ActiveRun& over,
                             core::TimePoint now) {
  const OpenStart start{view.agent, over.key.task.index, over.key.run};
  if (std::find(unit.open_starts.begin(), unit.open_starts.end(), start) ==
      unit.open_starts.end()) {
    unit.open_starts.push_back(start);
    this->LogDecision("start_open", job.record.spec.id,
                      "task=" + over.key.task.ToText() + " run=" +
                          Text(over.key.run) + " agent=" + view.agent.Text());
  }
  const std::size_t removed =
      std::erase_if(unit.members, [&start](const UnitMember& member) {
        return member.agent == start.agent && member.index == start.index &&
               member.run == start.run;
      });
  if (removed > 0) {
    this->speeds.OnRunDiscarded(view.agent, over.key);
    this->OnMembersRemoved(job, unit, now);
  }
}

bool Planner::MayOpenStartsBeginRuns(const Unit& unit,
                                     core::TimePoint now) const {
  const bool may_wait = now < unit.ready_since + kMaxOpenStartWait;
  return std::any_of(unit.open_starts.begin(), unit.open_starts.end(),
                     [this, now, may_wait](const OpenStart& start) {
                       const auto found = this->fleet.find(start.agent);
                       if (found == this->fleet.end()) {
                         return false;
                       }
                       const AgentView& view = found->second;
                       return view.AwaitsFirstPoll() ||
                              (may_wait && !view.RefusesOpenStarts(now));
                     });
}

void Planner::ApplyCheckpoint(Job& job,
                              Unit& unit,
                              const ActiveRun& active,
                              core::TimePoint now) {
  if (unit.phase == UnitPhase::kDone || !unit.checkpoint.OnActive(active)) {
    return;
  }
  if (!job.checkpoint_waiting_since) {
    job.checkpoint_waiting_since = now;
  }
}

void Planner::RemoveMissingRuns(AgentView& view,
                                const AgentReport& report,
                                core::TimePoint now) {
  const auto is_listed = [&report](const RunKey& key) {
    return std::any_of(
        report.active.begin(), report.active.end(),
        [&key](const ActiveRun& active) { return active.key == key; });
  };
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      if (view.is_complete) {
        std::erase_if(unit.open_starts, [&, &owner = job](const auto& start) {
          return start.agent == view.agent &&
                 !is_listed({owner.NameOf(unit, start.index), start.run});
        });
      }
      bool removed = false;
      for (auto member = unit.members.begin(); member != unit.members.end();) {
        const RunKey key{job.NameOf(unit, member->index), member->run};
        // A new incarnation of the worker alone does not show that a run is
        // over: it may have been given the start.
        const bool is_settled = member->sent && member->batch <= report.batch &&
                                !is_listed(key) && view.is_complete;
        if (member->agent != view.agent || !is_settled) {
          ++member;
          continue;
        }
        const auto rejection = std::find_if(
            report.rejections.rbegin(), report.rejections.rend(),
            [&key](const Rejection& each) { return each.key == key; });
        const bool was_rejected = rejection != report.rejections.rend();
        this->LogDecision(
            "run_gone", id,
            "task=" + key.task.ToText() + " run=" + Text(key.run) +
                " agent=" + view.agent.Text() + " reason=" +
                (was_rejected ? NameOf(rejection->reason) : "lost") +
                " session=" +
                Text(static_cast<std::int64_t>(view.session.Number())) +
                " born=" + Text(member->worker.born_wall_ms) +
                " reported_born=" +
                Text(report.worker ? report.worker->identity.born_wall_ms : 0));
        if (was_rejected) {
          unit.start_not_before = now + kRejectionBackoff;
          // An evacuation says nothing about the worker itself.
          if (rejection->reason != RejectReason::kEvacuated) {
            unit.avoided_workers.insert(member->worker.id);
          }
        }
        this->speeds.OnRunDiscarded(view.agent, key);
        member = unit.members.erase(member);
        removed = true;
      }
      if (removed) {
        this->OnMembersRemoved(job, unit, now);
      }
    }
  }
}

AgentView* Planner::FindAgentWithOpenBatch(const core::AgentId& agent,
                                           std::uint64_t batch) {
  const auto found = this->fleet.find(agent);
  const bool is_open = found != this->fleet.end() && found->second.batch_open &&
                       found->second.batch == batch;
  return is_open ? &found->second : nullptr;
}

void Planner::OnOrdersAnswered(const core::AgentId& agent,
                               std::uint64_t batch) {
  if (AgentView* view = this->FindAgentWithOpenBatch(agent, batch)) {
    view->batch_open = false;
  }
}

void Planner::OnOrdersUnanswered(const core::AgentId& agent,
                                 std::uint64_t batch,
                                 core::TimePoint now) {
  if (AgentView* view = this->FindAgentWithOpenBatch(agent, batch)) {
    view->batch_open = false;
    view->needs_probe = true;
    view->next_batch_at = now + kProbeInterval;
  }
}

void Planner::CloseOverdueBatches(core::TimePoint now) {
  for (auto& [agent, view] : this->fleet) {
    if (!view.batch_open || now < view.batch_sent_at + kBatchTimeout) {
      continue;
    }
    this->LogDecision(
        "orders_overdue", {},
        "agent=" + agent.Text() +
            " batch=" + Text(static_cast<std::int64_t>(view.batch)) +
            " open_ms=" + Text((now - view.batch_sent_at).InMilliseconds()) +
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
    const bool is_stored =
        found != members.end() && found->endpoint == view.endpoint;
    view.membership = is_stored ? Membership::kStored : Membership::kAbsent;
    view.stored_long_leases = is_stored && found->long_leases;
  }
}

std::optional<std::vector<MemberRecord>> Planner::TakeMembersWrite() {
  std::vector<MemberRecord> members;
  bool changed = false;
  for (auto& [agent, view] : this->fleet) {
    // An agent without a worker has no runs, and gets starts again only once it
    // is back in the stored list. It stays while a copy of a start may reach a
    // later incarnation of the worker.
    const bool has_no_worker =
        view.is_complete && !view.worker && !view.lists_runs;
    const bool is_gone = view.is_lost || has_no_worker;
    if (!is_gone) {
      members.push_back({view.agent, view.endpoint, view.has_long_leases});
      changed = changed || view.has_long_leases != view.stored_long_leases;
    }
    const Membership wanted =
        is_gone ? Membership::kAbsent : Membership::kStored;
    if (view.membership != wanted) {
      view.membership = Membership::kInDoubt;
      changed = true;
    }
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
    // Reset even if the write fails; the next checkpoint is queued again.
    job.checkpoint_waiting_since.reset();
    writes.push_back({job.Progress(wall_ms), job.version});
  };
  const bool is_due = std::any_of(
      this->jobs.begin(), this->jobs.end(), [now](const auto& entry) {
        const Job& job = entry.second;
        return job.version > job.recorded_version &&
               (job.outcome != JobOutcome::kOpen ||
                now >= job.unrecorded_since + kProgressWriteDelay);
      });
  if (is_due) {
    for (auto& [id, job] : this->jobs) {
      if (job.version > job.recorded_version && writes.size() < limit) {
        take(job);
      }
    }
  }
  if (now < this->next_checkpoint_write) {
    return writes;
  }
  std::vector<Job*> waiting;
  for (auto& [id, job] : this->jobs) {
    if (job.checkpoint_waiting_since && job.IsOpen()) {
      waiting.push_back(&job);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const Job* left, const Job* right) {
              return *left->checkpoint_waiting_since <
                     *right->checkpoint_waiting_since;
            });
  waiting.resize(std::min(waiting.size(), limit - writes.size()));
  for (Job* job : waiting) {
    take(*job);
  }
  if (!waiting.empty()) {
    this->next_checkpoint_write = now + kCheckpointPeriod;
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
    for (auto& [agent, view] : this->fleet) {
      view.failing_jobs.erase(entry->first);
      view.counted_jobs.erase(entry->first);
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
  // The end is shown only once it is stored. Otherwise a later planner could
  // run the job again after callers have seen it end.
  const bool is_recorded = job.version == job.recorded_version;
  if (job.outcome == JobOutcome::kCompleted && is_recorded) {
    return JobState::kCompleted;
  }
  if (job.outcome == JobOutcome::kFailed && is_recorded) {
    return JobState::kFailed;
  }
  return job.started ? JobState::kRunning : JobState::kQueued;
}

std::optional<OwnedState> Planner::OwnedStateOf(const core::JobId& id) const {
  const std::optional<JobState> state = this->StateOf(id);
  if (!state) {
    return std::nullopt;
  }
  return OwnedState{*state, this->jobs.at(id).record.Owner()};
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
  for (auto& [agent, view] : this->fleet) {
    view.has_long_leases = now < view.long_leases_until;
  }
  this->CloseOverdueBatches(now);
  this->DropLostAgents(now);
  this->UpdateSpeeds(now);
  this->PrepareStarts(now, wall_ms);
  if (!this->starts_withheld) {
    this->Schedule(now);
  }
  this->WatchWaits(now);
  this->CountEvacuatedLoad(now);
  this->LogUnitsWithoutDataCentre();
  return this->CollectOrders(now);
}

void Planner::PrepareStarts(core::TimePoint now, std::int64_t wall_ms) {
  this->UpdatePhases(now, wall_ms);
  this->ApplyEvacuations(now);
  this->WithdrawUndeliverableStarts(now);
  this->RecountUsage();
  this->SumGuaranteedNeeds();
  if (!this->IsRecovering(now)) {
    this->CheckGangs(now);
  }
  this->StopWaitingGangs(now);
  this->EvacuateDrainingWorkers(now);
  this->MoveStalledUnits(now);
  this->MigrateLongRunningUnits(now);
  this->MeasureRoom();
}

void Planner::DropLostAgents(core::TimePoint now) {
  for (auto& [agent, view] : this->fleet) {
    if (view.is_lost || now < view.leases_expire_at) {
      continue;
    }
    view.is_lost = true;
    view.session = view.session.Next();
    view.needs_probe = true;
    view.orphan_runs.clear();
    this->LogDecision("agent_lost", {},
                      "agent=" + agent.Text() + " silent_ms=" +
                          Text((now - view.last_contact).InMilliseconds()));
    this->RemoveMembers(view, now);
  }
}

void Planner::RemoveMembers(const AgentView& view, core::TimePoint now) {
  this->speeds.OnRunsLost(view.agent);
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const std::size_t removed =
          std::erase_if(unit.members, [&view](const UnitMember& member) {
            return member.agent == view.agent;
          });
      std::erase_if(unit.open_starts, [&view](const OpenStart& start) {
        return start.agent == view.agent;
      });
      if (removed > 0) {
        this->OnMembersRemoved(job, unit, now);
      }
    }
  }
}

bool Planner::IsRecovering(core::TimePoint now) const {
  if (now >= this->recovery_deadline) {
    return false;
  }
  return std::any_of(
      this->fleet.begin(), this->fleet.end(), [](const auto& entry) {
        return entry.second.membership != Membership::kAbsent &&
               !entry.second.has_reported && !entry.second.is_lost;
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
    view.measuring_runs = 0;
    view.reserved.clear();
    for (const auto& [key, held] : view.orphan_runs) {
      view.used = view.used + held;
    }
  }
  std::int64_t backfill_accelerators = 0;
  for (auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      const Resources need = CountedNeed(job.StepOf(unit));
      if (IsUncheckpointedBackfill(job, unit)) {
        backfill_accelerators +=
            need.accelerators * static_cast<std::int64_t>(unit.members.size());
      }
      for (const UnitMember& member : unit.members) {
        const auto found = this->fleet.find(member.agent);
        if (found != this->fleet.end()) {
          found->second.used = found->second.used + need;
          found->second.measuring_runs +=
              unit.size == 1 && this->ShowsSpeed(job, unit, member) ? 1 : 0;
        }
      }
      for (const auto& [agent, amount] : unit.reserved) {
        const auto found = this->fleet.find(agent);
        if (found != this->fleet.end()) {
          Resources& reserved = found->second.reserved[job.record.priority];
          reserved = reserved + amount;
        }
      }
    }
  }
  this->UpdateBackfillUsage(backfill_accelerators);
}

void Planner::UpdateBackfillUsage(std::int64_t backfill_accelerators) {
  std::int64_t accelerators = 0;
  for (const auto& [agent, view] : this->fleet) {
    if (view.worker && !view.is_lost) {
      accelerators += view.worker->capacity.accelerators;
    }
  }
  this->backfill_limit.SetUsage(accelerators, backfill_accelerators);
}

void Planner::CheckGangs(core::TimePoint now) {
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      this->StopIncompleteGang(job, unit, now);
    }
  }
}

Planner::Rank Planner::RankOf(const Job& job,
                              const Unit& unit,
                              core::TimePoint now) const {
  int level = job.record.priority;
  if (!this->IsWithinGuarantee(job)) {
    const double share = this->WorthShare(job, unit, now);
    level += share >= 1.0  ? 0
             : share > 0.0 ? kLatePenaltyLevels
                           : kTooLatePenaltyLevels;
  }
  return {level, job.record.priority, job.accepted};
}

void Planner::Schedule(core::TimePoint now) {
  const std::vector<ReadyUnit> ready = this->ReadyInOrder(now);
  if (this->options.overload_policy == OverloadPolicy::kCallerCost) {
    this->waiting_worth = this->WorthOfWaitingWork(ready, now);
  }
  StartInOrder(ready, [this, now](const ReadyUnit& each) {
    return this->TryStart(*each.job, *each.unit, now);
  });
}

std::vector<Planner::ReadyUnit> Planner::ReadyInOrder(core::TimePoint now) {
  this->releases.reset();
  const bool recovering = this->IsRecovering(now);
  std::vector<ReadyUnit> ready;
  for (auto& [id, job] : this->jobs) {
    if (!job.IsOpen()) {
      continue;
    }
    const bool awaits_reports = recovering && job.from_earlier_term;
    for (Unit& unit : job.units) {
      unit.wait_reason =
          awaits_reports ? WaitReason::kRecovery : WaitReason::kNone;
      if (awaits_reports) {
        continue;
      }
      const bool is_outdated =
          !unit.reserved_by_preemption || now >= unit.reserved_until;
      if (!unit.reserved.empty() && is_outdated) {
        this->ReleaseReservedCapacity(job, unit);
      }
      if (unit.phase != UnitPhase::kReady || !unit.members.empty()) {
        continue;
      }
      if (now < unit.start_not_before) {
        unit.wait_reason = WaitReason::kRejectedStart;
      } else if (this->MayOpenStartsBeginRuns(unit, now)) {
        unit.wait_reason = WaitReason::kOpenStarts;
      } else {
        ready.push_back({&job, &unit, this->RankOf(job, unit, now)});
      }
    }
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const ReadyUnit& left, const ReadyUnit& right) {
                     return left.rank < right.rank;
                   });
  return ready;
}

void Planner::StartInOrder(const std::vector<ReadyUnit>& ready,
                           const StartAttempt& attempt) {
  const ReadyUnit* failed = nullptr;
  for (const ReadyUnit& each : ready) {
    const bool cannot_fit =
        failed != nullptr && each.job == failed->job &&
        CannotFitEither(*each.job, *each.unit, *failed->unit);
    if (cannot_fit) {
      each.unit->wait_reason = failed->unit->wait_reason;
    } else if (!attempt(each)) {
      failed = &each;
    }
  }
}

core::ServiceName Planner::ServiceOf(const Job& job) const {
  const QueueConfig* queue = this->configuration->FindQueue(job.record.queue);
  return queue == nullptr ? job.record.service : queue->service;
}

PlacementRequest Planner::RequestFor(const Job& job,
                                     const Unit& unit,
                                     core::TimePoint now) const {
  PlacementRequest request;
  const StepSpec& step = job.StepOf(unit);
  request.step = &step;
  request.service = this->ServiceOf(job);
  request.size = unit.size;
  request.priority = job.record.priority;
  request.avoided_workers = &unit.avoided_workers;
  request.open_starts = &unit.open_starts;
  request.own_reservation = &unit.reserved;
  request.now = now;
  request.speeds = &this->speeds;
  if (!step.long_running && job.record.spec.occurrences == 0) {
    request.run_time = this->ExpectedRunTime(job, unit);
    request.slack = LatestStartInTime(job, unit.step, request.run_time) - now;
  }
  const bool is_bound_to_racks =
      !step.preferred_rack.empty() || (step.same_rack && unit.size > 1);
  request.allow_remote =
      !is_bound_to_racks ||
      now >= unit.ready_since +
                 this->ExpectedRunTime(job, unit) * kLocalityWaitFactor ||
      this->IsVoluntaryWaitOver(job, unit, now) ||
      !CouldFitLocally(this->fleet, request);
  if (step.max_per_worker > 0) {
    for (const Unit& other : job.units) {
      if (other.step == unit.step && other.occurrence == unit.occurrence) {
        for (const UnitMember& member : other.members) {
          ++request.placed_tasks[member.agent];
        }
      }
    }
  }
  return request;
}

bool Planner::IsWithinBackfillLimit(const Job& job,
                                    const Unit& unit,
                                    core::TimePoint now) {
  const StepSpec& step = job.StepOf(unit);
  return !IsUncheckpointedBackfill(job, unit) ||
         this->backfill_limit.Allows(step.need.accelerators * unit.size, now) ||
         this->IsVoluntaryWaitOver(job, unit, now);
}

bool Planner::TryStart(Job& job, Unit& unit, core::TimePoint now) {
  if (!this->IsWithinBackfillLimit(job, unit, now)) {
    unit.wait_reason = WaitReason::kBackfillLimit;
    return false;
  }
  PlacementRequest request = this->RequestFor(job, unit, now);
  request.use_suspended = NeedsSuspendedWorkers(this->fleet, request);
  const auto placed = FindPlacement(this->fleet, request);
  if (placed && this->ReserveFaster(job, unit, request, *placed, now)) {
    unit.wait_reason = WaitReason::kFasterWorkers;
    return true;
  }
  if (placed) {
    this->Assign(job, unit, *placed, now);
    return true;
  }
  const bool has_reserved =
      unit.reserved.empty() &&
      (this->options.overload_policy == OverloadPolicy::kCallerCost
           ? this->TryReserveOrPreempt(job, unit, request, now)
           : this->TryReserve(job, unit, request, now) ||
                 this->TryPreempt(job, unit, request, now));
  unit.wait_reason = unit.reserved_by_preemption ? WaitReason::kPreemption
                     : has_reserved              ? WaitReason::kRunningWork
                                                 : WaitReason::kNoRoom;
  return has_reserved;
}

void Planner::SumGuaranteedNeeds() {
  this->guaranteed_needs.clear();
  for (const auto& [id, job] : this->jobs) {
    if (!job.IsOpen() || job.record.priority != 0) {
      continue;
    }
    std::int64_t widest = 0;
    for (const StepSpec& step : job.record.spec.steps) {
      widest = std::max(widest, step.need.accelerators * step.count);
    }
    this->guaranteed_needs[job.record.organisation] += widest;
  }
}

const RoomSummary* Planner::Room(core::TimePoint now) {
  if (this->IsRecovering(now)) {
    return nullptr;
  }
  if (this->room.IsDue(now)) {
    std::map<QueueName, core::Duration> averages;
    for (const auto& [queue, average] : this->run_times) {
      if (average.samples >= kMinRunTimeSamples) {
        averages[queue] = core::Duration::Milliseconds(
            static_cast<std::int64_t>(average.mean_ms));
      }
    }
    this->SumGuaranteedNeeds();
    this->room.Measure({this->fleet, this->jobs, averages,
                        this->guaranteed_needs, *this->configuration},
                       now);
  }
  return &this->room.Summary();
}

bool Planner::IsWithinGuarantee(const Job& job) const {
  if (job.record.priority != 0) {
    return false;
  }
  const OrganisationConfig* organisation =
      this->configuration->FindOrganisation(job.record.organisation);
  const auto needed = this->guaranteed_needs.find(job.record.organisation);
  return organisation != nullptr && needed != this->guaranteed_needs.end() &&
         needed->second <= organisation->guaranteed_accelerators;
}

core::Duration Planner::ExpectedRunTime(const Job& job,
                                        const Unit& unit) const {
  const auto found = this->run_times.find(job.record.queue);
  if (found == this->run_times.end() ||
      found->second.samples < kMinRunTimeSamples) {
    return job.StepOf(unit).estimate;
  }
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(found->second.mean_ms));
}

double Planner::WorthShare(const Job& job,
                           const Unit& unit,
                           core::TimePoint start) const {
  return this->caller_cost.WorthIfStarted(
             job, unit.step, this->ExpectedRunTime(job, unit), start) /
         this->caller_cost.FullWorth(job);
}

void Planner::Assign(Job& job,
                     Unit& unit,
                     std::vector<core::AgentId> agents,
                     core::TimePoint now) {
  ReturnTasksToOpenStarts(unit, agents);
  const Resources need = CountedNeed(job.StepOf(unit));
  this->ReleaseReservedCapacity(job, unit);
  if (IsUncheckpointedBackfill(job, unit)) {
    this->backfill_limit.OnStarted(need.accelerators * unit.size);
  }
  this->CountWait(job, unit, now);
  ++unit.highest_run;
  unit.time_factor = this->SlowestFactor(agents);
  std::string worker_list;
  for (std::size_t i = 0; i < agents.size(); ++i) {
    AgentView& view = this->fleet[agents[i]];
    view.used = view.used + need;
    this->room_in_use = this->room_in_use + need;
    UnitMember member;
    member.agent = agents[i];
    member.worker = view.worker->identity;
    member.index = unit.first + static_cast<int>(i);
    member.run = unit.highest_run;
    member.since = now;
    member.started_from = unit.checkpoint.Text();
    unit.members.push_back(member);
    view.measuring_runs +=
        unit.size == 1 && this->ShowsSpeed(job, unit, member) ? 1 : 0;
    worker_list += (i == 0 ? "" : ",") + view.worker->identity.id.Text();
  }
  this->LogDecision(
      "unit_placed", job.record.spec.id,
      "task=" + job.NameOf(unit, unit.first).ToText() +
          " run=" + Text(unit.highest_run) + " workers=" + worker_list +
          " waited_ms=" + Text((now - unit.ready_since).InMilliseconds()) +
          " expected_end_in_ms=" +
          Text(this->PlacedRunTime(job, unit).InMilliseconds()));
}

std::vector<AgentOrders> Planner::CollectOrders(core::TimePoint now) {
  std::map<core::AgentId, OrderBatch> batches;
  const auto may_order = [this, now](const core::AgentId& agent) {
    const auto found = this->fleet.find(agent);
    return found != this->fleet.end() && !found->second.batch_open &&
           now >= found->second.next_batch_at;
  };
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      for (auto member = unit.members.begin(); member != unit.members.end();) {
        const RunKey key{job.NameOf(unit, member->index), member->run};
        if (!member->sent && member->stop_requested) {
          // The start was never sent.
          member = unit.members.erase(member);
          continue;
        }
        if (may_order(member->agent)) {
          AgentView& view = this->fleet[member->agent];
          const std::uint64_t number = view.batch + 1;
          const bool may_repeat = !member->stop_sent_at ||
                                  now >= *member->stop_sent_at + kStopRetry;
          // Until the lists are complete, the worker may turn out to have
          // carried out the start, and the run is then kept. A probe repeats
          // the revocation, since the batch with it may have been lost.
          const bool revocation_due = member->in_doubt && view.is_complete &&
                                      (may_repeat || view.needs_probe);
          const bool start_due =
              !member->sent && !view.needs_probe && !this->starts_withheld;
          const bool stop_due = member->sent && !member->in_doubt &&
                                member->stop_requested && may_repeat;
          if (revocation_due) {
            batches[member->agent].revoked_starts.push_back(key);
            member->batch = number;
            member->stop_sent_at = now;
          } else if (start_due) {
            batches[member->agent].starts.push_back(
                {key, job.record.spec.payload, member->started_from, ""});
            member->sent = true;
            member->sent_at = now;
            member->batch = number;
            // The batch is addressed to the worker's present incarnation, which
            // may have begun since the placement.
            if (view.worker) {
              member->worker = view.worker->identity;
            }
          } else if (stop_due) {
            batches[member->agent].stops.push_back(key);
            member->stop_sent_at = now;
          }
        }
        ++member;
      }
      if (job.StepOf(unit).gang) {
        this->LogSlowGangOrders(job, unit, now);
      }
    }
  }
  for (auto& [agent, view] : this->fleet) {
    if (!may_order(agent)) {
      continue;
    }
    if (now >= view.next_stray_stop_at && !view.orphan_runs.empty()) {
      for (const auto& [key, held] : view.orphan_runs) {
        batches[agent].stops.push_back(key);
      }
      view.next_stray_stop_at = now + kStopRetry;
    }
    // A lost agent that has left the member list is not probed; it reports on
    // its own when it returns.
    const bool has_left =
        view.is_lost && view.membership == Membership::kAbsent;
    if (view.needs_probe && !has_left) {
      batches[agent];
    }
  }
  std::vector<AgentOrders> orders;
  for (auto& [agent, batch] : batches) {
    AgentView& view = this->fleet[agent];
    batch.epoch = this->epoch;
    batch.session = view.session;
    batch.number = ++view.batch;
    batch.planner = this->options.endpoint;
    batch.agent_incarnation = view.incarnation;
    batch.worker = view.worker ? view.worker->identity : WorkerIdentity();
    batch.evacuated = this->evacuations.State().data_centres;
    batch.evacuation_revision = this->evacuations.State().revision;
    view.batch_open = true;
    view.batch_sent_at = now;
    orders.push_back({agent, view.endpoint, std::move(batch)});
  }
  return orders;
}

void Planner::LogDecision(std::string event,
                          const core::JobId& job,
                          std::string detail) {
  this->decision_log.push_back({std::move(event), job, std::move(detail)});
}

}  // namespace hemlockdoor::batch
