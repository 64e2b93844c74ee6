// Why units that are ready to start are not started.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// What kept a ready unit from its start in the latest decision.
enum class WaitReason {
  kNone,
  kRecovery,        ///< Agents of the stored member list have not reported.
  kStartsWithheld,  ///< See `Planner::WithholdStarts`.
  kRejectedStart,   ///< Pause after a start that was rejected.
  kOpenStarts,      ///< A copy of an earlier start may still begin a run.
  kBackfillLimit,
  kFasterWorkers,    ///< Capacity is reserved on faster workers.
  kRunningWork,      ///< Capacity is reserved where work ends soon.
  kPreemption,       ///< Work is stopped for it.
  kLocality,         ///< It fits, but not in the rack where it belongs.
  kUnusableWorkers,  ///< It fits only on workers that get no starts now.
  kNoRoom,
};

/// Returns the name used in logs and metrics.
std::string NameOf(WaitReason reason);

/// Jobs with ready units and nothing running.
struct WaitSummary {
  /// Number of jobs that have waited for `kCountedWait` or longer, by reason.
  std::map<WaitReason, std::size_t> jobs;
  /// Longest of these waits while most of the room was free.
  core::Duration longest_beside_free_room;
};

/// Waits that are shorter are not counted.
inline constexpr core::Duration kCountedWait = core::Duration::Seconds(1);

}  // namespace hemlockdoor::batch
