#include "modules/entry/core/entry_core.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/attempt_runner.h"
#include "modules/entry/core/caller_service.h"
#include "modules/entry/core/entry_metrics.h"
#include "modules/entry/core/gang_coordinator.h"
#include "modules/entry/core/operator_service.h"
#include "modules/entry/core/ownership_service.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Longest time between two runs of the scheduler while jobs are queued.
constexpr core::Duration kPlanPeriod = core::Duration::Milliseconds(100);
/// Period of the scan over all open jobs.
constexpr core::Duration kJobScanPeriod = core::Duration::Milliseconds(100);
/// How long an ended job and its result stay available for queries.
constexpr core::Duration kEndedRetention = core::Duration::Seconds(60);

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

struct EntryCore::Parts {
  Parts(const EntryOptions& options, PlacementScheduler scheduler)
      : context(options, std::move(scheduler)) {
    this->context.attempts = &this->attempts;
    this->context.callers = &this->callers;
    this->context.gangs = &this->gangs;
    this->context.operators = &this->operators;
    this->context.owners = &this->owners;
    this->context.records = &this->records;
  }

  EntryContext context;
  AttemptRunner attempts{context};
  CallerService callers{context};
  GangCoordinator gangs{context};
  OperatorService operators{context};
  OwnershipService owners{context};
  RecordService records{context};

  bool started = false;
  bool stopped = false;
  core::TimePoint next_plan;
  core::TimePoint next_gauges;
  core::TimePoint next_job_scan;
  core::TimePoint drain_until;
};

core::Expected<std::unique_ptr<EntryCore>> EntryCore::Create(
    const EntryOptions& options) {
  decide::SchedulerOptions scheduler_options;
  scheduler_options.seed = options.seed;
  scheduler_options.plans_accelerators = false;
  core::Expected<PlacementScheduler> scheduler =
      PlacementScheduler::Create(scheduler_options);
  if (!scheduler) {
    return tl::unexpected<core::Error>(scheduler.error());
  }
  return std::unique_ptr<EntryCore>(
      new EntryCore(std::make_unique<Parts>(options, std::move(*scheduler))));
}

EntryCore::EntryCore(std::unique_ptr<Parts> initial_parts)
    : parts(std::move(initial_parts)) {}

EntryCore::~EntryCore() = default;

Commands EntryCore::Handle(const Event& event, core::TimePoint now) {
  EntryContext& context = this->parts->context;
  context.now = now;
  if (!this->parts->started) {
    this->parts->started = true;
    context.started_at = now;
    this->parts->owners.OnTick();
    if (context.now >= this->parts->next_gauges) {
      this->parts->next_gauges = context.now + kGaugePeriod;
      PublishGauges(context);
    }
  }
  this->Dispatch(event);
  if (context.plan_needed) {
    this->parts->attempts.Plan();
    this->parts->next_plan = now + kPlanPeriod;
  }
  if (context.draining) {
    this->CheckDrained();
  }
  return context.TakeCommands();
}

void EntryCore::Dispatch(const Event& event) {
  EntryContext& context = this->parts->context;
  CallerService& callers = this->parts->callers;
  OperatorService& operators = this->parts->operators;
  std::visit(
      Overloaded{
          [&](const SubmitJob& submit) { callers.OnSubmit(submit); },
          [&](const QueryJob& query) { callers.OnQuery(query); },
          [&](const ListJobs& list) { callers.OnList(list); },
          [&](const CancelJob& cancel) { callers.OnCancel(cancel); },
          [&](const ClientDisconnected& disconnected) {
            callers.OnClientDisconnected(disconnected);
          },
          [&](const JobHandedOver& job) { callers.OnHandedOver(job); },
          [&](const OperatorQuery& query) { operators.OnQuery(query); },
          [&](const ReadCatalogue& read) { operators.OnReadCatalogue(read); },
          [&](const EditCatalogue& edit) { operators.OnEditCatalogue(edit); },
          [&](const DrainWorker& drain) { operators.OnDrainWorker(drain); },
          [&](const ResultDelivered& result) {
            this->parts->attempts.OnResult(result);
          },
          [&](const CatalogueChanged& change) {
            operators.OnCatalogueChanged(change);
          },
          [&](const AgentAnnounced& announced) {
            this->OnAnnounced(announced);
          },
          [&](const DrainRequested& drain) { this->OnDrain(drain); },
          [&](const Tick&) { this->OnTick(); },
          [&](const auto& ended) { context.Resume(ended); }},
      event);
}

void EntryCore::OnAnnounced(const AgentAnnounced& event) {
  EntryContext& context = this->parts->context;
  const model::Announcement& announcement = event.announcement;
  const AnnouncementEffect effect =
      context.agents.ApplyAnnouncement(announcement, context.now);
  if (effect.accepted) {
    this->parts->operators.OnRevisionSeen(announcement.revision);
    this->parts->owners.OnEpochSeen(announcement.epoch);
    this->parts->attempts.OnAnnouncement(announcement);
    this->parts->owners.UpsertWorker(*context.agents.Find(announcement.agent));
  }
  model::AnnounceReply reply;
  reply.entry = context.options.id;
  reply.entry_endpoints = context.options.peers;
  reply.entry_endpoints.push_back(context.options.endpoint);
  reply.epoch = context.ownership.Epoch();
  reply.revision = context.Revision();
  context.Answer(event.request,
                 MakeJsonResponse(status::kOk, model::ToJson(reply)));
}

