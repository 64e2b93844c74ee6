// Chooses the jobs to preempt so that places become free.
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/scheduler/job_table.h"

namespace hemlockdoor::decide {

/// Jobs to preempt for the places of one gang, and the cost of doing so.
struct ReclaimChoice {
  std::vector<MemberPlace> places;
  CellHandle cell = kNoCell;
  /// Jobs that must end, including those that are being preempted already.
  std::vector<JobHandle> victims;
  /// Sum of `CostOf` over the victims.
  double cost = 0;
};

/// Chooses victims by lost work, size and earlier preemptions.
class ReclaimPlanner {
 public:
  ReclaimPlanner(const Fleet& workers, const JobTable& job_table)
      : fleet(workers), jobs(job_table) {}

  /// Returns the cost of preempting a job now: the lost run time and the
  /// restart time, in milliseconds, times the size of the job, and rising with
  /// its earlier preemptions. Zero for a job that is being preempted already.
  double CostOf(const JobRecord& job, core::TimePoint now) const;
  /// Returns places for a shape on capacity that no cell claims. Chooses each
  /// member by the lowest preemption cost among a bounded number of workers.
  /// Returns nothing when there is no room, or when the shape has more than one
  /// member and must be in one rack.
  std::optional<std::vector<MemberPlace>> CheapestPlaces(
      const model::GangShape& shape,
      ServiceIndex service,
      core::TimePoint now) const;
  /// Returns the jobs to preempt for places. Returns nothing when a worker is
  /// not usable, or a job that must not be preempted or a task that this
  /// scheduler did not place is in the way. `places` is ordered by worker.
  std::optional<ReclaimChoice> ChooseVictims(
      const std::vector<MemberPlace>& places,
      core::TimePoint now) const;

 private:
  /// A possible place for one member, with the cost to clear it.
  struct PlaceOption {
    double cost = 0;
    MemberPlace place;
  };

  void AddOptions(const model::GangShape& shape,
                  WorkerIndex worker,
                  core::TimePoint now,
                  std::vector<PlaceOption>& options) const;
  /// Adds the jobs that use accelerators of a place; false when some of the
  /// accelerators cannot be reclaimed.
  bool AddOverlappingVictims(const MemberPlace& place,
                             ReclaimChoice& choice) const;
  /// Adds the cheapest further jobs on a worker until enough slots are free;
  /// false when there are too few.
  bool AddVictimsForSlots(WorkerIndex worker,
                          int slots,
                          core::TimePoint now,
                          ReclaimChoice& choice) const;

  const Fleet& fleet;
  const JobTable& jobs;
};

}  // namespace hemlockdoor::decide
