// The store is down while many short tasks end on one worker.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <string>

#include "review/support/checks.h"
#include "review/support/deployment.h"

namespace hemlockdoor::review {

namespace {

constexpr int kJobs = 12;
/// The widest step on the deployments has 55 tasks.
constexpr int kTasks = 55;
constexpr int kOutageMs = 4200;
constexpr int kShortestRunMs = 2200;
constexpr int kRunSpreadMs = 2000;

bool Play(const std::string& folder) {
  Deployment deployment({3, 3}, folder);
  deployment.Start();
  for (std::size_t i = 0; i < deployment.WorkerCount(); ++i) {
    deployment.WorkerAt(i).length = [](const std::string& task, std::int64_t) {
      return kShortestRunMs +
             static_cast<int>(std::hash<std::string>()(task) % kRunSpreadMs);
    };
  }
  for (int i = 0; i < kJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0xe0 + i);
    deployment.Submit(id, JobOf("work", {{"count", kTasks},
                                         {"cpu", 90},
                                         {"memMb", 100},
                                         {"estimateMs", 3200}}));
  }
  Store& store = *deployment.store;
  bool down = false;
  store.fate = [&](const Request&) {
    return down ? StoreFate::kRefuse : StoreFate::kServe;
  };
  const auto all_begun = [&deployment] {
    return deployment.history.size() >=
           std::size_t{kJobs} * std::size_t{kTasks};
  };
  RunUntil(all_begun, 10000);
  if (WithTrouble()) {
    deployment.record.Line("store: down");
    down = true;
    store.leases_paused = true;
    store.CutWatches();
    Run(kOutageMs);
    deployment.record.Line("store: up again");
    down = false;
    store.leases_paused = false;
  }
  Run(20000);
  std::size_t most = 0;
  for (std::size_t i = 0; i < deployment.WorkerCount(); ++i) {
    most = std::max(most, deployment.WorkerAt(i).MostOpenEnds());
  }
  deployment.record.Line("check: at most " + std::to_string(most) +
                         " ends of one worker waited to be acknowledged");
  constexpr std::size_t kEndsPerListing = 500;
  if (WithTrouble() && most <= kEndsPerListing) {
    throw std::runtime_error("too few tasks ended during the outage");
  }
  return CountTwice(deployment) == 0;
}

}  // namespace

}  // namespace hemlockdoor::review

int main(int argc, char** argv) {
  return hemlockdoor::review::RunCase(argc, argv, hemlockdoor::review::Play);
}
