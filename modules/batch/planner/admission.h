// Decides whether an entry accepts a job.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "modules/batch/planner/room_summary.h"

namespace hemlockdoor::batch {

/// Why a job is accepted or rejected.
enum class AdmissionReason {
  kAccepted,
  kTooLate,       ///< Would end after it has lost its value to its caller.
  kTaskTooLarge,  ///< No worker of its service could ever hold one task.
  kNoSuchLabel,   ///< No worker has the label that a step requires.
  kGangTooLarge,  ///< The whole fleet could not hold a gang.
};

/// Result of the decision, with the figures behind it.
struct AdmissionDecision {
  AdmissionReason reason = AdmissionReason::kAccepted;
  /// Shortest expected time from the caller's first request to the end of the
  /// job, and largest possible objective; zero unless `reason` is kTooLate.
  core::Duration expected;
  core::Duration objective;
  /// When the caller should ask again; whole seconds.
  core::Duration retry_after;
  /// Age of the summary that the decision is based on.
  core::Duration summary_age;

  bool IsAccepted() const { return this->reason == AdmissionReason::kAccepted; }
};

/// Decides on the admission of a job from the planner's summary, which is
/// `summary_age` old; nullptr if there is none. The age of the job is that of
/// its record when it is accepted.
///
/// Being wrong costs a caller its job, so a job is rejected only if even the
/// most favourable estimate leaves it without value: the backlog and the run
/// times at their lower bounds, the whole fleet at work on what is ahead, and
/// the objective at its upper bound. Accepted are all jobs of priority 0 whose
/// organisation is within its guarantee, and jobs with scheduled occurrences or
/// long-running steps. Without a recent summary everything is accepted, so that
/// a new planner or a partition does not lead to a wave of rejections.
AdmissionDecision DecideAdmission(const RoomSummary* summary,
                                  core::Duration summary_age,
                                  const JobRecord& job);

/// Returns a text for callers and logs.
std::string NameOf(AdmissionReason reason);

/// Returns the time after which a caller should ask again, in whole seconds
/// between 1 and 3: `base`, moved by a hash of the job's id, so that callers
/// who were turned away together do not come back together.
core::Duration SpreadRetryAfter(core::Duration base, const core::JobId& job);

/// A summary that is older than this is not used.
inline constexpr core::Duration kMaxSummaryAge = core::Duration::Seconds(3);

}  // namespace hemlockdoor::batch
