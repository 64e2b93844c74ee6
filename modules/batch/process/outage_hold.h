// Decides how long a submission waits for a store that is away.
#pragma once

#include <cstdint>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Returns the time until which a submission should wait for the store, which
/// has been away for `outage`; `now` if it should be refused at once.
///
/// Load pattern: the store is away for a few seconds, longer than callers wait,
/// and they come back several times. Early in an outage a caller is refused, so
/// that it can try elsewhere or later. Once an outage has lasted for
/// `kLikelyLength`, the store is expected back while the caller is still there;
/// a caller that waits here is served the moment the store answers, one that
/// was told to come back only up to a second later. It waits for less than half
/// of its time, so that it can still be refused and come back.
inline core::TimePoint OutageHoldEnd(core::Duration outage,
                                     core::TimePoint caller_deadline,
                                     core::TimePoint now) {
  constexpr core::Duration kLikelyLength = core::Duration::Milliseconds(2000);
  constexpr std::int64_t kHoldPercent = 40;
  constexpr std::int64_t kAllPercent = 100;
  if (outage < kLikelyLength || now >= caller_deadline) {
    return now;
  }
  return now + (caller_deadline - now) * kHoldPercent / kAllPercent;
}

}  // namespace hemlockdoor::batch
