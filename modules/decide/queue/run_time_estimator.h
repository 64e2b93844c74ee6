// Short and long work, told apart by observed run times.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// Work whose run times are observed together.
struct RunTimeGroup {
  OrganisationIndex organisation = 0;
  ServiceIndex service = 0;
  core::JobClass job_class;
  bool operator==(const RunTimeGroup&) const = default;
};

/// A group of work by its number in the lane table.
using RunTimeGroupIndex = std::uint32_t;

/// Keeps a moving average of run times for each (organisation, service, class).
class RunTimeEstimator {
 public:
  /// Work that runs longer than `limit` on average is long.
  explicit RunTimeEstimator(core::Duration limit) : short_limit(limit) {}

  RunTimeGroupIndex GroupOf(const RunTimeGroup& group);
  /// The lane of the next job of a group. The declared run time decides only
  /// until the first job of the group has been observed.
  Lane LaneOf(RunTimeGroupIndex group, core::Duration declared) const;
  /// ExpectedRunTime run time; the declared one until something was observed.
  core::Duration ExpectedRunTime(RunTimeGroupIndex group,
                                 core::Duration declared) const;
  /// A job of a group ran for a time.
  void ObserveRun(RunTimeGroupIndex group, core::Duration run);
  /// A job of a group has run for a time and goes on.
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
