// Virtual time for simulations of several processes.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "modules/core/core.h"

namespace hemlockdoor::batch::exploration {

/// Runs callbacks in the order of their virtual times; those of the same time
/// in the order in which they were added.
class EventQueue {
 public:
  core::TimePoint Now() const { return this->now; }
  /// Runs `event` when `delay` has passed.
  void After(core::Duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
  }
  /// Runs all events up to `end`, also those that they add.
  void RunUntil(core::TimePoint end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto node = this->events.extract(this->events.begin());
      this->now = node.key();
      node.mapped()();
    }
    this->now = end;
  }

 private:
  core::TimePoint now = core::TimePoint::FromMilliseconds(100'000);
  std::multimap<core::TimePoint, std::function<void()>> events;
};

}  // namespace hemlockdoor::batch::exploration
