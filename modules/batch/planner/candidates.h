// Workers that a unit may be placed on, for the searches for placements.
#pragma once

#include <tuple>
#include <vector>

#include "modules/batch/planner/placement.h"

namespace hemlockdoor::batch::detail {

/// A worker that the unit may use, with its remaining free capacity.
struct Candidate {
  const AgentView* view = nullptr;
  Resources free;
  int placed_tasks = 0;
};

/// Sort key of a candidate; the lowest is the best. Ties are broken by the
/// agent's id, so that placement is deterministic.
struct CandidateRank {
  bool is_remote = false;
  bool is_suspended = false;
  bool is_avoided = false;
  std::size_t failing_jobs = 0;
  bool is_cold = false;
  double free_share = 0;
  const core::AgentId* agent = nullptr;

  bool operator<(const CandidateRank& other) const;
};

/// Returns whether the worker offers the service and has the label that the
/// step requires.
bool IsEligible(const AgentView& view, const PlacementRequest& request);

/// Returns the workers that may get starts now.
std::vector<Candidate> UsableCandidates(const Fleet& fleet,
                                        const PlacementRequest& request);

/// Returns whether the candidate may take one more task of the step, whatever
/// its free capacity.
bool IsBelowTaskLimit(const Candidate& candidate,
                      const PlacementRequest& request);

/// Returns whether one more task of the step fits.
bool HasRoom(const Candidate& candidate, const PlacementRequest& request);

CandidateRank RankOf(const Candidate& candidate,
                     const PlacementRequest& request);

std::vector<Candidate> InRack(const std::vector<Candidate>& candidates,
                              const core::RackId& rack);

/// Returns the candidates of each rack.
std::vector<std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates);

/// Returns the groups of candidates to try; the whole unit must fit in one
/// group.
std::vector<std::vector<Candidate>> CandidateGroups(
    const std::vector<Candidate>& candidates,
    const PlacementRequest& request);

}  // namespace hemlockdoor::batch::detail
