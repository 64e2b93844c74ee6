#include "modules/batch/agent/worker_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hemlockdoor::batch {

namespace {

/// Number of rejected starts kept for the next reports; the oldest ones are
/// dropped first. A batch has far fewer starts.
constexpr std::size_t kMaxRejections = 64;
/// Interval at which a stop is sent again while the run has not ended. Longer
/// than the time that a worker may take to stop a task.
constexpr core::Duration kStopRetryInterval = core::Duration::Milliseconds(500);
/// How long before the end of a term runs are stopped whose lease may outlast
/// it. Workers take up to 0.9 s for a stop.
constexpr core::Duration kStopBeforeTermEnd =
    core::Duration::Milliseconds(1200);
/// Age of the latest listing up to which ends are acknowledged. A poll waits
/// for up to one second.
constexpr core::Duration kMaxListingAge = core::Duration::Milliseconds(1500);
/// Number of times a start is sent before the agent sends a stop instead. With
/// the timeout of the worker port, all attempts take about two seconds, which
/// is less than the shortest time for which a gang member waits for the other
/// members (3 s).
constexpr int kMaxStartAttempts = 8;

/// A run whose progress percentage has not changed for this long is reported
/// immediately. The longest usual runs (one minute) advance one percentage
/// point in less time.
constexpr core::Duration kStallReportThreshold =
    core::Duration::Milliseconds(900);

}  // namespace

std::string NameOf(RemovalReason reason) {
  switch (reason) {
    case RemovalReason::kNotListed:
      return "not-listed";
    case RemovalReason::kNewIncarnation:
      return "new-incarnation";
    case RemovalReason::kConnectionRefused:
      return "connection-refused";
    case RemovalReason::kLeasesExpired:
      return "leases-expired";
    case RemovalReason::kDeparted:
      return "departed";
  }
  return "unknown";
}

WorkerSupervisor::WorkerSupervisor(core::AgentId agent_id,
                                   std::string own_endpoint,
                                   core::Incarnation own_incarnation,
                                   core::TimePoint now)
    : agent(std::move(agent_id)),
      endpoint(std::move(own_endpoint)),
      incarnation(own_incarnation),
      earlier_calls_limit(now + kMaxWorkerLease) {}

void WorkerSupervisor::OnAnnouncement(const WorkerDescription& description,
                                      std::uint64_t announcement_sequence,
                                      std::int64_t worker_clock_ms,
                                      core::TimePoint now) {
  if (!this->worker || this->worker->identity != description.identity) {
    const bool is_older =
        this->latest_worker.id == description.identity.id &&
        description.identity.born_wall_ms < this->latest_worker.born_wall_ms;
    const bool has_answered =
        this->IsSuperseded() &&
        description.identity.born_wall_ms == this->superseding_born_wall_ms;
    if (is_older && !has_answered) {
      return;
    }
    this->ResetForNewIncarnation(description, now);
    this->announcement = 0;
  }
  if (announcement_sequence < this->announcement) {
    return;
  }
  this->announcement = announcement_sequence;
  this->unreported_change =
      this->unreported_change || this->worker->state != description.state;
  this->worker = description;
  this->ObserveAnnouncedClock(worker_clock_ms, now);
}

void WorkerSupervisor::ResetForNewIncarnation(
    const WorkerDescription& description,
    core::TimePoint now) {
  const bool has_restarted = !this->latest_worker.id.IsEmpty() &&
                             this->latest_worker != description.identity;
  if (has_restarted) {
    // Starts that were sent to the former incarnation may run on this one, and
    // polls may have extended its lease by the clock of the former.
    this->RaiseToken();
    this->restart_raises = this->token_raises;
    this->RecordRestartLease(now);
  }
  this->refused_polls = 0;
  this->latest_worker = description.identity;
  this->announced_at = now;
  this->superseding_born_wall_ms = 0;
  // A crash ends all runs. A start without an answer may still arrive at the
  // new incarnation, so it stays in the list and is stopped there too.
  this->RemoveRunsIf(RemovalReason::kNewIncarnation,
                     [](const Run& run) { return !run.uncertain; });
  for (auto& [key, run] : this->runs) {
    run.state = RunState::kStopping;
    run.start_due = false;
    run.stop_answered = false;
    run.stop_sent.reset();
    run.settled_clock_ms = 0;
  }
  this->ends.clear();
  this->acknowledged = 0;
  this->lists_acknowledged_ends = false;
  this->clock_ms.reset();
  this->last_listing_clock_ms = 0;
  this->last_listing_fence = FencingToken();
  this->is_complete = false;
  this->worker = description;
  this->unreported_change = true;
}

