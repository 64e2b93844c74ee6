#include "modules/decide/limits/concurrency_limit.h"

#include <algorithm>

namespace hemlockdoor::decide {

int ConcurrencyLimit::OnRefused(WorkerIndex worker, int limit) {
  if (worker < this->successes.size()) {
    this->successes[worker] = 0;
  }
  return std::max(1, limit * 3 / 4);
}

int ConcurrencyLimit::OnSuccess(WorkerIndex worker, int limit, int slots) {
  if (limit >= slots) {
    return limit;
  }
  if (worker >= this->successes.size()) {
    this->successes.resize(worker + 1);
  }
  if (++this->successes[worker] < limit) {
    return limit;
  }
  this->successes[worker] = 0;
  return limit + 1;
}

}  // namespace hemlockdoor::decide
