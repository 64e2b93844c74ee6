// Prints what callers get when described loads are replayed on the planner.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

#include "modules/batch/testing/load_replay.h"

namespace {

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
  if (fleet == "books") {
    return BookkeeperPattern(load);
  }
  return fleet == "large" ? DrivePattern(load)
                          : RegistryPattern(fleet == "grown", load);
}

void Print(const std::string& fleet, double load, int seeds) {
  std::map<std::string, ClassResult> sums;
  double wasted = 0;
  int stops = 0;
  int starts = 0;
  double total_owed = 0;
  double total_earned = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const ReplayResult result =
        LoadReplay(PatternOf(fleet, load), static_cast<std::uint64_t>(seed))
            .Run();
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
  if (argument_count != 4) {
    std::cerr
        << "usage: batch_load_bench small|grown|large|print|books LOAD SEEDS\n";
    return kUsageError;
  }
  Print(arguments[1], std::atof(arguments[2]), std::atoi(arguments[3]));
  return 0;
}
