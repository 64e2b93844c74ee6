#include "tests/exploration/worker_model.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch::exploration {

namespace {

constexpr std::int64_t kPerMille = 1000;
constexpr std::int64_t kPercent = 100;
/// Number of tasks that fit.
constexpr std::size_t kRoom = 8;
/// Time that a stop takes.
constexpr std::int64_t kStopMs = 100;
/// Time after which a run on a failing worker fails. More than the interval of
/// polls, so that most runs are listed as active before.
constexpr std::int64_t kFailsAfterMs = 150;

GangRun GangOf(const RunKey& key) {
  return {key.task.job, key.task.occurrence, key.task.step, key.run};
}

}  // namespace

WorkerModel::WorkerModel(WorkerIdentity own_identity,
                         core::DataCentreId own_data_centre,
                         std::int64_t clock_drift_per_mille,
                         core::TimePoint now,
                         Witness& run_witness,
                         std::map<GangRun, GangState>& all_gangs)
    : identity(std::move(own_identity)),
      data_centre(std::move(own_data_centre)),
      drift_per_mille(clock_drift_per_mille),
      born(now),
      witness(run_witness),
      gangs(all_gangs) {}

WorkerDescription WorkerModel::Describe() const {
  WorkerDescription description = testing::MakeWorker(this->identity.id.Text());
  description.identity = this->identity;
  description.data_centre = this->data_centre;
  if (this->drains_for) {
    description.state = WorkerState::kDraining;
    description.remaining = *this->drains_for;
  }
  return description;
}

std::int64_t WorkerModel::ClockAt(core::TimePoint now) const {
  return (now - this->born).InMilliseconds() *
         (kPerMille - this->drift_per_mille) / kPerMille;
}

StartReply WorkerModel::Start(const StartCall& call, core::TimePoint now) {
  const std::int64_t clock = this->ClockAt(now);
  const auto rejected = [clock](RejectReason reason) {
    return StartReply{StartResult::kRejected, reason, clock};
  };
  const RunKey& key = call.order.key;
  if (call.fence < this->fence) {
    return rejected(RejectReason::kStaleEpoch);
  }
  this->fence = call.fence;
  if (call.deadline_ms <= clock) {
    return rejected(RejectReason::kDeadlinePassed);
  }
  this->ExtendLease(call.deadline_ms, clock);
  if (this->active.contains(key)) {
    return {StartResult::kStarted, RejectReason::kInvalid, clock};
  }
  const auto over = this->highest_over.find(key.task);
  if (over != this->highest_over.end() && key.run <= over->second) {
    return rejected(RejectReason::kStaleRun);
  }
  if (this->active.size() >= kRoom) {
    return rejected(RejectReason::kNoCapacity);
  }
  const std::int64_t run_ms = std::stoll(call.order.payload);
  const std::size_t mark = call.order.payload.find(kGangMark);
  const bool is_gang = mark != std::string::npos;
  if (is_gang) {
    const std::size_t size =
        std::stoul(call.order.payload.substr(mark + std::strlen(kGangMark)));
    GangState& gang = this->gangs[GangOf(key)];
    gang.begun.insert(key.task.index);
    if (gang.begun.size() == size && !gang.complete_since) {
      gang.complete_since = now;
    }
  }
  this->active[key] = {clock, run_ms, clock + run_ms, false, is_gang};
  this->witness.OnStart(key, this->identity, now);
  return {StartResult::kStarted, RejectReason::kInvalid, clock};
}

std::int64_t WorkerModel::Stop(const StopCall& call, core::TimePoint now) {
  const std::int64_t clock = this->ClockAt(now);
  if (call.fence < this->fence) {
    return clock;
  }
  this->fence = call.fence;
  std::int64_t& highest = this->highest_over[call.key.task];
  highest = std::max(highest, call.key.run);
  const auto found = this->active.find(call.key);
  if (found != this->active.end() && !found->second.is_stopping) {
    found->second.is_stopping = true;
    found->second.finishes_ms = clock + kStopMs;
  }
  return clock;
}

