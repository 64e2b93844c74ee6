// Allocation of one worker's slots and accelerators.
#pragma once

#include <map>
#include <optional>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Records which task holds a slot and which accelerators it holds. Each task
/// holds one slot and one connection. No accelerator is held by two tasks.
class CapacityLedger {
 public:
  /// Sets the worker's capacity; without a shape there is none. Tasks keep what
  /// they hold when the shape shrinks.
  void SetShape(const std::optional<model::WorkerShape>& shape);

  /// True when one more task with these accelerators fits.
  bool CanTake(model::AcceleratorSet accelerators) const;
  /// Takes a slot and these accelerators for a task; false when they are not
  /// free or the task is recorded already.
  [[nodiscard]] bool TryTake(const TaskKey& key,
                             model::AcceleratorSet accelerators);
  /// Records a task that already runs, even when no slot is free or the worker
  /// lacks the accelerators; false when another task holds one of the
  /// accelerators or the task is recorded already.
  [[nodiscard]] bool TryRecord(const TaskKey& key,
                               model::AcceleratorSet accelerators);
  /// Releases the slot and accelerators of a task, if it holds any.
  void Release(const TaskKey& key);

  int FreeSlots() const;
  model::AcceleratorSet FreeAccelerators() const;

 private:
  int slots = 0;
  model::AcceleratorSet all;
  model::AcceleratorSet held;
  std::map<TaskKey, model::AcceleratorSet> holders;
};

}  // namespace hemlockdoor::agent
