#include "modules/decide/scheduler/report_handler.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

using model::AcceleratorSet;

void ReportHandler::WakeAll() {
  this->state.capacity_changed = true;
  this->state.queue.WakeForCapacity(true);
}

void ReportHandler::OnWorkerUnusable(WorkerIndex worker) {
  this->state.cells.OnWorkerLost(worker);
  this->state.cells.PlaceMissing(false);
  this->WakeAll();
}

void ReportHandler::OnWorkerUsable(WorkerIndex worker) {
  this->state.cells.UnplaceConflicts(worker);
  this->state.cells.PlaceMissing(false);
  this->WakeAll();
}

void ReportHandler::UpsertWorker(const WorkerView& view, core::TimePoint now) {
  if (!this->state.first_worker_at) {
    this->state.first_worker_at = now;
  }
  const std::uint64_t before = this->state.fleet.ShapeGeneration();
  const std::optional<WorkerIndex> known = this->state.fleet.Find(view.agent);
  const bool was_usable = known && this->state.fleet.At(*known).Usable();
  const bool reshaped =
      was_usable && !(this->state.fleet.At(*known).shape == view.shape);
  if (reshaped) {
    // Cells may be placed on accelerators that the worker no longer has.
    this->state.cells.OnWorkerLost(*known);
  }
  const WorkerIndex index = this->state.fleet.Upsert(view.agent, view.shape);
  const WorkerRecord& worker = this->state.fleet.At(index);
  const AcceleratorSet foreign = view.foreign_accelerators.Without(worker.used);
  const bool foreign_changed = worker.foreign_slots != view.foreign_slots ||
                               !(worker.foreign == foreign);
  const bool fewer_foreign = worker.foreign_slots > view.foreign_slots ||
                             !foreign.Contains(worker.foreign);
  if (foreign_changed) {
    this->state.fleet.SetForeign(index, view.foreign_slots, foreign);
  }
  if (worker.draining != view.draining) {
    this->state.fleet.SetDraining(index, view.draining);
  }
  if (was_usable && !worker.Usable()) {
    this->OnWorkerUnusable(index);
  } else if (this->state.fleet.ShapeGeneration() != before ||
             (!was_usable && worker.Usable())) {
    this->OnWorkerUsable(index);
  } else if (foreign_changed) {
    this->state.cells.UnplaceConflicts(index);
    this->state.cells.PlaceMissing(false);
    if (fewer_foreign) {
      this->WakeAll();
    }
  }
}

void ReportHandler::RemoveWorker(const core::AgentId& agent,
                                 core::TimePoint now) {
  const std::optional<WorkerIndex> index = this->state.fleet.Find(agent);
  if (!index || !this->state.fleet.At(*index).present) {
    return;
  }
  this->state.fleet.SetAbsent(*index, now);
  this->OnWorkerUnusable(*index);
}

void ReportHandler::Adopt(const RunningJob& running, core::TimePoint now) {
  SubmissionHandler submission_handler(this->state);
  if (const std::optional<JobHandle> known =
          this->state.jobs.Find(running.description.id)) {
    if (this->state.jobs.At(*known).UsesCapacity()) {
      this->OnStarted(running.description.id, now);
      return;
    }
    this->lifecycle.Remove(*known, now);
  }
  const JobHandle handle =
      submission_handler.MakeRecord(running.description, now);
  this->state.jobs.At(handle).started = running.started;
  std::vector<MemberPlace> places;
  for (const Placement& member : running.members) {
    const std::optional<WorkerIndex> index =
        this->state.fleet.Find(member.agent);
    if (!index) {
      continue;
    }
    const WorkerRecord& worker = this->state.fleet.At(*index);
    const AcceleratorSet own = member.accelerators.Without(worker.used);
    if (worker.foreign.Intersects(own)) {
      this->state.fleet.SetForeign(*index,
                                   std::max(0, worker.foreign_slots - 1),
                                   worker.foreign.Without(own));
    }
    places.push_back({*index, own});
  }
  std::stable_sort(places.begin(), places.end(),
                   [](const MemberPlace& left, const MemberPlace& right) {
                     return left.worker < right.worker;
                   });
  this->lifecycle.Adopt(handle, std::move(places));
}

bool ReportHandler::ReviveTimedOutGrant(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  for (const MemberPlace& place : job.members) {
    const WorkerRecord& worker = this->state.fleet.At(place.worker);
    if (worker.used.Union(worker.held).Intersects(place.accelerators)) {
      return false;
    }
  }
  this->lifecycle.Adopt(handle, std::move(job.members));
  return true;
}

void ReportHandler::OnStarted(const core::JobId& id, core::TimePoint /*now*/) {
  const std::optional<JobHandle> handle = this->state.jobs.Find(id);
  if (!handle) {
    return;
  }
  JobRecord& job = this->state.jobs.At(*handle);
  if (job.phase == JobPhase::kGranted) {
    job.phase = JobPhase::kRunning;
  } else if (job.phase == JobPhase::kGrantTimedOut) {
    this->ReviveTimedOutGrant(*handle);
  }
}

