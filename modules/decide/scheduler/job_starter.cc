#include "modules/decide/scheduler/job_starter.h"

#include <algorithm>
#include <queue>
#include <tuple>

namespace hemlockdoor::decide {

namespace {

/// Shortest time between two searches for a new reservation.
constexpr core::Duration kReservationPeriod = core::Duration::Seconds(1);
/// Expected time until a checkpointable job has been moved away from a reserved
/// place.
constexpr core::Duration kCheckpointMoveTime = core::Duration::Seconds(60);
/// Compaction clears a reserved place only when the wait that this saves is
/// more than this many times the cost of moving the jobs there.
constexpr double kMinCompactionGain = 2.0;

}  // namespace

bool JobStarter::Rank::operator<(const Rank& other) const {
  // std::priority_queue returns the greatest element first, so the best rank
  // compares as the greatest.
  return std::tie(other.tier, other.virtual_time, this->priority,
                  other.sequence, other.bucket) <
         std::tie(this->tier, this->virtual_time, other.priority,
                  this->sequence, this->bucket);
}

JobStarter::Rank JobStarter::RankOf(BucketHandle handle) const {
  const QueueBucket& bucket = this->state.queue.At(handle);
  const EntryState& entry = this->state.entries.At(bucket.key.entry);
  const Policy& policy = this->state.GetPolicy();
  const bool accelerators = bucket.key.shape.accelerators_per_member > 0;
  const bool guaranteed =
      accelerators && policy.guarantees &&
      this->state.cells.FindGuarantee(bucket.key.entry, bucket.key.shape)
          .has_value();
  Rank rank;
  rank.bucket = handle;
  rank.sequence = this->state.queue.SequenceOf(bucket.first);
  if (guaranteed) {
    rank.tier = bucket.key.urgent ? 0 : 1;
  } else {
    const bool is_short = bucket.key.lane == Lane::kShort && policy.short_lane;
    rank.tier = is_short ? 2 : 3;
  }
  if (policy.fair_share) {
    const Lane charged_lane = accelerators ? Lane::kLong : bucket.key.lane;
    rank.virtual_time =
        this->state.fair_share.VirtualTime(entry.organisation, charged_lane);
    rank.priority = entry.limits.priority;
  }
  return rank;
}

void JobStarter::StartQueued(core::TimePoint now) {
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
        this->state.decisions.size() >= this->state.GetPolicy().max_decisions) {
      this->state.queue.MarkReady(bucket);
      continue;
    }
    // Starting another job of the organisation may have raised its virtual time
    // since this rank was computed.
    const Rank current = this->RankOf(bucket);
    if (current < best && !ranks.empty() && current < ranks.top()) {
      ranks.push(current);
      continue;
    }
    switch (this->TryStartFirst(bucket, now)) {
      case StartResult::kLeftQueue:
        if (this->state.queue.At(bucket).count > 0) {
          ranks.push(this->RankOf(bucket));
        } else {
          this->state.queue.MarkReady(bucket);
        }
        break;
      case StartResult::kNoCapacity:
        this->state.queue.Block(bucket, BlockReason::kNoCapacity);
        break;
      case StartResult::kAcceleratorCap:
        this->state.queue.Block(bucket, BlockReason::kAcceleratorCap);
        break;
      case StartResult::kSlotCap:
        this->state.queue.Block(bucket, BlockReason::kSlotCap);
        break;
    }
  }
}

JobStarter::StartResult JobStarter::TryStartFirst(BucketHandle bucket,
                                                  core::TimePoint now) {
  const JobHandle handle = this->state.queue.At(bucket).first;
  const JobRecord& job = this->state.jobs.At(handle);
  const EntryState& entry = this->state.entries.At(job.entry);
  const Policy& policy = this->state.GetPolicy();
  if (!entry.present) {
    this->lifecycle.Refuse(handle, RefusalKind::kNoEntry,
                           "no catalogue entry covers class " +
                               entry.job_class.Text() + " of organisation " +
                               entry.owner.Text() + " any more");
    return StartResult::kLeftQueue;
  }
  if (policy.drop_stale && now + job.expected_run / 2 > job.expires) {
    this->lifecycle.Refuse(
        handle, RefusalKind::kDeadline,
        "the time left before the job's deadline is less "
        "than half of its expected run time of " +
            std::to_string(job.expected_run.InMilliseconds()) + " ms");
    return StartResult::kLeftQueue;
  }
  if (!entry.FitsAcceleratorCap(job.shape)) {
    return StartResult::kAcceleratorCap;
  }
  if (!entry.FitsSlotCap(job.shape)) {
    return StartResult::kSlotCap;
  }
  if (job.shape.accelerators_per_member > 0 && policy.guarantees) {
    const StartResult attempt = this->TryGuaranteed(handle, now);
    if (attempt == StartResult::kLeftQueue) {
      return attempt;
    }
  }
  return this->TryOrdinary(handle, now);
}

