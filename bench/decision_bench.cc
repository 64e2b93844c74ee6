// Time and memory of single decisions, by the size of the fleet. The counters
// p50_us and p99_us are of single operations.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <random>

#include "bench/support/allocations.h"
#include "bench/support/scenario.h"
#include "modules/batch/testing/busy_planner.h"

namespace hemlockdoor::bench {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kTeams = 130;

/// A fleet of target workers that is nearly full of running jobs.
class BusyFleet {
 public:
  explicit BusyFleet(int workers)
      : scheduler(*decide::Scheduler::Create({})),
        teams(std::min(kTeams, std::max(1, workers / 10))) {
    for (int i = 0; i < workers; ++i) {
      this->scheduler.UpsertWorker(MakeTargetWorker(i), this->now);
    }
    this->catalogue = MakeTargetCatalogue(this->teams, workers);
    this->scheduler.ApplyCatalogue(this->catalogue, this->now);
    this->now = this->now + core::Duration::Seconds(10);
    const int accelerators = workers * 5 / 2;
    // Gangs of 4 x 2 and single tasks on 90 % of the accelerators.
    for (int used = 0; used < accelerators * 9 / 10;) {
      const model::GangShape shape = this->RandomShape();
      this->Submit(shape);
      used += shape.TotalAccelerators();
    }
    this->Plan();
    // Tasks without accelerators: 61,000 in all at the target's size.
    for (int i = 0; i < workers * 6; ++i) {
      this->Submit({1, 0});
    }
    this->Plan();
  }

  core::JobId Submit(model::GangShape shape) {
    const model::JobDescription job =
        MakeJob(this->next_job++, this->Draw(this->teams), shape);
    const auto submitted = this->scheduler.Submit(job, this->now);
    benchmark::DoNotOptimize(submitted);
    return job.id;
  }
  std::size_t Plan() {
    std::size_t started = 0;
    for (std::vector<decide::Decision> decisions =
             this->scheduler.Plan(this->now);
         !decisions.empty(); decisions = this->scheduler.Plan(this->now)) {
      for (const decide::Decision& decision : decisions) {
        if (const auto* start = std::get_if<decide::StartDecision>(&decision)) {
          this->running.push_back(start->job);
          this->scheduler.OnStarted(start->job, this->now);
          ++started;
        }
      }
    }
    return started;
  }
  /// Ends some running jobs, to keep room.
  void EndSome(std::size_t count) {
    for (std::size_t i = 0; i < count && !this->running.empty(); ++i) {
      const std::size_t at = this->random() % this->running.size();
      std::swap(this->running[at], this->running.back());
      this->scheduler.OnEnded(this->running.back(), model::JobOutcome::kDone,
                              std::nullopt, this->now);
      this->running.pop_back();
    }
  }
  model::GangShape RandomShape() {
    const int kind = this->Draw(10);
    if (kind < 2) {
      return {4, 2, model::Adjacency::kWorker};
    }
    return kind < 6 ? model::GangShape{1, 2, model::Adjacency::kWorker}
                    : model::GangShape{1, 1, model::Adjacency::kAny};
  }
  int Draw(int bound) {
    return static_cast<int>(this->random() % static_cast<unsigned>(bound));
  }

  decide::Scheduler scheduler;
  core::TimePoint now = core::TimePoint::FromMilliseconds(1000);
  model::Catalogue catalogue;
  std::deque<core::JobId> running;

 private:
  std::mt19937_64 random{42};
  int teams;
  std::uint64_t next_job = 0;
};

/// Collects times of single operations.
class Samples {
 public:
  template <typename Operation>
  void Time(benchmark::State& state, Operation&& operation) {
    const auto start = SteadyClock::now();
    operation();
    const double seconds =
        std::chrono::duration<double>(SteadyClock::now() - start).count();
    state.SetIterationTime(seconds);
    this->microseconds.push_back(seconds * 1e6);
  }
  void Report(benchmark::State& state) {
    std::sort(this->microseconds.begin(), this->microseconds.end());
    const std::size_t count = this->microseconds.size();
    state.counters["p50_us"] = this->microseconds[count / 2];
    state.counters["p99_us"] = this->microseconds[count * 99 / 100];
    state.counters["max_us"] = this->microseconds.back();
  }

