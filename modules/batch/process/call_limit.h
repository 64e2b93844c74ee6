// Limit on the rate of calls.
#pragma once

#include <cstddef>
#include <deque>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Allows a number of calls in any period of a given length.
class CallLimit {
 public:
  CallLimit(std::size_t max_calls, core::Duration period_length)
      : calls(max_calls), period(period_length) {}

  /// Returns whether a call may be made now, and counts it if so.
  bool Allow(core::TimePoint now) {
    while (!this->allowed.empty() &&
           now >= this->allowed.front() + this->period) {
      this->allowed.pop_front();
    }
    if (this->allowed.size() >= this->calls) {
      return false;
    }
    this->allowed.push_back(now);
    return true;
  }

 private:
  std::size_t calls;
  core::Duration period;
  /// Times of the calls that were allowed within the latest period.
  std::deque<core::TimePoint> allowed;
};

}  // namespace hemlockdoor::batch