bool JobStarter::TryOutsideCell(JobHandle handle,
                                GuaranteeUse use,
                                core::TimePoint now) {
  std::optional<std::vector<MemberPlace>> places = this->FindInView(
      this->state.jobs.At(handle), CapacityView::kUncommitted, nullptr);
  if (!places) {
    return false;
  }
  this->lifecycle.GrantOutsideCell(handle, use, std::move(*places), now);
  return true;
}

JobStarter::StartResult JobStarter::TryGuaranteed(JobHandle handle,
                                                  core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  const std::optional<GuaranteeUse> use =
      this->state.cells.FindGuarantee(job.entry, job.shape);
  if (!use) {
    return StartResult::kNoCapacity;
  }
  // A job smaller than the guaranteed shape would fragment a cell. Capacity
  // that no cell claims is preferred, because the cell then keeps its whole
  // place and no job has to be preempted.
  const bool smaller = !(job.shape == this->state.cells.ShapeAt(use->shape));
  if (smaller && this->TryOutsideCell(handle, *use, now)) {
    return StartResult::kLeftQueue;
  }
  std::optional<CellHandle> cell =
      this->state.cells.FindAvailable(*use, job.service);
  if (!cell) {
    cell =
        this->state.cells.Move(*use, job.service, CapacityView::kUncommitted);
  }
  if (cell) {
    this->lifecycle.GrantCell(handle, *use, *cell, now);
    return StartResult::kLeftQueue;
  }
  return this->preemption.ReclaimCell(handle, *use, now)
             ? StartResult::kLeftQueue
             : StartResult::kNoCapacity;
}

