#include "modules/decide/gang/backfill_reservation.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::Adjacency;

namespace {

/// Limits the workers that one search looks at, which bounds its run time.
constexpr std::size_t kMaxWorkersSearched = 1024;
/// Added to the expected wait of a place that a guarantee claims, so that other
/// places come first.
constexpr core::Duration kClaimPenalty = core::Duration::Seconds(300);
/// One in this many accelerators of the fleet may be reserved. The first
/// reservation is exempt.
constexpr int kReservedShareDivisor = 4;

}  // namespace

void BackfillReservations::AddCandidates(
    const GangRequest& request,
    WorkerIndex index,
    const std::function<core::Duration(JobHandle)>& remaining,
    std::vector<Candidate>& candidates) const {
  const WorkerRecord& worker = this->fleet.At(index);
  if (!worker.Usable() ||
      (request.service && !this->fleet.Offers(index, *request.service))) {
    return;
  }
  const bool uncommitted_only = request.view == CapacityView::kUncommitted;
  AcceleratorSet assignable = worker.all.Without(
      worker.foreign.Union(worker.held)
          .Union(worker.reserved)
          .Union(uncommitted_only ? worker.claimed : AcceleratorSet()));
  int slots = worker.shape.slots - worker.short_reserve - worker.foreign_slots -
              worker.held_slots - worker.reserved_slots -
              (uncommitted_only ? worker.claimed_slots : 0);
  if (request.shape.adjacency == Adjacency::kSpread) {
    slots = std::min(slots, 1);
  }
  const bool adjacent = NeedsAdjacentAccelerators(request.shape.adjacency);
  const int size = request.shape.accelerators_per_member;
  const core::Duration longest_remaining = [&]() {
    core::Duration longest;
    for (const JobHandle job : worker.jobs) {
      longest = std::max(longest, remaining(job));
    }
    return longest;
  }();
  const AcceleratorBlocks blocks = worker.Blocks();
  int free_slots = worker.FreeSlots(request.view, Lane::kLong);
  for (; slots > 0; --slots) {
    AcceleratorSet taken =
        blocks.Take(assignable.Without(worker.used), size, adjacent);
    const bool is_free = taken.Count() > 0;
    if (!is_free) {
      taken = blocks.Take(assignable, size, adjacent);
    }
    if (taken.Count() == 0) {
      return;
    }
    const bool ready = is_free && free_slots-- > 0;
    core::Duration expected_wait = ready ? core::Duration() : longest_remaining;
    if (worker.claimed.Intersects(taken)) {
      expected_wait = expected_wait + kClaimPenalty;
    }
    candidates.push_back({expected_wait, {index, taken}});
    assignable = assignable.Without(taken);
  }
}

bool BackfillReservations::CanReserve(int accelerators) const {
  if (this->reservations.empty()) {
    return true;
  }
  int total_reserved = accelerators;
  for (const Reservation& reservation : this->reservations) {
    for (const MemberPlace& place : reservation.members) {
      total_reserved += place.accelerators.Count();
    }
  }
  return this->reservations.size() < this->max_count &&
         total_reserved <=
             this->fleet.TotalAccelerators() / kReservedShareDivisor;
}

core::TimePoint BackfillReservations::EarliestExpected() const {
  core::TimePoint earliest = core::TimePoint::FromMilliseconds(
      std::numeric_limits<std::int64_t>::max());
  for (const Reservation& reservation : this->reservations) {
    earliest = std::min(earliest, reservation.expected);
  }
  return earliest;
}

std::optional<BackfillReservations::Selection>
BackfillReservations::SelectEarliest(const model::GangShape& shape,
                                     std::vector<Candidate>& candidates) const {
  const auto members = static_cast<std::size_t>(shape.gang_size);
  if (candidates.size() < members) {
    return std::nullopt;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.expected_wait < right.expected_wait;
                   });
  Selection selection;
  selection.expected_wait = candidates[members - 1].expected_wait;
  for (std::size_t i = 0; i < members; ++i) {
    selection.places.push_back(candidates[i].place);
  }
  // Members on the same worker must be consecutive.
  std::stable_sort(selection.places.begin(), selection.places.end(),
                   [](const MemberPlace& left, const MemberPlace& right) {
                     return left.worker < right.worker;
                   });
  return selection;
}

std::optional<BackfillReservations::Selection>
BackfillReservations::SelectInOneRack(
    const model::GangShape& shape,
    const std::vector<Candidate>& candidates) const {
  std::map<std::uint32_t, std::vector<Candidate>> by_rack;
  for (const Candidate& candidate : candidates) {
    by_rack[this->fleet.At(candidate.place.worker).rack].push_back(candidate);
  }
  std::optional<Selection> best;
  for (auto& [rack, in_rack] : by_rack) {
    std::optional<Selection> selection = this->SelectEarliest(shape, in_rack);
    if (selection &&
        (!best || selection->expected_wait < best->expected_wait)) {
      best = std::move(selection);
    }
  }
  return best;
}

bool BackfillReservations::Reserve(
    JobHandle job,
    const GangRequest& request,
    const std::function<core::Duration(JobHandle)>& remaining,
    core::TimePoint now) {
  std::vector<Candidate> candidates;
  const std::size_t count = this->fleet.Count();
  const std::size_t searched = std::min(count, kMaxWorkersSearched);
  for (std::size_t i = 0; i < searched; ++i) {
    const auto worker =
        static_cast<WorkerIndex>((this->next_worker + i) % count);
    this->AddCandidates(request, worker, remaining, candidates);
  }
  this->next_worker = static_cast<WorkerIndex>(
      count == 0 ? 0 : (this->next_worker + searched) % count);
  std::optional<Selection> selection =
      request.shape.adjacency == Adjacency::kRack
          ? this->SelectInOneRack(request.shape, candidates)
          : this->SelectEarliest(request.shape, candidates);
  if (!selection) {
    return false;
  }
  for (const MemberPlace& place : selection->places) {
    this->fleet.Reserve(place);
  }
  this->reservations.push_back(
      {job, std::move(selection->places), now, now + selection->expected_wait});
  return true;
}

void BackfillReservations::Drop(JobHandle job) {
  const auto found =
      std::find_if(this->reservations.begin(), this->reservations.end(),
                   [job](const Reservation& row) { return row.job == job; });
  if (found == this->reservations.end()) {
    return;
  }
  for (const MemberPlace& place : found->members) {
    this->fleet.Unreserve(place);
  }
  this->reservations.erase(found);
}

const Reservation* BackfillReservations::Find(JobHandle job) const {
  const auto found =
      std::find_if(this->reservations.begin(), this->reservations.end(),
                   [job](const Reservation& row) { return row.job == job; });
  return found == this->reservations.end() ? nullptr : &*found;
}

}  // namespace hemlockdoor::decide
