#include "modules/decide/scheduler/starter.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace hemlockdoor::decide {

namespace {

constexpr core::Duration kReservationPeriod = core::Duration::Seconds(1);
/// Time in which a job that can write a checkpoint leaves a reserved place.
constexpr core::Duration kMoveTime = core::Duration::Seconds(60);
/// A move must save at least this many times what it costs.
constexpr double kCompactionGain = 2.0;

}  // namespace

bool Starter::Rank::operator<(const Rank& other) const {
  // std::priority_queue puts the greatest first; the best rank is the greatest.
  return std::tie(other.tier, other.virtual_time, this->priority,
                  other.sequence, other.bucket) <
         std::tie(this->tier, this->virtual_time, other.priority,
                  this->sequence, this->bucket);
}

Starter::Rank Starter::RankOf(BucketHandle handle) const {
  const QueueBucket& bucket = this->state.queue.At(handle);
  const EntryState& entry = this->state.entries.At(bucket.key.entry);
  const Policy& rules = this->state.Rules();
  const bool accelerators = bucket.key.shape.accelerators_per_member > 0;
  const bool guaranteed =
      accelerators && rules.guarantees &&
      this->state.cells.FindGuarantee(bucket.key.entry, bucket.key.shape)
          .has_value();
  Rank rank;
  rank.bucket = handle;
  rank.sequence = this->state.queue.SequenceOf(bucket.first);
  if (guaranteed) {
    rank.tier = bucket.key.urgent ? 0 : 1;
  } else {
    const bool is_short = bucket.key.lane == Lane::kShort && rules.short_lane;
    rank.tier = is_short ? 2 : 3;
  }
  if (rules.fair_share) {
    const Lane account = accelerators ? Lane::kLong : bucket.key.lane;
    rank.virtual_time =
        this->state.fair_share.VirtualTime(entry.organisation, account);
    rank.priority = entry.limits.priority;
  }
  return rank;
}

void Starter::StartQueued(core::TimePoint now) {
  this->failed_searches.clear();
  std::priority_queue<Rank> ranks;
  for (const BucketHandle bucket : this->state.queue.TakeReady()) {
    ranks.push(this->RankOf(bucket));
  }
  while (!ranks.empty()) {
    const Rank best = ranks.top();
    ranks.pop();
    const BucketHandle bucket = best.bucket;
    if (this->state.queue.At(bucket).count == 0 ||
        this->state.decisions.size() >= this->state.Rules().max_decisions) {
      this->state.queue.MarkReady(bucket);
      continue;
    }
    // The organisation may have got other work since the rank was computed.
    const Rank current = this->RankOf(bucket);
    if (current < best && !ranks.empty() && current < ranks.top()) {
      ranks.push(current);
      continue;
    }
    switch (this->TryFirst(bucket, now)) {
      case Attempt::kDone:
        if (this->state.queue.At(bucket).count > 0) {
          ranks.push(this->RankOf(bucket));
        } else {
          this->state.queue.MarkReady(bucket);
        }
        break;
      case Attempt::kNoCapacity:
        this->state.queue.Block(bucket, BlockReason::kNoCapacity);
        break;
      case Attempt::kAcceleratorCap:
        this->state.queue.Block(bucket, BlockReason::kAcceleratorCap);
        break;
      case Attempt::kSlotCap:
        this->state.queue.Block(bucket, BlockReason::kSlotCap);
        break;
    }
  }
}

Starter::Attempt Starter::TryFirst(BucketHandle bucket, core::TimePoint now) {
  const JobHandle handle = this->state.queue.At(bucket).first;
  const JobRecord& job = this->state.jobs.At(handle);
  const EntryState& entry = this->state.entries.At(job.entry);
  const Policy& rules = this->state.Rules();
  if (!entry.present) {
    this->lifecycle.Refuse(handle, RefusalKind::kNoEntry,
                           "no catalogue entry covers class " +
                               entry.job_class.Text() + " of organisation " +
                               entry.owner.Text() + " any more");
    return Attempt::kDone;
  }
  if (rules.drop_stale && now + job.expected_run / 2 > job.expires) {
    this->lifecycle.Refuse(handle, RefusalKind::kDeadline,
                           "its deadline leaves too little time to run");
    return Attempt::kDone;
  }
  if (!entry.HasAccelerators(job.shape)) {
    return Attempt::kAcceleratorCap;
  }
  if (!entry.HasSlots(job.shape)) {
    return Attempt::kSlotCap;
  }
  if (job.shape.accelerators_per_member > 0 && rules.guarantees) {
    const Attempt attempt = this->TryGuaranteed(handle, now);
    if (attempt == Attempt::kDone) {
      return attempt;
    }
  }
  return this->TryOrdinary(handle, now);
}

