// A worker carries out a start late, and its agent is stopped and started.
#include <signal.h>

#include <cstdio>
#include <stdexcept>

#include "review/support/checks.h"
#include "review/support/deployment.h"

namespace hemlockdoor::review {

namespace {

constexpr int kJobs = 20;
constexpr int kJobIntervalMs = 400;
constexpr int kRunMs = 7200;
/// The start of this job is carried out late.
constexpr int kLateJob = 12;
constexpr int kLateMs = 3000;
/// Before the agent sends the start again, which it does after 250 ms.
constexpr int kUntilRestartMs = 100;
constexpr int kRestartPauseMs = 500;

std::string IdOf(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0xd0 + number);
  return id;
}

bool Play(const std::string& folder) {
  Deployment deployment({3, 3}, folder);
  deployment.Start();
  const std::string late_task = IdOf(kLateJob) + ".0.0.0";
  bool was_late = false;
  for (std::size_t i = 0; i < deployment.WorkerCount(); ++i) {
    Worker& worker = deployment.WorkerAt(i);
    worker.length = [](const std::string&, std::int64_t) { return kRunMs; };
    worker.fate = [&, i](const std::string& task, std::int64_t) {
      if (!WithTrouble() || was_late || task != late_task) {
        return StartFate();
      }
      was_late = true;
      Later(&deployment, kUntilRestartMs, [&deployment, i] {
        deployment.Agent(i).Restart(&deployment, SIGTERM, kRestartPauseMs);
      });
      return StartFate{kLateMs};
    };
  }
  for (int i = 0; i < kJobs; ++i) {
    deployment.Submit(IdOf(i), JobOf("work", {{"count", 1},
                                              {"cpu", 7500},
                                              {"memMb", 1000},
                                              {"estimateMs", kRunMs}}));
    Run(kJobIntervalMs);
  }
  Run(15000);
  if (WithTrouble() && !was_late) {
    throw std::runtime_error("no start was carried out late");
  }
  return CountTwice(deployment) == 0;
}

}  // namespace

}  // namespace hemlockdoor::review

int main(int argc, char** argv) {
  return hemlockdoor::review::RunCase(argc, argv, hemlockdoor::review::Play);
}
