#include "modules/batch/planner/fleet.h"

namespace hemlockdoor::batch {

bool AgentView::IsUsable(core::TimePoint now) const {
  return this->worker && this->worker->state == WorkerState::kReady &&
         this->worker_reachable && this->is_complete && this->can_start &&
         this->membership == Membership::kStored && this->has_reported &&
         (this->stored_long_leases || !this->has_long_leases) &&
         !this->is_lost && !this->needs_probe && !this->is_evacuated &&
         now < this->last_contact + kReportTimeout &&
         now >= this->stalled_until;
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
