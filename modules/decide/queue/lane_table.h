// Short and long work, told apart by observed run times.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "modules/core/core.h"
#include "modules/decide/fleet/fleet.h"
#include "modules/decide/queue/fair_share.h"

namespace hemlockdoor::decide {

/// Work whose run times are observed together.
struct WorkKind {
  OrganisationIndex organisation = 0;
  ServiceIndex service = 0;
  core::JobClass job_class;
  bool operator==(const WorkKind&) const = default;
};

/// A kind of work by its number in the lane table.
using WorkKindIndex = std::uint32_t;

/// Keeps a moving average of run times for each (organisation, service, class).
class LaneTable {
 public:
  /// Work that runs longer than `limit` on average is long.
  explicit LaneTable(core::Duration limit) : short_limit(limit) {}

  WorkKindIndex KindOf(const WorkKind& kind);
  /// The lane of the next job of a kind. The declared run time decides only
  /// until the first job of the kind has been observed.
  Lane LaneOf(WorkKindIndex kind, core::Duration declared) const;
  /// Expected run time; the declared one until something was observed.
  core::Duration Expected(WorkKindIndex kind, core::Duration declared) const;
  /// A job of a kind ran for a time.
  void Observe(WorkKindIndex kind, core::Duration run);
  /// A job of a kind has run for a time and goes on.
  void ObserveAtLeast(WorkKindIndex kind, core::Duration run);
  core::Duration ShortLimit() const { return this->short_limit; }

 private:
  struct Estimate {
    double mean_ms = 0;
    std::uint32_t observations = 0;
  };
  struct KindHash {
    std::size_t operator()(const WorkKind& kind) const {
      constexpr std::size_t kFactor = 1000003;
      return (kind.organisation * kFactor + kind.service) * kFactor +
             std::hash<core::JobClass>()(kind.job_class);
    }
  };

  core::Duration short_limit;
  std::unordered_map<WorkKind, WorkKindIndex, KindHash> by_kind;
  std::vector<Estimate> estimates;
};

}  // namespace hemlockdoor::decide
