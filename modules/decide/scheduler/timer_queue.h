// Timers of jobs.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// The event that a timer stands for.
enum class TimerKind : std::uint8_t {
  kExpiry,        ///< The deadline of a queued job has passed.
  kGrantTimeout,  ///< A decided start was not reported in time.
  kOverrun,       ///< A job of the short lane has run for the short limit.
  kMaxRun,        ///< A job has reached the run time limit of its entry.
  kPreemptGrace,  ///< The grace period of a preempted job is over.
};

/// A timer of one job. The timer is ignored when the generation of the job's
/// record has changed, that is, when the record was reused.
struct JobTimer {
  core::TimePoint due;
  JobHandle job = kNoJob;
  std::uint32_t generation = 0;
  TimerKind kind = TimerKind::kExpiry;
};

/// Timers ordered by due time; equal times by job and kind.
class TimerQueue {
 public:
  void Add(const JobTimer& timer) { this->timers.push(timer); }
  /// Removes and returns the next timer that is due, or nothing.
  std::optional<JobTimer> TakeDue(core::TimePoint now) {
    if (this->timers.empty() || this->timers.top().due > now) {
      return std::nullopt;
    }
    const JobTimer timer = this->timers.top();
    this->timers.pop();
    return timer;
  }

 private:
  struct DueLater {
    bool operator()(const JobTimer& left, const JobTimer& right) const {
      if (left.due != right.due) {
        return left.due > right.due;
      }
      return left.job != right.job ? left.job > right.job
                                   : left.kind > right.kind;
    }
  };

  std::priority_queue<JobTimer, std::vector<JobTimer>, DueLater> timers;
};

}  // namespace hemlockdoor::decide