bool Starter::TryBeside(JobHandle handle,
                        GuaranteeUse use,
                        core::TimePoint now) {
  std::optional<std::vector<MemberPlace>> places = this->FindInView(
      this->state.jobs.At(handle), CapacityView::kUncommitted, nullptr);
  if (!places) {
    return false;
  }
  this->lifecycle.GrantBeside(handle, use, std::move(*places), now);
  return true;
}

Starter::Attempt Starter::TryGuaranteed(JobHandle handle, core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  const std::optional<GuaranteeUse> use =
      this->state.cells.FindGuarantee(job.entry, job.shape);
  if (!use) {
    return Attempt::kNoCapacity;
  }
  // A job smaller than the guaranteed shape would break up a cell; room beside
  // all cells costs nobody anything, and the cell stays whole where it is.
  const bool smaller = !(job.shape == this->state.cells.ShapeAt(use->shape));
  if (smaller && this->TryBeside(handle, *use, now)) {
    return Attempt::kDone;
  }
  std::optional<CellHandle> cell =
      this->state.cells.FindAvailable(*use, job.service);
  if (!cell) {
    cell =
        this->state.cells.Move(*use, job.service, CapacityView::kUncommitted);
  }
  if (cell) {
    this->lifecycle.GrantCell(handle, *use, *cell, now);
    return Attempt::kDone;
  }
  return this->preemption.ReclaimCell(handle, *use, now) ? Attempt::kDone
                                                         : Attempt::kNoCapacity;
}

std::optional<std::vector<MemberPlace>> Starter::FindInView(
    const JobRecord& job,
    CapacityView view,
    const std::vector<WorkerIndex>* excluded) {
  if (job.shape.accelerators_per_member == 0) {
    SlotRequest request;
    request.shape = job.shape;
    request.service = job.service;
    request.lane = job.lane;
    request.view = view;
    request.excluded = excluded;
    return this->state.slot_placer.Find(request);
  }
  GangRequest request;
  request.shape = job.shape;
  request.service = job.service;
  request.view = view;
  request.excluded = excluded;
  return this->state.gang_placer.Find(request);
}

std::optional<std::vector<MemberPlace>> Starter::FindPlaces(
    const JobRecord& job,
    core::TimePoint now) {
  const AttemptHistory* past = this->state.history.Find(job.id);
  const bool has_failed = past != nullptr && !past->failed_on.empty();
  const std::vector<WorkerIndex>* excluded =
      has_failed ? &past->failed_on : nullptr;
  const Policy& rules = this->state.Rules();
  // Another entry cannot stop what this one lends, so a scheduler that is not
  // planning owner lends slots to short work only.
  const bool may_borrow =
      job.stoppable && rules.lending &&
      (this->state.options.plans_accelerators || job.lane == Lane::kShort);
  // Backfill into a reserved place is stopped when the gang can start, which
  // pays only for work that loses little by it.
  const bool may_backfill =
      job.checkpointable || job.lane == Lane::kShort ||
      now + job.expected_run <= this->state.reservations.EarliestExpected();
  const CapacityView borrowed =
      may_backfill ? CapacityView::kIdle : CapacityView::kUnreserved;
  while (true) {
    std::optional<std::vector<MemberPlace>> places =
        this->FindInView(job, CapacityView::kUncommitted, excluded);
    if (!places && may_borrow) {
      places = this->FindInView(job, borrowed, excluded);
    }
    if (places || excluded == nullptr) {
      return places;
    }
    excluded = nullptr;
  }
}