void EntryCore::OnTick() {
  EntryContext& context = this->parts->context;
  for (const core::AgentId& agent : context.agents.RemoveExpired(context.now)) {
    context.Log(observe::LogLevel::kWarn,
                "no announcement from agent " + agent.Text() + " for " +
                    std::to_string(model::kAgentLease.InMilliseconds()) +
                    " ms; it gets no new work");
    context.scheduler.RemoveWorker(agent, context.now);
  }
  this->parts->owners.OnTick();
  if (context.now >= this->parts->next_job_scan) {
    this->parts->next_job_scan = context.now + kJobScanPeriod;
    this->parts->attempts.OnTick();
    for (const core::JobId& id : context.jobs.OpenIds()) {
      if (Job* job = context.jobs.Find(id)) {
        this->parts->records.OnTick(*job);
      }
    }
    for (const core::JobId& id :
         context.jobs.Removable(context.now - kEndedRetention)) {
      this->parts->attempts.Forget(id);
    }
  }
  this->parts->callers.OnTick();
  const bool waiting = context.scheduler.QueuedCount() > 0;
  if (waiting && context.now >= this->parts->next_plan) {
    context.plan_needed = true;
  }
}

void EntryCore::OnDrain(const DrainRequested& event) {
  EntryContext& context = this->parts->context;
  if (event.request) {
    context.Answer(*event.request,
                   MakeJsonResponse(status::kAccepted, {{"draining", true}}));
  }
  if (context.draining) {
    return;
  }
  context.draining = true;
  this->parts->drain_until = context.now + context.options.drain_timeout;
  context.Log(observe::LogLevel::kInfo, "draining");
  // Jobs are drained before the planning lease is released. Otherwise this
  // entry would hand its recorded jobs to the next owner, which finds them in
  // the store.
  this->DrainJobs();
  this->parts->owners.Resign();
}

void EntryCore::DrainJobs() {
  EntryContext& context = this->parts->context;
  for (const core::JobId& id : context.jobs.OpenIds()) {
    Job& job = *context.jobs.Find(id);
    const bool resumable_from_store =
        job.recorded &&
        (job.phase == JobPhase::kQueued || job.phase == JobPhase::kDelayed);
    if (!resumable_from_store) {
      continue;
    }
    this->parts->attempts.RemoveFromScheduler(job, model::JobOutcome::kNotRun,
                                              std::nullopt);
    job.phase = JobPhase::kDelayed;
    this->parts->callers.AnswerWaiters(job, MakeJobResponse(job, true));
  }
}

void EntryCore::CheckDrained() {
  EntryContext& context = this->parts->context;
  if (this->parts->stopped) {
    return;
  }
  const bool drain_expired = context.now >= this->parts->drain_until;
  bool busy = false;
  for (const core::JobId& id : context.jobs.OpenIds()) {
    Job* job = context.jobs.Find(id);
    if (job == nullptr || job->phase == JobPhase::kEnded) {
      continue;
    }
    const bool resumable_from_store =
        job->recorded && job->phase == JobPhase::kDelayed;
    if (resumable_from_store) {
      continue;
    }
    if (!drain_expired) {
      busy = true;
      continue;
    }
    const bool never_sent =
        !job->recorded && !job->may_have_run &&
        (job->phase == JobPhase::kQueued || job->phase == JobPhase::kDelayed);
    if (never_sent) {
      this->parts->attempts.Refuse(
          *job, {status::kUnavailable, "draining",
                 "The job was not run: this entry is stopping. Retry; the "
                 "balancer sends the request to another entry.",
                 core::Duration::Seconds(1), model::JobOutcome::kNotRun, id});
    } else {
      // The job continues. Its callers fetch the result through another entry.
      this->parts->callers.AnswerWaiters(*job, MakeJobResponse(*job, true));
    }
  }
  if (!busy) {
    this->parts->stopped = true;
    context.Log(observe::LogLevel::kInfo, "drained");
    context.RequestStop();
  }
}

std::size_t EntryCore::OpenJobs() const {
  return this->parts->context.jobs.OpenCount();
}

std::size_t EntryCore::HeldBytes() const {
  return this->parts->context.jobs.HeldBytes();
}

std::size_t EntryCore::UnevictableBytes() const {
  return this->parts->context.jobs.UnevictableBytes();
}

std::uint64_t EntryCore::RecordWrites() const {
  return this->parts->context.record_writes;
}

std::uint64_t EntryCore::RecordReads() const {
  return this->parts->context.record_reads;
}

bool EntryCore::IsPlanningOwner() const {
  return this->parts->context.ownership.IsOwner();
}

}  // namespace hemlockdoor::entry
