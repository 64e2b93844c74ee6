// Planner: what runs show about the speed of workers, and its use.
#include <algorithm>
#include <cmath>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

std::string Hundredths(double value) {
  constexpr double kHundred = 100;
  const auto hundredths =
      static_cast<std::int64_t>(std::lround(std::max(value, 0.0) * kHundred));
  const std::string digits = std::to_string(hundredths % 100);
  return std::to_string(hundredths / 100) + (digits.size() == 1 ? ".0" : ".") +
         digits;
}

}  // namespace

bool Planner::ShowsSpeed(const Job& job,
                         const Unit& unit,
                         const UnitMember& member) const {
  const StepSpec& step = job.StepOf(unit);
  return !member.adopted && member.started_from.empty() && !step.fills &&
         !step.long_running;
}

bool Planner::IsRemote(const Job& job, const Unit& unit) const {
  const StepSpec& step = job.StepOf(unit);
  const bool wants_one_rack = step.same_rack && unit.size > 1;
  if (step.preferred_rack.empty() && !wants_one_rack) {
    return false;
  }
  std::set<core::RackId> racks;
  for (const UnitMember& member : unit.members) {
    const auto found = this->fleet.find(member.agent);
    if (found != this->fleet.end() && found->second.worker) {
      racks.insert(found->second.worker->rack);
    }
  }
  const bool is_away = !step.preferred_rack.empty() &&
                       std::any_of(racks.begin(), racks.end(),
                                   [&step](const core::RackId& rack) {
                                     return rack.Text() != step.preferred_rack;
                                   });
  return is_away || (wants_one_rack && racks.size() > 1);
}

void Planner::RecordPace(const Job& job,
                         const Unit& unit,
                         const UnitMember& member,
                         const AgentReport& report,
                         core::TimePoint now) {
  // All members of a gang progress at the same pace, which says little about
  // any of them; its end is recorded once.
  const bool is_sample =
      unit.size == 1 && member.confirmed && this->ShowsSpeed(job, unit, member);
  if (!is_sample) {
    return;
  }
  RunSample sample;
  sample.agent = member.agent;
  sample.key = {job.NameOf(unit, member.index), member.run};
  sample.queue = job.record.queue;
  sample.elapsed = now - report.progress_age - member.since;
  sample.percent = member.percent;
  sample.still = member.still;
  // Long runs are reported many times with the same progress.
  const bool has_progressed = member.percent_at == now;
  if (has_progressed || WorkerSpeeds::HasStalled(sample)) {
    sample.is_remote = this->IsRemote(job, unit);
    this->speeds.OnProgress(sample);
  }
}

void Planner::RecordSpeed(const Job& job,
                          const Unit& unit,
                          const UnitMember& member,
                          const RunEnd& end,
                          core::TimePoint now) {
  if (end.kind == RunEndKind::kStopped) {
    this->speeds.OnRunStopped(member.agent, end.key);
    return;
  }
  if (end.kind != RunEndKind::kDone || !this->ShowsSpeed(job, unit, member)) {
    this->speeds.OnRunDiscarded(member.agent, end.key);
    return;
  }
  const core::Duration elapsed = now - member.since;
  const bool is_remote = this->IsRemote(job, unit);
  if (unit.size == 1) {
    constexpr int kFullPercent = 100;
    this->speeds.OnRunEnded({member.agent, end.key, job.record.queue, elapsed,
                             kFullPercent, core::Duration(), is_remote});
    return;
  }
  // The first end of a gang stands for all of them.
  if (static_cast<int>(unit.members.size()) == unit.size) {
    GangSample gang{job.record.queue, {}, elapsed, is_remote};
    for (const UnitMember& each : unit.members) {
      gang.agents.push_back(each.agent);
    }
    this->speeds.OnGangEnded(gang);
  }
}

void Planner::UpdateSpeeds(core::TimePoint now) {
  this->speeds.Refresh(now);
  const std::vector<SpeedChange> changes = this->speeds.TakeChanges();
  for (const SpeedChange& change : changes) {
    const bool was_slow = change.before > 1.0;
    const bool is_slow = change.after > 1.0;
    if (was_slow == is_slow) {
      continue;
    }
    const AgentView& view = this->fleet[change.agent];
    this->LogDecision(
        is_slow ? "worker_slow" : "worker_normal", {},
        "agent=" + change.agent.Text() +
            " worker=" + (view.worker ? view.worker->identity.id.Text() : "") +
            " factor=" + Hundredths(change.estimate.factor) +
            " uncertainty=" + Hundredths(change.estimate.uncertainty) +
            " runs=" + std::to_string(change.estimate.runs));
  }
  if (changes.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      if (static_cast<int>(unit.members.size()) != unit.size) {
        continue;
      }
      std::vector<core::AgentId> agents;
      for (const UnitMember& member : unit.members) {
        agents.push_back(member.agent);
      }
      unit.time_factor = this->SlowestFactor(agents);
    }
  }
}

double Planner::SlowestFactor(const std::vector<core::AgentId>& agents) const {
  double slowest = 0;
  for (const core::AgentId& agent : agents) {
    slowest = std::max(slowest, this->speeds.FactorOf(agent));
  }
  return agents.empty() ? 1.0 : slowest;
}

core::Duration Planner::PlacedRunTime(const Job& job, const Unit& unit) const {
  const core::Duration run = this->ExpectedRunTime(job, unit);
  return core::Duration::Milliseconds(std::llround(
      static_cast<double>(run.InMilliseconds()) * unit.time_factor));
}

}  // namespace hemlockdoor::batch
