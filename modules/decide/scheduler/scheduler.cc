#include "modules/decide/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "modules/decide/scheduler/job_starter.h"
#include "modules/decide/scheduler/report_handler.h"
#include "modules/decide/scheduler/wait_explainer.h"

namespace hemlockdoor::decide {

namespace {

/// Shortest time between two attempts to repack all unused cells.
constexpr core::Duration kRepackPeriod = core::Duration::Seconds(5);
/// Blocked jobs are checked again after this time even without new reports, for
/// example to refuse jobs that no longer fit on any worker.
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
  ReportHandler report_handler(state);
  while (const std::optional<JobTimer> timer = state.timers.TakeDue(now)) {
    const JobRecord& job = state.jobs.At(timer->job);
    if (job.generation != timer->generation) {
      continue;
    }
    switch (timer->kind) {
      case TimerKind::kExpiry:
        if (job.phase == JobPhase::kQueued) {
          lifecycle.Refuse(timer->job, RefusalKind::kDeadline,
                           "the job's deadline has passed while it was queued");
        }
        break;
      case TimerKind::kGrantTimeout:
        report_handler.OnGrantTimeout(timer->job, now);
        break;
      case TimerKind::kOverrun:
        if (now - job.started >= state.GetPolicy().short_limit) {
          preemption.OnOverrun(timer->job, now);
        }
        break;
      case TimerKind::kMaxRun:
        preemption.OnMaxRun(timer->job, now);
        break;
      case TimerKind::kPreemptGrace:
        preemption.OnGraceExpired(timer->job, now);
        break;
    }
  }
}

}  // namespace

struct Scheduler::State {
  explicit State(const SchedulerOptions& options) : scheduler_state(options) {}
  SchedulerState scheduler_state;
};

core::Expected<Scheduler> Scheduler::Create(const SchedulerOptions& options) {
  const Policy& policy = options.policy;
  if (policy.short_reserve_percent < 0 || policy.short_reserve_percent > 90) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "share of slots for short jobs must be 0 to 90 %, "
                           "not " +
                               std::to_string(policy.short_reserve_percent) +
                               " %");
  }
  if (policy.short_limit <= core::Duration() ||
      policy.stop_grace <= core::Duration() ||
      policy.urgent_grace < core::Duration()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "short limit and stop grace must be above zero, "
                           "urgent grace must not be negative");
  }
  if (policy.max_queued == 0 || policy.max_decisions == 0) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "bounds on queued jobs and decisions must be above "
                           "zero");
  }
  return Scheduler(std::make_unique<State>(options));
}

Scheduler::Scheduler(std::unique_ptr<State> initial)
    : state(std::move(initial)) {}
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
Scheduler::~Scheduler() = default;

void Scheduler::UpsertWorker(const WorkerView& worker, core::TimePoint now) {
  ReportHandler(this->state->scheduler_state).UpsertWorker(worker, now);
}

void Scheduler::RemoveWorker(const core::AgentId& agent, core::TimePoint now) {
  ReportHandler(this->state->scheduler_state).RemoveWorker(agent, now);
}

core::Expected<void> Scheduler::CheckGuarantees(
    const model::Catalogue& catalogue) const {
  Fleet idle(0);
  const Fleet& fleet = this->state->scheduler_state.fleet;
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
      const int missing = cells.MissingCountForShape(guarantee.shape);
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
                         "not all guarantees fit, but no shape lacks a place");
}

void Scheduler::ApplyCatalogue(const model::Catalogue& catalogue,
                               core::TimePoint /*now*/) {
  SchedulerState& scheduler_state = this->state->scheduler_state;
  if (catalogue.revision < scheduler_state.revision) {
    return;
  }
  scheduler_state.revision = catalogue.revision;
  std::vector<bool> covered(scheduler_state.entries.Count(), false);
  std::vector<double> weights;
  bool guarantees_changed = false;
  const auto set_guarantees = [&](EntryIndex index,
                                  const std::vector<model::Guarantee>& next) {
    if (!scheduler_state.GetPolicy().guarantees ||
        scheduler_state.entries.At(index).guarantees == next) {
      return;
    }
    guarantees_changed = true;
    for (const JobHandle job :
         scheduler_state.cells.SetGuarantees(index, next)) {
      JobRecord& record = scheduler_state.jobs.At(job);
      record.cell = kNoCell;
      if (record.stoppable && record.UsesCapacity()) {
        record.non_preemptible = false;
        for (const MemberPlace& place : record.members) {
          scheduler_state.fleet.SetNonpreemptible(place, false);
        }
      }
    }
  };
  for (const auto& [name, entry] : catalogue.entries) {
    const EntryIndex index =
        scheduler_state.entries.IndexOf(entry.owner, entry.job_class);
    covered.resize(std::max<std::size_t>(covered.size(), index + 1), false);
    covered[index] = true;
    set_guarantees(index, entry.guarantees);
    EntryState& state_entry = scheduler_state.entries.At(index);
    const bool changed =
        !state_entry.present || !(state_entry.limits == entry.limits);
    state_entry.name = name;
    state_entry.limits = entry.limits;
    state_entry.guarantees = entry.guarantees;
    state_entry.present = true;
    if (changed) {
      scheduler_state.queue.WakeEntry(index);
    }
    weights.resize(
        std::max<std::size_t>(weights.size(), state_entry.organisation + 1), 1);
    weights[state_entry.organisation] += WeightOf(entry.guarantees);
  }
  for (EntryIndex index = 0; index < covered.size(); ++index) {
    if (!covered[index] && scheduler_state.entries.At(index).present) {
      set_guarantees(index, {});
      scheduler_state.entries.At(index).present = false;
      scheduler_state.entries.At(index).guarantees.clear();
      scheduler_state.queue.WakeEntry(index);
      scheduler_state.queue.WakeForCapacity(true);
    }
  }
  for (OrganisationIndex i = 0; i < weights.size(); ++i) {
    scheduler_state.fair_share.SetWeight(i, weights[i]);
  }
  if (guarantees_changed) {
    scheduler_state.cells.PlaceMissing(true);
    scheduler_state.queue.WakeForCapacity(true);
  }
  scheduler_state.capacity_changed = true;
}

