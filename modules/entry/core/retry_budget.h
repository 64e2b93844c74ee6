// Bounds the retries of one entry to a share of its first attempts.
#pragma once

#include <algorithm>

namespace hemlockdoor::entry {

/// A token budget: each first attempt earns a part of a retry. Without it,
/// retries multiply the load exactly when workers refuse or fail.
class RetryBudget {
 public:
  /// Counts a first attempt.
  void OnFirstAttempt() {
    this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerAttempt);
  }
  /// Takes one retry; false when the budget is used up.
  bool TryTake() {
    if (this->tokens < 1.0) {
      return false;
    }
    this->tokens -= 1.0;
    return true;
  }

  /// Retries allowed for each first attempt.
  static constexpr double kTokensPerAttempt = 0.2;
  /// Most retries in one burst.
  static constexpr double kMaxTokens = 200.0;

 private:
  double tokens = kMaxTokens;
};

}  // namespace hemlockdoor::entry
