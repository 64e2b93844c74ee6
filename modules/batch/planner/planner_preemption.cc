// Planner: reservations of capacity, and preemption.
#include <algorithm>
#include <limits>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// How long capacity stays reserved for a unit while preempted runs stop.
constexpr core::Duration kReservationTimeout =
    core::Duration::Milliseconds(2500);
/// Run times have a heavy tail: a run that should have ended is expected to
/// last for its time so far divided by this.
constexpr std::int64_t kOverdueDivisor = 4;
/// Longest wait, from its acceptance, of a job of priority 0 for running work
/// to end. Jobs within their guarantee must start within 2.7 s of it, and stops
/// take up to 900 ms.
constexpr core::Duration kMaxUrgentWait = core::Duration::Milliseconds(1200);
/// A unit waits for faster workers only if it is expected to end this much
/// sooner there, since the ends of other runs are known roughly.
constexpr core::Duration kMinGainOfWait = core::Duration::Milliseconds(300);
/// Longest expected wait for which capacity is kept free for another job.
constexpr core::Duration kMaxOrdinaryWait = core::Duration::Milliseconds(1500);
/// Time within which a start without a stop is looked for. A unit that finds
/// none is expected to start at its end.
constexpr core::Duration kReservationHorizon = core::Duration::Seconds(6);
/// No stop is weighed for a smaller gain. Jobs are worth about 1 to 4.
constexpr double kMinWorthwhileGain = 0.001;

}  // namespace

core::Duration Planner::ExpectedWait(const Job& job,
                                     const Unit& unit,
                                     core::TimePoint now) const {
  const core::Duration left = this->RemainingRunTime(job, unit, now);
  const core::Duration overdue_wait =
      (now - unit.members.front().since) / kOverdueDivisor;
  return left > core::Duration() ? left : overdue_wait;
}

const ExpectedReleases& Planner::Releases(core::TimePoint now) {
  if (this->releases) {
    return *this->releases;
  }
  this->releases.emplace();
  for (const auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      if (unit.members.empty() || job.StepOf(unit).long_running) {
        continue;
      }
      const Resources need = CountedNeed(job.StepOf(unit));
      const core::Duration left = unit.IsStopping()
                                      ? kExpectedStopTime
                                      : this->ExpectedWait(job, unit, now);
      for (const UnitMember& member : unit.members) {
        (*this->releases)[member.agent].push_back({now + left, need});
      }
    }
  }
  for (auto& [agent, list] : *this->releases) {
    std::sort(list.begin(), list.end(),
              [](const ExpectedRelease& left, const ExpectedRelease& right) {
                return left.at < right.at;
              });
  }
  return *this->releases;
}

core::TimePoint Planner::LatestWorthwhileWait(const Job& job,
                                              const Unit& unit,
                                              core::TimePoint now) const {
  const core::TimePoint after_stops = now + kExpectedStopTime;
  if (job.StepOf(unit).long_running || job.record.spec.occurrences > 0) {
    return after_stops;
  }
  // Half of the jobs run shorter than the average, and their objectives are
  // shorter too.
  const core::Duration run = this->ExpectedRunTime(job, unit) / 2;
  const core::TimePoint in_time = LatestStartInTime(job, unit.step, run);
  const core::TimePoint longest = job.record.priority == 0
                                      ? job.accepted + kMaxUrgentWait
                                      : now + kMaxOrdinaryWait;
  return std::max(after_stops, std::min(in_time, longest));
}

bool Planner::TryReserveOrPreempt(Job& job,
                                  Unit& unit,
                                  const PlacementRequest& request,
                                  core::TimePoint now) {
  if (job.record.priority >= kBackfillPriority) {
    return false;
  }
  const core::TimePoint horizon = now + kReservationHorizon;
  const std::optional<Reservation> reservation =
      FindReservation(this->fleet, request, this->Releases(now), horizon);
  const bool is_soon =
      reservation &&
      reservation->start <= this->LatestWorthwhileWait(job, unit, now);
  if (!is_soon) {
    const core::TimePoint start =
        reservation ? reservation->end - this->ExpectedRunTime(job, unit)
                    : horizon;
    return this->TryPreempt(job, unit, request, start, now);
  }
  this->Reserve(job, unit, reservation->agents);
  return true;
}