void ReportHandler::OnStartRefused(const core::JobId& id,
                                   const core::AgentId& agent,
                                   core::TimePoint now) {
  const std::optional<JobHandle> handle = this->state.jobs.Find(id);
  if (!handle) {
    return;
  }
  const JobPhase phase = this->state.jobs.At(*handle).phase;
  if (phase == JobPhase::kGrantTimedOut) {
    this->state.jobs.At(*handle).members.clear();
    this->lifecycle.Enqueue(*handle);
    return;
  }
  if (phase != JobPhase::kGranted && phase != JobPhase::kRunning) {
    return;
  }
  const std::optional<WorkerIndex> index = this->state.fleet.Find(agent);
  if (index && this->state.GetPolicy().concurrency_limit) {
    const int limit = this->state.fleet.At(*index).concurrency_limit;
    this->state.fleet.SetConcurrencyLimit(
        *index, this->state.concurrency.OnRefused(*index, limit));
  }
  this->lifecycle.Release(*handle, now);
  JobRecord& job = this->state.jobs.At(*handle);
  job.preempt = PreemptStep::kNone;
  job.beneficiary = kNoJob;
  this->lifecycle.Enqueue(*handle);
}

void ReportHandler::CountFailure(const JobRecord& job,
                                 WorkerIndex worker,
                                 core::TimePoint now) {
  const AttemptHistory& past = this->state.history.AddFailure(job.id, worker);
  if (!this->state.GetPolicy().quarantine) {
    return;
  }
  if (JobHistory::IsFaulty(past, this->state.health)) {
    for (const WorkerIndex suspect : past.failed_on) {
      if (this->state.health.DiscountFailures(suspect, past.identity)) {
        this->state.fleet.SetQuarantined(suspect, false);
        this->OnWorkerUsable(suspect);
      }
    }
    return;
  }
  if (this->state.health.OnFailure(worker, past.identity, now)) {
    this->state.fleet.SetQuarantined(worker, true);
    this->OnWorkerUnusable(worker);
  }
}

void ReportHandler::CountSuccess(const JobRecord& job, core::TimePoint now) {
  this->state.run_times.ObserveRun(job.run_time_group, now - job.started);
  this->state.retry_budget.OnSuccess(job.service);
  for (const MemberPlace& place : job.members) {
    const WorkerRecord& worker = this->state.fleet.At(place.worker);
    const int limit = this->state.concurrency.OnSuccess(
        place.worker, worker.concurrency_limit, worker.shape.slots);
    if (limit != worker.concurrency_limit) {
      this->state.fleet.SetConcurrencyLimit(place.worker, limit);
      this->WakeAll();
    }
    if (this->state.health.OnSuccess(place.worker)) {
      this->state.fleet.SetQuarantined(place.worker, false);
      this->OnWorkerUsable(place.worker);
    }
  }
}

void ReportHandler::OnEnded(const core::JobId& id,
                            model::JobOutcome outcome,
                            const std::optional<core::AgentId>& failed_on,
                            core::TimePoint now) {
  const std::optional<JobHandle> handle = this->state.jobs.Find(id);
  if (!handle) {
    return;
  }
  const JobRecord job = this->state.jobs.At(*handle);
  this->lifecycle.Remove(*handle, now);
  if (!job.UsesCapacity()) {
    return;
  }
  if (outcome == model::JobOutcome::kDone) {
    this->CountSuccess(job, now);
    this->state.history.Forget(id);
    return;
  }
  if (job.preempt != PreemptStep::kNone) {
    this->state.history.AddPreemption(id);
    return;
  }
  const std::optional<WorkerIndex> index =
      failed_on ? this->state.fleet.Find(*failed_on) : std::nullopt;
  if (index) {
    this->CountFailure(job, *index, now);
  }
}

void ReportHandler::OnGrantTimeout(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  if (job.phase != JobPhase::kGranted ||
      now - job.started < this->state.GetPolicy().grant_timeout) {
    return;
  }
  const std::vector<MemberPlace> places = job.members;
  this->lifecycle.Release(handle, now);
  job.phase = JobPhase::kGrantTimedOut;
  job.members = places;
  PreemptDecision stop;
  stop.job = job.id;
  stop.mode = PreemptMode::kStop;
  this->state.decisions.emplace_back(std::move(stop));
}

void ReportHandler::BeginTrials(core::TimePoint now) {
  for (const WorkerIndex worker : this->state.health.TakeTrials(now)) {
    if (std::find(this->state.trials.begin(), this->state.trials.end(),
                  worker) == this->state.trials.end()) {
      this->state.trials.push_back(worker);
      this->WakeAll();
    }
  }
}

}  // namespace hemlockdoor::decide
