// Finds places for whole gangs.
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// What a gang needs of its workers.
struct GangRequest {
  model::GangShape shape;
  /// Service the workers must offer; nothing: any worker.
  std::optional<ServiceIndex> service;
  CapacityView view = CapacityView::kUncommitted;
  /// Workers to avoid.
  const std::vector<WorkerIndex>* excluded = nullptr;
};

/// Places gangs with accelerators: all members or none. Members of one gang are
/// alike, so filling workers one after another finds a place whenever there is
/// one. Workers with the least room that is enough come first (best fit), which
/// keeps large free areas whole.
class GangPlacer {
 public:
  explicit GangPlacer(const Fleet& workers) : fleet(workers) {}

  /// Places for all members, or nothing.
  std::optional<std::vector<MemberPlace>> Find(
      const GangRequest& request) const;
  /// True when the gang fits on the workers known, were they all idle. Workers
  /// absent since before `oldest_absence` do not count.
  bool CouldEverFit(const GangRequest& request,
                    core::TimePoint oldest_absence) const;

 private:
  std::optional<std::vector<MemberPlace>> FindAnywhere(
      const GangRequest& request) const;
  std::optional<std::vector<MemberPlace>> FindInOneRack(
      const GangRequest& request) const;
  /// Adds members on one worker until `places` is full or the worker is.
  void FillWorker(const GangRequest& request,
                  WorkerIndex worker,
                  std::vector<MemberPlace>& places) const;
  bool Eligible(const GangRequest& request, WorkerIndex worker) const;
  std::vector<ServiceGroup> Groups(const GangRequest& request) const;

  const Fleet& fleet;
};

}  // namespace hemlockdoor::decide
