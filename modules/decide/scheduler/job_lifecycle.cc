#include "modules/decide/scheduler/job_lifecycle.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

namespace {

double ExpectedWork(const JobRecord& job) {
  const int size = std::max(job.shape.TotalAccelerators(), job.shape.gang_size);
  return static_cast<double>(job.expected_run.InMilliseconds()) * size;
}

template <typename Value>
void EraseOne(std::vector<Value>& values, Value value) {
  const auto found = std::find(values.begin(), values.end(), value);
  HD_ASSERT(found != values.end());
  values.erase(found);
}

}  // namespace

void JobLifecycle::Enqueue(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  job.phase = JobPhase::kQueued;
  const BucketKey key{job.entry, job.service,   job.shape,
                      job.lane,  job.stoppable, job.urgent};
  this->state.queue.Add(key, handle, job.sequence);
  ++this->state.entries.At(job.entry).queued;
  this->state.fair_share.OnQueued(job.organisation, job.FairShareLane());
  if (job.FairShareLane() == Lane::kShort) {
    this->state.admission.OnQueued(job.organisation, job.expected_run);
  }
}

void JobLifecycle::Dequeue(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  HD_ASSERT(job.phase == JobPhase::kQueued);
  if (job.has_reservation) {
    this->state.reservations.Drop(handle);
    job.has_reservation = false;
    this->state.capacity_changed = true;
    this->state.queue.WakeForCapacity(true);
  }
  this->state.queue.Remove(handle);
  --this->state.entries.At(job.entry).queued;
  this->state.fair_share.OnDequeued(job.organisation, job.FairShareLane());
  if (job.FairShareLane() == Lane::kShort) {
    this->state.admission.OnDequeued(job.organisation, job.expected_run);
  }
}

void JobLifecycle::CountUse(const JobRecord& job, int sign) {
  EntryState& entry = this->state.entries.At(job.entry);
  entry.used_accelerators += sign * job.shape.TotalAccelerators();
  entry.used_slots += sign * job.shape.gang_size;
}

void JobLifecycle::DequeueAndCharge(JobHandle handle) {
  this->Dequeue(handle);
  JobRecord& job = this->state.jobs.At(handle);
  this->CountUse(job, 1);
  job.charged = ExpectedWork(job);
  this->state.fair_share.Charge(job.organisation, job.FairShareLane(),
                                job.charged);
}

void JobLifecycle::Occupy(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  for (const MemberPlace& place : job.members) {
    this->state.fleet.Occupy(place, handle, job.GetTaskKind());
  }
}

void JobLifecycle::DecideStart(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  this->Occupy(handle);
  job.phase = JobPhase::kGranted;
  job.started = now;
  const Policy& policy = this->state.GetPolicy();
  this->state.AddTimer(handle, now + policy.grant_timeout,
                       TimerKind::kGrantTimeout);
  if (job.lane == Lane::kShort && policy.short_lane) {
    this->state.AddTimer(handle, now + policy.short_limit, TimerKind::kOverrun);
  }
  const EntryState& entry = this->state.entries.At(job.entry);
  if (entry.limits.max_run) {
    this->state.AddTimer(handle, now + *entry.limits.max_run,
                         TimerKind::kMaxRun);
  }
  StartDecision start;
  start.job = job.id;
  for (const MemberPlace& place : job.members) {
    start.members.push_back(
        {this->state.fleet.At(place.worker).agent, place.accelerators});
  }
  this->state.decisions.emplace_back(std::move(start));
}

void JobLifecycle::Grant(JobHandle handle,
                         std::vector<MemberPlace> places,
                         core::TimePoint now) {
  this->DequeueAndCharge(handle);
  JobRecord& job = this->state.jobs.At(handle);
  job.members = std::move(places);
  job.non_preemptible = !job.stoppable;
  this->DecideStart(handle, now);
}

void JobLifecycle::GrantCell(JobHandle handle,
                             GuaranteeUse use,
                             CellHandle cell,
                             core::TimePoint now) {
  this->DequeueAndCharge(handle);
  JobRecord& job = this->state.jobs.At(handle);
  job.members = this->state.cells.PlacesIn(cell, job.shape);
  job.non_preemptible = true;
  job.cell = cell;
  job.use = use;
  this->state.cells.Use(cell, use, handle, job.members);
  this->DecideStart(handle, now);
}

void JobLifecycle::GrantOutsideCell(JobHandle handle,
                                    GuaranteeUse use,
                                    std::vector<MemberPlace> places,
                                    core::TimePoint now) {
  this->DequeueAndCharge(handle);
  JobRecord& job = this->state.jobs.At(handle);
  job.members = std::move(places);
  job.non_preemptible = true;
  job.outside_cell = true;
  job.use = use;
  job.cell = this->state.cells.UseAnyCell(use, handle);
  this->DecideStart(handle, now);
}

void JobLifecycle::Hold(JobHandle handle,
                        std::vector<MemberPlace> places,
                        std::optional<GuaranteeUse> use,
                        CellHandle cell) {
  this->DequeueAndCharge(handle);
  JobRecord& job = this->state.jobs.At(handle);
  job.members = std::move(places);
  job.phase = JobPhase::kReclaiming;
  job.non_preemptible = use.has_value() || !job.stoppable;
  if (use) {
    job.cell = cell;
    job.use = *use;
    this->state.cells.Use(cell, *use, handle, job.members);
  }
  for (const MemberPlace& place : job.members) {
    this->state.fleet.Hold(place);
  }
  this->state.reclaiming.push_back(handle);
}