bool WorkerSupervisor::OnDeparture(const WorkerId& id) {
  const bool is_leaving = this->worker && this->worker->identity.id == id &&
                          this->worker->state == WorkerState::kDraining;
  if (!is_leaving) {
    return false;
  }
  this->RemoveRunsIf(RemovalReason::kDeparted,
                     [](const Run& /*run*/) { return true; });
  this->worker.reset();
  this->RaiseToken();
  this->is_complete = true;
  this->ends.clear();
  this->clock_ms.reset();
  this->acknowledged = 0;
  this->lists_acknowledged_ends = false;
  this->unreported_change = true;
  return true;
}

void WorkerSupervisor::OnReportAnswer(const ReportAnswer& answer,
                                      core::TimePoint sent,
                                      core::TimePoint received) {
  if (this->IsOutdated(answer.epoch, answer.session)) {
    return;
  }
  this->EnterSession(answer.epoch, answer.session);
  this->ObserveEvacuations(answer.evacuated, answer.evacuation_revision);
  this->unreported_change = this->unreported_change || !this->HasTerm(sent);
  this->term_end = std::max(this->term_end, sent + answer.term);
  this->max_worker_lease = answer.max_worker_lease;
  const bool knows_worker =
      !this->worker || answer.worker == this->worker->identity;
  if (knows_worker) {
    this->earlier_calls_limit =
        std::min(this->earlier_calls_limit,
                 received + answer.earlier_leases +
                     answer.earlier_leases / kClockDriftDivisor);
  }
  if (answer.speed.weight > 0) {
    this->speed = answer.speed;
  }
  if (this->worker && answer.worker == this->worker->identity) {
    this->lists_acknowledged_ends = this->lists_acknowledged_ends ||
                                    answer.acknowledged > this->acknowledged;
    this->acknowledged = std::max(this->acknowledged, answer.acknowledged);
    this->ends.erase(this->ends.begin(),
                     this->ends.upper_bound(this->acknowledged));
  }
}

bool WorkerSupervisor::IsOutdated(core::SchedulingEpoch message_epoch,
                                  SessionNumber message_session) const {
  return message_epoch < this->epoch ||
         (message_epoch == this->epoch && message_session < this->session);
}

void WorkerSupervisor::EnterSession(core::SchedulingEpoch new_epoch,
                                    SessionNumber new_session) {
  if (new_epoch > this->epoch) {
    this->batch = 0;
    this->session = SessionNumber();
    this->token_raises = 0;
    this->restart_raises = 0;
    for (auto& [key, run] : this->runs) {
      if (run.state == RunState::kStarting) {
        run.start_attempts = kMaxStartAttempts;
        run.state = run.start_due ? RunState::kStopping : run.state;
        run.start_due = false;
      }
    }
  }
  this->epoch = new_epoch;
  if (new_session == this->session) {
    return;
  }
  this->session = new_session;
  this->token_raises = 0;
  this->restart_raises = 0;
  for (auto& [key, run] : this->runs) {
    if (run.state == RunState::kStarting) {
      run.state = RunState::kStopping;
      run.start_due = false;
    }
  }
}

void WorkerSupervisor::ObserveEvacuations(
    const std::set<core::DataCentreId>& evacuated,
    store::ModRevision revision) {
  if (revision > this->evacuations.revision) {
    this->evacuations = {evacuated, revision};
  }
}

