// Chooses which jobs to stop so that a place becomes free.
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/scheduler/job_table.h"

namespace hemlockdoor::decide {

/// Jobs to stop for one place, and what that costs.
struct ReclaimChoice {
  std::vector<MemberPlace> places;
  CellHandle cell = kNoCell;
  /// Jobs that must end; those already being stopped are among them.
  std::vector<JobHandle> victims;
  /// Capacity-milliseconds of work that is lost.
  double cost = 0;
};

/// Weighs lost work, restarts so far and the size of the jobs to stop.
class ReclaimPlanner {
 public:
  ReclaimPlanner(const Fleet& workers, const JobTable& job_table)
      : fleet(workers), jobs(job_table) {}

  /// Work lost when a job is stopped now.
  double CostOf(const JobRecord& job, core::TimePoint now) const;
  /// Places for a shape on capacity that no other cell claims, chosen for the
  /// least cost member by member among some workers; nothing when there is no
  /// room or the shape must lie in one rack.
  std::optional<std::vector<MemberPlace>> CheapestPlaces(
      const model::GangShape& shape,
      ServiceIndex service,
      core::TimePoint now) const;
  /// Jobs to stop for a place; nothing when unstoppable work is in the way.
  std::optional<ReclaimChoice> ChooseVictims(
      const std::vector<MemberPlace>& places,
      core::TimePoint now) const;

 private:
  struct PlaceOption {
    double cost = 0;
    MemberPlace place;
  };

  void AddOptions(const model::GangShape& shape,
                  WorkerIndex worker,
                  core::TimePoint now,
                  std::vector<PlaceOption>& options) const;
  bool AddOverlappingVictims(const MemberPlace& place,
                             ReclaimChoice& choice) const;
  bool AddVictimsForSlots(WorkerIndex worker,
                          int slots,
                          core::TimePoint now,
                          ReclaimChoice& choice) const;

  const Fleet& fleet;
  const JobTable& jobs;
};

}  // namespace hemlockdoor::decide
