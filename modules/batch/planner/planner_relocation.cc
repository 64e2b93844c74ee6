// Planner: what moves away from workers that leave or stand still.
#include <algorithm>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// Without progress for so long, and for so many percentage points at the usual
/// pace, a run stands still. Agents look each second.
constexpr core::Duration kStalled = core::Duration::Milliseconds(900);
constexpr std::int64_t kStalledPoints = 10;
/// A worker whose runs stand still gets nothing new for so long after the last
/// report that says so.
constexpr core::Duration kStallSuspension = core::Duration::Milliseconds(1500);
/// A run that stands still is expected to do so for this much longer; stalls on
/// the deployments last 5 to 7 s. It is started elsewhere when it has done
/// less.
constexpr core::Duration kExpectedStall = core::Duration::Milliseconds(2500);
/// Longest time that a worker takes to stop a task and save its progress; the
/// deployments' bounds are up to 900 ms.
constexpr core::Duration kLongestStop = core::Duration::Milliseconds(1000);
/// From a run's end to its listing and the report of it.
constexpr core::Duration kEndMargin = core::Duration::Milliseconds(150);

}  // namespace

core::Duration Planner::RemainingRun(const Job& job,
                                     const Unit& unit,
                                     core::TimePoint now) const {
  constexpr int kLeastPercent = 5;
  constexpr int kWhole = 100;
  core::Duration remaining;
  for (const Member& member : unit.members) {
    const core::Duration elapsed = now - member.since;
    const bool has_pace = member.percent >= kLeastPercent && !member.adopted &&
                          member.started_from.empty();
    const core::Duration left =
        has_pace ? elapsed * (kWhole - member.percent) / member.percent
                 : this->TypicalRun(job, unit) - elapsed;
    remaining = std::max(remaining, left);
  }
  return remaining;
}

bool Planner::ShouldEvacuate(const Job& job,
                             const Unit& unit,
                             core::TimePoint leaves,
                             core::TimePoint now) const {
  const bool ends_before =
      now + this->RemainingRun(job, unit, now) + kEndMargin <= leaves;
  if (ends_before && !job.StepOf(unit).long_running) {
    return false;
  }
  if (job.StepOf(unit).checkpoints) {
    // It goes on from where the stop finds it.
    return now + kLongestStop >= leaves;
  }
  return this->ProspectOf(job, unit, now) == Prospect::kInTime &&
         FindPlacement(this->fleet, this->RequestFor(job, unit, now));
}

void Planner::EvacuateLeaving(core::TimePoint now) {
  std::map<core::AgentId, core::TimePoint> leaving;
  for (const auto& [agent, view] : this->fleet) {
    if (view.IsLeaving()) {
      leaving.emplace(agent, view.leaves);
    }
  }
  if (leaving.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      std::optional<core::TimePoint> leaves;
      for (const Member& member : unit.members) {
        const auto found = leaving.find(member.agent);
        if (found != leaving.end()) {
          leaves = leaves ? std::min(*leaves, found->second) : found->second;
        }
      }
      if (!leaves || unit.IsStopping() || !job.IsOpen() ||
          !this->ShouldEvacuate(job, unit, *leaves, now)) {
        continue;
      }
      this->StopUnit(unit);
      this->Note("unit_evacuated", id,
                 "task=" + job.NameOf(unit, unit.first).ToText() +
                     " worker_leaves_in_ms=" +
                     std::to_string((*leaves - now).InMilliseconds()) +
                     " remaining_ms=" +
                     std::to_string(
                         this->RemainingRun(job, unit, now).InMilliseconds()));
    }
  }
}

bool Planner::IsStalled(const Job& job,
                        const Unit& unit,
                        const Member& member) const {
  constexpr int kWhole = 100;
  const bool may_wait_for_others = unit.size > 1 && member.percent == 0;
  if (member.still < kStalled || !member.confirmed || member.stop_wanted ||
      may_wait_for_others || member.percent >= kWhole ||
      job.StepOf(unit).long_running) {
    return false;
  }
  const core::Duration point = this->TypicalRun(job, unit) / kWhole;
  return member.still >= point * kStalledPoints;
}

bool Planner::LosesLittle(const Job& job, const Unit& unit) const {
  constexpr int kWhole = 100;
  int percent = 0;
  for (const Member& member : unit.members) {
    percent = std::max(percent, member.percent);
  }
  return job.StepOf(unit).checkpoints ||
         this->TypicalRun(job, unit) * percent / kWhole <= kExpectedStall;
}

std::set<core::AgentId> Planner::StalledAgents() const {
  std::set<core::AgentId> stalled;
  std::set<core::AgentId> moving;
  for (const auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      for (const Member& member : unit.members) {
        if (this->IsStalled(job, unit, member)) {
          stalled.insert(member.agent);
        } else if (member.percent > 0 && member.still < kStalled / 2) {
          moving.insert(member.agent);
        }
      }
    }
  }
  std::erase_if(stalled, [&moving](const core::AgentId& agent) {
    return moving.contains(agent);
  });
  return stalled;
}

void Planner::MoveStalled(core::TimePoint now) {
  const std::set<core::AgentId> stalled = this->StalledAgents();
  for (const core::AgentId& agent : stalled) {
    AgentView& view = this->fleet[agent];
    if (now >= view.suspended_until) {
      this->Note("worker_suspended", {},
                 "agent=" + agent.Text() + " reason=runs-stand-still");
    }
    view.suspended_until =
        std::max(view.suspended_until, now + kStallSuspension);
  }
  if (stalled.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const bool stands_still = std::any_of(
          unit.members.begin(), unit.members.end(),
          [this, &stalled, &owner = job, &unit](const Member& member) {
            return stalled.contains(member.agent) &&
                   this->IsStalled(owner, unit, member);
          });
      const bool may_gain =
          stands_still && job.IsOpen() && this->LosesLittle(job, unit) &&
          FindPlacement(this->fleet, this->RequestFor(job, unit, now));
      if (may_gain) {
        this->StopUnit(unit);
        this->Note("unit_moved_from_stall", id,
                   "task=" + job.NameOf(unit, unit.first).ToText());
      }
    }
  }
}

}  // namespace hemlockdoor::batch
