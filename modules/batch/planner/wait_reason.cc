#include "modules/batch/planner/wait_reason.h"

namespace hemlockdoor::batch {

std::string NameOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "none";
    case WaitReason::kRecovery:
      return "recovery";
    case WaitReason::kStartsWithheld:
      return "starts-withheld";
    case WaitReason::kRejectedStart:
      return "rejected-start";
    case WaitReason::kOpenStarts:
      return "open-starts";
    case WaitReason::kBackfillLimit:
      return "backfill-limit";
    case WaitReason::kFasterWorkers:
      return "faster-workers";
    case WaitReason::kRunningWork:
      return "running-work";
    case WaitReason::kPreemption:
      return "preemption";
    case WaitReason::kLocality:
      return "locality";
    case WaitReason::kUnusableWorkers:
      return "unusable-workers";
    case WaitReason::kNoRoom:
      return "no-room";
  }
  return "unknown";
}

}  // namespace hemlockdoor::batch
