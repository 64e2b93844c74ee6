// Times at which something about a job falls due.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// What falls due.
enum class TimerKind : std::uint8_t {
  kExpiry,        ///< The deadline of a queued job.
  kGrantTimeout,  ///< A start without a report.
  kOverrun,       ///< A short task has become long.
  kMaxRun,        ///< The longest run time its entry allows.
  kPreemptGrace,  ///< The grace of a job that is being stopped.
};

/// A timer of one job; void when the job's record was reused since.
struct JobTimer {
  core::TimePoint due;
  JobHandle job = kNoJob;
  std::uint32_t generation = 0;
  TimerKind kind = TimerKind::kExpiry;
};

/// Timers in the order in which they fall due.
class TimerQueue {
 public:
  void Add(const JobTimer& timer) { this->timers.push(timer); }
  /// The next timer that is due, or nothing.
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
