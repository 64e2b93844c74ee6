// Finds places for all members of gangs with accelerators.
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// The requirements of a gang on its workers.
struct GangRequest {
  model::GangShape shape;
  /// Service that the workers must offer; without a value, any worker will do.
  std::optional<ServiceIndex> service;
  CapacityView view = CapacityView::kUncommitted;
  /// Workers that must not be used; null for none.
  const std::vector<WorkerIndex>* excluded = nullptr;
};

/// Places all members of a gang with accelerators, or none. The members of a
/// gang have the same requirements, so filling one worker after another finds
/// places whenever there are any. A gang that need not lie in one rack fills
/// the workers with the smallest sufficient number of free (or adjacent free)
/// accelerators first, which is best fit; a gang that needs one rack gets the
/// rack with the fewest free accelerators that has room. Both keep large free
/// areas whole.
class GangPlacer {
 public:
  explicit GangPlacer(const Fleet& workers) : fleet(workers) {}

  /// Returns the places of all members, or nothing when the gang does not fit.
  std::optional<std::vector<MemberPlace>> Find(
      const GangRequest& request) const;
  /// Returns true when the gang would fit if all known workers were idle,
  /// including those that are draining, quarantined, or absent only since
  /// `oldest_absence` or later.
  bool CouldEverFit(const GangRequest& request,
                    core::TimePoint oldest_absence) const;

 private:
  std::optional<std::vector<MemberPlace>> FindAnywhere(
      const GangRequest& request) const;
  std::optional<std::vector<MemberPlace>> FindInOneRack(
      const GangRequest& request) const;
  /// Adds members on one worker until `places` has all members of the gang or
  /// the worker has no more room.
  void FillWorker(const GangRequest& request,
                  WorkerIndex worker,
                  std::vector<MemberPlace>& places) const;
  /// Returns true when the worker is not excluded and offers the service.
  bool Eligible(const GangRequest& request, WorkerIndex worker) const;
  /// Returns the groups of workers that offer the service of the request.
  std::vector<ServiceGroup> Groups(const GangRequest& request) const;

  const Fleet& fleet;
};

}  // namespace hemlockdoor::decide
