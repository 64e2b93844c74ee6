#include "modules/batch/planner/fleet.h"

namespace hemlockdoor::batch {

std::string NameOf(StartObstacle obstacle) {
  switch (obstacle) {
    case StartObstacle::kNone:
      return "none";
    case StartObstacle::kNoWorker:
      return "no-worker";
    case StartObstacle::kDraining:
      return "draining";
    case StartObstacle::kUnreachable:
      return "unreachable";
    case StartObstacle::kIncomplete:
      return "incomplete";
    case StartObstacle::kNoTerm:
      return "no-term";
    case StartObstacle::kNotStored:
      return "not-stored";
    case StartObstacle::kNotReported:
      return "not-reported";
    case StartObstacle::kLongLeases:
      return "long-leases";
    case StartObstacle::kLost:
      return "lost";
    case StartObstacle::kProbed:
      return "probed";
    case StartObstacle::kEvacuated:
      return "evacuated";
    case StartObstacle::kSilent:
      return "silent";
    case StartObstacle::kStalled:
      return "stalled";
  }
  return "unknown";
}

StartObstacle AgentView::ObstacleAt(core::TimePoint now) const {
  if (!this->worker) {
    return StartObstacle::kNoWorker;
  }
  if (this->worker->state != WorkerState::kReady) {
    return StartObstacle::kDraining;
  }
  if (this->is_evacuated) {
    return StartObstacle::kEvacuated;
  }
  if (this->is_lost) {
    return StartObstacle::kLost;
  }
  if (now >= this->last_contact + kReportTimeout) {
    return StartObstacle::kSilent;
  }
  if (!this->worker_reachable) {
    return StartObstacle::kUnreachable;
  }
  if (!this->is_complete) {
    return StartObstacle::kIncomplete;
  }
  if (!this->can_start) {
    return StartObstacle::kNoTerm;
  }
  if (this->membership != Membership::kStored) {
    return StartObstacle::kNotStored;
  }
  if (this->needs_probe) {
    return StartObstacle::kProbed;
  }
  if (!this->has_reported) {
    return StartObstacle::kNotReported;
  }
  if (this->has_long_leases && !this->stored_long_leases) {
    return StartObstacle::kLongLeases;
  }
  return now < this->stalled_until ? StartObstacle::kStalled
                                   : StartObstacle::kNone;
}

Resources AgentView::FreeResources(int priority) const {
  if (!this->worker) {
    return {};
  }
  Resources free = this->worker->capacity - this->used;
  for (const auto& [reserved_priority, amount] : this->reserved) {
    if (reserved_priority <= priority) {
      free = free - amount;
    }
  }
  return free;
}

std::uint64_t AgentView::HighestAcknowledgeableEnd() const {
  return this->pending_ends.empty() ? this->applied_end
                                    : this->pending_ends.front().number - 1;
}

}  // namespace hemlockdoor::batch