bool Planner::ReserveFaster(Job& job,
                            Unit& unit,
                            const PlacementRequest& request,
                            const std::vector<core::AgentId>& workers,
                            core::TimePoint now) {
  const double time_factor = this->SlowestFactor(workers);
  if (job.record.priority >= kBackfillPriority || !unit.reserved.empty() ||
      IsInTime(request, time_factor)) {
    return false;
  }
  const core::TimePoint end =
      now + core::Duration::Milliseconds(static_cast<std::int64_t>(
                time_factor *
                static_cast<double>(request.run_time.InMilliseconds())));
  const std::optional<Reservation> faster =
      FindReservation(this->fleet, request, this->Releases(now),
                      this->LatestWorthwhileWait(job, unit, now));
  if (!faster || faster->end + kMinGainOfWait > end) {
    return false;
  }
  this->Reserve(job, unit, faster->agents);
  return true;
}

double Planner::MaxPreemptionLoss(const Job& job,
                                  const Unit& unit,
                                  core::TimePoint expected_start,
                                  double time_factor,
                                  core::TimePoint now) const {
  if (this->IsWithinGuarantee(job)) {
    return std::numeric_limits<double>::infinity();
  }
  const core::Duration run = this->ExpectedRunTime(job, unit);
  const auto slowdown = core::Duration::Milliseconds(static_cast<std::int64_t>(
      (time_factor - 1.0) * static_cast<double>(run.InMilliseconds())));
  return this->preemption_policy.GainOf(this->WorthOf(job, unit),
                                        expected_start, slowdown, now);
}

RunningUnit Planner::RunningUnitOf(const Job& job,
                                   const Unit& unit,
                                   core::TimePoint now) const {
  RunningUnit running;
  running.job = &job;
  running.unit = &unit;
  running.worth = this->WorthOf(job, unit);
  running.run = this->ExpectedRunTime(job, unit);
  running.remaining = this->ExpectedWait(job, unit, now);
  return running;
}

std::vector<Victim> Planner::PreemptionCandidates(const Job& job,
                                                  core::TimePoint now) {
  std::vector<Victim> victims;
  for (auto& [id, other] : this->jobs) {
    if (other.record.priority <= job.record.priority) {
      continue;
    }
    for (Unit& unit : other.units) {
      if (!unit.members.empty() && !unit.IsStopping()) {
        const PreemptionLoss loss = this->preemption_policy.LossOf(
            this->RunningUnitOf(other, unit, now), now);
        victims.push_back({&other, &unit, loss.Total(), loss.delay});
      }
    }
  }
  return victims;
}

void Planner::Reserve(const Job& job,
                      Unit& unit,
                      const std::vector<core::AgentId>& agents) {
  const Resources need = CountedNeed(job.StepOf(unit));
  for (const core::AgentId& agent : agents) {
    unit.reserved[agent] = unit.reserved[agent] + need;
    Resources& reserved = this->fleet[agent].reserved[job.record.priority];
    reserved = reserved + need;
  }
}

void Planner::ReleaseReservedCapacity(const Job& job, Unit& unit) {
  for (const auto& [agent, amount] : unit.reserved) {
    Resources& reserved = this->fleet[agent].reserved[job.record.priority];
    reserved = reserved - amount;
  }
  this->ClearReservation(unit);
}

bool Planner::TryPreempt(Job& job,
                         Unit& unit,
                         const PlacementRequest& request,
                         core::TimePoint expected_start,
                         core::TimePoint now) {
  if (this->MaxPreemptionLoss(job, unit, expected_start, 1.0, now) <=
      kMinWorthwhileGain) {
    return false;
  }
  const auto placement = FindPreemptingPlacement(
      this->fleet, request, this->PreemptionCandidates(job, now));
  if (!placement ||
      placement->cost > this->MaxPreemptionLoss(
                            job, unit, expected_start,
                            this->SlowestFactor(placement->agents), now)) {
    return false;
  }
  this->Reserve(job, unit, placement->agents);
  unit.reserved_by_preemption = true;
  unit.reserved_until = now + kReservationTimeout;
  for (const Victim& victim : placement->victims) {
    this->StopUnit(*victim.unit);
    ++victim.unit->preemptions;
    if (IsUncheckpointedBackfill(*victim.job, *victim.unit)) {
      this->backfill_limit.OnPreempted(now);
    }
    this->LogDecision("unit_preempted", victim.job->record.spec.id,
                      "for=" + job.record.spec.id.Text() +
                          " loss=" + std::to_string(victim.cost));
  }
  return true;
}

}  // namespace hemlockdoor::batch
