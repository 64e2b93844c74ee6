// Stops calls to a failing service, apart from single probe calls.
#pragma once

#include "modules/core/core.h"
#include "modules/store/retry/backoff.h"

namespace hemlockdoor::store {

/// The breaker opens after `failure_limit` consecutive failures. While the
/// breaker is open, calls are refused, except for one probe call after each
/// backoff delay. The first success closes the breaker.
class CircuitBreaker {
 public:
  CircuitBreaker(int failures_to_open, Backoff probe_backoff)
      : failure_limit(failures_to_open), backoff(std::move(probe_backoff)) {}

  /// Returns true when a call may be sent now. The caller reports the outcome
  /// of each allowed call by one `OnSuccess` or `OnFailure`.
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

  /// Reports that the service answered.
  void OnSuccess() {
    this->failures = 0;
    this->probing = false;
    this->backoff.Reset();
  }

  /// Reports that the service did not answer, or answered that it is
  /// unavailable.
  void OnFailure(core::TimePoint now) {
    ++this->failures;
    this->probing = false;
    if (this->IsOpen()) {
      this->next_probe = now + this->backoff.Next();
    }
  }

  /// Returns true while calls other than probes are refused.
  bool IsOpen() const { return this->failures >= this->failure_limit; }

 private:
  int failure_limit;
  Backoff backoff;
  int failures = 0;
  bool probing = false;
  core::TimePoint next_probe;
};

}  // namespace hemlockdoor::store
