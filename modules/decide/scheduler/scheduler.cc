#include "modules/decide/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "modules/decide/scheduler/outcomes.h"
#include "modules/decide/scheduler/starter.h"
#include "modules/decide/scheduler/wait_explainer.h"

namespace hemlockdoor::decide {

namespace {

/// Least time between two attempts to move all cells.
constexpr core::Duration kRepackPeriod = core::Duration::Seconds(5);
/// Blocked jobs are looked at again this often even if nothing was reported,
/// for example to refuse those that no longer fit any worker.
constexpr core::Duration kRecheckPeriod = core::Duration::Seconds(30);

std::string GuaranteeText(const model::Guarantee& guarantee) {
  const model::GangShape& shape = guarantee.shape;
  return std::to_string(guarantee.count) + " x " +
         std::to_string(shape.gang_size) + " members with " +
         std::to_string(shape.accelerators_per_member) + " accelerators (" +
         std::string(model::AdjacencyName(shape.adjacency)) + ")";
}

double WeightOf(const std::vector<model::Guarantee>& guarantees) {
  double weight = 0;
  for (const model::Guarantee& guarantee : guarantees) {
    weight += guarantee.count * guarantee.shape.TotalAccelerators();
  }
  return weight;
}

void FireTimers(SchedulerState& state, core::TimePoint now) {
  JobLifecycle lifecycle(state);
  Preemption preemption(state);
  Outcomes outcomes(state);
  while (const std::optional<JobTimer> timer = state.timers.TakeDue(now)) {
    const JobRecord& job = state.jobs.At(timer->job);
    if (job.generation != timer->generation) {
      continue;
    }
    switch (timer->kind) {
      case TimerKind::kExpiry:
        if (job.phase == JobPhase::kQueued) {
          lifecycle.Refuse(timer->job, RefusalKind::kDeadline,
                           "its deadline has passed while it was queued");
        }
        break;
      case TimerKind::kGrant:
        outcomes.OnGrantTimeout(timer->job, now);
        break;
      case TimerKind::kOverrun:
        if (now - job.started >= state.Rules().short_limit) {
          preemption.OnOverrun(timer->job, now);
        }
        break;
      case TimerKind::kMaxRun:
        preemption.OnMaxRun(timer->job, now);
        break;
      case TimerKind::kPreempt:
        preemption.OnGraceOver(timer->job, now);
        break;
    }
  }
}

}  // namespace

struct Scheduler::State {
  explicit State(const SchedulerOptions& options) : all(options) {}
  SchedulerState all;
};

core::Expected<Scheduler> Scheduler::Create(const SchedulerOptions& options) {
  const Policy& policy = options.policy;
  if (policy.short_reserve_percent < 0 || policy.short_reserve_percent > 90) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "share of slots for short work must be 0 to 90 %");
  }
  if (policy.short_limit <= core::Duration() ||
      policy.stop_grace <= core::Duration() ||
      policy.urgent_grace < core::Duration()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "time limits must be above zero");
  }
  if (policy.max_queued == 0 || policy.max_decisions == 0) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "bounds on queue and decisions must be above zero");
  }
  return Scheduler(std::make_unique<State>(options));
}