core::Expected<BatchCalls> WorkerSupervisor::OnOrders(const OrderBatch& orders,
                                                      core::TimePoint now) {
  const bool wrong_agent = orders.agent_incarnation != core::Incarnation() &&
                           orders.agent_incarnation != this->incarnation;
  const bool is_old =
      this->IsOutdated(orders.epoch, orders.session) ||
      (orders.epoch == this->epoch && orders.number <= this->batch);
  if (wrong_agent || is_old) {
    return core::MakeError(
        core::ErrorCode::kStale,
        "orders rejected: outdated epoch, session or batch number, or "
        "addressed to another incarnation of this agent");
  }
  this->EnterSession(orders.epoch, orders.session);
  this->ObserveEvacuations(orders.evacuated, orders.evacuation_revision);
  this->batch = orders.number;
  BatchCalls calls;
  const std::optional<std::int64_t> deadline = this->LeaseDeadline(now);
  if (deadline && !orders.starts.empty()) {
    this->RecordRequestedLease(now);
  }
  for (const StartOrder& start : orders.starts) {
    const bool is_worker =
        this->worker && this->worker->identity == orders.worker;
    if (!is_worker || !deadline) {
      this->Reject(start.key, RejectReason::kNoWorker);
    } else if (this->worker->state == WorkerState::kDraining) {
      this->Reject(start.key, RejectReason::kDraining);
    } else if (this->IsEvacuated()) {
      this->Reject(start.key, RejectReason::kEvacuated);
      calls.refused_evacuated.push_back(start.key);
    } else {
      Run& run = this->runs[start.key];
      run.active.key = start.key;
      run.active.checkpoint = start.checkpoint;
      run.order = start;
      run.start_attempts = 1;
      run.sent_starts = 1;
      run.last_start_sent = now;
      run.latest_token = this->Fence();
      this->has_sent_starts = true;
      calls.starts.push_back(
          {start, this->Fence(), this->worker->identity, *deadline});
    }
  }
  for (const RunKey& key : orders.stops) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end() || !this->worker) {
      continue;
    }
    this->StopRun(found->first, found->second, now, calls);
  }
  for (const RunKey& key : orders.revoked_starts) {
    this->Revoke(key, now, calls);
  }
  return calls;
}

void WorkerSupervisor::Revoke(const RunKey& key,
                              core::TimePoint now,
                              BatchCalls& calls) {
  const bool is_known = this->runs.contains(key);
  if (!is_known && (this->HasEnded(key) || !this->MayEarlierCallsAct(now))) {
    return;
  }
  Run& run = this->runs[key];
  run.active.key = key;
  run.uncertain = run.uncertain || !is_known;
  this->StopRun(key, run, now, calls);
}

void WorkerSupervisor::StopRun(const RunKey& key,
                               Run& run,
                               core::TimePoint now,
                               BatchCalls& calls) {
  run.state = RunState::kStopping;
  run.start_due = false;
  if (this->worker) {
    run.stop_sent = now;
    calls.stops.push_back({key, this->Fence(), this->worker->identity});
  }
}

void WorkerSupervisor::OnStartAnswer(const RunKey& key,
                                     const WorkerIdentity& addressed,
                                     StartResult result,
                                     RejectReason reason,
                                     std::int64_t worker_clock_ms,
                                     core::TimePoint now) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end() || !this->IsPresentWorker(addressed)) {
    return;
  }
  Run& run = found->second;
  this->unreported_change = true;
  if (result != StartResult::kUnknown) {
    ++run.answered_starts;
  }
  if (result == StartResult::kRejected && run.was_listed) {
    // An earlier copy of the start has begun the run.
    return;
  }
  const bool is_fenced_by_own_raise =
      result == StartResult::kRejected && reason == RejectReason::kStaleEpoch &&
      run.state == RunState::kStarting && run.latest_token < this->Fence() &&
      run.start_attempts < kMaxStartAttempts;
  if (is_fenced_by_own_raise) {
    run.start_due = true;
    return;
  }
  if (result == StartResult::kRejected && !run.uncertain) {
    this->runs.erase(found);
    this->Reject(key, reason);
    return;
  }
  if (result == StartResult::kUnknown) {
    run.uncertain = true;
    run.start_due = run.state == RunState::kStarting &&
                    run.start_attempts < kMaxStartAttempts;
    if (!run.start_due) {
      run.state = RunState::kStopping;
    }
    return;
  }
  this->ObserveClock(worker_clock_ms, now);
  if (result == StartResult::kRejected) {
    // An earlier attempt may have started the run, which may have ended since,
    // or may still arrive.
    run.state = RunState::kStopping;
    return;
  }
  run.settled_clock_ms = worker_clock_ms;
  run.settled_at = now;
  if (run.state == RunState::kStarting) {
    // Attempts that arrive later have no effect: the worker already knows the
    // run or its end.
    run.state = RunState::kRunning;
    run.uncertain = false;
    run.active.confirmed = true;
  }
}

