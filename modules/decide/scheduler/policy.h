// Which mechanisms of the scheduler are in use, and their constants.
#pragma once

#include <cstddef>

#include "modules/core/core.h"

namespace hemlockdoor::decide {

/// Each mechanism can be switched off, to measure what it earns.
struct Policy {
  /// Places for guaranteed shapes, and reclaim for them.
  bool guarantees = true;
  /// Lets work that may be stopped use capacity of unused guarantees.
  bool lending = true;
  /// Keeps capacity for blocked gangs; only work that may be stopped fills it.
  bool reservations = true;
  /// Checkpoints small work away from a reserved place when that costs less
  /// than the wait it saves.
  bool compaction = true;
  /// Keeps slots free of long work, and orders short work first.
  bool short_lane = true;
  /// Orders organisations by weighted recent use, else by arrival.
  bool fair_share = true;
  /// Refuses work on arrival when it would wait past its deadline.
  bool shedding = true;
  /// Drops queued work that can no longer end within its deadline.
  bool drop_stale = true;
  bool concurrency_limit = true;
  bool retry_budget = true;
  bool quarantine = true;

  /// Share of each worker's slots that long work may not use.
  int short_reserve_percent = 25;
  /// Work with a longer mean run time is long.
  core::Duration short_limit = core::Duration::Seconds(10);
  /// Gangs with a reservation at a time.
  std::size_t max_reservations = 4;
  /// Queued jobs in all.
  std::size_t max_queued = 100'000;
  /// Decisions of one `Plan` call.
  std::size_t max_decisions = 2'000;
  /// Time a job gets to write a checkpoint before it is stopped. With the stop
  /// (1 s) and a call of `Plan` each 100 ms, urgent work starts after 4.2 s at
  /// most, within its limit of 5.7 s.
  core::Duration urgent_grace = core::Duration::Seconds(3);
  core::Duration ordinary_grace = core::Duration::Seconds(10);
  core::Duration stop_grace = core::Duration::Seconds(1);
  /// A start without a report for this time no longer counts. Longer than the
  /// agents' limit on late starts, so that the job cannot start afterwards.
  core::Duration grant_timeout = core::Duration::Seconds(30);
  /// After the first worker is known, jobs that fit nowhere are not refused for
  /// this time, since other workers may not have announced themselves yet.
  core::Duration settle_time = core::Duration::Seconds(3);
  /// A vanished worker counts as one that will be replaced for this time.
  core::Duration absent_memory = core::Duration::Seconds(600);
};

}  // namespace hemlockdoor::decide
