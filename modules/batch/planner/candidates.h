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
  /// Time factor of the worker; see WorkerSpeeds::FactorOf.
  double time_factor = 1.0;
  /// The unit should run here so that the speed of the worker becomes known.
  bool needs_measurement = false;
};

/// Sort key of a candidate; the lowest is the best. Ties are broken by the
/// agent's id, so that placement is deterministic.
struct CandidateRank {
  /// The job is expected to become late on the worker.
  bool is_late = false;
  bool is_remote = false;
  bool is_suspended = false;
  bool is_avoided = false;
  std::size_t failing_jobs = 0;
  bool is_cold = false;
  /// No copy of an earlier start of the unit may reach the worker.
  bool has_no_open_start = true;
  /// The unit is not needed to measure the worker's speed.
  bool is_measured = true;
  /// Time factor, negative if the unit should use slow workers.
  double speed = 0;
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

/// Returns whether the unit has enough time to spare for workers with this
/// factor that it should leave faster ones free.
bool HasTimeToSpare(const PlacementRequest& request, double time_factor);

/// Returns the candidates with time factors in [lowest, highest].
std::vector<Candidate> WithTimeFactors(const std::vector<Candidate>& candidates,
                                       double lowest,
                                       double highest);

/// Returns the different time factors of the candidates in rising order.
std::vector<double> TimeFactors(const std::vector<Candidate>& candidates);

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
