// Reservations of places for gangs that wait for free capacity.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// The places reserved for all members of a queued job.
struct Reservation {
  JobHandle job = kNoJob;
  std::vector<MemberPlace> members;
  core::TimePoint created;
  /// Time at which all places are expected to be free.
  core::TimePoint expected;
};

/// Reserves places for a few gangs that found no free capacity. Only
/// preemptible jobs may backfill reserved places. They are stopped once no
/// other jobs use the places, so the delay that backfill adds to the gang is
/// bounded by the time to stop a job. Unlike in EASY backfill, that bound does
/// not depend on declared run times.
class BackfillReservations {
 public:
  /// Allows at most `max_reservations` reservations at a time.
  BackfillReservations(Fleet& workers, std::size_t max_reservations)
      : fleet(workers), max_count(max_reservations) {}

  /// Returns true when a further reservation of a number of accelerators is
  /// allowed. The first one may have any size. All reservations together are
  /// limited to a share of the fleet, since reserved places are partly idle.
  bool CanReserve(int accelerators) const;
  /// Returns the earliest time at which a reservation is expected to be free;
  /// the largest time point when there is no reservation.
  core::TimePoint EarliestExpected() const;
  /// Reserves the places that are expected to be free first. `remaining`
  /// returns the expected remaining run time of a running job. One call looks
  /// at a limited number of workers; the next call continues after them.
  /// Returns false when these workers have no room for the gang, even when
  /// idle.
  bool Reserve(JobHandle job,
               const GangRequest& request,
               const std::function<core::Duration(JobHandle)>& remaining,
               core::TimePoint now);
  /// Removes the reservation of a job, if there is one.
  void Drop(JobHandle job);
  const std::vector<Reservation>& All() const { return this->reservations; }
  /// Returns the reservation of a job, or null when it has none. The next
  /// `Reserve` or `Drop` invalidates the pointer.
  const Reservation* Find(JobHandle job) const;

 private:
  /// A possible place for one member.
  struct Candidate {
    /// Time until the place is expected to be free, plus a penalty when a
    /// guarantee claims it.
    core::Duration expected_wait;
    MemberPlace place;
  };

  /// Adds all places for members, idle or in use, that a worker has room for.
  void AddCandidates(const GangRequest& request,
                     WorkerIndex worker,
                     const std::function<core::Duration(JobHandle)>& remaining,
                     std::vector<Candidate>& candidates) const;
  /// Places for all members of a gang, and the longest wait among them.
  struct Selection {
    core::Duration expected_wait;
    std::vector<MemberPlace> places;
  };
  /// Returns the candidates with the shortest waits; nothing when there are
  /// fewer candidates than members. Sorts `candidates`.
  std::optional<Selection> SelectEarliest(
      const model::GangShape& shape,
      std::vector<Candidate>& candidates) const;
  /// As `SelectEarliest`, with all members in the rack of the shortest wait.
  std::optional<Selection> SelectInOneRack(
      const model::GangShape& shape,
      const std::vector<Candidate>& candidates) const;

  Fleet& fleet;
  std::size_t max_count;
  std::vector<Reservation> reservations;
  /// The worker at which the next search starts. In a large fleet one search
  /// covers only part of the workers.
  WorkerIndex next_worker = 0;
};

}  // namespace hemlockdoor::decide