 private:
  std::vector<double> microseconds;
};

void Placement(benchmark::State& state) {
  BusyFleet fleet(static_cast<int>(state.range(0)));
  Samples samples;
  std::size_t started = 0;
  for (auto iteration : state) {
    fleet.EndSome(1);
    fleet.now = fleet.now + core::Duration::Milliseconds(50);
    const model::GangShape shape = fleet.RandomShape();
    samples.Time(state, [&]() {
      fleet.Submit(shape);
      started += fleet.Plan();
    });
  }
  samples.Report(state);
  state.counters["started"] = static_cast<double>(started);
  state.counters["queued"] = static_cast<double>(fleet.scheduler.QueuedCount());
}

void ShortPlacement(benchmark::State& state) {
  BusyFleet fleet(static_cast<int>(state.range(0)));
  Samples samples;
  for (auto iteration : state) {
    fleet.EndSome(2);
    fleet.now = fleet.now + core::Duration::Milliseconds(1);
    samples.Time(state, [&]() {
      fleet.Submit({1, 0});
      fleet.Plan();
    });
  }
  samples.Report(state);
}

void Cancellation(benchmark::State& state) {
  BusyFleet fleet(static_cast<int>(state.range(0)));
  // Gangs that cannot start keep the queue long.
  std::vector<core::JobId> queued;
  constexpr int kQueued = 10'000;
  for (int i = 0; i < kQueued; ++i) {
    queued.push_back(fleet.Submit({8, 2, model::Adjacency::kSpread}));
  }
  fleet.Plan();
  Samples samples;
  for (auto iteration : state) {
    const auto at = static_cast<std::size_t>(fleet.Draw(kQueued));
    const core::JobId id = queued[at];
    samples.Time(state, [&]() {
      benchmark::DoNotOptimize(fleet.scheduler.Cancel(id, fleet.now));
    });
    queued[at] = fleet.Submit({8, 2, model::Adjacency::kSpread});
  }
  samples.Report(state);
}

void CatalogueEdit(benchmark::State& state) {
  BusyFleet fleet(static_cast<int>(state.range(0)));
  Samples samples;
  int edit = 0;
  for (auto iteration : state) {
    model::CatalogueEntry& entry = fleet.catalogue.entries.begin()->second;
    entry.guarantees.back().count += ++edit % 2 == 0 ? -1 : 1;
    samples.Time(state, [&]() {
      fleet.scheduler.ApplyCatalogue(fleet.catalogue, fleet.now);
      fleet.Plan();
    });
  }
  samples.Report(state);
}

void GuaranteeCheck(benchmark::State& state) {
  BusyFleet fleet(static_cast<int>(state.range(0)));
  Samples samples;
  for (auto iteration : state) {
    samples.Time(state, [&]() {
      const auto checked = fleet.scheduler.CheckGuarantees(fleet.catalogue);
      benchmark::DoNotOptimize(checked.has_value());
    });
  }
  samples.Report(state);
}

/// Heap that the state takes, with all jobs running.
void StateMemory(benchmark::State& state) {
  double megabytes = 0;
  for (auto iteration : state) {
    const std::size_t before = mallinfo2().uordblks;
    const BusyFleet fleet(static_cast<int>(state.range(0)));
    megabytes =
        static_cast<double>(mallinfo2().uordblks - before) / (1024 * 1024);
    state.counters["jobs"] = static_cast<double>(fleet.running.size());
  }
  state.counters["MB"] = megabytes;
}

/// Sizes and work of the first measurement of `PlannerDecide`, to which the
/// second one is compared.
struct DecideMeasurement {
  double tasks = 0;
  double p50_us = 0;
  double work = 0;
};
DecideMeasurement smaller;

/// One `batch::Planner::Decide` with a given number of workers and of open
/// tasks, running and waiting, of the drive service's classes.
void PlannerDecide(benchmark::State& state) {
  const int tasks = static_cast<int>(state.range(1));
  batch::testing::BusyPlanner planner(
      batch::testing::DrivePatternOn(static_cast<int>(state.range(0))), tasks,
      1);
  planner.WarmUp();
  Samples samples;
  std::uint64_t allocated = 0;
  const batch::DecisionWork before = planner.GetPlanner().Work();
  for (auto iteration : state) {
    planner.Advance();
    std::vector<batch::AgentOrders> orders;
    const std::uint64_t allocated_before = CountAllocations();
    samples.Time(state, [&]() { orders = planner.Decide(); });
    allocated += CountAllocations() - allocated_before;
    planner.CarryOut(orders);
  }
  samples.Report(state);
  const batch::DecisionWork after = planner.GetPlanner().Work();
  const auto calls = static_cast<double>(state.iterations());
  const auto per_call = [calls](std::uint64_t total, std::uint64_t earlier) {
    return static_cast<double>(total - earlier) / calls;
  };
  state.counters["allocations"] = per_call(allocated, 0);
  state.counters["running"] = static_cast<double>(planner.RunningTasks());
  state.counters["tried"] = per_call(after.units_tried, before.units_tried);
  state.counters["placing"] =
      per_call(after.workers_placing, before.workers_placing);
  state.counters["reserving"] =
      per_call(after.workers_reserving, before.workers_reserving);
  state.counters["preempting"] =
      per_call(after.workers_preempting, before.workers_preempting);
  state.counters["victims"] =
      per_call(after.units_preempting, before.units_preempting);
  const double work = per_call(after.Total(), before.Total());
  if (smaller.tasks > 0) {
    const double sizes = std::log(tasks / smaller.tasks);
    state.counters["growth_time"] =
        std::log(state.counters["p50_us"] / smaller.p50_us) / sizes;
    state.counters["growth_work"] = std::log(work / smaller.work) / sizes;
  }
  smaller = {static_cast<double>(tasks), state.counters["p50_us"], work};
}

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->Arg(10)->Arg(100)->Arg(1000)->Arg(7200)->UseManualTime();
  bench->Unit(benchmark::kMicrosecond);
}

BENCHMARK(Placement)->Apply(Sizes)->Iterations(4000);
BENCHMARK(ShortPlacement)->Apply(Sizes)->Iterations(4000);
BENCHMARK(Cancellation)->Apply(Sizes)->Iterations(4000);
BENCHMARK(CatalogueEdit)->Apply(Sizes)->Iterations(500);
BENCHMARK(GuaranteeCheck)->Apply(Sizes)->Iterations(10);
BENCHMARK(PlannerDecide)
    ->Args({160, 5'000})
    ->Args({1'000, 30'000})
    ->Iterations(100)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(StateMemory)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(7200)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace hemlockdoor::bench

BENCHMARK_MAIN();