void JobLifecycle::GrantHeld(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  for (const MemberPlace& place : job.members) {
    this->state.fleet.Unhold(place);
  }
  EraseOne(this->state.reclaiming, handle);
  this->DecideStart(handle, now);
}

void JobLifecycle::EndCellUse(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  if (job.cell == kNoCell) {
    return;
  }
  this->state.cells.EndUse(
      job.cell, job.use,
      job.outside_cell ? std::vector<MemberPlace>() : job.members);
  job.cell = kNoCell;
  job.outside_cell = false;
}

void JobLifecycle::RequeueHeld(JobHandle handle) {
  JobRecord& job = this->state.jobs.At(handle);
  for (const MemberPlace& place : job.members) {
    this->state.fleet.Unhold(place);
  }
  EraseOne(this->state.reclaiming, handle);
  this->EndCellUse(handle);
  this->CountUse(job, -1);
  this->state.fair_share.Charge(job.organisation, job.FairShareLane(),
                                -job.charged);
  job.members.clear();
  job.non_preemptible = false;
  this->state.capacity_changed = true;
  this->state.queue.WakeForCapacity(true);
  this->state.queue.WakeEntry(job.entry);
  this->Enqueue(handle);
}

void JobLifecycle::Release(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  HD_ASSERT(job.UsesCapacity());
  for (const MemberPlace& place : job.members) {
    this->state.fleet.Release(place, handle, job.GetTaskKind());
  }
  this->EndCellUse(handle);
  this->CountUse(job, -1);
  const int size = std::max(job.shape.TotalAccelerators(), job.shape.gang_size);
  const double used =
      static_cast<double>((now - job.started).InMilliseconds()) * size;
  this->state.fair_share.Charge(job.organisation, job.FairShareLane(),
                                used - job.charged);
  job.members.clear();
  job.non_preemptible = false;
  this->state.capacity_changed = true;
  this->state.queue.WakeForCapacity(job.shape.accelerators_per_member > 0);
  this->state.queue.WakeEntry(job.entry);
}

void JobLifecycle::Remove(JobHandle handle, core::TimePoint now) {
  switch (this->state.jobs.At(handle).phase) {
    case JobPhase::kQueued:
      this->Dequeue(handle);
      break;
    case JobPhase::kReclaiming:
      this->RequeueHeld(handle);
      this->Dequeue(handle);
      break;
    case JobPhase::kGranted:
    case JobPhase::kRunning:
      this->Release(handle, now);
      break;
    case JobPhase::kGrantTimedOut:
    case JobPhase::kUnused:
      break;
  }
  this->state.jobs.Remove(handle);
}

void JobLifecycle::Refuse(JobHandle handle,
                          RefusalKind kind,
                          std::string reason) {
  RefuseDecision refusal;
  refusal.job = this->state.jobs.At(handle).id;
  refusal.kind = kind;
  refusal.reason = std::move(reason);
  this->Dequeue(handle);
  this->state.jobs.Remove(handle);
  this->state.decisions.emplace_back(std::move(refusal));
}

void JobLifecycle::Adopt(JobHandle handle, std::vector<MemberPlace> places) {
  JobRecord& job = this->state.jobs.At(handle);
  job.phase = JobPhase::kRunning;
  job.members = std::move(places);
  job.non_preemptible = !job.stoppable;
  job.charged = ExpectedWork(job);
  this->CountUse(job, 1);
  this->Occupy(handle);
  const Policy& policy = this->state.GetPolicy();
  const EntryState& entry = this->state.entries.At(job.entry);
  if (entry.limits.max_run) {
    this->state.AddTimer(handle, job.started + *entry.limits.max_run,
                         TimerKind::kMaxRun);
  }
  if (job.lane == Lane::kShort && policy.short_lane) {
    this->state.AddTimer(handle, job.started + policy.short_limit,
                         TimerKind::kOverrun);
  }
  std::vector<WorkerIndex> touched;
  for (const MemberPlace& place : job.members) {
    touched.push_back(place.worker);
    this->state.cells.UnplaceConflicts(place.worker);
  }
  const bool accelerators = job.shape.accelerators_per_member > 0;
  const std::optional<GuaranteeUse> use =
      accelerators && policy.guarantees
          ? this->state.cells.FindGuarantee(job.entry, job.shape)
          : std::nullopt;
  if (use) {
    // Evicts unused cells from the places first, so that the places are not
    // claimed twice.
    if (!job.non_preemptible) {
      for (const MemberPlace& place : job.members) {
        this->state.fleet.SetNonpreemptible(place, true);
      }
      job.non_preemptible = true;
    }
    for (const WorkerIndex worker : touched) {
      this->state.cells.UnplaceConflicts(worker);
    }
    job.use = *use;
    job.cell = this->state.cells.UseInPlace(*use, handle, job.members);
  }
  this->state.cells.PlaceMissing(false);
}

}  // namespace hemlockdoor::decide
