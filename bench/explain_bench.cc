// Time and memory of `Planner::Explain`, beside the time of `Planner::Decide`,
// by the size of the fleet.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::bench {

namespace {

using batch::testing::MakeJob;
using batch::testing::MakeStep;
using batch::testing::MakeWorker;
using batch::testing::SimulatedFleet;

constexpr int kCalls = 9;
constexpr int kTasksPerJob = 10;

/// Returns the median time of a call in milliseconds.
template <typename Call>
double MedianMs(Call&& call) {
  std::vector<double> times;
  for (int i = 0; i < kCalls; ++i) {
    const auto start = std::chrono::steady_clock::now();
    call();
    times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - start)
                        .count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

/// Returns the largest resident size of the process so far, in MB.
double PeakMb() {
  constexpr double kKbPerMb = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / kKbPerMb;
}

int Run(int workers, int tasks) {
  std::vector<batch::WorkerDescription> descriptions;
  for (int i = 0; i < workers; ++i) {
    descriptions.push_back(MakeWorker(
        "w" + std::to_string(i), "r" + std::to_string(i % (1 + workers / 40))));
  }
  SimulatedFleet fleet(descriptions);
  for (int i = 0; i < tasks / kTasksPerJob; ++i) {
    fleet.planner.AddJob(MakeJob("j" + std::to_string(i),
                                 {MakeStep(kTasksPerJob, {500, 1000, 0})}),
                         fleet.now);
  }
  fleet.Settle();
  fleet.planner.AddJob(MakeJob("asked", {MakeStep(4, {64000, 1000, 8})}),
                       fleet.now);
  batch::ExplainRequest request;
  request.job = core::JobId("asked");
  const std::int64_t wall_ms = fleet.now.InMilliseconds();
  const double before_mb = PeakMb();
  const double explain_ms = MedianMs([&fleet, &request, wall_ms] {
    if (!fleet.planner.Explain(request, fleet.now, wall_ms)) {
      std::cerr << "no explanation\n";
    }
  });
  const double after_mb = PeakMb();
  const double decide_ms =
      MedianMs([&fleet, wall_ms] { fleet.planner.Decide(fleet.now, wall_ms); });
  std::cout << "workers=" << workers << " tasks=" << fleet.Active().size()
            << " explain_ms=" << explain_ms << " decide_ms=" << decide_ms
            << " peak_before_mb=" << before_mb << " peak_after_mb=" << after_mb
            << "\n";
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace hemlockdoor::bench

int main(int argument_count, char** arguments) {
  if (argument_count != 3) {
    std::cerr << "usage: explain_bench WORKERS TASKS\n";
    return EXIT_FAILURE;
  }
  return hemlockdoor::bench::Run(std::atoi(arguments[1]),
                                 std::atoi(arguments[2]));
}
