// Prints what callers get when described loads are replayed on the planner.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/testing/load_replay.h"

namespace {

using hemlockdoor::batch::OverloadPolicy;
using hemlockdoor::batch::Planner;
using hemlockdoor::batch::testing::BookkeeperPattern;
using hemlockdoor::batch::testing::ClassResult;
using hemlockdoor::batch::testing::DrivePattern;
using hemlockdoor::batch::testing::LoadPattern;
using hemlockdoor::batch::testing::LoadReplay;
using hemlockdoor::batch::testing::PrintBureauPattern;
using hemlockdoor::batch::testing::RegistryPattern;
using hemlockdoor::batch::testing::ReplayResult;

LoadPattern PatternOf(const std::string& fleet, double load) {
  if (fleet == "print") {
    return PrintBureauPattern(load);
  }
  if (fleet == "print-known" || fleet == "books-known") {
    LoadPattern pattern = fleet == "print-known" ? PrintBureauPattern(load)
                                                 : BookkeeperPattern(load);
    pattern.knows_speeds = true;
    return pattern;
  }
  if (fleet == "books") {
    return BookkeeperPattern(load);
  }
  return fleet == "large" ? DrivePattern(load)
                          : RegistryPattern(fleet == "grown", load);
}

/// Number of jobs, and of those that ended within three times their objective.
struct ServedJobs {
  int jobs = 0;
  int served = 0;

  void Add(bool is_served) {
    ++this->jobs;
    this->served += is_served ? 1 : 0;
  }
  double Share() const {
    return this->jobs == 0 ? 1.0
                           : static_cast<double>(this->served) / this->jobs;
  }
};

/// Counts the jobs of a replay by organisation, and the widest tenth of each
/// queue.
void CountServed(const Planner& planner,
                 const ReplayResult& result,
                 std::map<std::string, ServedJobs>& by_organisation,
                 ServedJobs& widest,
                 ServedJobs& all) {
  using hemlockdoor::batch::TotalCoreEquivalents;
  std::map<std::string, std::vector<std::pair<double, bool>>> by_queue;
  for (const auto& [id, job] : planner.Jobs()) {
    const bool is_served = result.served.contains(id);
    by_organisation[job.record.organisation.Text()].Add(is_served);
    all.Add(is_served);
    by_queue[job.record.queue.Text()].emplace_back(
        TotalCoreEquivalents(job.record.spec), is_served);
  }
  constexpr std::size_t kTenth = 10;
  for (auto& [queue, jobs] : by_queue) {
    std::sort(jobs.rbegin(), jobs.rend());
    for (std::size_t i = 0; i < jobs.size() / kTenth; ++i) {
      widest.Add(jobs[i].second);
    }
  }
}

/// `with_admission` tells whether jobs may be rejected. Rejected jobs that the
/// same load served without rejections are counted as wrongly rejected.
void Print(const std::string& fleet,
           double load,
           int seeds,
           int first_seed,
           bool with_admission,
           OverloadPolicy policy) {
  std::map<std::string, ServedJobs> by_organisation;
  ServedJobs widest;
  ServedJobs all;
  std::map<std::string, ClassResult> sums;
  double wasted = 0;
  int stops = 0;
  int starts = 0;
  int rejections = 0;
  int rejected_jobs = 0;
  int wrongly_rejected = 0;
  double total_owed = 0;
  double total_earned = 0;
  for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
    LoadReplay replay(PatternOf(fleet, load), static_cast<std::uint64_t>(seed),
                      with_admission, policy);
    const ReplayResult result = replay.Run();
    CountServed(replay.GetPlanner(), result, by_organisation, widest, all);
    rejections += result.rejections;
    rejected_jobs += static_cast<int>(result.rejected.size());
    if (!result.rejected.empty()) {
      const ReplayResult without =
          LoadReplay(PatternOf(fleet, load), static_cast<std::uint64_t>(seed),
                     false, policy)
              .Run();
      wrongly_rejected += static_cast<int>(
          std::count_if(result.rejected.begin(), result.rejected.end(),
                        [&without](const auto& job) {
                          return without.served.contains(job);
                        }));
    }
    wasted += result.lost_core_seconds;
    stops += result.stops;
    starts += result.starts;
    for (const auto& [name, each] : result.classes) {
      ClassResult& sum = sums[name];
      sum.possible_credit += each.possible_credit;
      sum.earned_credit += each.earned_credit;
      sum.jobs += each.jobs;
      sum.in_objective += each.in_objective;
      sum.late += each.late;
      sum.unserved += each.unserved;
      sum.wait_ms += each.wait_ms;
      total_owed += each.possible_credit;
      total_earned += each.earned_credit;
    }
  }
  // The deployments' price of a core-second against the worth of their jobs.
  constexpr double kWastePrice = 0.0018;
  double worst = 1;
  for (const auto& [name, sum] : sums) {
    worst = std::min(worst, sum.earned_credit / sum.possible_credit);
  }
  std::cout << fleet << " load " << load << ": net "
            << (total_earned - kWastePrice * wasted) / total_owed << " earned "
            << total_earned / total_owed << " worst class " << worst
            << ", wasted core-s a seed " << wasted / seeds << ", stops "
            << stops / seeds << " of starts " << starts / seeds << " ("
            << static_cast<double>(stops) / starts << " a start)\n";
  double worst_organisation = 1;
  for (const auto& [name, served] : by_organisation) {
    worst_organisation = std::min(worst_organisation, served.Share());
  }
  std::cout << "  served within three objectives: all " << all.Share()
            << ", worst organisation " << worst_organisation
            << ", widest tenth of each queue " << widest.Share() << "\n";
  if (with_admission) {
    std::cout << "  rejections " << rejections << ", jobs never accepted "
              << rejected_jobs << ", of which served without rejections "
              << wrongly_rejected << "\n";
  }
  for (const auto& [name, sum] : sums) {
    std::cout << "  " << name << ": earned "
              << sum.earned_credit / sum.possible_credit << " jobs " << sum.jobs
              << " in " << sum.in_objective << " late " << sum.late
              << " unserved " << sum.unserved << " wait_ms "
              << sum.wait_ms / sum.jobs << "\n";
  }
}

}  // namespace

int main(int argument_count, char** arguments) {
  constexpr int kUsageError = 2;
  constexpr int kMinArguments = 4;
  bool with_admission = false;
  OverloadPolicy policy = OverloadPolicy::kPriority;
  int first_seed = 1;
  bool is_valid = argument_count >= kMinArguments;
  const std::string first_seed_option = "first-seed=";
  for (int i = kMinArguments; i < argument_count; ++i) {
    const std::string option = arguments[i];
    if (option == "admission") {
      with_admission = true;
    } else if (option == "caller-cost") {
      policy = OverloadPolicy::kCallerCost;
    } else if (option.starts_with(first_seed_option)) {
      first_seed = std::atoi(option.c_str() + first_seed_option.size());
    } else {
      is_valid = false;
    }
  }
  if (!is_valid) {
    std::cerr << "usage: batch_load_bench small|grown|large|print|books LOAD "
                 "SEEDS [admission] [caller-cost] [first-seed=SEED]\n";
    return kUsageError;
  }
  Print(arguments[1], std::atof(arguments[2]), std::atoi(arguments[3]),
        first_seed, with_admission, policy);
  return 0;
}
