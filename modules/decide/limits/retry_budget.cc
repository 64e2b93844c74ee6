#include "modules/decide/limits/retry_budget.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

constexpr double kTokensForSuccess = 0.2;
/// Enough for the failures before bad workers are quarantined.
constexpr double kMaxTokens = 200;

}  // namespace

double& RetryBudget::TokensOf(ServiceIndex service) {
  if (service >= this->tokens.size()) {
    this->tokens.resize(service + 1, kMaxTokens);
  }
  return this->tokens[service];
}

void RetryBudget::OnSuccess(ServiceIndex service) {
  double& count = this->TokensOf(service);
  count = std::min(kMaxTokens, count + kTokensForSuccess);
}

bool RetryBudget::TryTake(ServiceIndex service) {
  double& count = this->TokensOf(service);
  if (count < 1) {
    return false;
  }
  count -= 1;
  return true;
}

}  // namespace hemlockdoor::decide
