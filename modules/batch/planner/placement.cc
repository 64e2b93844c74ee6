#include "modules/batch/planner/placement.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "modules/batch/planner/candidates.h"

namespace hemlockdoor::batch {

namespace {

using detail::ByRack;
using detail::Candidate;
using detail::CandidateGroups;
using detail::CandidateRank;
using detail::HasRoom;
using detail::InRack;
using detail::IsBelowTaskLimit;
using detail::IsEligible;
using detail::UsableCandidates;

/// Places one task after the other on the best candidate that still fits.
std::optional<std::vector<core::AgentId>> PlaceGreedily(
    std::vector<Candidate> candidates,
    const PlacementRequest& request) {
  std::vector<core::AgentId> agents;
  for (int task = 0; task < request.size; ++task) {
    Candidate* best = nullptr;
    CandidateRank best_rank;
    for (Candidate& candidate : candidates) {
      if (!HasRoom(candidate, request)) {
        continue;
      }
      const CandidateRank rank = detail::RankOf(candidate, request);
      if (best == nullptr || rank < best_rank) {
        best = &candidate;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    best->free = best->free - CountedNeed(*request.step);
    ++best->placed_tasks;
    agents.push_back(best->view->agent);
  }
  return agents;
}

/// Workers that differ by at most this factor count as equally fast: the factor
/// between adjacent steps of the estimates is 1.16.
constexpr double kUniformFactorRange = 1.25;

/// Range of time factors.
struct FactorRange {
  double lowest = 0;
  double highest = 0;
};

/// Returns the ranges of time factors that are tried for a gang, the preferred
/// one first. `factors` are those of the candidates, in rising order. A gang
/// with time to spare should use workers that are equally slow, any other gang
/// the fastest ones.
std::vector<FactorRange> RangesForGang(const std::vector<double>& factors,
                                       const PlacementRequest& request) {
  std::vector<FactorRange> ranges;
  for (auto factor = factors.rbegin(); factor != factors.rend(); ++factor) {
    if (detail::HasTimeToSpare(request, *factor)) {
      ranges.push_back({*factor / kUniformFactorRange, *factor});
    }
  }
  for (const double factor : factors) {
    ranges.push_back({0, factor});
  }
  return ranges;
}

/// Places the unit in the first of the groups where it fits, for a gang on
/// workers of the preferred speeds.
std::optional<std::vector<core::AgentId>> PlaceInFirst(
    std::vector<std::vector<Candidate>> groups,
    const PlacementRequest& request) {
  std::set<double> factors;
  for (const std::vector<Candidate>& group : groups) {
    for (const Candidate& candidate : group) {
      factors.insert(candidate.time_factor);
    }
  }
  std::vector<FactorRange> ranges = {
      {0, std::numeric_limits<double>::infinity()}};
  if (request.size > 1 && factors.size() > 1) {
    // The search by speed is done only where the unit fits at all.
    std::erase_if(groups, [&request](const std::vector<Candidate>& group) {
      return !PlaceGreedily(group, request);
    });
    ranges = RangesForGang({factors.begin(), factors.end()}, request);
  }
  for (const FactorRange& range : ranges) {
    for (const std::vector<Candidate>& group : groups) {
      if (auto placed = PlaceGreedily(
              detail::WithTimeFactors(group, range.lowest, range.highest),
              request)) {
        return placed;
      }
    }
  }
  return std::nullopt;
}

std::int64_t FreeAccelerators(const std::vector<Candidate>& candidates) {
  std::int64_t free = 0;
  for (const Candidate& candidate : candidates) {
    free += candidate.free.accelerators;
  }
  return free;
}

/// Tries the rack with the input data, or for a gang that needs one rack each
/// rack in turn, beginning with the one that has the fewest free accelerators.
std::optional<std::vector<core::AgentId>> Place(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  const std::string& data_rack = request.step->preferred_rack;
  const bool one_rack = request.step->same_rack && request.size > 1;
  if (!data_rack.empty()) {
    const auto placed =
        PlaceInFirst({InRack(candidates, core::RackId(data_rack))}, request);
    if (placed || !request.allow_remote) {
      return placed;
    }
  }
  if (one_rack) {
    std::vector<std::vector<Candidate>> racks = ByRack(candidates);
    std::sort(racks.begin(), racks.end(),
              [](const auto& left, const auto& right) {
                return FreeAccelerators(left) < FreeAccelerators(right);
              });
    auto placed = PlaceInFirst(std::move(racks), request);
    if (placed || !request.allow_remote) {
      return placed;
    }
  }
  return PlaceInFirst({candidates}, request);
}

using VictimsByAgent = std::map<core::AgentId, std::vector<const Victim*>>;

/// Groups the victims by agent, the cheapest first.
VictimsByAgent GroupByAgent(const std::vector<Victim>& victims) {
  VictimsByAgent by_agent;
  for (const Victim& victim : victims) {
    std::set<core::AgentId> agents;
    for (const UnitMember& member : victim.unit->members) {
      agents.insert(member.agent);
    }
    for (const core::AgentId& agent : agents) {
      by_agent[agent].push_back(&victim);
    }
  }
  for (auto& [agent, list] : by_agent) {
    std::stable_sort(list.begin(), list.end(),
                     [](const Victim* left, const Victim* right) {
                       return left->cost < right->cost;
                     });
  }
  return by_agent;
}

/// Returns the resources that stopping a victim frees on one agent.
Resources FreedOn(const Victim& victim, const core::AgentId& agent) {
  const Resources need = CountedNeed(victim.job->StepOf(*victim.unit));
  Resources freed;
  for (const UnitMember& member : victim.unit->members) {
    if (member.agent == agent) {
      freed = freed + need;
    }
  }
  return freed;
}

/// Victims to be stopped for one task on one candidate, and their total cost.
struct VictimSelection {
  std::vector<const Victim*> victims;
  double cost = 0.0;
};

/// Selects victims, the cheapest first, until the task fits. Then drops those
/// that are not needed after all, the most expensive first. `chosen` were
/// selected for other tasks of the unit. Returns nullopt if the task cannot
/// fit.
std::optional<VictimSelection> SelectVictims(
    const Candidate& candidate,
    const PlacementRequest& request,
    const VictimsByAgent& by_agent,
    const std::set<const Victim*>& chosen) {
  if (!IsBelowTaskLimit(candidate, request)) {
    return std::nullopt;
  }
  const Resources need = CountedNeed(*request.step);
  const core::AgentId& agent = candidate.view->agent;
  Resources free = candidate.free;
  std::vector<const Victim*> taken;
  const auto found = by_agent.find(agent);
  if (found != by_agent.end()) {
    for (const Victim* victim : found->second) {
      if (need.FitsIn(free)) {
        break;
      }
      if (!chosen.contains(victim)) {
        taken.push_back(victim);
        free = free + FreedOn(*victim, agent);
      }
    }
  }
  if (!need.FitsIn(free)) {
    return std::nullopt;
  }
  VictimSelection selection;
  for (auto victim = taken.rbegin(); victim != taken.rend(); ++victim) {
    const Resources without = free - FreedOn(**victim, agent);
    if (need.FitsIn(without)) {
      free = without;
      continue;
    }
    selection.victims.push_back(*victim);
    selection.cost += (*victim)->cost;
  }
  return selection;
}

/// Returns by how much the sum of the costs exceeds the total cost, of which
/// the shared costs of a job are a part only once.
double RepeatedSharedCost(const std::vector<Victim>& victims) {
  std::map<const Job*, double> highest;
  double repeated = 0.0;
  for (const Victim& victim : victims) {
    double& counted = highest[victim.job];
    repeated += std::min(counted, victim.shared_cost);
    counted = std::max(counted, victim.shared_cost);
  }
  return repeated;
}

/// Places one task after the other on the candidate where the least work is
/// lost.
std::optional<PreemptingPlacement> PlaceWithVictims(
    std::vector<Candidate> candidates,
    const PlacementRequest& request,
    const VictimsByAgent& by_agent) {
  PreemptingPlacement placement;
  std::set<const Victim*> chosen;
  for (int task = 0; task < request.size; ++task) {
    Candidate* best = nullptr;
    std::optional<VictimSelection> best_selection;
    for (Candidate& candidate : candidates) {
      std::optional<VictimSelection> selection =
          SelectVictims(candidate, request, by_agent, chosen);
      const bool better =
          selection &&
          (best == nullptr || selection->cost < best_selection->cost ||
           (selection->cost == best_selection->cost &&
            detail::RankOf(candidate, request) <
                detail::RankOf(*best, request)));
      if (better) {
        best = &candidate;
        best_selection = std::move(selection);
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    for (const Victim* victim : best_selection->victims) {
      chosen.insert(victim);
      placement.victims.push_back(*victim);
      for (Candidate& candidate : candidates) {
        candidate.free =
            candidate.free + FreedOn(*victim, candidate.view->agent);
      }
    }
    placement.cost += best_selection->cost;
    best->free = best->free - CountedNeed(*request.step);
    ++best->placed_tasks;
    placement.agents.push_back(best->view->agent);
  }
  placement.cost -= RepeatedSharedCost(placement.victims);
  return placement;
}

/// Returns the cheapest placement over the permitted racks.
std::optional<PreemptingPlacement> PlaceInCheapest(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request,
    const VictimsByAgent& by_agent) {
  std::optional<PreemptingPlacement> best;
  for (const std::vector<Candidate>& group :
       CandidateGroups(candidates, request)) {
    std::optional<PreemptingPlacement> found =
        PlaceWithVictims(group, request, by_agent);
    if (found && (!best || found->cost < best->cost)) {
      best = std::move(found);
    }
  }
  return best;
}

/// Returns the candidates on which the job does not become late.
std::vector<Candidate> InTimeCandidates(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  std::vector<Candidate> chosen;
  for (const Candidate& candidate : candidates) {
    if (IsInTime(request, candidate.time_factor)) {
      chosen.push_back(candidate);
    }
  }
  return chosen;
}

}  // namespace

std::optional<std::vector<core::AgentId>> FindPlacement(
    const Fleet& fleet,
    const PlacementRequest& request) {
  return Place(UsableCandidates(fleet, request), request);
}

std::optional<PreemptingPlacement> FindPreemptingPlacement(
    const Fleet& fleet,
    const PlacementRequest& request,
    const std::vector<Victim>& victims) {
  const std::vector<Candidate> candidates = UsableCandidates(fleet, request);
  const VictimsByAgent by_agent = GroupByAgent(victims);
  // Work is not stopped for a place where the job becomes late, unless no other
  // place can be freed.
  if (const auto in_time = InTimeCandidates(candidates, request);
      !in_time.empty() && in_time.size() < candidates.size()) {
    if (auto placement = PlaceInCheapest(in_time, request, by_agent)) {
      return placement;
    }
  }
  return PlaceInCheapest(candidates, request, by_agent);
}

bool NeedsSuspendedWorkers(const Fleet& fleet,
                           const PlacementRequest& request) {
  const bool some_are_suspended =
      std::any_of(fleet.begin(), fleet.end(), [&request](const auto& entry) {
        return entry.second.IsSuspended(request.now) &&
               IsEligible(entry.second, request);
      });
  if (!some_are_suspended) {
    return false;
  }
  std::vector<Candidate> others = UsableCandidates(fleet, request);
  for (Candidate& candidate : others) {
    candidate.free = candidate.view->worker->capacity;
  }
  return !Place(others, request);
}

bool CouldFitLocally(const Fleet& fleet, const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [agent, view] : fleet) {
    if (IsEligible(view, request) && !view.is_lost && !view.is_evacuated) {
      candidates.push_back({&view, view.worker->capacity, 0});
    }
  }
  PlacementRequest local_request = request;
  local_request.allow_remote = false;
  return Place(candidates, local_request).has_value();
}

bool FitsInFreeRoom(const Fleet& fleet, const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [agent, view] : fleet) {
    if (IsEligible(view, request) && !view.is_lost && !view.IsDraining()) {
      candidates.push_back({&view, view.FreeResources(request.priority), 0});
    }
  }
  return Place(candidates, request).has_value();
}

}  // namespace hemlockdoor::batch
