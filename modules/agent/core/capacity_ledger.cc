#include "modules/agent/core/capacity_ledger.h"

#include <algorithm>

namespace hemlockdoor::agent {

void CapacityLedger::SetShape(const std::optional<model::WorkerShape>& shape) {
  this->slots = shape ? std::min(shape->slots, shape->connections) : 0;
  this->all = shape ? model::AcceleratorSet::First(shape->accelerators)
                    : model::AcceleratorSet();
}

bool CapacityLedger::CanTake(model::AcceleratorSet accelerators) const {
  return this->FreeSlots() > 0 &&
         this->FreeAccelerators().Contains(accelerators);
}

bool CapacityLedger::TryTake(const TaskKey& key,
                             model::AcceleratorSet accelerators) {
  return this->CanTake(accelerators) && this->TryRecord(key, accelerators);
}

bool CapacityLedger::TryRecord(const TaskKey& key,
                               model::AcceleratorSet accelerators) {
  if (this->held.Intersects(accelerators) || this->holders.contains(key)) {
    return false;
  }
  this->holders.emplace(key, accelerators);
  this->held = this->held.Union(accelerators);
  return true;
}

void CapacityLedger::Release(const TaskKey& key) {
  const auto found = this->holders.find(key);
  if (found == this->holders.end()) {
    return;
  }
  this->held = this->held.Without(found->second);
  this->holders.erase(found);
}

int CapacityLedger::FreeSlots() const {
  return std::max(0, this->slots - static_cast<int>(this->holders.size()));
}

model::AcceleratorSet CapacityLedger::FreeAccelerators() const {
  return this->all.Without(this->held);
}

}  // namespace hemlockdoor::agent
