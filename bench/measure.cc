// Replays the workloads through the scheduler and the baselines and prints one
// JSON object for each measure (docs/design.md, sections 4.8 and 5).
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <functional>
#include <iostream>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/support/baseline.h"
#include "bench/support/replay.h"

namespace hemlockdoor::bench {

namespace {

constexpr const char* kProduct = "hemlockdoor";
constexpr const char* kGreedy = "first_come_first_fit";

/// Results of one workload, by name of the scheduler.
using Results = std::map<std::string, ReplayResult>;

/// The scheduler under the interface of the replay.
struct Product {
  Product(const decide::SchedulerOptions& options, const Workload& workload)
      : scheduler(*decide::Scheduler::Create(options)) {
    const core::TimePoint start;
    for (const decide::WorkerView& worker : workload.workers) {
      this->scheduler.UpsertWorker(worker, start);
    }
    this->scheduler.ApplyCatalogue(workload.catalogue, start);
  }
  SubmitAnswer Submit(const model::JobDescription& job, core::TimePoint now) {
    const auto submitted = this->scheduler.Submit(job, now);
    if (submitted) {
      return {};
    }
    return {false, submitted.error().retry_after.InMilliseconds()};
  }
  bool Cancel(const core::JobId& job, core::TimePoint now) {
    return this->scheduler.Cancel(job, now);
  }
  std::vector<decide::Decision> Plan(core::TimePoint now) {
    return this->scheduler.Plan(now);
  }
  void OnStarted(const core::JobId& job, core::TimePoint now) {
    this->scheduler.OnStarted(job, now);
  }
  void OnEnded(const core::JobId& job,
               model::JobOutcome outcome,
               const std::optional<core::AgentId>& failed_on,
               core::TimePoint now) {
    this->scheduler.OnEnded(job, outcome, failed_on, now);
  }
  decide::Scheduler scheduler;
};

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  std::sort(values.begin(), values.end());
  const auto at = static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1) + 0.5);
  return values[at];
}

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? std::numeric_limits<double>::quiet_NaN()
                        : sum / static_cast<double>(values.size());
}

enum class Better { kLower, kHigher };

/// Prints the rows of one workload.
class Rows {
 public:
  Rows(std::string workload_name, std::uint64_t used_seed)
      : name(std::move(workload_name)), seed(used_seed) {}

  /// `target_of` makes the target from the best baseline; empty: no target.
  void Print(const Results& results,
             const std::string& measure,
             const std::string& unit,
             Better better,
             const std::function<double(const ReplayResult&)>& value,
             const std::function<double(double)>& target_of = {},
             const char* only_baseline = nullptr) const {
    std::string best_name;
    double best = std::numeric_limits<double>::quiet_NaN();
    for (const auto& [scheduler, result] : results) {
      if (scheduler == kProduct ||
          (only_baseline != nullptr && scheduler != only_baseline)) {
        continue;
      }
      const double other = value(result);
      // Not a number: nothing of this kind came to an end.
      if (std::isnan(other)) {
        continue;
      }
      const bool is_better =
          better == Better::kLower ? other < best : other > best;
      if (best_name.empty() || is_better) {
        best = other;
        best_name = scheduler;
      }
    }
    const double own = value(results.at(kProduct));
    nlohmann::ordered_json row;
    row["measure"] = this->name + "." + measure;
    row["value"] = own;
    row["unit"] = unit;
    row["baseline"] = best;
    row["baseline_name"] = best_name;
    row["target"] = nullptr;
    row["better"] = better == Better::kLower ? "lower" : "higher";
    row["met"] = nullptr;
    row["seed"] = this->seed;
    if (target_of) {
      const double target = target_of(best);
      row["target"] = target;
      row["met"] = better == Better::kLower ? own <= target : own >= target;
    }
    std::cout << row.dump() << std::endl;
  }

 private:
  std::string name;
  std::uint64_t seed;
};

std::function<double(double)> Fixed(double target) {
  return [target](double /*best*/) { return target; };
}