bool Starter::TryTrial(JobHandle handle, core::TimePoint now) {
  JobRecord& job = this->state.jobs.At(handle);
  if (this->state.trials.empty() || !job.stoppable || job.urgent ||
      job.shape.gang_size > 1) {
    return false;
  }
  for (std::size_t i = 0; i < this->state.trials.size(); ++i) {
    const WorkerIndex index = this->state.trials[i];
    const WorkerRecord& worker = this->state.fleet.At(index);
    if (!worker.present || worker.draining || worker.IdleSlots() <= 0 ||
        !this->state.fleet.Offers(index, job.service)) {
      continue;
    }
    const int size = job.shape.accelerators_per_member;
    const model::AcceleratorSet taken =
        worker.Blocks().Take(worker.FreeAccelerators(CapacityView::kIdle), size,
                             NeedsAdjacentAccelerators(job.shape.adjacency));
    if (taken.Count() != size) {
      continue;
    }
    this->state.trials.erase(this->state.trials.begin() +
                             static_cast<std::ptrdiff_t>(i));
    this->state.health.OnTrialStarted(index, now);
    job.trial = true;
    this->lifecycle.Grant(handle, {{index, taken}}, now);
    return true;
  }
  return false;
}

Starter::Attempt Starter::TryOrdinary(JobHandle handle, core::TimePoint now) {
  if (this->TryTrial(handle, now)) {
    return Attempt::kDone;
  }
  const JobRecord& job = this->state.jobs.At(handle);
  const FailedSearch search{job.shape, job.service, job.stoppable,
                            job.checkpointable, job.lane};
  const bool known =
      std::find(this->failed_searches.begin(), this->failed_searches.end(),
                search) != this->failed_searches.end();
  if (!known) {
    std::optional<std::vector<MemberPlace>> places = this->FindPlaces(job, now);
    if (places) {
      this->lifecycle.Grant(handle, std::move(*places), now);
      return Attempt::kDone;
    }
    this->failed_searches.push_back(search);
  }
  return this->RefuseIfHopeless(handle, now) ? Attempt::kDone
                                             : Attempt::kNoCapacity;
}

bool Starter::RefuseIfHopeless(JobHandle handle, core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  if (!this->state.IsSettled(now) ||
      this->state.feasibility.CouldEverFit(
          job.shape, job.service, now - this->state.Rules().absent_memory)) {
    return false;
  }
  this->lifecycle.Refuse(handle, RefusalKind::kNeverRunnable,
                         "no set of workers that offers its service has room "
                         "for it, even when idle");
  return true;
}

void Starter::ServeReservations(core::TimePoint now) {
  if (!this->state.capacity_changed) {
    return;
  }
  const std::vector<Reservation> all = this->state.reservations.All();
  for (const Reservation& reservation : all) {
    this->ServeReservation(reservation, now);
  }
}

bool Starter::MayClear(const Reservation& reservation,
                       core::TimePoint now) const {
  const ReclaimPlanner planner(this->state.fleet, this->state.jobs);
  const std::optional<ReclaimChoice> choice =
      planner.Choose(reservation.members, now);
  if (!choice) {
    return false;
  }
  bool only_backfill = true;
  bool can_move = this->state.Rules().compaction;
  double cost = 0;
  int accelerators = 0;
  core::Duration saved;
  for (const JobHandle victim : choice->victims) {
    const JobRecord& job = this->state.jobs.At(victim);
    if (job.started > reservation.created) {
      continue;
    }
    only_backfill = false;
    can_move = can_move && job.checkpointable;
    cost += planner.CostOf(job, now);
    accelerators += job.shape.TotalAccelerators();
    saved = std::max(saved, job.started + job.expected_run - now);
  }
  if (only_backfill) {
    return true;
  }
  const JobRecord& gang = this->state.jobs.At(reservation.job);
  const double gain = static_cast<double>(saved.InMilliseconds()) *
                      gang.shape.TotalAccelerators();
  const int free =
      this->state.fleet.FreeAccelerators(CapacityView::kUnreserved);
  return can_move && gain > kCompactionGain * cost && free >= accelerators;
}