void WorkerSupervisor::OnStopAnswer(const RunKey& key,
                                    const WorkerIdentity& addressed,
                                    bool answered,
                                    std::int64_t worker_clock_ms,
                                    core::TimePoint now) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end() || !answered ||
      !this->IsPresentWorker(addressed)) {
    return;
  }
  this->ObserveClock(worker_clock_ms, now);
  found->second.stop_answered = true;
  found->second.settled_clock_ms =
      std::max(found->second.settled_clock_ms, worker_clock_ms);
  found->second.settled_at = now;
}

void WorkerSupervisor::OnListing(const WorkerListing& listing,
                                 core::TimePoint sent,
                                 core::TimePoint now) {
  if (!this->worker) {
    return;
  }
  const bool other_incarnation =
      listing.born_wall_ms != 0 &&
      listing.born_wall_ms != this->worker->identity.born_wall_ms;
  if (other_incarnation) {
    // The start times of incarnations need not rise, since the worker's clock
    // may have been set back.
    const bool has_replaced =
        listing.born_wall_ms > this->worker->identity.born_wall_ms ||
        sent > std::max(this->last_listing_at, this->announced_at);
    if (has_replaced) {
      // The next poll has the incarnation refuse calls for the former one.
      if (listing.born_wall_ms != this->superseding_born_wall_ms) {
        this->RaiseToken();
      }
      this->superseding_sent = sent;
      this->unreported_change =
          this->unreported_change || !this->IsSuperseded();
      this->superseding_born_wall_ms = listing.born_wall_ms;
    }
    return;
  }
  if (sent > this->superseding_sent) {
    this->superseding_born_wall_ms = 0;
  }
  this->unreported_change = this->unreported_change || this->failed_polls > 0;
  this->failed_polls = 0;
  this->refused_polls = 0;
  // Answers on different connections may arrive out of order.
  if (listing.worker_clock_ms < this->last_listing_clock_ms) {
    return;
  }
  this->last_listing_clock_ms = listing.worker_clock_ms;
  this->last_listing_at = now;
  this->ObserveClock(listing.worker_clock_ms, now);
  const bool was_complete = this->IsComplete(now);
  const bool is_first_of_restart =
      this->restart_raises > 0 &&
      this->last_listing_fence < this->RequiredFence();
  if (is_first_of_restart) {
    // Calls for the former incarnation were accepted until this poll.
    this->RecordRestartLease(now);
  }
  this->last_listing_fence = std::max(this->last_listing_fence, listing.fence);
  // Runs that are already known stay listed as active until their ends appear,
  // so truncated ends do not make complete lists incomplete.
  this->is_complete = this->is_complete || !listing.ends_are_truncated;
  this->unreported_change =
      this->unreported_change || (!was_complete && this->IsComplete(now));
  this->lists_acknowledged_ends = std::any_of(
      listing.ends.begin(), listing.ends.end(),
      [this](const RunEnd& end) { return end.number <= this->acknowledged; });
  this->RecordEnds(listing);
  this->MergeRunning(listing, now);
  if (!listing.ends_are_truncated) {
    this->RemoveMissingRuns(listing, sent);
  }
}

void WorkerSupervisor::RecordEnds(const WorkerListing& listing) {
  for (const RunEnd& end : listing.ends) {
    const bool is_known =
        end.number <= this->acknowledged || this->ends.contains(end.number);
    if (is_known) {
      continue;
    }
    this->ends[end.number] = end;
    const auto run = this->runs.find(end.key);
    if (run != this->runs.end()) {
      if (end.kind != RunEndKind::kDone) {
        this->ListWhileStartsAreOpen(run->first, run->second);
      }
      this->runs.erase(run);
    }
    this->unreported_change = true;
  }
}

