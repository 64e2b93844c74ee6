// A worker is lost for good, and its agent is restarted soon after.
#include <signal.h>

#include <cstdio>
#include <stdexcept>

#include "review/support/checks.h"
#include "review/support/deployment.h"

namespace hemlockdoor::review {

namespace {

/// A seventh of the workers, below the share of 0.15.
constexpr int kWorkers = 7;
constexpr int kJobs = 8;
constexpr int kRunMs = 6000;
constexpr int kUntilRestartMs = 2000;
constexpr int kRestartPauseMs = 700;
constexpr int kFinishMs = 14000;

bool Play(const std::string& folder) {
  Deployment deployment({3, kWorkers}, folder);
  deployment.Start();
  for (int i = 0; i < kWorkers; ++i) {
    deployment.WorkerAt(static_cast<std::size_t>(i)).length =
        [](const std::string&, std::int64_t) { return kRunMs; };
  }
  std::vector<std::shared_ptr<Submission>> jobs;
  for (int i = 0; i < kJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0xb0 + i);
    jobs.push_back(
        deployment.Submit(id, JobOf("work", {{"count", 1},
                                             {"cpu", 26000},
                                             {"memMb", 100000},
                                             {"estimateMs", kRunMs}})));
    Run(100);
  }
  Run(500);
  std::size_t busiest = 0;
  for (std::size_t w = 0; w < deployment.WorkerCount(); ++w) {
    if (deployment.WorkerAt(w).RunningCount() >
        deployment.WorkerAt(busiest).RunningCount()) {
      busiest = w;
    }
  }
  if (deployment.WorkerAt(busiest).RunningCount() == 0) {
    throw std::runtime_error("no task runs");
  }
  if (WithTrouble()) {
    deployment.WorkerAt(busiest).Crash();
    Run(kUntilRestartMs);
    deployment.Agent(busiest).Restart(&deployment, SIGTERM, kRestartPauseMs);
  }
  Run(kFinishMs);
  bool held = true;
  for (const auto& job : jobs) {
    if (!job->WasAccepted()) {
      continue;
    }
    const std::string state = deployment.StateOf(job->id);
    if (state != "completed") {
      held = !StandsStill(deployment, job->id + ".0.0.0") && held;
    }
  }
  return held;
}

}  // namespace

}  // namespace hemlockdoor::review

int main(int argc, char** argv) {
  return hemlockdoor::review::RunCase(argc, argv, hemlockdoor::review::Play);
}
