// Time and memory of the estimates of worker speeds, by the size of the fleet.
// Each worker has 8 active runs, as at the target of 7,200 workers with 61,000
// tasks, of jobs of 39 siblings.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "modules/batch/planner/worker_speeds.h"

namespace hemlockdoor::bench {

namespace {

using batch::RunSample;
using batch::WorkerSpeeds;

constexpr int kRunsPerWorker = 8;
constexpr int kSiblings = 39;

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

/// A fleet whose workers are slow in a third of the cases.
class SampledFleet {
 public:
  explicit SampledFleet(int worker_count) : workers(worker_count) {
    for (int worker = 0; worker < worker_count; ++worker) {
      batch::WorkerDescription description;
      description.identity.id =
          batch::WorkerId("worker-" + std::to_string(worker));
      description.rack = core::RackId("rack-" + std::to_string(worker / 8));
      this->speeds.OnWorker(AgentOf(worker), description);
    }
  }

  /// Ends the runs of all workers, as the start of the next ones, `count`
  /// times.
  void EndRuns(int count) {
    for (int i = 0; i < count; ++i) {
      for (int run = 0; run < this->workers * kRunsPerWorker; ++run) {
        this->speeds.OnRunEnded(this->Sample(run, 100));
      }
      this->first_run += this->workers * kRunsPerWorker;
      this->Refresh();
    }
  }
  /// Returns the samples of one report of each worker.
  std::vector<RunSample> MakeReports(int percent) {
    std::vector<RunSample> samples;
    for (int run = 0; run < this->workers * kRunsPerWorker; ++run) {
      samples.push_back(this->Sample(run, percent));
    }
    return samples;
  }
  void Report(const std::vector<RunSample>& samples) {
    for (const RunSample& sample : samples) {
      this->speeds.OnProgress(sample);
    }
  }
  void Refresh() {
    this->now = this->now + core::Duration::Seconds(10);
    this->speeds.Refresh(this->now);
  }

 private:
  static core::AgentId AgentOf(int worker) {
    return core::AgentId("agent-" + std::to_string(worker));
  }

  RunSample Sample(int run, int percent) {
    const int number = this->first_run + run;
    // Coprime to the numbers of workers.
    constexpr int kStride = 11;
    const int worker = number * kStride % this->workers;
    RunSample sample;
    sample.agent = AgentOf(worker);
    sample.key = {{core::JobId("job-" + std::to_string(number / kSiblings)), 0,
                   0, number % kSiblings},
                  1};
    sample.queue = batch::QueueName("queue");
    constexpr double kRunMs = 5000;
    const double factor = worker % 3 == 0 ? 1.7 : 0.7;
    sample.elapsed = core::Duration::Milliseconds(static_cast<std::int64_t>(
        kRunMs * factor * percent / 100 *
        std::exp(std::normal_distribution<>(0, 0.3)(this->random))));
    sample.percent = percent;
    return sample;
  }

  int workers;
  std::mt19937_64 random;
  int first_run = 0;
  core::TimePoint now = core::TimePoint::FromMilliseconds(1'000'000);
  WorkerSpeeds speeds;
};

/// Time of all reports of a second, without the fits.
void MeasureReports(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  SampledFleet fleet(workers);
  fleet.EndRuns(3);
  const std::vector<RunSample> samples = fleet.MakeReports(50);
  for (auto _ : state) {
    fleet.Report(samples);
  }
  state.SetItemsProcessed(state.iterations() * workers);
}

/// Time of one fit, and memory.
void MeasureRefresh(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  const std::size_t before = HeapBytes();
  SampledFleet fleet(workers);
  fleet.EndRuns(3);
  for (auto _ : state) {
    state.PauseTiming();
    fleet.Report(fleet.MakeReports(50));
    state.ResumeTiming();
    fleet.Refresh();
  }
  state.counters["bytes_per_worker"] =
      static_cast<double>(HeapBytes() - before) / workers;
  state.SetItemsProcessed(state.iterations() * workers);
}

BENCHMARK(MeasureReports)
    ->Arg(63)
    ->Arg(720)
    ->Arg(7200)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(MeasureRefresh)
    ->Arg(63)
    ->Arg(720)
    ->Arg(7200)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace hemlockdoor::bench

BENCHMARK_MAIN();
