// Prints what callers get when described loads are replayed on the planner.
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/testing/load_replay.h"

namespace {

using hemlockdoor::batch::testing::BookkeeperPattern;
using hemlockdoor::batch::testing::ClassResult;
using hemlockdoor::batch::testing::DrivePattern;
using hemlockdoor::batch::testing::JobSize;
using hemlockdoor::batch::testing::LoadPattern;
using hemlockdoor::batch::testing::LoadReplay;
using hemlockdoor::batch::testing::Percentile;
using hemlockdoor::batch::testing::PrintBureauPattern;
using hemlockdoor::batch::testing::RegistryPattern;
using hemlockdoor::batch::testing::ReplayResult;
using hemlockdoor::batch::testing::ValueShare;

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

/// What is replayed.
struct Arguments {
  std::string fleet;
  double load = 1;
  int seeds = 1;
  int first_seed = 1;
  bool with_admission = false;
};

/// Returns nullopt if the arguments are not understood.
std::optional<Arguments> Parse(const std::vector<std::string>& words) {
  constexpr std::size_t kRequired = 3;
  const std::string first_seed = "first-seed=";
  if (words.size() < kRequired) {
    return std::nullopt;
  }
  Arguments arguments{words[0], std::atof(words[1].c_str()),
                      std::atoi(words[2].c_str())};
  for (std::size_t i = kRequired; i < words.size(); ++i) {
    if (words[i] == "admission") {
      arguments.with_admission = true;
    } else if (words[i].starts_with(first_seed)) {
      arguments.first_seed =
          std::atoi(words[i].substr(first_seed.size()).c_str());
    } else {
      return std::nullopt;
    }
  }
  return arguments;
}

void Append(std::vector<double>& values, const std::vector<double>& more) {
  values.insert(values.end(), more.begin(), more.end());
}

std::string Percentiles(const std::vector<double>& values) {
  std::string text;
  for (const int percent : {50, 95, 99}) {
    text += (text.empty() ? "" : "/") +
            std::to_string(std::lround(Percentile(values, percent)));
  }
  return text;
}

std::string NameOf(JobSize size) {
  switch (size) {
    case JobSize::kLargestTenth:
      return "largest tenth";
    case JobSize::kNextFifth:
      return "next fifth";
    case JobSize::kRest:
      return "rest";
  }
  return "";
}

/// `with_admission` tells whether jobs may be rejected. Rejected jobs that the
/// same load served without rejections are counted as wrongly rejected.
void Print(const Arguments& arguments) {
  const auto& [fleet, load, seeds, first_seed, with_admission] = arguments;
  std::map<hemlockdoor::core::OrganisationId, ValueShare> organisations;
  std::map<JobSize, ValueShare> sizes;
  int placed_units = 0;
  int preempted_units = 0;
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
    const ReplayResult result =
        LoadReplay(PatternOf(fleet, load), static_cast<std::uint64_t>(seed),
                   with_admission)
            .Run();
    rejections += result.rejections;
    rejected_jobs += static_cast<int>(result.rejected.size());
    if (!result.rejected.empty()) {
      const ReplayResult without =
          LoadReplay(PatternOf(fleet, load), static_cast<std::uint64_t>(seed))
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
    placed_units += result.placed_units;
    preempted_units += result.preempted_units;
    for (const auto& [organisation, value] : result.organisations) {
      organisations[organisation].Add(value);
    }
    for (const auto& [size, value] : result.sizes) {
      sizes[size].Add(value);
    }
    for (const auto& [name, each] : result.classes) {
      ClassResult& sum = sums[name];
      sum.possible_credit += each.possible_credit;
      sum.earned_credit += each.earned_credit;
      sum.jobs += each.jobs;
      sum.in_objective += each.in_objective;
      sum.late += each.late;
      sum.unserved += each.unserved;
      sum.wait_ms += each.wait_ms;
      Append(sum.waits_ms, each.waits_ms);
      Append(sum.runs_ms, each.runs_ms);
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
  std::cout << "  preempted units " << preempted_units << " of placed "
            << placed_units << " ("
            << static_cast<double>(preempted_units) / std::max(placed_units, 1)
            << " a placement)\n";
  for (const auto& [name, sum] : sums) {
    std::cout << "  " << name << ": wait_ms p50/p95/p99 "
              << Percentiles(sum.waits_ms) << " run_ms "
              << Percentiles(sum.runs_ms) << "\n";
  }
  for (const auto& [size, value] : sizes) {
    std::cout << "  " << NameOf(size) << ": earned " << value.Share()
              << " jobs " << value.jobs << "\n";
  }
  for (const auto& [organisation, value] : organisations) {
    std::cout << "  organisation " << organisation.Text() << ": earned "
              << value.Share() << " jobs " << value.jobs << "\n";
  }
}

}  // namespace

int main(int argument_count, char** arguments) {
  constexpr int kUsageError = 2;
  const auto parsed = Parse({arguments + 1, arguments + argument_count});
  if (!parsed) {
    std::cerr << "usage: batch_load_bench small|grown|large|print|books LOAD "
                 "SEEDS [admission] [first-seed=SEED]\n";
    return kUsageError;
  }
  Print(*parsed);
  return 0;
}
