// Stops calls to a service that fails, and probes it with single calls.
#pragma once

#include "modules/core/core.h"
#include "modules/store/retry/backoff.h"

namespace hemlockdoor::store {

/// After `failure_limit` failures in a row, calls are refused without being
/// sent; one probe call is allowed after each backoff delay. The first success
/// closes the breaker again.
class CircuitBreaker {
 public:
  CircuitBreaker(int failures_to_open, Backoff probe_backoff)
      : failure_limit(failures_to_open), backoff(std::move(probe_backoff)) {}

  /// True when a call may be sent now. Each allowed call is followed by one
  /// `OnSuccess` or `OnFailure`.
  bool TryAcquire(core::TimePoint now) {
    if (!this->IsOpen()) {
      return true;
    }
    if (this->probing || now < this->next_probe) {
      return false;
    }
    this->probing = true;
    return true;
  }

  /// The service answered.
  void OnSuccess() {
    this->failures = 0;
    this->probing = false;
    this->backoff.Reset();
  }

  /// The service did not answer, or answered that it is unavailable.
  void OnFailure(core::TimePoint now) {
    ++this->failures;
    this->probing = false;
    if (this->IsOpen()) {
      this->next_probe = now + this->backoff.Next();
    }
  }

  /// True while calls are refused.
  bool IsOpen() const { return this->failures >= this->failure_limit; }

 private:
  int failure_limit;
  Backoff backoff;
  int failures = 0;
  bool probing = false;
  core::TimePoint next_probe;
};

}  // namespace hemlockdoor::store
