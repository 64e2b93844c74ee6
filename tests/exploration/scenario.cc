#include "tests/exploration/scenario.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string_view>

namespace hemlockdoor::batch::exploration {

namespace {

using core::Duration;

constexpr std::int64_t kJobsEndMs = 16'000;
constexpr std::int64_t kFirstFaultMs = 2000;
constexpr std::int64_t kLastFaultMs = 16'000;
/// Largest distance between a fault and the moment of an earlier one that it is
/// drawn around.
constexpr std::int64_t kNearMs = 1500;

/// When the planner counts a silent agent as lost, and the largest distance of
/// lengths that are drawn around it.
constexpr std::int64_t kTermEndMs = 5250;
constexpr std::int64_t kNearTermEndMs = 900;
/// Jobs that are drawn to come with a fault come within this time.
constexpr std::int64_t kWithFaultMs = 600;

struct KindOfFault {
  FaultKind kind;
  std::string_view name;
  std::int64_t shortest_ms;
  std::int64_t longest_ms;
};

constexpr std::array kKinds = {
    KindOfFault{FaultKind::kAgentCut, "agent cut off", 300, 8000},
    KindOfFault{FaultKind::kAgentRestart, "agent restarted", 50, 2500},
    KindOfFault{FaultKind::kAgentPause, "agent paused", 300, 8000},
    KindOfFault{FaultKind::kPlannerKill, "planner killed", 300, 2500},
    KindOfFault{FaultKind::kStoreLosesAnswers, "store loses answers", 300,
                2500},
    KindOfFault{FaultKind::kStoreIsLate, "store carries writes out late", 300,
                2500},
    KindOfFault{FaultKind::kStoreDown, "store down", 300, 5000},
    KindOfFault{FaultKind::kStartsLate, "starts carried out late", 300, 3000},
    KindOfFault{FaultKind::kWorkerLost, "worker lost for good", 0, 0},
    KindOfFault{FaultKind::kWorkerReborn, "worker crashes", 100, 4000},
    // The store client notices a silent watch and reads again within this time.
    KindOfFault{FaultKind::kWatchLost, "watch lost", 300, 3500},
};
/// Kinds that `DrawFault` draws: all but the last, which `AddEvacuations` adds.
constexpr auto kDrawnKinds = static_cast<std::int64_t>(kKinds.size()) - 1;

const KindOfFault& KindOf(const Fault& fault) {
  return *std::find_if(
      kKinds.begin(), kKinds.end(),
      [&fault](const KindOfFault& kind) { return kind.kind == fault.kind; });
}

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine(seed) {}
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->engine);
  }

 private:
  std::mt19937_64 engine;
};

Fault DrawFault(Draw& draw, int agents, const std::vector<Fault>& earlier) {
  Fault fault;
  const KindOfFault& kind =
      kKinds[static_cast<std::size_t>(draw.Between(0, kDrawnKinds - 1))];
  fault.kind = kind.kind;
  fault.length =
      Duration::Milliseconds(draw.Between(kind.shortest_ms, kind.longest_ms));
  if (kind.longest_ms > kTermEndMs && draw.Between(0, 1) == 0) {
    fault.length = Duration::Milliseconds(
        kTermEndMs + draw.Between(-kNearTermEndMs, kNearTermEndMs));
  }
  fault.agent = static_cast<int>(draw.Between(0, agents - 1));
  std::int64_t at = draw.Between(kFirstFaultMs, kLastFaultMs);
  if (!earlier.empty()) {
    const auto count = static_cast<std::int64_t>(earlier.size());
    const Fault& other =
        earlier[static_cast<std::size_t>(draw.Between(0, count - 1))];
    const std::int64_t begin = other.at.InMilliseconds();
    const std::int64_t end = begin + other.length.InMilliseconds();
    const std::int64_t offset = draw.Between(-kNearMs, kNearMs);
    switch (draw.Between(0, 3)) {
      case 0:
        at = begin + offset;
        break;
      case 1:
        at = end + offset;
        break;
      case 2:
        at = draw.Between(begin, end);
        break;
      default:
        break;
    }
    // Most combinations that matter concern one agent.
    fault.agent = draw.Between(0, 2) > 0 ? other.agent : fault.agent;
  }
  fault.at = Duration::Milliseconds(std::max(at, kFirstFaultMs));
  return fault;
}

}  // namespace

