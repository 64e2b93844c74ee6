#include "modules/batch/agent/worker_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hemlockdoor::batch {

namespace {

/// Rejections kept for the next reports; a batch has far fewer starts.
constexpr std::size_t kMaxRejections = 64;
/// Pause before a stop that got no answer, or showed no effect, is sent again.
/// Above the time a worker may take to stop a task.
constexpr core::Duration kStopRetry = core::Duration::Milliseconds(500);
/// Copies of a start before it is stopped instead. With the worker port's
/// timeout they take about a second, less than the shortest time for which a
/// member of a gang waits for the others (3 s).
constexpr int kMaxStartsSent = 4;

/// A run that stands still for so long is reported at once; the longest usual
/// runs (a minute) move a percentage point in less.
constexpr core::Duration kStillNews = core::Duration::Milliseconds(900);

}  // namespace

WorkerSupervisor::WorkerSupervisor(core::AgentId agent_id,
                                   std::string own_endpoint,
                                   core::Incarnation own_incarnation,
                                   core::TimePoint now)
    : agent(std::move(agent_id)),
      endpoint(std::move(own_endpoint)),
      incarnation(own_incarnation),
      leases_over(now + kLongestLease) {}

void WorkerSupervisor::OnAnnouncement(const WorkerDescription& description,
                                      std::uint64_t announcement_sequence,
                                      std::int64_t worker_clock_ms,
                                      core::TimePoint now) {
  if (!this->worker || this->worker->identity != description.identity) {
    const bool is_older =
        this->worker &&
        description.identity.born_wall_ms < this->worker->identity.born_wall_ms;
    if (is_older) {
      return;
    }
    this->StartNewLife(description);
    this->announcement = 0;
  }
  if (announcement_sequence < this->announcement) {
    return;
  }
  this->announcement = announcement_sequence;
  this->news = this->news || this->worker->state != description.state;
  this->worker = description;
  this->ObserveClock(worker_clock_ms, now);
}

void WorkerSupervisor::StartNewLife(const WorkerDescription& description) {
  // A crash ends everything. A start that got no answer may still arrive at
  // the new life, so it stays and is stopped there as well.
  std::erase_if(this->runs,
                [](const auto& entry) { return !entry.second.uncertain; });
  for (auto& [key, run] : this->runs) {
    run.state = RunState::kStopping;
    run.start_due = false;
    run.stop_answered = false;
    run.stop_sent.reset();
    run.settled_clock_ms = 0;
  }
  this->ends.clear();
  this->acknowledged = 0;
  this->clock_ms.reset();
  this->listed_clock_ms = 0;
  this->is_complete = false;
  this->worker = description;
  this->news = true;
}

void WorkerSupervisor::OnDeparture(const WorkerId& id) {
  if (!this->worker || this->worker->identity.id != id) {
    return;
  }
  this->worker.reset();
  this->is_complete = true;
  this->runs.clear();
  this->ends.clear();
  this->clock_ms.reset();
  this->acknowledged = 0;
  this->news = true;
}

void WorkerSupervisor::OnReportAnswer(const ReportAnswer& answer,
                                      core::TimePoint sent) {
  if (answer.epoch < this->epoch) {
    return;
  }
  if (answer.epoch > this->epoch) {
    this->epoch = answer.epoch;
    this->batch = 0;
  }
  this->news = this->news || !this->HasTerm(sent);
  this->term_until = std::max(this->term_until, sent + answer.term);
  if (this->worker && answer.worker == this->worker->identity) {
    this->acknowledged = std::max(this->acknowledged, answer.acknowledged);
    this->ends.erase(this->ends.begin(),
                     this->ends.upper_bound(this->acknowledged));
  }
}

core::Expected<BatchCalls> WorkerSupervisor::OnOrders(const OrderBatch& orders,
                                                      core::TimePoint now) {
  const bool wrong_agent = orders.agent_incarnation != core::Incarnation() &&
                           orders.agent_incarnation != this->incarnation;
  const bool is_old =
      orders.epoch < this->epoch ||
      (orders.epoch == this->epoch && orders.number <= this->batch);
  if (wrong_agent || is_old) {
    return core::MakeError(core::ErrorCode::kStale,
                           "the orders are from an older epoch or batch");
  }
  this->epoch = orders.epoch;
  this->batch = orders.number;
  BatchCalls calls;
  const std::optional<std::int64_t> deadline = this->LeaseDeadline(now);
  if (deadline && !orders.starts.empty()) {
    this->NoteLease(now);
  }
  for (const StartOrder& start : orders.starts) {
    const bool is_worker =
        this->worker && this->worker->identity == orders.worker;
    if (!is_worker || !deadline) {
      this->Reject(start.key, RejectReason::kNoWorker);
    } else if (this->worker->state == WorkerState::kDraining) {
      this->Reject(start.key, RejectReason::kDraining);
    } else {
      Run& run = this->runs[start.key];
      run.active.key = start.key;
      run.active.checkpoint = start.checkpoint;
      run.order = start;
      run.starts_sent = 1;
      calls.starts.push_back(
          {start, this->epoch, this->worker->identity, *deadline});
    }
  }
  for (const RunKey& key : orders.stops) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end() || !this->worker) {
      continue;
    }
    found->second.state = RunState::kStopping;
    found->second.stop_sent = now;
    calls.stops.push_back({key, this->epoch, this->worker->identity});
  }
  return calls;
}

