#include "modules/batch/planner/candidates.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hemlockdoor::batch::detail {

namespace {

/// Accelerators are the scarcest resource, so they outweigh memory and
/// processors together.
constexpr double kAcceleratorWeight = 100.0;
/// A unit leaves fast workers free if it may lose this many times the time that
/// it is expected to lose on slow ones. Run times are known to within a factor
/// of about 1.5.
constexpr double kTimeToSpareFactor = 1.5;

bool HasLabel(const WorkerDescription& worker, const std::string& label) {
  const std::vector<std::string>& labels = worker.labels;
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Returns the weighted sum of the shares of each resource that stay free.
double WeightedFreeShare(const Resources& left, const Resources& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return kAcceleratorWeight * share(left.accelerators, capacity.accelerators) +
         share(left.memory_mb, capacity.memory_mb) +
         share(left.millicores, capacity.millicores);
}

/// Returns the milliseconds that the unit loses by a run on a worker with this
/// time factor.
double TimeLost(const PlacementRequest& request, double time_factor) {
  return (time_factor - 1.0) *
         static_cast<double>(request.run_time.InMilliseconds());
}

/// Returns whether the unit may run on workers of unknown speed in order to
/// measure them: a single task that does not become late on the slowest ones.
/// Best fit alone would leave most workers of a nearly empty fleet unmeasured.
bool MayMeasure(const PlacementRequest& request) {
  return request.speeds != nullptr && request.size == 1 &&
         HasTimeToSpare(request, request.speeds->HighestFactor());
}

}  // namespace

bool CandidateRank::operator<(const CandidateRank& other) const {
  return std::tie(this->is_late, this->is_remote, this->is_suspended,
                  this->is_avoided, this->failing_jobs, this->is_cold,
                  this->has_no_open_start, this->is_measured, this->speed,
                  this->free_share, *this->agent) <
         std::tie(other.is_late, other.is_remote, other.is_suspended,
                  other.is_avoided, other.failing_jobs, other.is_cold,
                  other.has_no_open_start, other.is_measured, other.speed,
                  other.free_share, *other.agent);
}

bool IsEligible(const AgentView& view, const PlacementRequest& request) {
  return view.worker && view.worker->service == request.service &&
         HasLabel(*view.worker, request.step->required_label);
}

std::vector<Candidate> UsableCandidates(const Fleet& fleet,
                                        const PlacementRequest& request) {
  std::vector<Candidate> candidates;
  const bool may_measure = MayMeasure(request);
  for (const auto& [agent, view] : fleet) {
    const bool may_start =
        view.IsUsable(request.now) &&
        (request.use_suspended || !view.IsSuspended(request.now));
    if (!may_start || !IsEligible(view, request)) {
      continue;
    }
    Candidate candidate{&view, view.FreeResources(request.priority), 0};
    if (request.own_reservation != nullptr) {
      const auto reservation = request.own_reservation->find(agent);
      if (reservation != request.own_reservation->end()) {
        candidate.free = candidate.free + reservation->second;
      }
    }
    const auto placed = request.placed_tasks.find(agent);
    candidate.placed_tasks =
        placed == request.placed_tasks.end() ? 0 : placed->second;
    if (request.speeds != nullptr) {
      candidate.time_factor = request.speeds->FactorOf(agent);
      candidate.needs_measurement =
          may_measure &&
          request.speeds->MissingRuns(agent) > view.measuring_runs;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

bool IsBelowTaskLimit(const Candidate& candidate,
                      const PlacementRequest& request) {
  const int limit = request.step->max_per_worker;
  return limit == 0 || candidate.placed_tasks < limit;
}

bool HasTimeToSpare(const PlacementRequest& request, double time_factor) {
  return request.priority > 0 && request.run_time > core::Duration() &&
         TimeLost(request, time_factor) * kTimeToSpareFactor <=
             static_cast<double>(request.slack.InMilliseconds());
}

std::vector<Candidate> WithTimeFactors(const std::vector<Candidate>& candidates,
                                       double lowest,
                                       double highest) {
  std::vector<Candidate> chosen;
  for (const Candidate& candidate : candidates) {
    if (lowest <= candidate.time_factor && candidate.time_factor <= highest) {
      chosen.push_back(candidate);
    }
  }
  return chosen;
}

std::vector<double> TimeFactors(const std::vector<Candidate>& candidates) {
  std::set<double> factors;
  for (const Candidate& candidate : candidates) {
    factors.insert(candidate.time_factor);
  }
  return {factors.begin(), factors.end()};
}

bool HasRoom(const Candidate& candidate, const PlacementRequest& request) {
  return IsBelowTaskLimit(candidate, request) &&
         CountedNeed(*request.step).FitsIn(candidate.free);
}

CandidateRank RankOf(const Candidate& candidate,
                     const PlacementRequest& request) {
  const WorkerDescription& worker = *candidate.view->worker;
  const Resources left = candidate.free - CountedNeed(*request.step);
  const std::string& rack = request.step->preferred_rack;
  CandidateRank rank;
  rank.is_remote = !rack.empty() && worker.rack.Text() != rack;
  rank.is_suspended = candidate.view->IsSuspended(request.now);
  rank.is_avoided = request.avoided_workers != nullptr &&
                    request.avoided_workers->contains(worker.identity.id);
  rank.failing_jobs = candidate.view->failing_jobs.size();
  rank.is_cold = candidate.view->ranks_as_cold;
  rank.has_no_open_start =
      request.open_starts == nullptr ||
      std::none_of(request.open_starts->begin(), request.open_starts->end(),
                   [&candidate](const OpenStart& start) {
                     return start.agent == candidate.view->agent;
                   });
  rank.is_measured = !candidate.needs_measurement;
  // A gang runs at the pace of its slowest member, so the search limits the
  // time factor of the whole gang, and within the limit prefers slow workers.
  const bool is_gang = request.size > 1;
  rank.is_late = !is_gang && !IsInTime(request, candidate.time_factor);
  const bool prefers_slow =
      is_gang || HasTimeToSpare(request, candidate.time_factor);
  rank.speed = prefers_slow ? -candidate.time_factor : candidate.time_factor;
  rank.free_share = WeightedFreeShare(left, worker.capacity);
  rank.agent = &candidate.view->agent;
  return rank;
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

std::vector<std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates) {
  std::map<core::RackId, std::vector<Candidate>> by_rack;
  for (const Candidate& candidate : candidates) {
    by_rack[candidate.view->worker->rack].push_back(candidate);
  }
  std::vector<std::vector<Candidate>> racks;
  for (auto& [rack, members] : by_rack) {
    racks.push_back(std::move(members));
  }
  return racks;
}

std::vector<std::vector<Candidate>> CandidateGroups(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request) {
  std::vector<std::vector<Candidate>> groups;
  const std::string& data_rack = request.step->preferred_rack;
  if (!data_rack.empty() && !request.allow_remote) {
    groups.push_back(InRack(candidates, core::RackId(data_rack)));
  } else if (request.step->same_rack && request.size > 1) {
    groups = ByRack(candidates);
  }
  if (groups.empty() || request.allow_remote) {
    groups.push_back(candidates);
  }
  return groups;
}

}  // namespace hemlockdoor::batch::detail

namespace hemlockdoor::batch {

bool IsInTime(const PlacementRequest& request, double time_factor) {
  return detail::TimeLost(request, time_factor) <=
         static_cast<double>(request.slack.InMilliseconds());
}

}  // namespace hemlockdoor::batch