void WorkerSupervisor::MergeRunning(const WorkerListing& listing,
                                    core::TimePoint now) {
  for (const ActiveRun& listed : listing.running) {
    const auto [entry, is_new] = this->runs.try_emplace(listed.key);
    Run& run = entry->second;
    if (is_new) {
      // The listing is older than an end that the agent already knows.
      if (this->HasEnded(listed.key)) {
        this->runs.erase(entry);
        continue;
      }
      run.state = RunState::kRunning;
      run.settled_clock_ms = listing.worker_clock_ms;
      run.settled_at = now;
      this->unreported_change = true;
      // One of the open starts has begun the run on this incarnation.
      const auto late = this->late_starts.find(listed.key);
      if (late != this->late_starts.end()) {
        run.sent_starts = late->second.count;
        run.last_start_sent = late->second.last_sent;
        this->late_starts.erase(late);
      }
    }
    if (run.state == RunState::kStarting && run.uncertain) {
      run.state = RunState::kRunning;
      run.uncertain = false;
      run.start_due = false;
      run.settled_clock_ms = listing.worker_clock_ms;
      run.settled_at = now;
      this->unreported_change = true;
    }
    this->UpdateRun(run, listed, listing.worker_clock_ms);
  }
}

bool WorkerSupervisor::HasEnded(const RunKey& key) const {
  return std::any_of(this->ends.begin(), this->ends.end(),
                     [&key](const auto& end) { return end.second.key == key; });
}

void WorkerSupervisor::UpdateRun(Run& run,
                                 const ActiveRun& listed,
                                 std::int64_t listing_clock_ms) {
  const core::Duration before = run.active.still;
  const bool progressed =
      run.progress_clock_ms == 0 || listed.percent != run.active.percent;
  if (progressed) {
    run.progress_clock_ms = listing_clock_ms;
  }
  run.was_listed = true;
  run.active = listed;
  run.active.confirmed = run.state != RunState::kStarting;
  run.active.still =
      core::Duration::Milliseconds(listing_clock_ms - run.progress_clock_ms);
  this->unreported_change =
      this->unreported_change || (before < kStallReportThreshold &&
                                  run.active.still >= kStallReportThreshold);
}

void WorkerSupervisor::RemoveMissingRuns(const WorkerListing& listing,
                                         core::TimePoint sent) {
  std::set<RunKey> listed;
  for (const ActiveRun& active : listing.running) {
    listed.insert(active.key);
  }
  for (auto entry = this->runs.begin(); entry != this->runs.end();) {
    const Run& run = entry->second;
    const bool settled =
        run.uncertain ? run.stop_answered : run.state != RunState::kStarting;
    const bool gone = settled && !listed.contains(entry->first) &&
                      listing.worker_clock_ms > run.settled_clock_ms &&
                      sent > run.settled_at;
    if (!gone) {
      ++entry;
      continue;
    }
    this->NoteRemoval(entry->first, run, RemovalReason::kNotListed);
    this->ListWhileStartsAreOpen(entry->first, run);
    this->Reject(entry->first, RejectReason::kNotListed);
    entry = this->runs.erase(entry);
  }
}

void WorkerSupervisor::StopRunsThatOutlastTheTerm(core::TimePoint now) {
  const bool may_outlast = this->term_end != core::TimePoint() &&
                           this->restart_lease_end > this->term_end &&
                           now < this->restart_lease_end;
  if (!may_outlast || now + kStopBeforeTermEnd < this->term_end) {
    return;
  }
  for (auto& [key, run] : this->runs) {
    run.state = RunState::kStopping;
    run.start_due = false;
  }
}

std::vector<StopCall> WorkerSupervisor::DueStops(core::TimePoint now) {
  this->StopRunsThatOutlastTheTerm(now);
  std::vector<StopCall> calls;
  if (!this->worker) {
    return calls;
  }
  for (auto& [key, run] : this->runs) {
    const bool due =
        run.state == RunState::kStopping &&
        (!run.stop_sent || now >= *run.stop_sent + kStopRetryInterval);
    if (due) {
      run.stop_sent = now;
      calls.push_back({key, this->Fence(), this->worker->identity});
    }
  }
  return calls;
}

std::vector<StartCall> WorkerSupervisor::DueStarts(core::TimePoint now) {
  std::vector<StartCall> calls;
  const std::optional<std::int64_t> deadline = this->LeaseDeadline(now);
  for (auto& [key, run] : this->runs) {
    if (!run.start_due) {
      continue;
    }
    run.start_due = false;
    const bool may_start = this->worker && deadline &&
                           this->worker->state == WorkerState::kReady &&
                           !this->IsEvacuated();
    if (!may_start) {
      run.state = RunState::kStopping;
      continue;
    }
    ++run.start_attempts;
    ++run.sent_starts;
    run.last_start_sent = now;
    run.latest_token = this->Fence();
    this->has_sent_starts = true;
    this->RecordRequestedLease(now);
    calls.push_back(
        {run.order, this->Fence(), this->worker->identity, *deadline});
  }
  return calls;
}