bool Starter::IsLost(const Reservation& reservation,
                     const JobRecord& job) const {
  for (const MemberPlace& place : reservation.members) {
    const WorkerRecord& worker = this->state.fleet.At(place.worker);
    if (!worker.Usable() || worker.foreign.Intersects(place.accelerators) ||
        worker.held.Intersects(place.accelerators)) {
      return true;
    }
    // Work within a guarantee has taken the place; its end may be far away.
    const bool taken = std::any_of(
        worker.jobs.begin(), worker.jobs.end(), [&](JobHandle other) {
          const JobRecord& running = this->state.jobs.At(other);
          return running.hard && running.started > reservation.created &&
                 std::any_of(running.members.begin(), running.members.end(),
                             [&place](const MemberPlace& member) {
                               return member.worker == place.worker &&
                                      member.accelerators.Intersects(
                                          place.accelerators);
                             });
        });
    if (taken) {
      return true;
    }
    if (job.stoppable) {
      continue;
    }
    // Guarantees may have claimed the place since it was reserved.
    const auto members_here =
        std::count_if(reservation.members.begin(), reservation.members.end(),
                      [&place](const MemberPlace& other) {
                        return other.worker == place.worker;
                      });
    if (worker.claimed.Intersects(place.accelerators) ||
        worker.FreeSlots(CapacityView::kClaimable, Lane::kLong) <
            members_here) {
      return true;
    }
  }
  return false;
}

void Starter::ServeReservation(const Reservation& reservation,
                               core::TimePoint now) {
  const JobHandle handle = reservation.job;
  JobRecord& job = this->state.jobs.At(handle);
  const EntryState& entry = this->state.entries.At(job.entry);
  if (!entry.present || !entry.HasAccelerators(job.shape) ||
      !entry.HasSlots(job.shape)) {
    this->state.reservations.Drop(handle);
    job.reserved = false;
    return;
  }
  // Its own reservation must not hide room from the gang.
  for (const MemberPlace& place : reservation.members) {
    this->state.fleet.Unreserve(place);
  }
  std::optional<std::vector<MemberPlace>> places = this->FindPlaces(job, now);
  for (const MemberPlace& place : reservation.members) {
    this->state.fleet.Reserve(place);
  }
  if (places) {
    this->lifecycle.Grant(handle, std::move(*places), now);
    return;
  }
  const bool lost = this->IsLost(reservation, job);
  if (lost) {
    this->state.reservations.Drop(handle);
    job.reserved = false;
    return;
  }
  if (this->MayClear(reservation, now)) {
    this->preemption.ReclaimPlaces(handle, reservation.members, now);
  }
}

void Starter::MakeReservation(core::TimePoint now) {
  if (!this->state.Rules().reservations || now < this->state.next_reservation) {
    return;
  }
  this->state.next_reservation = now + kReservationPeriod;
  // Small jobs fit into whatever is freed. Without the weight of the size,
  // their reservations would lie scattered in the place a large gang needs.
  JobHandle chosen = kNoJob;
  double most = 0;
  for (const BucketHandle handle : this->state.queue.BlockedForAccelerators()) {
    const QueueBucket& bucket = this->state.queue.At(handle);
    if (bucket.count == 0 || this->state.jobs.At(bucket.first).reserved) {
      continue;
    }
    const JobRecord& job = this->state.jobs.At(bucket.first);
    if (!this->state.reservations.CanReserve(job.shape.TotalAccelerators())) {
      continue;
    }
    const double claim =
        static_cast<double>((now - job.submitted).InMilliseconds() + 1) *
        job.shape.TotalAccelerators();
    if (claim > most) {
      most = claim;
      chosen = bucket.first;
    }
  }
  if (chosen == kNoJob) {
    return;
  }
  JobRecord& job = this->state.jobs.At(chosen);
  GangRequest request;
  request.shape = job.shape;
  request.service = job.service;
  request.view = job.stoppable && this->state.Rules().lending
                     ? CapacityView::kIdle
                     : CapacityView::kUncommitted;
  job.reserved = this->state.reservations.Reserve(
      chosen, request,
      [this, now](JobHandle other) {
        const JobRecord& running = this->state.jobs.At(other);
        const core::Duration remaining = std::max(
            core::Duration(), running.started + running.expected_run - now);
        const bool can_move = this->state.Rules().compaction &&
                              running.checkpointable && !running.hard;
        return can_move ? std::min(remaining, kMoveTime) : remaining;
      },
      now);
}

}  // namespace hemlockdoor::decide
