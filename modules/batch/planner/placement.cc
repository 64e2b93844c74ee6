#include "modules/batch/planner/placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hemlockdoor::batch {

namespace {

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
    Candidate candidate{&view, view.Free(), 0};
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

/// Orders candidates; the least is the best. Ties are broken by the agent's
/// id, so that the same input gives the same output.
auto Rank(const Candidate& candidate, const PlacementRequest& request) {
  const Resources left = candidate.free - CountedNeed(*request.step);
  const WorkerId& id = candidate.view->worker->identity.id;
  const bool avoided =
      request.avoided != nullptr && request.avoided->contains(id);
  const std::string& rack = request.step->preferred_rack;
  const bool remote =
      !rack.empty() && candidate.view->worker->rack.Text() != rack;
  const auto failing = candidate.view->failing_jobs.size();
  return std::make_tuple(remote, avoided, failing, left.accelerators,
                         left.millicores, candidate.view->agent);
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

/// What stopping a victim frees on each agent.
void AddFreed(const Victim& victim, std::map<core::AgentId, Resources>& freed) {
  const Resources need = CountedNeed(victim.job->StepOf(*victim.unit));
  for (const Member& member : victim.unit->members) {
    freed[member.agent] = freed[member.agent] + need;
  }
}

std::vector<Candidate> WithFreed(
    std::vector<Candidate> candidates,
    const std::map<core::AgentId, Resources>& freed) {
  for (Candidate& candidate : candidates) {
    const auto found = freed.find(candidate.view->agent);
    if (found != freed.end()) {
      candidate.free = candidate.free + found->second;
    }
  }
  return candidates;
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
  std::vector<Victim> ordered = victims;
  std::sort(ordered.begin(), ordered.end(),
            [](const Victim& left, const Victim& right) {
              return left.cost < right.cost;
            });
  // Adds victims, cheapest first, until the unit fits; then drops each that
  // turns out not to be needed, dearest first.
  std::vector<Victim> chosen;
  std::map<core::AgentId, Resources> freed;
  std::optional<std::vector<core::AgentId>> placed;
  for (const Victim& victim : ordered) {
    chosen.push_back(victim);
    AddFreed(victim, freed);
    placed = Place(WithFreed(candidates, freed), request);
    if (placed) {
      break;
    }
  }
  if (!placed) {
    return std::nullopt;
  }
  for (std::size_t i = chosen.size(); i > 0; --i) {
    std::vector<Victim> fewer = chosen;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i - 1));
    std::map<core::AgentId, Resources> less;
    for (const Victim& victim : fewer) {
      AddFreed(victim, less);
    }
    if (auto still = Place(WithFreed(candidates, less), request)) {
      chosen = fewer;
      placed = std::move(still);
    }
  }
  return PreemptingPlacement{*placed, chosen};
}

bool CouldEverFit(const Fleet& fleet, const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  for (const auto& [agent, view] : fleet) {
    if (IsEligible(view, request)) {
      candidates.push_back({&view, view.worker->capacity, 0});
    }
  }
  return Place(candidates, request).has_value();
}

}  // namespace hemlockdoor::batch
