#include "modules/batch/planner/reservation.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "modules/batch/planner/candidates.h"

namespace hemlockdoor::batch {

namespace {

using detail::Candidate;

/// Room for one task on a worker from a point in time on.
struct Slot {
  core::TimePoint from;
  const core::AgentId* agent = nullptr;

  bool operator<(const Slot& other) const {
    return std::tie(this->from, *this->agent) <
           std::tie(other.from, *other.agent);
  }
};

/// Adds the slots that a worker has now.
void AddSlots(Candidate& candidate,
              const PlacementRequest& request,
              core::TimePoint from,
              std::vector<Slot>& slots) {
  const Resources need = CountedNeed(*request.step);
  for (int added = 0;
       added < request.size && detail::HasRoom(candidate, request); ++added) {
    candidate.free = candidate.free - need;
    ++candidate.placed_tasks;
    slots.push_back({from, &candidate.view->agent});
  }
}

/// Returns the expected end of a unit that starts at `start` on workers with
/// time factors of up to `time_factor`.
core::TimePoint ExpectedEnd(const PlacementRequest& request,
                            core::TimePoint start,
                            double time_factor) {
  return start + core::Duration::Milliseconds(std::llround(
                     time_factor *
                     static_cast<double>(request.run_time.InMilliseconds())));
}

std::optional<Reservation> ReserveIn(std::vector<Candidate> group,
                                     const PlacementRequest& request,
                                     const ExpectedReleases& releases,
                                     core::TimePoint latest) {
  if (request.work != nullptr) {
    request.work->workers_reserving += group.size();
  }
  std::vector<Slot> slots;
  for (Candidate& candidate : group) {
    AddSlots(candidate, request, request.now, slots);
    const auto found = releases.find(candidate.view->agent);
    if (found == releases.end()) {
      continue;
    }
    for (const ExpectedRelease& release : found->second) {
      if (release.at > latest) {
        break;
      }
      candidate.free = candidate.free + release.freed;
      AddSlots(candidate, request, release.at, slots);
    }
  }
  const auto size = static_cast<std::size_t>(request.size);
  if (slots.size() < size) {
    return std::nullopt;
  }
  std::sort(slots.begin(), slots.end());
  Reservation reservation;
  for (std::size_t i = 0; i < size; ++i) {
    reservation.agents.push_back(*slots[i].agent);
  }
  reservation.start = slots[size - 1].from;
  return reservation;
}

/// Reserves in the group, without the workers with a higher time factor.
std::optional<Reservation> ReserveUpTo(double time_factor,
                                       const std::vector<Candidate>& group,
                                       const PlacementRequest& request,
                                       const ExpectedReleases& releases,
                                       core::TimePoint latest) {
  std::optional<Reservation> found =
      ReserveIn(detail::WithTimeFactors(group, 0, time_factor), request,
                releases, latest);
  if (found) {
    found->end = ExpectedEnd(request, found->start, time_factor);
  }
  return found;
}

}  // namespace

std::optional<Reservation> FindReservation(const Fleet& fleet,
                                           const PlacementRequest& request,
                                           const ExpectedReleases& releases,
                                           core::TimePoint latest) {
  std::optional<Reservation> best;
  for (const std::vector<Candidate>& group : detail::CandidateGroups(
           detail::UsableCandidates(fleet, request), request)) {
    for (const double time_factor : detail::TimeFactors(group)) {
      std::optional<Reservation> found =
          ReserveUpTo(time_factor, group, request, releases, latest);
      if (found && (!best || found->end < best->end)) {
        best = std::move(found);
      }
    }
  }
  return best;
}

}  // namespace hemlockdoor::batch
