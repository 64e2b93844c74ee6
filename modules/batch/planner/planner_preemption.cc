// Planner: reservations of capacity, and preemption.
#include <algorithm>
#include <limits>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// How long capacity stays reserved for a unit while preempted runs stop.
constexpr core::Duration kReservationTimeout =
    core::Duration::Milliseconds(2500);
/// Upper bound on the work that a unit may destroy by preemption, as a multiple
/// of its own work, depending on its priority and on whether its job is
/// expected to end within its objective. According to the users' rules a
/// core-second of urgent work is worth about seven times as much as one of
/// other work, and about five times as much as the price of a core-second that
/// is lost.
constexpr double kUrgentLossFactor = 3;
constexpr double kUrgentLateLossFactor = 0.3;
constexpr double kOrdinaryLossFactor = 0.05;
constexpr double kOrdinaryLateLossFactor = 0.02;
/// Fixed cost of a preemption, for the restart, in seconds of the unit's run
/// time. Incurred even if the unit has just started.
constexpr double kRestartSeconds = 0.3;
/// Time from a preemption until the capacity is free; workers take up to 900 ms
/// to stop a task. Work that is expected to end within this time is not
/// stopped.
constexpr core::Duration kExpectedStopTime = core::Duration::Milliseconds(600);
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

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000.0;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

}  // namespace

core::Duration Planner::ExpectedWait(const Job& job,
                                     const Unit& unit,
                                     core::TimePoint now) const {
  const core::Duration left = this->RemainingRunTime(job, unit, now);
  const core::Duration overdue_wait =
      (now - unit.members.front().since) / kOverdueDivisor;
  return left > core::Duration() ? left : overdue_wait;
}

core::Duration Planner::ExpectedStopTime() const {
  return this->options.overload_policy == OverloadPolicy::kCallerCost
             ? this->options.stop_time
             : kExpectedStopTime;
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
                                      ? this->ExpectedStopTime()
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
  const core::TimePoint after_stops = now + this->ExpectedStopTime();
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

bool Planner::TryReserve(Job& job,
                         Unit& unit,
                         const PlacementRequest& request,
                         core::TimePoint now) {
  if (job.record.priority >= kBackfillPriority) {
    return false;
  }
  const std::optional<Reservation> reservation =
      FindReservation(this->fleet, request, this->Releases(now),
                      this->LatestWorthwhileWait(job, unit, now));
  if (!reservation) {
    return false;
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
      IsInTime(request, time_factor) ||
      this->IsVoluntaryWaitOver(job, unit, now)) {
    return false;
  }
  const core::TimePoint end =
      now + core::Duration::Milliseconds(static_cast<std::int64_t>(
                time_factor *
                static_cast<double>(request.run_time.InMilliseconds())));
  const std::optional<Reservation> faster =
      FindReservation(this->fleet, request, this->Releases(now),
                      this->LatestWorthwhileWait(job, unit, now));
  // Workers that are free now were passed over by the placement. A reservation
  // of them would be renewed at each decision and never used.
  const bool is_worth_waiting =
      faster && faster->start > now && faster->end + kMinGainOfWait <= end;
  if (!is_worth_waiting) {
    return false;
  }
  this->Reserve(job, unit, faster->agents);
  return true;
}

double Planner::MaxPreemptionCost(const Job& job,
                                  const Unit& unit,
                                  core::TimePoint now) const {
  if (this->IsWithinGuarantee(job)) {
    return std::numeric_limits<double>::infinity();
  }
  const double own_work = CoreEquivalents(job.StepOf(unit).need) *
                          static_cast<double>(unit.size) *
                          Seconds(this->ExpectedRunTime(job, unit));
  const bool in_time = this->WorthShare(job, unit, now) >= 1.0;
  if (job.record.priority == 0) {
    return own_work * (in_time ? kUrgentLossFactor : kUrgentLateLossFactor);
  }
  return own_work * (in_time ? kOrdinaryLossFactor : kOrdinaryLateLossFactor);
}

double Planner::PreemptionCost(const Job& job,
                               const Unit& unit,
                               core::TimePoint now) const {
  const StepSpec& step = job.StepOf(unit);
  // A task with checkpoints saves its progress when it is stopped.
  const double lost =
      step.checkpoints ? 0.0 : Seconds(now - unit.members.front().since);
  // Each further preemption of a unit costs more, so that no unit is stopped
  // again and again.
  return (lost + kRestartSeconds * (1 + unit.preemptions)) *
         CoreEquivalents(step.need) * static_cast<double>(unit.size);
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
        victims.push_back(
            {&other, &unit, this->PreemptionCost(other, unit, now)});
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
                         core::TimePoint now) {
  const auto placement = FindPreemptingPlacement(
      this->fleet, request, this->PreemptionCandidates(job, now));
  if (!placement || placement->cost > this->MaxPreemptionCost(job, unit, now)) {
    return false;
  }
  this->CarryOutPreemption(job, unit, *placement, "", now);
  return true;
}

void Planner::CarryOutPreemption(const Job& job,
                                 Unit& unit,
                                 const PreemptingPlacement& placement,
                                 const std::string& gain,
                                 core::TimePoint now) {
  this->Reserve(job, unit, placement.agents);
  unit.reserved_by_preemption = true;
  unit.reserved_until = now + kReservationTimeout;
  for (const Victim& victim : placement.victims) {
    this->StopUnit(*victim.unit);
    ++victim.unit->preemptions;
    if (IsUncheckpointedBackfill(*victim.job, *victim.unit)) {
      this->backfill_limit.OnPreempted(now);
    }
    // Without a gain the cost is in whole core-seconds.
    const std::string loss =
        gain.empty()
            ? " cost=" + std::to_string(static_cast<std::int64_t>(victim.cost))
            : " gain=" + gain + " loss=" + std::to_string(victim.cost);
    this->LogDecision("unit_preempted", victim.job->record.spec.id,
                      "for=" + job.record.spec.id.Text() + loss);
  }
}

}  // namespace hemlockdoor::batch