void WorkerSupervisor::OnStartAnswer(const RunKey& key,
                                     StartResult result,
                                     RejectReason reason,
                                     std::int64_t worker_clock_ms,
                                     core::TimePoint now) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = found->second;
  this->news = true;
  if (result == StartResult::kRejected && !run.uncertain) {
    this->runs.erase(found);
    this->Reject(key, reason);
    return;
  }
  if (result == StartResult::kUnknown) {
    run.uncertain = true;
    run.start_due =
        run.state == RunState::kStarting && run.starts_sent < kMaxStartsSent;
    if (!run.start_due) {
      run.state = RunState::kStopping;
    }
    return;
  }
  this->ObserveClock(worker_clock_ms, now);
  if (result == StartResult::kRejected) {
    // An earlier copy may have run to its end, or may still arrive.
    run.state = RunState::kStopping;
    return;
  }
  run.settled_clock_ms = worker_clock_ms;
  if (run.state == RunState::kStarting) {
    // Copies that arrive later find the run, or its end, and do nothing.
    run.state = RunState::kRunning;
    run.uncertain = false;
    run.active.confirmed = true;
  }
}

void WorkerSupervisor::OnStopAnswer(const RunKey& key,
                                    bool answered,
                                    std::int64_t worker_clock_ms,
                                    core::TimePoint now) {
  const auto found = this->runs.find(key);
  if (found == this->runs.end() || !answered) {
    return;
  }
  this->ObserveClock(worker_clock_ms, now);
  found->second.stop_answered = true;
  found->second.settled_clock_ms =
      std::max(found->second.settled_clock_ms, worker_clock_ms);
}

void WorkerSupervisor::OnListing(const WorkerListing& listing,
                                 core::TimePoint now) {
  if (!this->worker) {
    return;
  }
  const bool other_life =
      listing.born_wall_ms != 0 &&
      listing.born_wall_ms != this->worker->identity.born_wall_ms;
  if (other_life) {
    return;
  }
  this->news = this->news || this->failed_looks > 0;
  this->failed_looks = 0;
  // Answers on different connections may overtake each other.
  if (listing.worker_clock_ms < this->listed_clock_ms) {
    return;
  }
  this->listed_clock_ms = listing.worker_clock_ms;
  this->ObserveClock(listing.worker_clock_ms, now);
  this->news = this->news || !this->is_complete;
  this->is_complete = true;
  this->TakeEnds(listing);
  this->TakeRunning(listing);
  this->DropVanished(listing);
}

void WorkerSupervisor::TakeEnds(const WorkerListing& listing) {
  for (const RunEnd& end : listing.ends) {
    const bool is_known =
        end.number <= this->acknowledged || this->ends.contains(end.number);
    if (is_known) {
      continue;
    }
    this->ends[end.number] = end;
    this->runs.erase(end.key);
    this->news = true;
  }
}

void WorkerSupervisor::TakeRunning(const WorkerListing& listing) {
  for (const ActiveRun& listed : listing.running) {
    const auto [entry, is_new] = this->runs.try_emplace(listed.key);
    Run& run = entry->second;
    if (is_new) {
      // A list from before an end that is known already.
      const bool ended = std::any_of(
          this->ends.begin(), this->ends.end(),
          [&listed](const auto& end) { return end.second.key == listed.key; });
      if (ended) {
        this->runs.erase(entry);
        continue;
      }
      run.state = RunState::kRunning;
      run.settled_clock_ms = listing.worker_clock_ms;
      this->news = true;
    }
    if (run.state == RunState::kStarting && run.uncertain) {
      run.state = RunState::kRunning;
      run.uncertain = false;
      run.start_due = false;
      run.settled_clock_ms = listing.worker_clock_ms;
      this->news = true;
    }
    this->TakeListed(run, listed, listing.worker_clock_ms);
  }
}

void WorkerSupervisor::TakeListed(Run& run,
                                  const ActiveRun& listed,
                                  std::int64_t listed_at_ms) {
  const core::Duration before = run.active.still;
  const bool moved =
      run.moved_clock_ms == 0 || listed.percent != run.active.percent;
  if (moved) {
    run.moved_clock_ms = listed_at_ms;
  }
  run.active = listed;
  run.active.confirmed = run.state != RunState::kStarting;
  run.active.still =
      core::Duration::Milliseconds(listed_at_ms - run.moved_clock_ms);
  this->news =
      this->news || (before < kStillNews && run.active.still >= kStillNews);
}

