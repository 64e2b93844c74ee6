// Order in which waiting units start when capacity is insufficient.
#pragma once

#include <map>
#include <vector>

#include "modules/batch/planner/caller_cost.h"
#include "modules/batch/planner/job_state.h"

namespace hemlockdoor::batch {

/// A unit that waits for its start.
struct WaitingUnit {
  Job* job = nullptr;
  Unit* unit = nullptr;
  /// Expected run time of a task on a worker of factor 1.0.
  core::Duration run;
  bool is_within_guarantee = false;
};

/// Orders waiting units by what their wait costs callers. It addresses bursts
/// in which more work arrives than the fleet can process.
///
/// Units within the guarantee of their organisation come first. The others are
/// ordered by an index based on the Apparent Tardiness Cost of Vepsalainen and
/// Morton (1987). Among units of about equal index the organisation with the
/// smallest dominant share (DRF, Ghodsi et al., 2011) comes first. Units
/// without value come last, the oldest first.
class StartRanking {
 public:
  /// `capacity` is that of all workers.
  StartRanking(const CallerCost& caller_cost, const Resources& capacity)
      : cost(&caller_cost), fleet_capacity(capacity) {}

  /// Counts runs of an organisation towards its dominant share.
  void AddRunning(const core::OrganisationId& organisation,
                  const Resources& amount);

  /// Returns the value at stake for each core-equivalent and second of the work
  /// of the job that has not started, discounted by its slack; 0 if no value
  /// can be earned any more.
  double IndexOf(const Job& job,
                 int step,
                 core::Duration run,
                 core::TimePoint now) const;

  /// Returns the units in the order in which they are to be started.
  std::vector<WaitingUnit> Sorted(std::vector<WaitingUnit> units,
                                  core::TimePoint now) const;

 private:
  double DominantShare(const Resources& amount) const;

  const CallerCost* cost;
  Resources fleet_capacity;
  std::map<core::OrganisationId, Resources> running;
};

/// Returns the core-equivalents of the units of the job that have neither runs
/// nor ended.
double WaitingCoreEquivalents(const Job& job);

}  // namespace hemlockdoor::batch
