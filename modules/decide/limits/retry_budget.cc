#include "modules/decide/limits/retry_budget.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

constexpr double kTokensPerSuccess = 0.2;
/// Enough for the failures that occur before faulty workers are quarantined.
constexpr double kMaxTokens = 200;
constexpr double kTokensPerSecond = 2;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

RetryBudget::Bucket& RetryBudget::At(ServiceIndex service) {
  if (service >= this->buckets.size()) {
    this->buckets.resize(service + 1, Bucket{kMaxTokens, {}});
  }
  return this->buckets[service];
}

void RetryBudget::OnSuccess(ServiceIndex service) {
  Bucket& bucket = this->At(service);
  bucket.tokens = std::min(kMaxTokens, bucket.tokens + kTokensPerSuccess);
}

bool RetryBudget::TryTake(ServiceIndex service, core::TimePoint now) {
  Bucket& bucket = this->At(service);
  const double seconds =
      static_cast<double>((now - bucket.refilled_at).InMilliseconds()) /
      kMillisecondsPerSecond;
  bucket.refilled_at = now;
  bucket.tokens =
      std::min(kMaxTokens, bucket.tokens + seconds * kTokensPerSecond);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace hemlockdoor::decide