void WorkerSupervisor::DropVanished(const WorkerListing& listing) {
  std::set<RunKey> listed;
  for (const ActiveRun& active : listing.running) {
    listed.insert(active.key);
  }
  for (auto entry = this->runs.begin(); entry != this->runs.end();) {
    const Run& run = entry->second;
    const bool settled =
        run.uncertain ? run.stop_answered : run.state != RunState::kStarting;
    const bool gone = settled && !listed.contains(entry->first) &&
                      listing.worker_clock_ms > run.settled_clock_ms;
    if (!gone) {
      ++entry;
      continue;
    }
    this->Reject(entry->first, RejectReason::kNotListed);
    entry = this->runs.erase(entry);
  }
}

std::vector<StopCall> WorkerSupervisor::DueStops(core::TimePoint now) {
  std::vector<StopCall> calls;
  if (!this->worker) {
    return calls;
  }
  for (auto& [key, run] : this->runs) {
    const bool due = run.state == RunState::kStopping &&
                     (!run.stop_sent || now >= *run.stop_sent + kStopRetry);
    if (due) {
      run.stop_sent = now;
      calls.push_back({key, this->epoch, this->worker->identity});
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
    const bool may_start =
        this->worker && deadline && this->worker->state == WorkerState::kReady;
    if (!may_start) {
      run.state = RunState::kStopping;
      continue;
    }
    ++run.starts_sent;
    this->NoteLease(now);
    calls.push_back(
        {run.order, this->epoch, this->worker->identity, *deadline});
  }
  return calls;
}

std::optional<std::int64_t> WorkerSupervisor::BeginLook(core::TimePoint now) {
  const std::optional<std::int64_t> deadline = this->LeaseDeadline(now);
  if (!deadline || this->failed_looks > 0) {
    return std::nullopt;
  }
  this->NoteLease(now);
  return deadline;
}

void WorkerSupervisor::NoteLease(core::TimePoint now) {
  const core::Duration left = this->term_until - now;
  this->leases_over =
      std::max(this->leases_over, this->term_until + left / kClockDriftDivisor +
                                      core::Duration::Milliseconds(1));
}

void WorkerSupervisor::OnLookFailed(core::TimePoint now) {
  this->news = this->news || this->failed_looks == 0;
  ++this->failed_looks;
  if (now < this->leases_over) {
    return;
  }
  const std::size_t before = this->runs.size();
  std::erase_if(this->runs,
                [](const auto& entry) { return !entry.second.uncertain; });
  this->news = this->news || this->runs.size() != before;
}

std::optional<std::int64_t> WorkerSupervisor::LeaseDeadline(
    core::TimePoint now) const {
  if (!this->HasTerm(now) || !this->clock_ms) {
    return std::nullopt;
  }
  // The worker's clock read `clock_ms` no later than `clock_heard`.
  return *this->clock_ms +
         (this->term_until - this->clock_heard).InMilliseconds();
}

std::uint64_t WorkerSupervisor::Acknowledged() const {
  return this->acknowledged;
}

bool WorkerSupervisor::AwaitsStarts() const {
  return std::any_of(this->runs.begin(), this->runs.end(),
                     [](const auto& entry) {
                       return entry.second.state == RunState::kStarting;
                     });
}

AgentReport WorkerSupervisor::MakeReport(core::TimePoint now) {
  AgentReport report;
  report.agent = this->agent;
  report.endpoint = this->endpoint;
  report.incarnation = this->incarnation;
  report.sequence = ++this->sequence;
  report.epoch = this->epoch;
  report.batch = this->batch;
  report.worker = this->worker;
  report.worker_reachable = this->IsWorkerReachable();
  report.is_complete = this->is_complete;
  report.can_start = this->LeaseDeadline(now).has_value();
  for (const auto& [key, run] : this->runs) {
    report.active.push_back(run.active);
  }
  for (const auto& [number, end] : this->ends) {
    report.ends.push_back(end);
  }
  report.rejections.assign(this->rejections.begin(), this->rejections.end());
  this->news = false;
  return report;
}

void WorkerSupervisor::ObserveClock(std::int64_t worker_clock_ms,
                                    core::TimePoint now) {
  this->news = this->news || !this->clock_ms;
  if (!this->clock_ms || worker_clock_ms > *this->clock_ms) {
    this->clock_ms = worker_clock_ms;
    this->clock_heard = now;
  }
}

void WorkerSupervisor::Reject(const RunKey& key, RejectReason reason) {
  this->rejections.push_back({key, reason});
  if (this->rejections.size() > kMaxRejections) {
    this->rejections.pop_front();
  }
  this->news = true;
}

}  // namespace hemlockdoor::batch
