// Estimates run times from observations, and tells short from long jobs.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// Jobs whose run times are averaged together.
struct RunTimeGroup {
  OrganisationIndex organisation = 0;
  ServiceIndex service = 0;
  core::JobClass job_class;
  bool operator==(const RunTimeGroup&) const = default;
};

/// Index of a group in the estimator.
using RunTimeGroupIndex = std::uint32_t;

/// Keeps an exponential moving average of the run times of each group.
class RunTimeEstimator {
 public:
  /// Jobs of groups with an expected run time above `limit` are long.
  explicit RunTimeEstimator(core::Duration limit) : short_limit(limit) {}

  /// Returns the index of a group; adds the group when it is new.
  RunTimeGroupIndex GroupOf(const RunTimeGroup& group);
  /// Returns the lane for the next job of a group. The declared run time counts
  /// only until a run time of the group has been observed.
  Lane LaneOf(RunTimeGroupIndex group, core::Duration declared) const;
  /// Returns the average run time of a group. Until one was observed: the
  /// declared run time, or 1 s when none is declared (zero).
  core::Duration ExpectedRunTime(RunTimeGroupIndex group,
                                 core::Duration declared) const;
  /// Records the run time of a job that has ended.
  void ObserveRun(RunTimeGroupIndex group, core::Duration run);
  /// Records the run time so far of a job that is still running; ignored unless
  /// it exceeds the expected run time.
  void ObserveOngoingRun(RunTimeGroupIndex group, core::Duration run);
  core::Duration ShortLimit() const { return this->short_limit; }

 private:
  struct Estimate {
    double mean_ms = 0;
    std::uint32_t observations = 0;
  };
  struct GroupHash {
    std::size_t operator()(const RunTimeGroup& group) const {
      constexpr std::size_t kFactor = 1000003;
      return (group.organisation * kFactor + group.service) * kFactor +
             std::hash<core::JobClass>()(group.job_class);
    }
  };

  core::Duration short_limit;
  std::unordered_map<RunTimeGroup, RunTimeGroupIndex, GroupHash> by_group;
  std::vector<Estimate> estimates;
};

}  // namespace hemlockdoor::decide