std::vector<UnmetGuarantee> Scheduler::UnmetGuarantees() const {
  const SchedulerState& scheduler_state = this->state->scheduler_state;
  std::vector<UnmetGuarantee> result;
  if (scheduler_state.cells.MissingCount() == 0) {
    return result;
  }
  for (EntryIndex i = 0; i < scheduler_state.entries.Count(); ++i) {
    const EntryState& entry = scheduler_state.entries.At(i);
    for (const model::Guarantee& guarantee : entry.guarantees) {
      const int missing =
          scheduler_state.cells.MissingCountForShape(guarantee.shape);
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
  return SubmissionHandler(this->state->scheduler_state).Submit(job, now);
}

bool Scheduler::Cancel(const core::JobId& id, core::TimePoint now) {
  SchedulerState& scheduler_state = this->state->scheduler_state;
  const std::optional<JobHandle> job = scheduler_state.jobs.Find(id);
  if (!job) {
    return false;
  }
  const JobPhase phase = scheduler_state.jobs.At(*job).phase;
  if (phase != JobPhase::kQueued && phase != JobPhase::kReclaiming) {
    return false;
  }
  JobLifecycle(scheduler_state).Remove(*job, now);
  scheduler_state.history.Forget(id);
  return true;
}

void Scheduler::Adopt(const RunningJob& job, core::TimePoint now) {
  ReportHandler(this->state->scheduler_state).Adopt(job, now);
}

std::vector<Decision> Scheduler::Plan(core::TimePoint now) {
  SchedulerState& scheduler_state = this->state->scheduler_state;
  FireTimers(scheduler_state, now);
  if (scheduler_state.GetPolicy().quarantine) {
    ReportHandler(scheduler_state).BeginTrials(now);
  }
  Preemption(scheduler_state).StartReclaimed(now);
  if (scheduler_state.cells.MissingCount() > 0 &&
      scheduler_state.capacity_changed) {
    const bool repack = now >= scheduler_state.next_repack;
    if (repack) {
      scheduler_state.next_repack = now + kRepackPeriod;
    }
    scheduler_state.cells.PlaceMissing(repack);
  }
  if (now >= scheduler_state.next_recheck) {
    scheduler_state.next_recheck = now + kRecheckPeriod;
    scheduler_state.queue.WakeForCapacity(true);
  }
  JobStarter job_starter(scheduler_state);
  job_starter.ServeReservations(now);
  scheduler_state.capacity_changed = false;
  job_starter.StartQueued(now);
  job_starter.MakeReservation(now);
  return std::exchange(scheduler_state.decisions, {});
}

void Scheduler::OnStarted(const core::JobId& job, core::TimePoint now) {
  ReportHandler(this->state->scheduler_state).OnStarted(job, now);
}

void Scheduler::OnStartRefused(const core::JobId& job,
                               const core::AgentId& agent,
                               core::TimePoint now) {
  ReportHandler(this->state->scheduler_state).OnStartRefused(job, agent, now);
}

void Scheduler::OnEnded(const core::JobId& job,
                        model::JobOutcome outcome,
                        const std::optional<core::AgentId>& failed_on,
                        core::TimePoint now) {
  ReportHandler(this->state->scheduler_state)
      .OnEnded(job, outcome, failed_on, now);
}

bool Scheduler::IsWithinGuarantee(const core::JobId& id) const {
  const SchedulerState& scheduler_state = this->state->scheduler_state;
  const std::optional<JobHandle> job = scheduler_state.jobs.Find(id);
  return job && scheduler_state.jobs.At(*job).cell != kNoCell;
}

std::optional<WaitReason> Scheduler::WhyWaiting(const core::JobId& job) const {
  return WaitExplainer(this->state->scheduler_state).Explain(job);
}

std::vector<QuarantinedWorker> Scheduler::Quarantined() const {
  const SchedulerState& scheduler_state = this->state->scheduler_state;
  std::vector<QuarantinedWorker> result;
  for (const WorkerIndex worker : scheduler_state.health.Quarantined()) {
    const bool on_trial =
        scheduler_state.health.StateOf(worker) == HealthState::kTrial;
    result.push_back(
        {scheduler_state.fleet.At(worker).agent,
         std::to_string(scheduler_state.health.FailureCount(worker)) +
             " distinct jobs failed here in a row" +
             (on_trial ? "; on trial with one job" : ""),
         scheduler_state.health.NextTrial(worker)});
  }
  return result;
}

std::size_t Scheduler::QueuedCount() const {
  return this->state->scheduler_state.queue.Count() +
         this->state->scheduler_state.reclaiming.size();
}

}  // namespace hemlockdoor::decide
