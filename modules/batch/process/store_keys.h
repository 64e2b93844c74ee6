// Keys of the records that the batch service keeps in the store.
#pragma once

#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::batch::store_keys {

/// Prefix of all keys; a new planner reads all of them.
inline constexpr const char* kRootPrefix = "hd/";
/// Prefix of the keys written by entries: accepted jobs and cancellations.
inline constexpr const char* kIntakePrefix = "hd/in/";
inline constexpr const char* kJobPrefix = "hd/in/job/";
inline constexpr const char* kCancellationPrefix = "hd/in/cancel/";
/// Keys written by the planner.
inline constexpr const char* kProgressPrefix = "hd/progress/";
inline constexpr const char* kMembersKey = "hd/members";

/// Refusals of jobs, written by entries. Planners do not read them.
inline constexpr const char* kRefusalPrefix = "hd/refused/";

inline std::string JobKey(const core::JobId& job) {
  return kJobPrefix + job.Text();
}
inline std::string CancellationKey(const core::JobId& job) {
  return kCancellationPrefix + job.Text();
}
inline std::string RefusalKey(const core::JobId& job) {
  return kRefusalPrefix + job.Text();
}
inline std::string ProgressKey(const core::JobId& job) {
  return kProgressPrefix + job.Text();
}

}  // namespace hemlockdoor::batch::store_keys
