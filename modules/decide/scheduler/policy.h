// Switches and constants of the scheduler's mechanisms.
#pragma once

#include <cstddef>

#include "modules/core/core.h"

namespace hemlockdoor::decide {

/// Each mechanism can be switched off, to measure its effect.
struct Policy {
  /// Keeps a place for each guaranteed shape, and reclaims it from the jobs
  /// that borrow it.
  bool guarantees = true;
  /// Lets stoppable jobs borrow the capacity of unused guarantees.
  bool lending = true;
  /// Reserves places for blocked gangs; only stoppable jobs may backfill them.
  bool reservations = true;
  /// Checkpoints running jobs to clear a reserved place when the wait that this
  /// saves is worth more than the move costs.
  bool compaction = true;
  /// Keeps slots free of long jobs, and starts short jobs before long ones
  /// outside of guarantees.
  bool short_lane = true;
  /// Orders organisations by weighted recent use; without it, by arrival.
  bool fair_share = true;
  /// Refuses short jobs without accelerators on arrival when they would wait
  /// past their deadline.
  bool shedding = true;
  /// Drops a queued job when less than half of its expected run time is left
  /// before its deadline.
  bool drop_stale = true;
  bool concurrency_limit = true;
  bool retry_budget = true;
  bool quarantine = true;

  /// Share of each worker's slots that long jobs may not use, in percent (0 to
  /// 90).
  int short_reserve_percent = 25;
  /// A job with a longer expected run time is long.
  core::Duration short_limit = core::Duration::Seconds(10);
  /// Largest number of gangs that have a reservation at the same time.
  std::size_t max_reservations = 4;
  /// Largest number of queued jobs, over all entries.
  std::size_t max_queued = 100'000;
  /// A `Plan` call starts no more queued jobs once it has this many decisions.
  std::size_t max_decisions = 2'000;
  /// Time a job gets to write a checkpoint before it is stopped for an urgent
  /// job. With the stop (1 s) and a call of `Plan` every 100 ms, the urgent job
  /// starts after at most 4.2 s, within its limit of 5.7 s.
  core::Duration urgent_grace = core::Duration::Seconds(3);
  /// The same for a job that is not urgent.
  core::Duration ordinary_grace = core::Duration::Seconds(10);
  /// Time after which a stop is requested again.
  core::Duration stop_grace = core::Duration::Seconds(1);
  /// A granted start that is not reported within this time no longer counts.
  /// Longer than the agents' limit on late starts, so that the job cannot start
  /// afterwards.
  core::Duration grant_timeout = core::Duration::Seconds(30);
  /// For this time after the first worker has appeared, jobs that fit nowhere
  /// are not refused, because other workers may not have announced themselves
  /// yet.
  core::Duration settle_time = core::Duration::Seconds(3);
  /// For this time, a vanished worker is expected to be replaced: jobs that
  /// would fit on it are not refused.
  core::Duration absent_memory = core::Duration::Seconds(600);
};

}  // namespace hemlockdoor::decide
