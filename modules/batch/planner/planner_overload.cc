// Planner: preemptions with the overload policy `kCallerCost`.
#include <algorithm>
#include <limits>
#include <set>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// Time within which a start without a preemption is looked for. A unit that
/// finds none is expected to start then: bursts last 4 to 7 s.
constexpr core::Duration kStartHorizon = core::Duration::Seconds(6);
/// No preemption is weighed for a smaller gain. Jobs are worth about 1 to 4.
constexpr double kMinGain = 0.01;
/// Weight of a new wait in the moving average, a mean over about 20 units.
constexpr double kWaitAverageWeight = 0.05;

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000.0;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

}  // namespace

void Planner::CountWait(const Job& job, const Unit& unit, core::TimePoint now) {
  const auto wait =
      static_cast<double>((now - unit.ready_since).InMilliseconds());
  double& average =
      this->waits_ms.try_emplace(job.record.priority, wait).first->second;
  average += kWaitAverageWeight * (wait - average);
}

double Planner::WorthOfWaitingWork(const std::vector<ReadyUnit>& ready,
                                   core::TimePoint now) const {
  double worth = 0.0;
  double work = 0.0;
  std::set<const Job*> counted;
  for (const ReadyUnit& each : ready) {
    if (!counted.insert(each.job).second) {
      continue;
    }
    const core::Duration run = this->ExpectedRunTime(*each.job, *each.unit);
    const double value =
        this->caller_cost.WorthIfStarted(*each.job, each.unit->step, run, now);
    if (value > 0.0) {
      worth += value;
      work += TotalCoreEquivalents(each.job->record.spec) * Seconds(run);
    }
  }
  return work > 0.0 ? worth / work : 0.0;
}

std::vector<Victim> Planner::VictimsByLoss(const Job& job,
                                           core::TimePoint now) {
  const PreemptionChoice choice = this->MakePreemptionChoice();
  std::vector<Victim> victims;
  for (auto& [id, other] : this->jobs) {
    if (other.record.priority <= job.record.priority) {
      continue;
    }
    for (Unit& unit : other.units) {
      if (unit.members.empty() || unit.IsStopping()) {
        continue;
      }
      RunningUnit running;
      running.job = &other;
      running.unit = &unit;
      running.run = this->PlacedRunTime(other, unit);
      running.remaining = this->ExpectedWait(other, unit, now);
      running.ran = now - unit.members.front().since;
      const auto wait = this->waits_ms.find(other.record.priority);
      running.wait = core::Duration::Milliseconds(
          wait == this->waits_ms.end()
              ? 0
              : static_cast<std::int64_t>(wait->second));
      const PreemptionLoss loss =
          choice.LossOf(running, this->waiting_worth, now);
      victims.push_back({&other, &unit, loss.Total(), loss.delay});
    }
  }
  return victims;
}

bool Planner::TryPreemptByGain(Job& job,
                               Unit& unit,
                               const PlacementRequest& request,
                               core::TimePoint expected_start,
                               core::TimePoint now) {
  const bool is_guaranteed = this->IsWithinGuarantee(job);
  const PreemptionChoice choice = this->MakePreemptionChoice();
  const StartingUnit starting{&job, unit.step,
                              this->ExpectedRunTime(job, unit)};
  if (!is_guaranteed &&
      choice.GainOf(starting, expected_start, {}, now) < kMinGain) {
    return false;
  }
  const auto placement = FindPreemptingPlacement(this->fleet, request,
                                                 this->VictimsByLoss(job, now));
  if (!placement) {
    return false;
  }
  const double factor = this->SlowestFactor(placement->agents);
  const auto slowdown = core::Duration::Milliseconds(static_cast<std::int64_t>(
      std::max(0.0, factor - 1.0) *
      static_cast<double>(starting.run.InMilliseconds())));
  const double gain = choice.GainOf(starting, expected_start, slowdown, now);
  if (!is_guaranteed && gain <= placement->cost) {
    return false;
  }
  this->CarryOutPreemption(job, unit, *placement,
                           is_guaranteed ? "guarantee" : std::to_string(gain),
                           now);
  return true;
}

bool Planner::TryReserveOrPreempt(Job& job,
                                  Unit& unit,
                                  const PlacementRequest& request,
                                  core::TimePoint now) {
  if (job.record.priority >= kBackfillPriority) {
    return this->TryPreemptByGain(job, unit, request, now + kStartHorizon, now);
  }
  const core::TimePoint horizon = now + kStartHorizon;
  const std::optional<Reservation> reservation =
      FindReservation(this->fleet, request, this->Releases(now), horizon);
  if (reservation &&
      reservation->start <= this->LatestWorthwhileWait(job, unit, now)) {
    this->Reserve(job, unit, reservation->agents);
    return true;
  }
  // The time lost on slow workers counts like a later start.
  const core::TimePoint expected_start =
      reservation ? reservation->end - this->ExpectedRunTime(job, unit)
                  : horizon;
  return this->TryPreemptByGain(job, unit, request, expected_start, now);
}

}  // namespace hemlockdoor::batch