Scenario DrawScenario(std::uint64_t seed) {
  Draw draw(seed);
  Scenario scenario;
  scenario.seed = seed;
  scenario.agents = static_cast<int>(draw.Between(2, 4));
  const std::int64_t faults = draw.Between(1, 5);
  for (std::int64_t i = 0; i < faults; ++i) {
    scenario.faults.push_back(
        DrawFault(draw, scenario.agents, scenario.faults));
  }
  const std::int64_t jobs = draw.Between(4, 24);
  for (std::int64_t i = 0; i < jobs; ++i) {
    PlannedJob job;
    job.at = Duration::Milliseconds(draw.Between(500, kJobsEndMs));
    if (draw.Between(0, 2) == 0) {
      const Fault& fault =
          scenario
              .faults[static_cast<std::size_t>(draw.Between(0, faults - 1))];
      job.at = fault.at + Duration::Milliseconds(draw.Between(0, kWithFaultMs));
    }
    job.tasks = static_cast<int>(draw.Between(1, 3));
    job.run_time = Duration::Milliseconds(draw.Between(200, 6000));
    scenario.jobs.push_back(job);
  }
  return scenario;
}

void AddEvacuations(Scenario& scenario) {
  // Another sequence than that of the scenario, so that it does not change.
  constexpr std::uint64_t kSeedOffset = 1'000'000'007;
  constexpr std::int64_t kMaxEvacuations = 3;
  constexpr std::int64_t kLongestMs = 14'000;
  Draw draw(scenario.seed + kSeedOffset);
  const auto faults = static_cast<std::int64_t>(scenario.faults.size());
  const std::int64_t count = draw.Between(1, kMaxEvacuations);
  for (std::int64_t i = 0; i < count; ++i) {
    PlannedEvacuation evacuation;
    evacuation.at = Duration::Milliseconds(draw.Between(500, kLastFaultMs));
    if (draw.Between(0, 1) == 0) {
      const Fault& fault =
          scenario
              .faults[static_cast<std::size_t>(draw.Between(0, faults - 1))];
      evacuation.at = std::max(
          Duration(),
          fault.at + Duration::Milliseconds(draw.Between(-kNearMs, kNearMs)));
    }
    evacuation.length =
        Duration::Milliseconds(draw.Between(kFirstFaultMs, kLongestMs));
    evacuation.data_centre =
        static_cast<int>(draw.Between(0, kDataCentres - 1));
    if (draw.Between(0, 3) == 0) {
      Fault lost;
      lost.kind = FaultKind::kWatchLost;
      lost.at = std::max(
          Duration(),
          evacuation.at + Duration::Milliseconds(draw.Between(-kNearMs, 0)));
      lost.length = Duration::Milliseconds(
          draw.Between(KindOf(lost).shortest_ms, KindOf(lost).longest_ms));
      scenario.faults.push_back(lost);
    }
    scenario.evacuations.push_back(evacuation);
  }
}

std::string Describe(const Scenario& scenario) {
  std::multimap<Duration, std::string> lines;
  for (std::size_t i = 0; i < scenario.jobs.size(); ++i) {
    const PlannedJob& job = scenario.jobs[i];
    lines.emplace(job.at, "job j" + std::to_string(i) + " of " +
                              std::to_string(job.tasks) + " tasks, each " +
                              std::to_string(job.run_time.InMilliseconds()) +
                              " ms");
  }
  for (const Fault& fault : scenario.faults) {
    lines.emplace(fault.at, std::string(KindOf(fault).name) + " (agent " +
                                std::to_string(fault.agent) + ", " +
                                std::to_string(fault.length.InMilliseconds()) +
                                " ms)");
  }
  for (const PlannedEvacuation& evacuation : scenario.evacuations) {
    lines.emplace(evacuation.at,
                  "data centre " + std::to_string(evacuation.data_centre) +
                      " evacuated (" +
                      std::to_string(evacuation.length.InMilliseconds()) +
                      " ms)");
  }
  std::string text = "seed " + std::to_string(scenario.seed) + ", " +
                     std::to_string(scenario.agents) + " agents\n";
  for (const auto& [at, line] : lines) {
    text += std::to_string(at.InMilliseconds()) + " ms: " + line + "\n";
  }
  return text;
}

Scenario Shorten(Scenario scenario,
                 const std::function<bool(const Scenario&)>& fails) {
  const auto shorten = [&scenario, &fails](auto member) {
    for (std::size_t i = 0; i < (scenario.*member).size();) {
      Scenario shorter = scenario;
      (shorter.*member)
          .erase((shorter.*member).begin() + static_cast<std::ptrdiff_t>(i));
      if (fails(shorter)) {
        scenario = std::move(shorter);
      } else {
        ++i;
      }
    }
  };
  shorten(&Scenario::faults);
  shorten(&Scenario::evacuations);
  shorten(&Scenario::jobs);
  return scenario;
}

}  // namespace hemlockdoor::batch::exploration