core::Expected<WorkerListing> WorkerModel::Hold(
    FencingToken token,
    std::uint64_t acknowledged,
    std::optional<std::int64_t> deadline_ms,
    core::TimePoint now) {
  if (token < this->fence) {
    return core::MakeError(core::ErrorCode::kStale, "higher token");
  }
  this->fence = token;
  const std::int64_t clock = this->ClockAt(now);
  if (deadline_ms) {
    this->ExtendLease(*deadline_ms, clock);
  }
  while (!this->ends.empty() && this->ends.begin()->first <= acknowledged) {
    const RunEnd& end = this->ends.begin()->second;
    const bool counts = end.number > this->last_end_before_expiry;
    if (end.kind == RunEndKind::kDone && counts) {
      this->witness.Note(now, "run " + std::to_string(end.key.run) + " of " +
                                  end.key.task.ToText() + " done is noted by " +
                                  this->identity.id.Text());
      this->witness.OnDoneAcknowledged(end.key, this->identity);
    }
    this->ends.erase(this->ends.begin());
  }
  WorkerListing listing;
  listing.worker_clock_ms = clock;
  listing.born_wall_ms = this->identity.born_wall_ms;
  listing.fence = token;
  for (const auto& [key, task] : this->active) {
    ActiveRun run;
    run.key = key;
    if (const std::optional<std::int64_t> end = this->WorkEnd(key, task)) {
      const std::int64_t worked_ms = task.run_ms - (*end - clock);
      run.percent = static_cast<int>(worked_ms * kPercent / task.run_ms);
    }
    listing.running.push_back(run);
  }
  for (const auto& [number, end] : this->ends) {
    listing.ends.push_back(end);
  }
  return listing;
}

void WorkerModel::Drain(core::Duration remaining) {
  this->drains_for = remaining;
}

void WorkerModel::Advance(core::TimePoint now) {
  const std::int64_t clock = this->ClockAt(now);
  std::vector<std::pair<RunKey, RunEndKind>> over;
  for (const auto& [key, task] : this->active) {
    if (const auto kind = this->HowItEnds(key, task, now)) {
      over.emplace_back(key, *kind);
    }
  }
  for (const auto& [key, kind] : over) {
    this->End(key, kind, now);
  }
  if (clock >= this->lease_ms) {
    this->last_end_before_expiry = this->last_end;
  }
}

std::optional<RunEndKind> WorkerModel::HowItEnds(const RunKey& key,
                                                 const ActiveTask& task,
                                                 core::TimePoint now) const {
  const std::int64_t clock = this->ClockAt(now);
  if (clock >= this->lease_ms) {
    return RunEndKind::kLeaseExpired;
  }
  if (task.is_stopping && clock >= task.finishes_ms) {
    return RunEndKind::kStopped;
  }
  const std::optional<std::int64_t> work_end = this->WorkEnd(key, task);
  if (!task.is_stopping && work_end && clock >= *work_end) {
    return RunEndKind::kDone;
  }
  if (task.is_gang && this->gangs.at(GangOf(key)).is_broken) {
    return RunEndKind::kGangBroken;
  }
  if (!task.is_stopping && !work_end &&
      clock >= task.starts_ms + kGangWait.InMilliseconds()) {
    return RunEndKind::kGangIncomplete;
  }
  if (now < this->fails_until && clock >= task.starts_ms + kFailsAfterMs) {
    return RunEndKind::kFailed;
  }
  return std::nullopt;
}

std::optional<std::int64_t> WorkerModel::WorkEnd(const RunKey& key,
                                                 const ActiveTask& task) const {
  if (!task.is_gang) {
    return task.starts_ms + task.run_ms;
  }
  const GangState& gang = this->gangs.at(GangOf(key));
  if (!gang.complete_since) {
    return std::nullopt;
  }
  return this->ClockAt(*gang.complete_since) + task.run_ms;
}

std::size_t WorkerModel::FreeRoom() const {
  return kRoom - this->active.size();
}

bool WorkerModel::Runs(const core::JobId& job) const {
  return std::any_of(
      this->active.begin(), this->active.end(),
      [&job](const auto& run) { return run.first.task.job == job; });
}

void WorkerModel::Crash() {
  for (const auto& [key, task] : this->active) {
    if (task.is_gang) {
      this->gangs[GangOf(key)].is_broken = true;
    }
    this->witness.OnOver(key, this->identity);
  }
  this->active.clear();
}

void WorkerModel::ExtendLease(std::int64_t deadline_ms, std::int64_t clock_ms) {
  const std::int64_t longest = clock_ms + kMaxWorkerLease.InMilliseconds();
  this->lease_ms = std::max(this->lease_ms, std::min(deadline_ms, longest));
}

void WorkerModel::End(const RunKey& key, RunEndKind kind, core::TimePoint now) {
  if (kind != RunEndKind::kDone && this->active.at(key).is_gang) {
    this->gangs[GangOf(key)].is_broken = true;
  }
  this->active.erase(key);
  std::int64_t& highest = this->highest_over[key.task];
  highest = std::max(highest, key.run);
  ++this->last_end;
  this->ends[this->last_end] = {this->last_end, key, kind, {}};
  this->witness.OnOver(key, this->identity);
  if (kind == RunEndKind::kGangIncomplete) {
    this->witness.OnAlone(key, now);
  }
  if (kind == RunEndKind::kDone) {
    this->witness.OnDone(key, this->identity, now);
  } else {
    this->witness.Note(now, "run " + std::to_string(key.run) + " of " +
                                key.task.ToText() + " ends " + NameOf(kind));
  }
}

}  // namespace hemlockdoor::batch::exploration
