// Early shedding of work that would wait past its deadline.
#pragma once

#include <optional>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// What admission knows when a job arrives.
struct AdmissionRequest {
  OrganisationIndex organisation = 0;
  core::Duration deadline;
  core::Duration expected_run;
  /// Slots that short work can use in all.
  int slots = 0;
  /// The organisation's share of them, above 0 and at most 1.
  double share = 1;
};

/// Keeps the queued short work of each organisation and estimates how long a
/// new job waits: its organisation's queued work over its fair share of the
/// slots. Work that cannot end within its deadline is refused on arrival, so an
/// organisation that sends too much sheds its own work first.
class Admission {
 public:
  void OnQueued(OrganisationIndex organisation, core::Duration expected_run);
  void OnDequeued(OrganisationIndex organisation, core::Duration expected_run);
  /// Nothing when the job is admitted; else the time after which the queue is
  /// expected to be short enough.
  std::optional<core::Duration> Refuse(const AdmissionRequest& request) const;
  /// Expected wait of a new job.
  core::Duration ExpectedWait(const AdmissionRequest& request) const;

 private:
  std::vector<std::int64_t> queued_ms;
  std::int64_t total_ms = 0;
};

}  // namespace hemlockdoor::decide
