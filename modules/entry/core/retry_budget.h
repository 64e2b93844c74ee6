// Limits the retries of one entry to a fraction of its first attempts.
#pragma once

#include <algorithm>

namespace hemlockdoor::entry {

/// A token bucket: each first attempt adds `kTokensPerAttempt` tokens, each
/// retry takes one. Without this limit, retries would multiply the load at the
/// very time when workers refuse or fail.
class RetryBudget {
 public:
  /// Adds the tokens for a job's first attempt.
  void OnFirstAttempt() {
    this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerAttempt);
  }
  /// Takes the token for one retry. Returns false when less than one token is
  /// left.
  bool TryTake() {
    if (this->tokens < 1.0) {
      return false;
    }
    this->tokens -= 1.0;
    return true;
  }

  /// Tokens added by each first attempt: one retry for every five.
  static constexpr double kTokensPerAttempt = 0.2;
  /// Capacity of the bucket: the most retries in one burst. A new entry starts
  /// with a full bucket.
  static constexpr double kMaxTokens = 200.0;

 private:
  double tokens = kMaxTokens;
};

}  // namespace hemlockdoor::entry
