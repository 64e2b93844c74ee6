// Admission control: refuses jobs that would wait past their deadline.
#pragma once

#include <optional>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// Input of the admission check of a new job.
struct AdmissionRequest {
  OrganisationIndex organisation = 0;
  /// Time from now until the deadline.
  core::Duration deadline;
  core::Duration expected_run;
  /// Total number of slots that short jobs of the service can use.
  int slots = 0;
  /// The organisation's fair share of the slots, above 0 and at most 1.
  double share = 1;
};

/// Sums up the expected run time of each organisation's queued short jobs, and
/// estimates the wait of a new job as this sum divided by the organisation's
/// fair share of the slots. A job that could not end before its deadline is
/// refused on arrival, so that overload by one organisation sheds the jobs of
/// that organisation first.
class Admission {
 public:
  void OnQueued(OrganisationIndex organisation, core::Duration expected_run);
  void OnDequeued(OrganisationIndex organisation, core::Duration expected_run);
  /// Returns nothing when the job is admitted; otherwise the time after which
  /// the queue is expected to be short enough, at least 1 s.
  std::optional<core::Duration> Refuse(const AdmissionRequest& request) const;
  /// Returns the expected wait of a new job.
  core::Duration ExpectedWait(const AdmissionRequest& request) const;

 private:
  std::vector<std::int64_t> queued_ms;
  std::int64_t total_ms = 0;
};

}  // namespace hemlockdoor::decide
