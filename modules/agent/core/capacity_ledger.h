// Slots and accelerators of one worker.
#pragma once

#include <map>
#include <optional>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Records which task holds which slot and accelerators. Each task holds one
/// slot and one connection. Nothing is ever granted twice.
class CapacityLedger {
 public:
  /// Sets what the worker has; nothing: no capacity. Holders stay when the
  /// shape shrinks.
  void SetShape(const std::optional<model::WorkerShape>& shape);

  /// True when one more task with these accelerators fits.
  bool CanTake(model::AcceleratorSet accelerators) const;
  /// Takes a slot and these accelerators; false when they do not fit or the
  /// key holds something already.
  [[nodiscard]] bool TryTake(const TaskKey& key,
                             model::AcceleratorSet accelerators);
  /// Records a holder that exists whether it fits or not (a task that is
  /// already running); false when its accelerators are held by another.
  [[nodiscard]] bool TryRecord(const TaskKey& key,
                               model::AcceleratorSet accelerators);
  /// Gives back what the key holds, if anything.
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
