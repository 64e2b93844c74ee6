// Places kept for gangs that wait for room.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// A place kept for a job.
struct Reservation {
  JobHandle job = kNoJob;
  std::vector<MemberPlace> members;
  core::TimePoint created;
  /// Time at which the place is expected to be free.
  core::TimePoint expected;
};

/// Keeps places for a few blocked gangs. Backfill into such a place is allowed
/// for work that may be stopped only; it is stopped when all other work has
/// left the place. The delay by backfill is therefore bounded by the time to
/// stop a job, and does not depend on declared run times (other than in EASY
/// backfill).
class BackfillReservations {
 public:
  BackfillReservations(Fleet& workers, std::size_t most)
      : fleet(workers), max_count(most) {}

  /// True when one more place of a size may be kept. The first one may have any
  /// size; all together keep a share of the fleet, since they lie partly idle.
  bool CanReserve(int accelerators) const;
  /// Earliest time at which a reserved place is expected to be free.
  core::TimePoint EarliestExpected() const;
  /// Reserves the place that is expected to be free first. `remaining` tells
  /// the expected remaining run time of a running job. False when no set of
  /// workers has room, idle or not.
  bool Reserve(JobHandle job,
               const GangRequest& request,
               const std::function<core::Duration(JobHandle)>& remaining,
               core::TimePoint now);
  void Drop(JobHandle job);
  const std::vector<Reservation>& All() const { return this->reservations; }
  const Reservation* Find(JobHandle job) const;

 private:
  struct Option {
    core::Duration ready;
    MemberPlace place;
  };

  void AddOptions(const GangRequest& request,
                  WorkerIndex worker,
                  const std::function<core::Duration(JobHandle)>& remaining,
                  std::vector<Option>& options) const;
  struct Pick {
    core::Duration ready;
    std::vector<MemberPlace> places;
  };
  std::optional<Pick> PickEarliest(const model::GangShape& shape,
                                   std::vector<Option>& options) const;
  std::optional<Pick> PickInOneRack(const model::GangShape& shape,
                                    const std::vector<Option>& options) const;

  Fleet& fleet;
  std::size_t max_count;
  std::vector<Reservation> reservations;
  /// Worker that the next search begins at, for fleets too large for one.
  WorkerIndex next_worker = 0;
};

}  // namespace hemlockdoor::decide
