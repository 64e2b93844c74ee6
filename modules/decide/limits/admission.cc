#include "modules/decide/limits/admission.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Share of the time before the latest start that the expected wait may take;
/// the rest covers the error of the estimate.
constexpr double kMaxWaitShare = 0.7;
constexpr core::Duration kMinRetryAfter = core::Duration::Seconds(1);

}  // namespace

void Admission::OnQueued(OrganisationIndex organisation,
                         core::Duration expected_run) {
  if (organisation >= this->queued_ms.size()) {
    this->queued_ms.resize(organisation + 1);
  }
  this->queued_ms[organisation] += expected_run.InMilliseconds();
  this->total_ms += expected_run.InMilliseconds();
}

void Admission::OnDequeued(OrganisationIndex organisation,
                           core::Duration expected_run) {
  this->queued_ms[organisation] -= expected_run.InMilliseconds();
  this->total_ms -= expected_run.InMilliseconds();
}

core::Duration Admission::ExpectedWait(const AdmissionRequest& request) const {
  const std::int64_t own = request.organisation < this->queued_ms.size()
                               ? this->queued_ms[request.organisation]
                               : 0;
  const double slots = std::max(1, request.slots);
  const double wait_by_share =
      static_cast<double>(own) / std::max(1e-3, slots * request.share);
  // The wait cannot exceed the time to run all queued jobs on all slots.
  const double wait_by_total = static_cast<double>(this->total_ms) / slots;
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(std::min(wait_by_share, wait_by_total)));
}

std::optional<core::Duration> Admission::Refuse(
    const AdmissionRequest& request) const {
  const core::Duration wait = this->ExpectedWait(request);
  const auto max_wait_ms = static_cast<std::int64_t>(
      static_cast<double>(
          (request.deadline - request.expected_run).InMilliseconds()) *
      kMaxWaitShare);
  const core::Duration max_wait = core::Duration::Milliseconds(max_wait_ms);
  if (wait <= core::Duration() || wait <= max_wait) {
    return std::nullopt;
  }
  return std::max(kMinRetryAfter, wait - std::max(max_wait, core::Duration()));
}

}  // namespace hemlockdoor::decide