std::optional<std::int64_t> WorkerSupervisor::BeginPoll(core::TimePoint now) {
  const std::optional<std::int64_t> deadline = this->LeaseDeadline(now);
  if (!deadline || this->failed_polls > 0) {
    return std::nullopt;
  }
  this->RecordRequestedLease(now);
  return deadline;
}

void WorkerSupervisor::RecordRestartLease(core::TimePoint now) {
  this->restart_lease_end = now + this->max_worker_lease +
                            this->max_worker_lease / kClockDriftDivisor;
  this->earlier_calls_limit =
      std::max(this->earlier_calls_limit, this->restart_lease_end);
}

void WorkerSupervisor::RecordRequestedLease(core::TimePoint now) {
  const core::Duration left = this->term_end - now;
  this->leases_expired_at = std::max(
      this->leases_expired_at, this->term_end + left / kClockDriftDivisor +
                                   core::Duration::Milliseconds(1));
}

void WorkerSupervisor::OnPollFailed(core::TimePoint now) {
  this->refused_polls = 0;
  this->RecordFailedPoll(now);
}

void WorkerSupervisor::OnPollRefused(core::TimePoint sent,
                                     core::TimePoint now) {
  if (this->refused_polls == 0) {
    this->first_refusal_sent = sent;
  }
  // Polls in flight at once may be refused in the same moment.
  if (this->refused_polls == 0 || sent > this->last_refusal_at) {
    ++this->refused_polls;
    this->last_refusal_at = now;
  }
  this->RecordFailedPoll(now);
  if (this->refused_polls < kRefusalsToEndRuns) {
    return;
  }
  const std::size_t ended = this->RemoveRunsIf(
      RemovalReason::kConnectionRefused, [this](const Run& run) {
        return !run.uncertain && run.active.confirmed &&
               run.settled_at < this->first_refusal_sent;
      });
  this->unreported_change =
      this->unreported_change || ended > 0 || !this->is_complete;
  this->is_complete = true;
}

void WorkerSupervisor::RecordFailedPoll(core::TimePoint now) {
  this->unreported_change = this->unreported_change || this->failed_polls == 0;
  // The worker may have ended. Its next incarnation refuses copies of earlier
  // starts as soon as the first poll reaches it.
  if (this->has_sent_starts) {
    this->RaiseToken();
  }
  ++this->failed_polls;
  if (now < this->leases_expired_at || this->MayEarlierCallsAct(now)) {
    return;
  }
  this->OnAllLeasesExpired();
}

void WorkerSupervisor::OnTick(core::TimePoint now) {
  const std::size_t settled =
      std::erase_if(this->late_starts, [now](const auto& entry) {
        return now >= entry.second.last_sent + kMaxCallDelay;
      });
  this->unreported_change = this->unreported_change || settled > 0;
  if (!this->worker && !this->MayEarlierCallsAct(now)) {
    this->OnAllLeasesExpired();
  }
}

void WorkerSupervisor::OnAllLeasesExpired() {
  const std::size_t expired = this->RemoveRunsIf(
      RemovalReason::kLeasesExpired, [](const Run& /*run*/) { return true; });
  this->unreported_change =
      this->unreported_change || expired > 0 || !this->is_complete;
  this->is_complete = true;
}

std::optional<std::int64_t> WorkerSupervisor::LeaseDeadline(
    core::TimePoint now) const {
  if (!this->HasTerm(now) || !this->clock_ms || this->IsSuperseded()) {
    return std::nullopt;
  }
  // The worker's clock showed `clock_ms` at `clock_read_at` or earlier, so the
  // deadline is never later than the end of the term.
  return *this->clock_ms +
         (this->term_end - this->clock_read_at).InMilliseconds();
}

std::uint64_t WorkerSupervisor::Acknowledged(core::TimePoint now) const {
  const bool is_present = !this->IsSuperseded() && this->failed_polls == 0 &&
                          now < this->last_listing_at + kMaxListingAge;
  return this->lists_acknowledged_ends && is_present ? this->acknowledged : 0;
}

