// Keys under which the batch service keeps what must last.
#pragma once

#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::batch::store_keys {

/// Everything that a new planner reads.
inline constexpr const char* kAll = "hd/";
/// What entries write: accepted jobs and cancellations.
inline constexpr const char* kIntake = "hd/in/";
inline constexpr const char* kJobs = "hd/in/job/";
inline constexpr const char* kCancellations = "hd/in/cancel/";
/// What the planner writes.
inline constexpr const char* kProgress = "hd/progress/";
inline constexpr const char* kMembers = "hd/members";

inline std::string JobKey(const core::JobId& job) {
  return kJobs + job.Text();
}
inline std::string CancellationKey(const core::JobId& job) {
  return kCancellations + job.Text();
}
inline std::string ProgressKey(const core::JobId& job) {
  return kProgress + job.Text();
}

}  // namespace hemlockdoor::batch::store_keys
