// Planner: why jobs that could start have nothing running.
#include <algorithm>
#include <map>

#include "modules/batch/planner/candidates.h"
#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

/// Interval at which waits are examined.
constexpr core::Duration kWaitCheckPeriod = core::Duration::Milliseconds(250);
/// Waits of this length are logged while most of the room is free, and again
/// each time that they have lasted this much longer. Jobs must start within 3 s
/// then.
constexpr core::Duration kLoggedWait = core::Duration::Milliseconds(2000);
/// Longest time for which a unit that could start waits for better workers, if
/// most of the room is free and its job has nothing running. Jobs must have
/// something running within 3 s then. Under load such waits are worth more to
/// callers, and have their own bounds.
constexpr core::Duration kMaxVoluntaryWait = core::Duration::Milliseconds(2000);

std::string Text(std::int64_t number) {
  return std::to_string(number);
}

/// Returns what keeps the workers that the unit could use from being given
/// starts, as "name=count" pairs.
std::string ObstacleText(const Fleet& fleet, const PlacementRequest& request) {
  std::map<std::string, std::int64_t> counts;
  std::int64_t usable = 0;
  for (const auto& [agent, view] : fleet) {
    if (!detail::IsEligible(view, request)) {
      continue;
    }
    const StartObstacle obstacle = view.ObstacleAt(request.now);
    if (obstacle != StartObstacle::kNone) {
      ++counts[NameOf(obstacle)];
    } else if (view.IsSuspended(request.now)) {
      ++counts["suspended"];
    } else {
      ++usable;
    }
  }
  std::string text = "usable=" + Text(usable);
  for (const auto& [name, count] : counts) {
    text += " " + name + "=" + Text(count);
  }
  return text;
}

}  // namespace

void Planner::MeasureRoom() {
  this->usable_room = Resources();
  this->room_in_use = Resources();
  for (const auto& [agent, view] : this->fleet) {
    if (view.worker && view.worker->state == WorkerState::kReady &&
        !view.is_lost) {
      this->usable_room = this->usable_room + view.worker->capacity;
      this->room_in_use = this->room_in_use + view.used;
    }
  }
}

bool Planner::IsVoluntaryWaitOver(const Job& job,
                                  const Unit& unit,
                                  core::TimePoint now) const {
  return now >= unit.ready_since + kMaxVoluntaryWait &&
         this->IsMostRoomFree() && !job.HasRuns();
}

WaitReason Planner::ReasonOfWait(const Job& job,
                                 const Unit& unit,
                                 core::TimePoint now) const {
  if (this->starts_withheld) {
    return WaitReason::kStartsWithheld;
  }
  if (unit.wait_reason != WaitReason::kNoRoom) {
    return unit.wait_reason;
  }
  PlacementRequest request = this->RequestFor(job, unit, now);
  request.use_suspended = NeedsSuspendedWorkers(this->fleet, request);
  if (!request.allow_remote) {
    request.allow_remote = true;
    if (FindPlacement(this->fleet, request)) {
      return WaitReason::kLocality;
    }
  }
  return FitsInFreeRoom(this->fleet, request) ? WaitReason::kUnusableWorkers
                                              : WaitReason::kNoRoom;
}

void Planner::WatchWaits(core::TimePoint now) {
  if (now < this->next_wait_check) {
    return;
  }
  this->next_wait_check = now + kWaitCheckPeriod;
  this->waits = WaitSummary();
  const bool most_room_is_free = this->IsMostRoomFree();
  for (auto& [id, job] : this->jobs) {
    const Unit* waiting = job.FirstWaitingUnit();
    if (waiting == nullptr) {
      job.idle_since.reset();
      continue;
    }
    if (!job.idle_since) {
      job.idle_since = now;
      job.idle_logged_at = now;
    }
    const core::Duration idle = now - *job.idle_since;
    if (idle < kCountedWait) {
      continue;
    }
    // Under load many jobs wait for room, and a closer look would search the
    // fleet for each of them.
    const WaitReason reason = most_room_is_free
                                  ? this->ReasonOfWait(job, *waiting, now)
                                  : waiting->wait_reason;
    ++this->waits.jobs[reason];
    if (!most_room_is_free || reason == WaitReason::kNoRoom) {
      continue;
    }
    this->waits.longest_beside_free_room =
        std::max(this->waits.longest_beside_free_room, idle);
    if (now >= job.idle_logged_at + kLoggedWait) {
      job.idle_logged_at = now;
      this->LogWait(job, *waiting, reason, now);
    }
  }
}

void Planner::LogWait(const Job& job,
                      const Unit& unit,
                      WaitReason reason,
                      core::TimePoint now) {
  const PlacementRequest request = this->RequestFor(job, unit, now);
  this->LogDecision(
      "job_waits", job.record.spec.id,
      "reason=" + NameOf(reason) + " task=" +
          job.NameOf(unit, unit.first).ToText() + " size=" + Text(unit.size) +
          " idle_ms=" + Text((now - *job.idle_since).InMilliseconds()) +
          " ready_ms=" + Text((now - unit.ready_since).InMilliseconds()) +
          " open_starts=" +
          Text(static_cast<std::int64_t>(unit.open_starts.size())) + " " +
          ObstacleText(this->fleet, request));
}

}  // namespace hemlockdoor::batch
