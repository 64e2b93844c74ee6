#include "modules/decide/scheduler/preemption.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Lent cells compared by preemption cost; bounds the time of one decision.
constexpr std::size_t kCellsCompared = 16;

bool Overlap(const std::vector<MemberPlace>& left,
             const std::vector<MemberPlace>& right) {
  return std::any_of(left.begin(), left.end(), [&right](const MemberPlace& a) {
    return std::any_of(right.begin(), right.end(), [&a](const MemberPlace& b) {
      return a.worker == b.worker && a.accelerators.Intersects(b.accelerators);
    });
  });
}

}  // namespace

void Preemption::EmitPreemption(JobHandle victim,
                                PreemptMode mode,
                                core::Duration grace,
                                core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(victim);
  PreemptDecision decision;
  decision.job = job.id;
  decision.mode = mode;
  decision.grace = grace;
  if (job.beneficiary != kNoJob) {
    decision.beneficiary = this->state.jobs.At(job.beneficiary).id;
  }
  this->state.decisions.emplace_back(std::move(decision));
  job.preempt_due = now + grace;
  this->state.AddTimer(victim, job.preempt_due, TimerKind::kPreemptGrace);
}

void Preemption::Preempt(JobHandle victim,
                         JobHandle beneficiary,
                         core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(victim);
  const Policy& policy = this->state.GetPolicy();
  const bool urgent =
      beneficiary != kNoJob && this->state.jobs.At(beneficiary).urgent;
  const core::Duration grace =
      urgent ? policy.urgent_grace : policy.ordinary_grace;
  if (job.preempt != PreemptStep::kNone) {
    // The job is being preempted already; an urgent beneficiary may shorten the
    // grace period.
    if (job.preempt == PreemptStep::kCheckpoint &&
        now + grace < job.preempt_due) {
      job.preempt_due = now + grace;
      this->state.AddTimer(victim, job.preempt_due, TimerKind::kPreemptGrace);
    }
    return;
  }
  job.beneficiary = beneficiary;
  if (job.checkpointable && job.phase == JobPhase::kRunning) {
    job.preempt = PreemptStep::kCheckpoint;
    this->EmitPreemption(victim, PreemptMode::kCheckpoint, grace, now);
    return;
  }
  job.preempt = PreemptStep::kStop;
  this->EmitPreemption(victim, PreemptMode::kStop, policy.stop_grace, now);
}

void Preemption::OnGraceExpired(JobHandle victim, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(victim);
  if (job.preempt == PreemptStep::kNone || !job.UsesCapacity() ||
      now < job.preempt_due) {
    return;
  }
  // The stop is requested again until the job ends, because a request may have
  // been lost.
  job.preempt = PreemptStep::kStop;
  if (job.beneficiary != kNoJob &&
      this->state.jobs.At(job.beneficiary).phase != JobPhase::kReclaiming) {
    job.beneficiary = kNoJob;
  }
  this->EmitPreemption(victim, PreemptMode::kStop,
                       this->state.GetPolicy().stop_grace, now);
}

void Preemption::CancelHoldsAt(const std::vector<MemberPlace>& places) {
  const std::vector<JobHandle> holders = this->state.reclaiming;
  for (const JobHandle holder : holders) {
    const JobRecord& job = this->state.jobs.At(holder);
    if (job.cell == kNoCell && Overlap(job.members, places)) {
      this->lifecycle.RequeueHeld(holder);
    }
  }
}

void Preemption::PreemptAll(const ReclaimChoice& choice,
                            JobHandle beneficiary,
                            core::TimePoint now) {
  for (const JobHandle victim : choice.victims) {
    this->Preempt(victim, beneficiary, now);
  }
}

void Preemption::MoveCellIfCheaper(const JobRecord& job,
                                   GuaranteeUse use,
                                   ReclaimChoice& best,
                                   core::TimePoint now) {
  std::optional<std::vector<MemberPlace>> places = this->planner.CheapestPlaces(
      this->state.cells.ShapeAt(use.shape), job.service, now);
  if (!places) {
    return;
  }
  const std::optional<ReclaimChoice> cheaper =
      this->planner.ChooseVictims(*places, now);
  if (!cheaper || cheaper->cost >= best.cost) {
    return;
  }
  const CellHandle cell = best.cell;
  this->state.cells.MoveTo(cell, std::move(*places));
  std::optional<ReclaimChoice> moved = this->planner.ChooseVictims(
      this->state.cells.PlacesIn(cell, job.shape), now);
  HD_ASSERT(moved.has_value());
  best = std::move(*moved);
  best.cell = cell;
}