Scheduler::Scheduler(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
Scheduler::~Scheduler() = default;

void Scheduler::UpsertWorker(const WorkerView& worker, core::TimePoint now) {
  Outcomes(this->state->all).UpsertWorker(worker, now);
}

void Scheduler::RemoveWorker(const core::AgentId& agent, core::TimePoint now) {
  Outcomes(this->state->all).RemoveWorker(agent, now);
}

core::Expected<void> Scheduler::CheckGuarantees(
    const model::Catalogue& catalogue) const {
  Fleet idle(0);
  const Fleet& fleet = this->state->all.fleet;
  for (WorkerIndex i = 0; i < fleet.Count(); ++i) {
    const WorkerRecord& worker = fleet.At(i);
    if (worker.present && !worker.draining) {
      idle.Upsert(worker.agent, worker.shape);
    }
  }
  GuaranteeCells cells(idle);
  EntryIndex index = 0;
  for (const auto& [name, entry] : catalogue.entries) {
    cells.SetGuarantees(index++, entry.guarantees);
  }
  if (cells.PlaceMissing(true)) {
    return {};
  }
  for (const auto& [name, entry] : catalogue.entries) {
    for (const model::Guarantee& guarantee : entry.guarantees) {
      const int missing = cells.MissingOfShape(guarantee.shape);
      if (missing > 0) {
        return core::MakeError(
            core::ErrorCode::kInvalidArgument,
            "guarantee " + GuaranteeText(guarantee) +
                " does not fit together with all others on the workers "
                "announced: " +
                std::to_string(missing) + " gangs of this shape have no place",
            "$.entries." + name.Text() + ".guarantees");
      }
    }
  }
  return core::MakeError(core::ErrorCode::kInternal,
                         "guarantees have no place, but none is missing");
}

void Scheduler::ApplyCatalogue(const model::Catalogue& catalogue,
                               core::TimePoint /*now*/) {
  SchedulerState& all = this->state->all;
  if (catalogue.revision < all.revision) {
    return;
  }
  all.revision = catalogue.revision;
  std::vector<bool> covered(all.entries.Count(), false);
  std::vector<double> weights;
  bool guarantees_changed = false;
  const auto set_guarantees = [&](EntryIndex index,
                                  const std::vector<model::Guarantee>& next) {
    if (!all.Rules().guarantees || all.entries.At(index).guarantees == next) {
      return;
    }
    guarantees_changed = true;
    for (const JobHandle job : all.cells.SetGuarantees(index, next)) {
      JobRecord& record = all.jobs.At(job);
      record.cell = kNoCell;
      if (record.stoppable && record.UsesCapacity()) {
        record.hard = false;
        for (const MemberPlace& place : record.members) {
          all.fleet.SetHard(place, false);
        }
      }
    }
  };
  for (const auto& [name, entry] : catalogue.entries) {
    const EntryIndex index = all.entries.IndexOf(entry.owner, entry.job_class);
    covered.resize(std::max<std::size_t>(covered.size(), index + 1), false);
    covered[index] = true;
    set_guarantees(index, entry.guarantees);
    EntryState& state_entry = all.entries.At(index);
    const bool changed =
        !state_entry.present || !(state_entry.limits == entry.limits);
    state_entry.name = name;
    state_entry.limits = entry.limits;
    state_entry.guarantees = entry.guarantees;
    state_entry.present = true;
    if (changed) {
      all.queue.WakeEntry(index);
    }
    weights.resize(
        std::max<std::size_t>(weights.size(), state_entry.organisation + 1), 1);
    weights[state_entry.organisation] += WeightOf(entry.guarantees);
  }
  for (EntryIndex index = 0; index < covered.size(); ++index) {
    if (!covered[index] && all.entries.At(index).present) {
      set_guarantees(index, {});
      all.entries.At(index).present = false;
      all.entries.At(index).guarantees.clear();
      all.queue.WakeEntry(index);
      all.queue.WakeForCapacity(true);
    }
  }
  for (OrganisationIndex i = 0; i < weights.size(); ++i) {
    all.fair_share.SetWeight(i, weights[i]);
  }
  if (guarantees_changed) {
    all.cells.PlaceMissing(true);
    all.queue.WakeForCapacity(true);
  }
  all.capacity_changed = true;
}

std::vector<UnmetGuarantee> Scheduler::UnmetGuarantees() const {
  const SchedulerState& all = this->state->all;
  std::vector<UnmetGuarantee> result;
  if (all.cells.MissingCount() == 0) {
    return result;
  }
  for (EntryIndex i = 0; i < all.entries.Count(); ++i) {
    const EntryState& entry = all.entries.At(i);
    for (const model::Guarantee& guarantee : entry.guarantees) {
      const int missing = all.cells.MissingOfShape(guarantee.shape);
      if (missing > 0) {
        result.push_back(
            {entry.name, std::min(missing, guarantee.count),
             "guarantee " + GuaranteeText(guarantee) + ": " +
                 std::to_string(missing) +
                 " gangs of this shape have no place on the usable workers"});
      }
    }
  }
  return result;
}

tl::expected<void, RefuseDecision> Scheduler::Submit(
    const model::JobDescription& job,
    core::TimePoint now) {
  return Intake(this->state->all).Submit(job, now);
}

bool Scheduler::Cancel(const core::JobId& id, core::TimePoint now) {
  SchedulerState& all = this->state->all;
  const std::optional<JobHandle> job = all.jobs.Find(id);
  if (!job) {
    return false;
  }
  const JobPhase phase = all.jobs.At(*job).phase;
  if (phase != JobPhase::kQueued && phase != JobPhase::kReclaiming) {
    return false;
  }
  JobLifecycle(all).Remove(*job, now);
  all.history.Forget(id);
  return true;
}

void Scheduler::Adopt(const RunningJob& job, core::TimePoint now) {
  Outcomes(this->state->all).Adopt(job, now);
}

std::vector<Decision> Scheduler::Plan(core::TimePoint now) {
  SchedulerState& all = this->state->all;
  FireTimers(all, now);
  if (all.Rules().quarantine) {
    Outcomes(all).BeginTrials(now);
  }
  Preemption(all).StartReclaimed(now);
  if (all.cells.MissingCount() > 0 && all.capacity_changed) {
    const bool repack = now >= all.next_repack;
    if (repack) {
      all.next_repack = now + kRepackPeriod;
    }
    all.cells.PlaceMissing(repack);
  }
  if (now >= all.next_recheck) {
    all.next_recheck = now + kRecheckPeriod;
    all.queue.WakeForCapacity(true);
  }
  Starter starter(all);
  starter.ServeReservations(now);
  all.capacity_changed = false;
  starter.StartQueued(now);
  starter.MakeReservation(now);
  return std::exchange(all.decisions, {});
}

void Scheduler::OnStarted(const core::JobId& job, core::TimePoint now) {
  Outcomes(this->state->all).OnStarted(job, now);
}

void Scheduler::OnStartRefused(const core::JobId& job,
                               const core::AgentId& agent,
                               core::TimePoint now) {
  Outcomes(this->state->all).OnStartRefused(job, agent, now);
}

void Scheduler::OnEnded(const core::JobId& job,
                        model::JobOutcome outcome,
                        const std::optional<core::AgentId>& failed_on,
                        core::TimePoint now) {
  Outcomes(this->state->all).OnEnded(job, outcome, failed_on, now);
}

bool Scheduler::IsWithinGuarantee(const core::JobId& id) const {
  const SchedulerState& all = this->state->all;
  const std::optional<JobHandle> job = all.jobs.Find(id);
  return job && all.jobs.At(*job).cell != kNoCell;
}

std::optional<WaitReason> Scheduler::WhyWaiting(const core::JobId& job) const {
  return WaitExplainer(this->state->all).Explain(job);
}

std::vector<QuarantinedWorker> Scheduler::Quarantined() const {
  const SchedulerState& all = this->state->all;
  std::vector<QuarantinedWorker> result;
  for (const WorkerIndex worker : all.health.Quarantined()) {
    const bool on_trial = all.health.StateOf(worker) == HealthState::kTrial;
    result.push_back({all.fleet.At(worker).agent,
                      std::to_string(all.health.FailureCount(worker)) +
                          " distinct jobs failed here in a row" +
                          (on_trial ? "; on trial with one job" : ""),
                      all.health.NextTrial(worker)});
  }
  return result;
}

std::size_t Scheduler::QueuedCount() const {
  return this->state->all.queue.Count() + this->state->all.reclaiming.size();
}

}  // namespace hemlockdoor::decide