std::function<double(double)> Times(double factor) {
  return [factor](double best) { return best * factor; };
}

template <typename Pick>
std::function<double(const ReplayResult&)> P99(Pick pick) {
  return [pick](const ReplayResult& result) {
    return Percentile(pick(result), 0.99);
  };
}

class Measurement {
 public:
  Measurement(std::uint64_t used_seed, bool short_runs, decide::Policy rules)
      : seed(used_seed), quick(short_runs), policy(rules) {}

  void Run(const std::string& name) {
    const Results normal = this->Replay({name, this->seed, true, false});
    const Rows rows(name, this->seed);
    this->PrintCompletion(rows, normal);
    this->PrintGuarantees(rows, normal);
    if (name == "target") {
      return;
    }
    const Results peak = this->Replay({name, this->seed, true, true});
    const Results only_short = this->Replay({name, this->seed, false, false});
    this->PrintPeak(rows, peak);
    this->PrintHeadOfLine(rows, normal, only_short);
  }

 private:
  Results Replay(WorkloadSpec spec) const {
    spec.quick = this->quick;
    const Workload workload = WorkloadMaker(spec).Make();
    Results results;
    decide::SchedulerOptions options;
    options.seed = this->seed;
    options.policy = this->policy;
    Product product(options, workload);
    results[kProduct] = bench::Replay(workload, product).Run();
    const std::pair<BaselineKind, const char*> baselines[] = {
        {BaselineKind::kFirstCome, kGreedy},
        {BaselineKind::kStrictQuota, "strict_quota"},
        {BaselineKind::kShortestDeclared, "shortest_declared"}};
    for (const auto& [kind, name] : baselines) {
      Baseline baseline(kind, workload.workers, workload.catalogue);
      results[name] = bench::Replay(workload, baseline).Run();
    }
    return results;
  }

  void PrintCompletion(const Rows& rows, const Results& results) const {
    const std::pair<WorkKind, const char*> kinds[] = {
        {WorkKind::kShort, "short"},
        {WorkKind::kLong, "long"},
        {WorkKind::kGang, "large_gang"}};
    for (const auto& [kind, label] : kinds) {
      const auto index = static_cast<std::size_t>(kind);
      if (results.at(kGreedy).wait_ms[index].empty()) {
        continue;
      }
      const std::string prefix = std::string(label) + "_completion_";
      const auto times = [index](const ReplayResult& result) {
        return result.completion_ms[index];
      };
      rows.Print(results, prefix + "mean", "ms", Better::kLower,
                 [times](const ReplayResult& r) { return Mean(times(r)); });
      rows.Print(
          results, prefix + "p50", "ms", Better::kLower,
          [times](const ReplayResult& r) { return Percentile(times(r), 0.5); });
      rows.Print(results, prefix + "p99", "ms", Better::kLower, P99(times));
    }
    rows.Print(results, "fragmentation", "share", Better::kLower,
               [](const ReplayResult& r) { return Mean(r.fragmentation); });
    rows.Print(
        results, "utilisation", "share", Better::kHigher,
        [](const ReplayResult& r) { return r.busy_ms / r.available_ms; },
        Times(0.97), kGreedy);
    rows.Print(results, "large_gang_wait_p99", "ms", Better::kLower,
               P99([](const ReplayResult& r) {
                 return r.wait_ms[static_cast<std::size_t>(WorkKind::kGang)];
               }),
               Times(0.5));
  }

  void PrintGuarantees(const Rows& rows, const Results& results) const {
    rows.Print(
        results, "guarantee_misses", "jobs", Better::kLower,
        [](const ReplayResult& r) { return double(r.guarantee_misses); },
        Fixed(0));
    rows.Print(
        results, "reclaim_p99", "ms", Better::kLower,
        P99([](const ReplayResult& r) {
          return r.first_start_ms[static_cast<std::size_t>(WorkKind::kUrgent)];
        }),
        Fixed(5700));
    rows.Print(results, "lost_work", "share", Better::kLower,
               [](const ReplayResult& r) {
                 return r.lost_ms / std::max(1.0, r.busy_ms + r.lost_ms);
               });
    rows.Print(results, "impossible_refused", "share", Better::kHigher,
               [](const ReplayResult& r) {
                 return double(r.refused_impossible) /
                        std::max(1, r.impossible);
               });
  }