bool Preemption::ReclaimCell(JobHandle handle,
                             GuaranteeUse use,
                             core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  std::vector<CellHandle> candidates = this->state.cells.FindBorrowed(
      use, job.service, kCellsCompared, job.sequence);
  if (candidates.empty()) {
    const std::optional<CellHandle> moved =
        this->state.cells.Move(use, job.service, CapacityView::kClaimable);
    if (!moved) {
      return false;
    }
    candidates.push_back(*moved);
  }
  std::optional<ReclaimChoice> best;
  for (const CellHandle cell : candidates) {
    std::optional<ReclaimChoice> choice = this->planner.ChooseVictims(
        this->state.cells.PlacesIn(cell, job.shape), now);
    if (choice && (!best || choice->cost < best->cost)) {
      choice->cell = cell;
      best = std::move(choice);
    }
  }
  if (!best) {
    return false;
  }
  this->MoveCellIfCheaper(job, use, *best, now);
  this->CancelHoldsAt(best->places);
  this->lifecycle.Hold(handle, best->places, use, best->cell);
  this->PreemptAll(*best, handle, now);
  return true;
}

bool Preemption::ReclaimPlaces(JobHandle handle,
                               const std::vector<MemberPlace>& places,
                               core::TimePoint now) {
  const std::optional<ReclaimChoice> choice =
      this->planner.ChooseVictims(places, now);
  if (!choice) {
    return false;
  }
  this->lifecycle.Hold(handle, places, std::nullopt, kNoCell);
  this->PreemptAll(*choice, handle, now);
  return true;
}

void Preemption::StartReclaimed(core::TimePoint now) {
  const std::vector<JobHandle> waiting = this->state.reclaiming;
  for (const JobHandle handle : waiting) {
    const JobRecord& job = this->state.jobs.At(handle);
    // The catalogue may have changed since the places were held for the job.
    bool unusable = !this->state.entries.At(job.entry).IsWithinCaps();
    bool free = true;
    for (std::size_t i = 0; i < job.members.size(); ++i) {
      const MemberPlace& place = job.members[i];
      const WorkerRecord& worker = this->state.fleet.At(place.worker);
      unusable = unusable || !worker.Usable() ||
                 worker.foreign.Intersects(place.accelerators);
      const auto members_here =
          static_cast<int>(std::count_if(job.members.begin(), job.members.end(),
                                         [&place](const MemberPlace& other) {
                                           return other.worker == place.worker;
                                         }));
      free = free && !worker.used.Intersects(place.accelerators) &&
             worker.IdleSlots() >= members_here;
    }
    if (unusable) {
      this->lifecycle.RequeueHeld(handle);
    } else if (free) {
      this->lifecycle.GrantHeld(handle, now);
    }
  }
}

void Preemption::OnOverrun(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  if (!job.UsesCapacity() || job.lane == Lane::kLong) {
    return;
  }
  this->state.run_times.ObserveOngoingRun(job.run_time_group,
                                          now - job.started);
  job.lane = Lane::kLong;
  bool overfull = false;
  for (const MemberPlace& place : job.members) {
    const bool accelerators = job.shape.accelerators_per_member > 0;
    this->state.fleet.MoveToLongLane(place.worker, accelerators);
    const WorkerRecord& worker = this->state.fleet.At(place.worker);
    const int max_long_slots = worker.shape.slots - worker.short_reserve;
    overfull =
        overfull || worker.long_slots > max_long_slots ||
        (!accelerators && worker.cpu_only_long_slots >
                              max_long_slots - worker.accelerator_reserve);
  }
  if (!overfull || job.cell != kNoCell) {
    return;
  }
  if (!job.non_preemptible) {
    this->Preempt(handle, kNoJob, now);
    return;
  }
  PreemptDecision throttle;
  throttle.job = job.id;
  throttle.mode = PreemptMode::kThrottle;
  this->state.decisions.emplace_back(std::move(throttle));
}

void Preemption::OnMaxRun(JobHandle handle, core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  // A job that must not be repeated is not stopped: its outcome would be
  // unknown.
  if (job.UsesCapacity() && job.stoppable) {
    this->Preempt(handle, kNoJob, now);
  }
}

}  // namespace hemlockdoor::decide
