#include "modules/batch/planner/placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hemlockdoor::batch {

namespace {

/// Accelerators are what jobs wait for most, so they weigh more than memory
/// and processors together.
constexpr double kAcceleratorWeight = 100.0;

/// A worker that the unit may use, with what is left of it.
struct Candidate {
  const AgentView* view = nullptr;
  Resources free;
  int present = 0;
};

bool CarriesLabel(const WorkerDescription& worker, const std::string& label) {
  const std::vector<std::string>& labels = worker.labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool IsEligible(const AgentView& view, const PlacementRequest& request) {
  return view.worker && view.worker->service == request.service &&
         CarriesLabel(*view.worker, request.step->required_label);
}

std::vector<Candidate> UsableCandidates(const Fleet& fleet,
                                        const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [agent, view] : fleet) {
    if (!view.IsUsable(request.now) || !IsEligible(view, request)) {
      continue;
    }
    Candidate candidate{&view, view.Free(request.priority), 0};
    if (request.own_reserved != nullptr) {
      const auto own = request.own_reserved->find(agent);
      if (own != request.own_reserved->end()) {
        candidate.free = candidate.free + own->second;
      }
    }
    const auto present = request.present.find(agent);
    candidate.present = present == request.present.end() ? 0 : present->second;
    candidates.push_back(candidate);
  }
  return candidates;
}

bool HasRoom(const Candidate& candidate, const PlacementRequest& request) {
  const int limit = request.step->max_per_worker;
  const bool below_limit = limit == 0 || candidate.present < limit;
  return below_limit && CountedNeed(*request.step).FitsIn(candidate.free);
}

/// How much of a worker stays free, over all its resources.
double LeftOver(const Resources& left, const Resources& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return kAcceleratorWeight * share(left.accelerators, capacity.accelerators) +
         share(left.memory_mb, capacity.memory_mb) +
         share(left.millicores, capacity.millicores);
}

/// Orders candidates; the least is the best. Ties are broken by the agent's
/// id, so that the same input gives the same output.
auto Rank(const Candidate& candidate, const PlacementRequest& request) {
  const Resources left = candidate.free - CountedNeed(*request.step);
  const double tightness = LeftOver(left, candidate.view->worker->capacity);
  const WorkerId& id = candidate.view->worker->identity.id;
  const bool avoided =
      request.avoided != nullptr && request.avoided->contains(id);
  const std::string& rack = request.step->preferred_rack;
  const bool remote =
      !rack.empty() && candidate.view->worker->rack.Text() != rack;
  const auto failing = candidate.view->failing_jobs.size();
  return std::make_tuple(remote, avoided, failing, tightness,
                         candidate.view->agent);
}

/// Places all tasks on the candidates; each choice takes from what is left.
std::optional<std::vector<core::AgentId>> PlaceGreedily(
    std::vector<Candidate> candidates,
    const PlacementRequest& request) {
  std::vector<core::AgentId> agents;
  for (int task = 0; task < request.size; ++task) {
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      const bool better =
          best == nullptr || Rank(candidate, request) < Rank(*best, request);
      if (HasRoom(candidate, request) && better) {
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    best->free = best->free - CountedNeed(*request.step);
    ++best->present;
    agents.push_back(best->view->agent);
  }
  return agents;
}

std::set<core::RackId> RacksOf(const std::vector<Candidate>& candidates) {
  std::set<core::RackId> racks;
  for (const Candidate& candidate : candidates) {
    racks.insert(candidate.view->worker->rack);
  }
  return racks;
}

std::vector<Candidate> InRack(const std::vector<Candidate>& candidates,
                              const core::RackId& rack) {
  std::vector<Candidate> chosen;
  for (const Candidate& candidate : candidates) {
    if (candidate.view->worker->rack == rack) {
      chosen.push_back(candidate);
    }
  }
  return chosen;
}

std::int64_t FreeAccelerators(const std::vector<Candidate>& candidates) {
  std::int64_t free = 0;
  for (const Candidate& candidate : candidates) {
    free += candidate.free.accelerators;
  }
  return free;
}

/// Tries the rack of the data, or for a gang every rack, fullest first.
std::optional<std::vector<core::AgentId>> Place(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  const std::string& data_rack = request.step->preferred_rack;
  const bool one_rack = request.step->same_rack && request.size > 1;
  if (!data_rack.empty()) {
    const auto placed =
        PlaceGreedily(InRack(candidates, core::RackId(data_rack)), request);
    if (placed || !request.accept_remote) {
      return placed;
    }
  }
  if (one_rack) {
    std::vector<std::vector<Candidate>> racks;
    for (const core::RackId& rack : RacksOf(candidates)) {
      racks.push_back(InRack(candidates, rack));
    }
    std::sort(racks.begin(), racks.end(),
              [](const auto& left, const auto& right) {
                return FreeAccelerators(left) < FreeAccelerators(right);
              });
    for (const std::vector<Candidate>& rack : racks) {
      if (auto placed = PlaceGreedily(rack, request)) {
        return placed;
      }
    }
    if (!request.accept_remote) {
      return std::nullopt;
    }
  }
  return PlaceGreedily(candidates, request);
}

using VictimsByAgent = std::map<core::AgentId, std::vector<const Victim*>>;

/// Victims on each agent, those that lose least first.
VictimsByAgent GroupByAgent(const std::vector<Victim>& victims) {
  VictimsByAgent by_agent;
  for (const Victim& victim : victims) {
    std::set<core::AgentId> agents;
    for (const Member& member : victim.unit->members) {
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

/// What stopping a victim frees on one agent.
Resources FreedOn(const Victim& victim, const core::AgentId& agent) {
  const Resources need = CountedNeed(victim.job->StepOf(*victim.unit));
  Resources freed;
  for (const Member& member : victim.unit->members) {
    if (member.agent == agent) {
      freed = freed + need;
    }
  }
  return freed;
}

/// The victims that make room for one task on a candidate, and their cost.
struct RoomCost {
  std::vector<const Victim*> victims;
  double cost = 0.0;
};

/// Takes victims, cheapest first, until the task fits; then drops each that
/// turns out not to be needed, dearest first.
std::optional<RoomCost> CostOfRoom(const Candidate& candidate,
                                   const PlacementRequest& request,
                                   const VictimsByAgent& by_agent,
                                   const std::set<const Victim*>& chosen) {
  const int limit = request.step->max_per_worker;
  if (limit > 0 && candidate.present >= limit) {
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
  RoomCost room;
  for (auto victim = taken.rbegin(); victim != taken.rend(); ++victim) {
    const Resources without = free - FreedOn(**victim, agent);
    if (need.FitsIn(without)) {
      free = without;
      continue;
    }
    room.victims.push_back(*victim);
    room.cost += (*victim)->cost;
  }
  return room;
}

/// Places task by task where the least is lost.
std::optional<PreemptingPlacement> PlaceWithVictims(
    std::vector<Candidate> candidates,
    const PlacementRequest& request,
    const VictimsByAgent& by_agent) {
  PreemptingPlacement placement;
  std::set<const Victim*> chosen;
  for (int task = 0; task < request.size; ++task) {
    Candidate* best = nullptr;
    std::optional<RoomCost> best_room;
    for (Candidate& candidate : candidates) {
      std::optional<RoomCost> room =
          CostOfRoom(candidate, request, by_agent, chosen);
      const bool better =
          room && (best == nullptr || room->cost < best_room->cost ||
                   (room->cost == best_room->cost &&
                    Rank(candidate, request) < Rank(*best, request)));
      if (better) {
        best = &candidate;
        best_room = std::move(room);
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    for (const Victim* victim : best_room->victims) {
      chosen.insert(victim);
      placement.victims.push_back(*victim);
      for (Candidate& candidate : candidates) {
        candidate.free =
            candidate.free + FreedOn(*victim, candidate.view->agent);
      }
    }
    placement.cost += best_room->cost;
    best->free = best->free - CountedNeed(*request.step);
    ++best->present;
    placement.agents.push_back(best->view->agent);
  }
  return placement;
}

/// Groups of candidates of which one has to take the whole unit.
std::vector<std::vector<Candidate>> GroupsFor(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  std::vector<std::vector<Candidate>> groups;
  const std::string& data_rack = request.step->preferred_rack;
  if (!data_rack.empty() && !request.accept_remote) {
    groups.push_back(InRack(candidates, core::RackId(data_rack)));
  } else if (request.step->same_rack && request.size > 1) {
    for (const core::RackId& rack : RacksOf(candidates)) {
      groups.push_back(InRack(candidates, rack));
    }
  }
  if (groups.empty() || request.accept_remote) {
    groups.push_back(candidates);
  }
  return groups;
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
  std::optional<PreemptingPlacement> best;
  for (const std::vector<Candidate>& group : GroupsFor(candidates, request)) {
    std::optional<PreemptingPlacement> found =
        PlaceWithVictims(group, request, by_agent);
    if (found && (!best || found->cost < best->cost)) {
      best = std::move(found);
    }
  }
  return best;
}

bool CouldFitNear(const Fleet& fleet, const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [agent, view] : fleet) {
    if (IsEligible(view, request) && !view.is_lost) {
      candidates.push_back({&view, view.worker->capacity, 0});
    }
  }
  PlacementRequest near = request;
  near.accept_remote = false;
  return Place(candidates, near).has_value();
}

}  // namespace hemlockdoor::batch