std::optional<std::vector<MemberPlace>> JobStarter::FindInView(
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

std::optional<std::vector<MemberPlace>> JobStarter::FindPlaces(
    const JobRecord& job,
    core::TimePoint now) {
  const AttemptHistory* past = this->state.history.Find(job.id);
  const bool has_failed = past != nullptr && !past->failed_on.empty();
  const std::vector<WorkerIndex>* excluded =
      has_failed ? &past->failed_on : nullptr;
  const Policy& policy = this->state.GetPolicy();
  // Another entry cannot stop the jobs that this one starts on borrowed
  // capacity, so a scheduler that is not the planning owner lets only short
  // jobs borrow.
  const bool may_borrow =
      job.stoppable && policy.lending &&
      (this->state.options.plans_accelerators || job.lane == Lane::kShort);
  // Jobs that backfill a reserved place are stopped when the gang can start.
  // Backfill is therefore limited to jobs that lose little by a stop or are
  // expected to end before any reserved place becomes free.
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

bool JobStarter::TryTrial(JobHandle handle, core::TimePoint now) {
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

JobStarter::StartResult JobStarter::TryOrdinary(JobHandle handle,
                                                core::TimePoint now) {
  if (this->TryTrial(handle, now)) {
    return StartResult::kLeftQueue;
  }
  const JobRecord& job = this->state.jobs.At(handle);
  const FailedSearch search{job.shape, job.service, job.stoppable,
                            job.checkpointable, job.lane};
  const bool already_failed =
      std::find(this->failed_searches.begin(), this->failed_searches.end(),
                search) != this->failed_searches.end();
  if (!already_failed) {
    std::optional<std::vector<MemberPlace>> places = this->FindPlaces(job, now);
    if (places) {
      this->lifecycle.Grant(handle, std::move(*places), now);
      return StartResult::kLeftQueue;
    }
    this->failed_searches.push_back(search);
  }
  return this->RefuseIfInfeasible(handle, now) ? StartResult::kLeftQueue
                                               : StartResult::kNoCapacity;
}

bool JobStarter::RefuseIfInfeasible(JobHandle handle, core::TimePoint now) {
  const JobRecord& job = this->state.jobs.At(handle);
  if (!this->state.HasSettled(now) ||
      this->state.feasibility.CouldEverFit(
          job.shape, job.service,
          now - this->state.GetPolicy().absent_memory)) {
    return false;
  }
  this->lifecycle.Refuse(handle, RefusalKind::kNeverRunnable,
                         "no set of workers that offers the job's service has "
                         "room for the job, even when idle");
  return true;
}

void JobStarter::ServeReservations(core::TimePoint now) {
  if (!this->state.capacity_changed) {
    return;
  }
  const std::vector<Reservation> all = this->state.reservations.All();
  for (const Reservation& reservation : all) {
    this->ServeReservation(reservation, now);
  }
}

bool JobStarter::ShouldClear(const Reservation& reservation,
                             core::TimePoint now) const {
  const ReclaimPlanner planner(this->state.fleet, this->state.jobs);
  const std::optional<ReclaimChoice> choice =
      planner.ChooseVictims(reservation.members, now);
  if (!choice) {
    return false;
  }
  bool only_backfill = true;
  bool can_move = this->state.GetPolicy().compaction;
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
  return can_move && gain > kMinCompactionGain * cost && free >= accelerators;
}

bool JobStarter::IsUnusable(const Reservation& reservation,
                            const JobRecord& job) const {
  for (const MemberPlace& place : reservation.members) {
    const WorkerRecord& worker = this->state.fleet.At(place.worker);
    if (!worker.Usable() || worker.foreign.Intersects(place.accelerators) ||
        worker.held.Intersects(place.accelerators)) {
      return true;
    }
    // A job that must not be preempted was started on the place after it was
    // reserved, and may run for a long time.
    const bool taken = std::any_of(
        worker.jobs.begin(), worker.jobs.end(), [&](JobHandle other) {
          const JobRecord& running = this->state.jobs.At(other);
          return running.non_preemptible &&
                 running.started > reservation.created &&
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
    // A cell of a guarantee may have claimed the place since it was reserved.
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

void JobStarter::ServeReservation(const Reservation& reservation,
                                  core::TimePoint now) {
  const JobHandle handle = reservation.job;
  JobRecord& job = this->state.jobs.At(handle);
  const EntryState& entry = this->state.entries.At(job.entry);
  if (!entry.present || !entry.FitsAcceleratorCap(job.shape) ||
      !entry.FitsSlotCap(job.shape)) {
    this->state.reservations.Drop(handle);
    job.has_reservation = false;
    return;
  }
  // Lifts the gang's own reservation during the search, so that the reserved
  // capacity counts as free.
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
  const bool unusable = this->IsUnusable(reservation, job);
  if (unusable) {
    this->state.reservations.Drop(handle);
    job.has_reservation = false;
    return;
  }
  if (this->ShouldClear(reservation, now)) {
    this->preemption.ReclaimPlaces(handle, reservation.members, now);
  }
}

void JobStarter::MakeReservation(core::TimePoint now) {
  if (!this->state.GetPolicy().reservations ||
      now < this->state.next_reservation) {
    return;
  }
  this->state.next_reservation = now + kReservationPeriod;
  // Jobs are weighted by wait time and size. Small jobs fit into whatever
  // capacity is freed; without the weight of the size, their reservations would
  // fragment the place that a large gang needs.
  JobHandle chosen = kNoJob;
  double best_score = 0;
  for (const BucketHandle handle : this->state.queue.BlockedForAccelerators()) {
    const QueueBucket& bucket = this->state.queue.At(handle);
    if (bucket.count == 0 ||
        this->state.jobs.At(bucket.first).has_reservation) {
      continue;
    }
    const JobRecord& job = this->state.jobs.At(bucket.first);
    if (!this->state.reservations.CanReserve(job.shape.TotalAccelerators())) {
      continue;
    }
    const double score =
        static_cast<double>((now - job.submitted).InMilliseconds() + 1) *
        job.shape.TotalAccelerators();
    if (score > best_score) {
      best_score = score;
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
  request.view = job.stoppable && this->state.GetPolicy().lending
                     ? CapacityView::kIdle
                     : CapacityView::kUncommitted;
  job.has_reservation = this->state.reservations.Reserve(
      chosen, request,
      [this, now](JobHandle other) {
        const JobRecord& running = this->state.jobs.At(other);
        const core::Duration remaining = std::max(
            core::Duration(), running.started + running.expected_run - now);
        const bool can_move = this->state.GetPolicy().compaction &&
                              running.checkpointable &&
                              !running.non_preemptible;
        return can_move ? std::min(remaining, kCheckpointMoveTime) : remaining;
      },
      now);
}

}  // namespace hemlockdoor::decide
