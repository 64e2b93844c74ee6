#include "modules/decide/limits/admission.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

/// Share of the time before the deadline that the expected wait may take; the
/// rest covers the error of the estimate.
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
  const double by_share =
      static_cast<double>(own) / std::max(1e-3, slots * request.share);
  // An organisation is never behind more work than there is.
  const double by_total = static_cast<double>(this->total_ms) / slots;
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(std::min(by_share, by_total)));
}

std::optional<core::Duration> Admission::Refuse(
    const AdmissionRequest& request) const {
  const core::Duration wait = this->ExpectedWait(request);
  const auto room_ms = static_cast<std::int64_t>(
      static_cast<double>(
          (request.deadline - request.expected_run).InMilliseconds()) *
      kMaxWaitShare);
  const core::Duration room = core::Duration::Milliseconds(room_ms);
  if (wait <= core::Duration() || wait <= room) {
    return std::nullopt;
  }
  return std::max(kMinRetryAfter, wait - std::max(room, core::Duration()));
}

}  // namespace hemlockdoor::decide
