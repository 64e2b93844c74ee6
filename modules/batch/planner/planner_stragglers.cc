// Planner: moves of units that progress far too slowly.
#include <algorithm>

#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// Time between two searches for stragglers. Agents read the progress once a
/// second.
constexpr core::Duration kSearchInterval = core::Duration::Milliseconds(200);
/// Time to stop a run, to start the new one, and to restore a checkpoint.
constexpr core::Duration kExpectedStop = core::Duration::Milliseconds(500);
constexpr core::Duration kExpectedRestore = core::Duration::Milliseconds(600);
/// Time for which the workers of the new run are kept free while the present
/// run stops; stops take up to 900 ms.
constexpr core::Duration kKeptFree = core::Duration::Milliseconds(2500);
/// A unit that is slow again after this many moves is not moved further: its
/// work is the likely cause.
constexpr int kMaxMoves = 1;
/// Progress from which the pace of a run is known.
constexpr int kMinPercentForPace = 10;

core::Duration Normalised(core::Duration time, double time_factor) {
  return core::Duration::Milliseconds(static_cast<std::int64_t>(
      static_cast<double>(time.InMilliseconds()) / time_factor));
}

}  // namespace

std::optional<ObservedRun> Planner::ObservedRunOf(const Job& job,
                                                  const Unit& unit,
                                                  core::TimePoint now) const {
  if (static_cast<int>(unit.members.size()) != unit.size || unit.IsStopping() ||
      this->IsRemote(job, unit)) {
    return std::nullopt;
  }
  // The members of a gang progress alike; the one read latest counts.
  const UnitMember* latest = nullptr;
  for (const UnitMember& member : unit.members) {
    if (!member.confirmed || !this->ShowsSpeed(job, unit, member)) {
      return std::nullopt;
    }
    if (latest == nullptr || member.percent > latest->percent) {
      latest = &member;
    }
  }
  if (latest == nullptr || latest->percent <= 0) {
    return std::nullopt;
  }
  return ObservedRun{latest->percent_at - latest->since, latest->percent,
                     now - latest->percent_at, unit.placed_time_factor,
                     job.StepOf(unit).estimate};
}

TypicalRunTime Planner::TypicalRunTimeOf(const Job& job,
                                         int occurrence,
                                         int step,
                                         core::TimePoint now) const {
  std::vector<core::Duration> siblings;
  for (const Unit& unit : job.units) {
    if (unit.size > 1 || unit.occurrence != occurrence || unit.step != step) {
      continue;
    }
    if (unit.run_time > core::Duration()) {
      siblings.push_back(unit.run_time);
      continue;
    }
    const std::optional<ObservedRun> run = this->ObservedRunOf(job, unit, now);
    if (run && run->percent >= kMinPercentForPace) {
      constexpr int kFullPercent = 100;
      siblings.push_back(Normalised(run->elapsed * kFullPercent / run->percent,
                                    unit.time_factor));
    }
  }
  const TypicalRunTime typical = MedianOfSiblings(std::move(siblings));
  constexpr int kMinSiblings = 4;
  return typical.runs >= kMinSiblings
             ? typical
             : this->queue_run_times.MedianOf(job.record.queue);
}

bool Planner::TryMove(Job& job,
                      Unit& unit,
                      const ObservedRun& run,
                      const TypicalRunTime& typical,
                      core::TimePoint now) {
  const bool is_gang = unit.size > 1;
  std::set<WorkerId> avoided = unit.avoided_workers;
  std::map<core::AgentId, Resources> own;
  for (const UnitMember& member : unit.members) {
    avoided.insert(member.worker.id);
    if (is_gang) {
      // It is unknown which member is slow, so all its workers are avoided, but
      // where there are no others they may be used again: the slowness may be
      // that of the run.
      own[member.agent] = own[member.agent] + CountedNeed(job.StepOf(unit));
    }
  }
  PlacementRequest request = this->RequestFor(job, unit, now);
  request.avoided_workers = &avoided;
  request.own_reservation = &own;
  const auto placed = FindPlacement(this->fleet, request);
  if (!placed || (!is_gang && placed->front() == unit.members.front().agent)) {
    return false;
  }
  NewRun new_run;
  new_run.time_factor = this->SlowestFactor(*placed);
  new_run.kept_percent = job.StepOf(unit).checkpoints
                             ? unit.checkpoint.PercentOf(unit.highest_run)
                             : 0;
  new_run.restart = new_run.kept_percent > 0 ? kExpectedStop + kExpectedRestore
                                             : kExpectedStop;
  if (!IsWorthMoving(run, typical, new_run)) {
    return false;
  }
  this->LogDecision(
      "straggler_moved", job.record.spec.id,
      "task=" + job.NameOf(unit, unit.first).ToText() +
          " elapsed_ms=" + std::to_string(run.elapsed.InMilliseconds()) +
          " percent=" + std::to_string(run.percent) +
          " typical_ms=" + std::to_string(typical.time.InMilliseconds()) +
          " runs=" + std::to_string(typical.runs));
  unit.avoided_workers = std::move(avoided);
  ++unit.moves;
  this->StopUnit(unit);
  this->Reserve(job, unit, *placed);
  unit.reserved_by_preemption = true;
  unit.reserved_until = now + kKeptFree;
  return true;
}

void Planner::MoveStragglers(core::TimePoint now) {
  if (now < this->next_straggler_search) {
    return;
  }
  this->next_straggler_search = now + kSearchInterval;
  int running = 0;
  for (const auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      running += static_cast<int>(unit.members.size());
    }
  }
  for (auto& [id, job] : this->jobs) {
    if (job.IsOpen()) {
      this->MoveStragglersOf(job, running, now);
    }
  }
}

void Planner::MoveStragglersOf(Job& job, int running, core::TimePoint now) {
  /// Typical run times by occurrence and step.
  std::map<std::pair<int, int>, TypicalRunTime> typical_times;
  for (Unit& unit : job.units) {
    if (unit.members.empty() || unit.moves >= kMaxMoves) {
      continue;
    }
    const std::optional<ObservedRun> run = this->ObservedRunOf(job, unit, now);
    if (!run) {
      continue;
    }
    const std::pair<int, int> key(unit.occurrence, unit.step);
    auto typical = typical_times.find(key);
    if (typical == typical_times.end()) {
      typical = typical_times
                    .emplace(key, this->TypicalRunTimeOf(job, unit.occurrence,
                                                         unit.step, now))
                    .first;
    }
    const bool is_moved = IsStraggler(*run, typical->second) &&
                          this->move_limit.Allows(unit.size, running, now) &&
                          this->TryMove(job, unit, *run, typical->second, now);
    if (is_moved) {
      this->move_limit.OnMoved(unit.size, now);
    }
  }
}

}  // namespace hemlockdoor::batch
