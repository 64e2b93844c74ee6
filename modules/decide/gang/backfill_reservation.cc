#include "modules/decide/gang/backfill_reservation.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::Adjacency;

namespace {

/// Workers looked at for one reservation, so that its cost is bounded.
constexpr std::size_t kMaxWorkersSearched = 1024;
/// Capacity that a guarantee may need is taken last.
constexpr core::Duration kClaimPenalty = core::Duration::Seconds(300);
/// One accelerator in this many may be reserved, but for the first gang.
constexpr int kMostShareReserved = 4;

}  // namespace

void BackfillReservations::AddOptions(
    const GangRequest& request,
    WorkerIndex index,
    const std::function<core::Duration(JobHandle)>& remaining,
    std::vector<Option>& options) const {
  const WorkerRecord& worker = this->fleet.At(index);
  if (!worker.Usable() ||
      (request.service && !this->fleet.Offers(index, *request.service))) {
    return;
  }
  const bool uncommitted_only = request.view == CapacityView::kUncommitted;
  AcceleratorSet open = worker.all.Without(
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
  const core::Duration by_job = [&]() {
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
        blocks.Take(open.Without(worker.used), size, adjacent);
    const bool is_free = taken.Count() > 0;
    if (!is_free) {
      taken = blocks.Take(open, size, adjacent);
    }
    if (taken.Count() == 0) {
      return;
    }
    const bool ready = is_free && free_slots-- > 0;
    core::Duration expected = ready ? core::Duration() : by_job;
    if (worker.claimed.Intersects(taken)) {
      expected = expected + kClaimPenalty;
    }
    options.push_back({expected, {index, taken}});
    open = open.Without(taken);
  }
}

bool BackfillReservations::CanReserve(int accelerators) const {
  if (this->reservations.empty()) {
    return true;
  }
  int kept = accelerators;
  for (const Reservation& reservation : this->reservations) {
    for (const MemberPlace& place : reservation.members) {
      kept += place.accelerators.Count();
    }
  }
  return this->reservations.size() < this->max_count &&
         kept <= this->fleet.TotalAccelerators() / kMostShareReserved;
}

core::TimePoint BackfillReservations::EarliestExpected() const {
  core::TimePoint earliest = core::TimePoint::FromMilliseconds(
      std::numeric_limits<std::int64_t>::max());
  for (const Reservation& reservation : this->reservations) {
    earliest = std::min(earliest, reservation.expected);
  }
  return earliest;
}

std::optional<BackfillReservations::Pick> BackfillReservations::PickEarliest(
    const model::GangShape& shape,
    std::vector<Option>& options) const {
  const auto members = static_cast<std::size_t>(shape.gang_size);
  if (options.size() < members) {
    return std::nullopt;
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& left, const Option& right) {
                     return left.ready < right.ready;
                   });
  Pick pick;
  pick.ready = options[members - 1].ready;
  for (std::size_t i = 0; i < members; ++i) {
    pick.places.push_back(options[i].place);
  }
  // Members on one worker lie next to each other.
  std::stable_sort(pick.places.begin(), pick.places.end(),
                   [](const MemberPlace& left, const MemberPlace& right) {
                     return left.worker < right.worker;
                   });
  return pick;
}

std::optional<BackfillReservations::Pick> BackfillReservations::PickInOneRack(
    const model::GangShape& shape,
    const std::vector<Option>& options) const {
  std::map<std::uint32_t, std::vector<Option>> by_rack;
  for (const Option& option : options) {
    by_rack[this->fleet.At(option.place.worker).rack].push_back(option);
  }
  std::optional<Pick> best;
  for (auto& [rack, in_rack] : by_rack) {
    std::optional<Pick> pick = this->PickEarliest(shape, in_rack);
    if (pick && (!best || pick->ready < best->ready)) {
      best = std::move(pick);
    }
  }
  return best;
}

bool BackfillReservations::Reserve(
    JobHandle job,
    const GangRequest& request,
    const std::function<core::Duration(JobHandle)>& remaining,
    core::TimePoint now) {
  std::vector<Option> options;
  const std::size_t count = this->fleet.Count();
  const std::size_t searched = std::min(count, kMaxWorkersSearched);
  for (std::size_t i = 0; i < searched; ++i) {
    const auto worker =
        static_cast<WorkerIndex>((this->next_worker + i) % count);
    this->AddOptions(request, worker, remaining, options);
  }
  this->next_worker = static_cast<WorkerIndex>(
      count == 0 ? 0 : (this->next_worker + searched) % count);
  std::optional<Pick> pick = request.shape.adjacency == Adjacency::kRack
                                 ? this->PickInOneRack(request.shape, options)
                                 : this->PickEarliest(request.shape, options);
  if (!pick) {
    return false;
  }
  for (const MemberPlace& place : pick->places) {
    this->fleet.Reserve(place);
  }
  this->reservations.push_back(
      {job, std::move(pick->places), now, now + pick->ready});
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
