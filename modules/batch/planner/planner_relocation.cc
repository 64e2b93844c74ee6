// Planner: evacuation of draining workers and relocation of stalled runs.
#include <algorithm>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// A run is stalled if it has made no progress for this time, and also for the
/// time in which it usually gains this many percentage points. Agents read the
/// progress once a second.
constexpr core::Duration kStallThreshold = core::Duration::Milliseconds(900);
constexpr std::int64_t kStallProgressPoints = 10;
/// A worker with stalled runs gets no starts for this long after the latest
/// decision that found them stalled.
constexpr core::Duration kStallSuspension = core::Duration::Milliseconds(1500);
/// Expected remaining length of a stall; on the deployments stalls last 5 s to
/// 7 s. A stalled run is restarted elsewhere if its progress so far is worth no
/// more run time than this.
constexpr core::Duration kExpectedRemainingStall =
    core::Duration::Milliseconds(2500);
/// Maximum time that a worker takes to stop a task and save its progress. The
/// deployments set limits of up to 900 ms.
constexpr core::Duration kMaxStopTime = core::Duration::Milliseconds(1000);
/// Time from the end of a run until the agent has read and reported it.
constexpr core::Duration kEndReportMargin = core::Duration::Milliseconds(150);

}  // namespace

core::Duration Planner::RemainingRunTime(const Job& job,
                                         const Unit& unit,
                                         core::TimePoint now) const {
  constexpr int kMinPercentForPace = 5;
  constexpr int kFullPercent = 100;
  core::Duration remaining;
  for (const UnitMember& member : unit.members) {
    const core::Duration elapsed = now - member.since;
    const bool has_pace = member.percent >= kMinPercentForPace &&
                          !member.adopted && member.started_from.empty();
    const core::Duration left =
        has_pace ? (member.percent_at - member.since) *
                           (kFullPercent - member.percent) / member.percent -
                       (now - member.percent_at)
                 : this->PlacedRunTime(job, unit) - elapsed;
    remaining = std::max(remaining, left);
  }
  return remaining;
}

bool Planner::ShouldEvacuate(const Job& job,
                             const Unit& unit,
                             core::TimePoint leaves_at,
                             core::TimePoint now) const {
  const bool ends_before =
      now + this->RemainingRunTime(job, unit, now) + kEndReportMargin <=
      leaves_at;
  if (ends_before && !job.StepOf(unit).long_running) {
    return false;
  }
  if (job.StepOf(unit).checkpoints) {
    // A stop saves its progress, so it is stopped as late as possible.
    return now + kMaxStopTime >= leaves_at;
  }
  return this->WorthShare(job, unit, now) >= 1.0 &&
         FindPlacement(this->fleet, this->RequestFor(job, unit, now));
}

void Planner::EvacuateDrainingWorkers(core::TimePoint now) {
  std::map<core::AgentId, core::TimePoint> draining;
  for (const auto& [agent, view] : this->fleet) {
    if (view.IsDraining()) {
      draining.emplace(agent, view.leaves_at);
    }
  }
  if (draining.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      std::optional<core::TimePoint> leaves_at;
      for (const UnitMember& member : unit.members) {
        const auto found = draining.find(member.agent);
        if (found != draining.end()) {
          leaves_at =
              leaves_at ? std::min(*leaves_at, found->second) : found->second;
        }
      }
      if (!leaves_at || unit.IsStopping() || !job.IsOpen() ||
          !this->ShouldEvacuate(job, unit, *leaves_at, now)) {
        continue;
      }
      this->StopUnit(unit);
      this->LogDecision(
          "unit_evacuated", id,
          "task=" + job.NameOf(unit, unit.first).ToText() +
              " worker_leaves_in_ms=" +
              std::to_string((*leaves_at - now).InMilliseconds()) +
              " remaining_ms=" +
              std::to_string(
                  this->RemainingRunTime(job, unit, now).InMilliseconds()));
    }
  }
}

bool Planner::IsStalled(const Job& job,
                        const Unit& unit,
                        const UnitMember& member) const {
  constexpr int kFullPercent = 100;
  const bool may_wait_for_gang = unit.size > 1 && member.percent == 0;
  if (member.still < kStallThreshold || !member.confirmed ||
      member.stop_requested || may_wait_for_gang ||
      member.percent >= kFullPercent || job.StepOf(unit).long_running) {
    return false;
  }
  const core::Duration time_per_point =
      this->PlacedRunTime(job, unit) / kFullPercent;
  return member.still >= time_per_point * kStallProgressPoints;
}

bool Planner::IsCheapToRestart(const Job& job, const Unit& unit) const {
  constexpr int kFullPercent = 100;
  int percent = 0;
  for (const UnitMember& member : unit.members) {
    percent = std::max(percent, member.percent);
  }
  return job.StepOf(unit).checkpoints ||
         this->ExpectedRunTime(job, unit) * percent / kFullPercent <=
             kExpectedRemainingStall;
}

std::set<core::AgentId> Planner::StalledAgents() const {
  std::set<core::AgentId> stalled;
  std::set<core::AgentId> progressing;
  for (const auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      for (const UnitMember& member : unit.members) {
        if (this->IsStalled(job, unit, member)) {
          stalled.insert(member.agent);
        } else if (member.percent > 0 && member.still < kStallThreshold / 2) {
          progressing.insert(member.agent);
        }
      }
    }
  }
  std::erase_if(stalled, [&progressing](const core::AgentId& agent) {
    return progressing.contains(agent);
  });
  return stalled;
}

void Planner::MoveStalledUnits(core::TimePoint now) {
  const std::set<core::AgentId> stalled = this->StalledAgents();
  for (const core::AgentId& agent : stalled) {
    AgentView& view = this->fleet[agent];
    if (now >= view.stalled_until) {
      this->LogDecision("worker_suspended", {},
                        "agent=" + agent.Text() + " reason=runs-stand-still");
    }
    view.stalled_until = std::max(view.stalled_until, now + kStallSuspension);
  }
  if (stalled.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const bool is_stalled = std::any_of(
          unit.members.begin(), unit.members.end(),
          [this, &stalled, &owner = job, &unit](const UnitMember& member) {
            return stalled.contains(member.agent) &&
                   this->IsStalled(owner, unit, member);
          });
      const bool should_move =
          is_stalled && job.IsOpen() && this->IsCheapToRestart(job, unit) &&
          FindPlacement(this->fleet, this->RequestFor(job, unit, now));
      if (should_move) {
        this->StopUnit(unit);
        this->LogDecision("unit_moved_from_stall", id,
                          "task=" + job.NameOf(unit, unit.first).ToText());
      }
    }
  }
}

}  // namespace hemlockdoor::batch