void WorkerSupervisor::RaiseToken() {
  ++this->token_raises;
  this->has_sent_starts = false;
}

std::optional<WorkerIdentity> WorkerSupervisor::PollTarget() const {
  if (this->worker) {
    return this->worker->identity;
  }
  const bool awaits_successor =
      !this->latest_worker.id.IsEmpty() && !this->late_starts.empty();
  return awaits_successor ? std::optional(this->latest_worker) : std::nullopt;
}

bool WorkerSupervisor::HasPendingStarts() const {
  return std::any_of(this->runs.begin(), this->runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStarting;
                     });
}

bool WorkerSupervisor::IsComplete(core::TimePoint now) const {
  // Until the worker has seen the session, it may carry out starts that were
  // sent before: for an earlier planner, by an earlier process of this agent,
  // or to an earlier incarnation of the worker.
  const bool has_fenced =
      !this->worker || this->last_listing_fence >= this->RequiredFence();
  return this->is_complete && (has_fenced || !this->MayEarlierCallsAct(now));
}

bool WorkerSupervisor::AwaitsListing() const {
  return std::any_of(
      this->runs.begin(), this->runs.end(), [](const auto& entry) {
        return entry.second.uncertain && entry.second.stop_answered;
      });
}

AgentReport WorkerSupervisor::MakeReport(core::TimePoint now) {
  AgentReport report;
  report.agent = this->agent;
  report.endpoint = this->endpoint;
  report.incarnation = this->incarnation;
  report.sequence = ++this->sequence;
  report.epoch = this->epoch;
  report.session = this->session;
  report.batch = this->batch;
  report.worker = this->worker;
  report.worker_reachable = this->IsWorkerReachable();
  report.is_complete = this->IsComplete(now);
  report.can_start = this->LeaseDeadline(now).has_value();
  report.restart_lease =
      std::max(this->restart_lease_end - now, core::Duration());
  report.speed = this->speed;
  if (!this->runs.empty() && this->last_listing_at != core::TimePoint()) {
    report.progress_age = now - this->last_listing_at;
  }
  for (const auto& [key, run] : this->runs) {
    report.active.push_back(run.active);
  }
  for (const auto& [key, late] : this->late_starts) {
    if (!this->runs.contains(key)) {
      ActiveRun listed;
      listed.key = key;
      listed.is_over = true;
      report.active.push_back(listed);
    }
  }
  for (const auto& [number, end] : this->ends) {
    report.ends.push_back(end);
  }
  report.rejections.assign(this->rejections.begin(), this->rejections.end());
  this->unreported_change = false;
  return report;
}

void WorkerSupervisor::ObserveClock(std::int64_t worker_clock_ms,
                                    core::TimePoint now) {
  this->unreported_change = this->unreported_change || !this->clock_ms;
  const bool replaces_announced = this->clock_is_announced;
  if (!this->clock_ms || replaces_announced ||
      worker_clock_ms > *this->clock_ms) {
    this->clock_ms = worker_clock_ms;
    this->clock_read_at = now;
    this->clock_is_announced = false;
  }
}

void WorkerSupervisor::ObserveAnnouncedClock(std::int64_t worker_clock_ms,
                                             core::TimePoint now) {
  if (!this->clock_ms) {
    this->ObserveClock(worker_clock_ms, now);
    this->clock_is_announced = true;
  }
}

void WorkerSupervisor::ListWhileStartsAreOpen(const RunKey& key,
                                              const Run& run) {
  if (run.OpenStarts() > 0) {
    this->late_starts[key] = {run.OpenStarts(), run.last_start_sent};
  }
}

void WorkerSupervisor::NoteRemoval(const RunKey& key,
                                   const Run& run,
                                   RemovalReason reason) {
  this->removed_runs.push_back(
      {key, reason, this->worker ? this->worker->identity : WorkerIdentity(),
       run.active.confirmed, run.uncertain});
}

void WorkerSupervisor::Reject(const RunKey& key, RejectReason reason) {
  this->rejections.push_back({key, reason});
  if (this->rejections.size() > kMaxRejections) {
    this->rejections.pop_front();
  }
  this->unreported_change = true;
}

}  // namespace hemlockdoor::batch