  void PrintPeak(const Rows& rows, const Results& results) const {
    rows.Print(results, "peak_in_deadline", "share of accepted short work",
               Better::kHigher, [](const ReplayResult& r) {
                 return double(r.peak_in_time) / std::max(1, r.peak_accepted);
               });
    rows.Print(
        results, "peak_goodput", "share of capacity", Better::kHigher,
        [](const ReplayResult& r) {
          return r.peak_good_ms / std::max(1.0, r.peak_slot_ms);
        },
        Fixed(0.95));
  }

  void PrintHeadOfLine(const Rows& rows,
                       const Results& with_long,
                       const Results& without) const {
    const auto completion = P99([](const ReplayResult& r) {
      return r.completion_ms[static_cast<std::size_t>(WorkKind::kShort)];
    });
    const auto wait = P99([](const ReplayResult& r) {
      return r.wait_ms[static_cast<std::size_t>(WorkKind::kShort)];
    });
    rows.Print(with_long, "short_wait_p99_with_long", "ms", Better::kLower,
               wait);
    // The ratio is taken against the same scheduler without long work.
    const double alone = completion(without.at(kProduct));
    rows.Print(
        with_long, "short_p99_ratio_with_long", "ratio", Better::kLower,
        [&](const ReplayResult& r) { return completion(r) / alone; },
        Fixed(1.2));
  }

  std::uint64_t seed;
  bool quick;
  decide::Policy policy;
};

/// Switches one mechanism off by its name; false when there is none.
bool SwitchOff(decide::Policy& policy, const std::string& name) {
  const std::map<std::string, bool decide::Policy::*> switches = {
      {"guarantees", &decide::Policy::guarantees},
      {"lending", &decide::Policy::lending},
      {"reservations", &decide::Policy::reservations},
      {"compaction", &decide::Policy::compaction},
      {"short_lane", &decide::Policy::short_lane},
      {"fair_share", &decide::Policy::fair_share},
      {"shedding", &decide::Policy::shedding},
      {"drop_stale", &decide::Policy::drop_stale},
      {"concurrency_limit", &decide::Policy::concurrency_limit},
      {"retry_budget", &decide::Policy::retry_budget},
      {"quarantine", &decide::Policy::quarantine}};
  const auto found = switches.find(name);
  if (found == switches.end()) {
    return false;
  }
  policy.*(found->second) = false;
  return true;
}

}  // namespace

}  // namespace hemlockdoor::bench

int main(int argc, char** argv) {
  bool quick = false;
  std::uint64_t seed = 1;
  std::string only;
  hemlockdoor::decide::Policy policy;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--quick") {
      quick = true;
    } else if (argument == "--seed" && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else if (argument == "--workload" && i + 1 < argc) {
      only = argv[++i];
    } else if (argument == "--without" && i + 1 < argc &&
               hemlockdoor::bench::SwitchOff(policy, argv[i + 1])) {
      ++i;
    } else {
      std::fprintf(
          stderr,
          "usage: measure [--quick] [--seed N] [--workload A|B|target] "
          "[--without MECHANISM]\n");
      return 2;
    }
  }
  hemlockdoor::bench::Measurement measurement(seed, quick, policy);
  for (const char* workload : {"A", "B", "target"}) {
    if (!only.empty() && only != workload) {
      continue;
    }
    const auto begin = std::chrono::steady_clock::now();
    measurement.Run(workload);
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - begin;
    std::fprintf(stderr, "workload %s took %.1f s\n", workload, taken.count());
  }
  return 0;
}
