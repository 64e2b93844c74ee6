#include "modules/entry/core/ownership_service.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/attempt_runner.h"
#include "modules/entry/core/caller_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Number of consecutive polls without a status of the job after which the
/// entry that holds the job counts as gone.
constexpr int kMaxFollowPollFailures = 3;

/// Returns the agent id that an entry uses as the sender of results.
core::AgentId PeerAgentId(const std::string& endpoint) {
  return core::AgentId("entry:" + endpoint);
}

std::string PeerJobTarget(const Job& job) {
  return "/internal/v1/jobs/" + job.description.id.Text() +
         "?organisation=" + job.description.organisation.Text();
}

}  // namespace

bool NeedsOwner(const model::JobDescription& job) {
  return job.shape.accelerators_per_member > 0 || job.shape.gang_size > 1 ||
         job.declared_run >= kMinLongRunTime;
}

bool NeedsRecord(const model::JobDescription& job) {
  // A new planning owner can reclaim only the capacity of jobs that it knows
  // from their records. Jobs with a very short declared run time free their
  // capacity soon anyway, so they are run without the store calls.
  const bool holds_accelerators = job.shape.accelerators_per_member > 0 &&
                                  (job.declared_run == core::Duration() ||
                                   job.declared_run >= kMinRecordedRunTime);
  return !job.repeatable || job.shape.gang_size > 1 ||
         job.declared_run >= kMinLongRunTime || holds_accelerators;
}

void OwnershipService::Dispatch(Job& job) {
  if (job.cancel_requested) {
    this->context.attempts->End(job, model::JobOutcome::kCancelled,
                                "cancelled by request");
    return;
  }
  if (!NeedsOwner(job.description) || this->context.ownership.IsOwner()) {
    this->context.attempts->Enqueue(job);
    return;
  }
  const std::optional<PlanningOwner>& owner = this->context.ownership.Owner();
  this->Follow(job, owner ? owner->endpoint : std::string());
  this->SendHandover(job);
}

void OwnershipService::Follow(Job& job, const std::string& endpoint) {
  job.phase = JobPhase::kFollowing;
  job.attempt.reset();
  job.followed_endpoint = endpoint;
  job.follow_failures = 0;
  job.follow_call_open = false;
  job.next_query_at = this->context.now + kFollowPollPeriod;
}

void OwnershipService::SendHandover(Job& job) {
  if (job.followed_endpoint.empty() || !job.payload) {
    return;
  }
  nlohmann::json doc;
  doc["job"] = model::JobDescriptionToJson(job.description);
  doc["reply_to"] = this->context.options.endpoint;
  doc["record_revision"] = std::to_string(
      job.record.revision.value_or(store::ModRevision()).Number());
  doc["payload_stored"] = job.payload_stored;
  doc["body_hash"] = job.body_hash;
  doc["traceparent"] = job.spans.Traceparent();
  if (job.deadline) {
    // Sends the remaining time, because the clocks of two entries cannot be
    // compared.
    const core::Duration left = *job.deadline - this->context.now;
    doc["job"]["deadline_ms"] =
        std::max<std::int64_t>(left.InMilliseconds(), 1);
  }
  job.follow_call_open = true;
  const core::JobId id = job.description.id;
  this->context.SendWork(
      {job.followed_endpoint, wire::HttpMethod::kPost, "/internal/v1/queued"},
      std::move(doc), job.payload,
      [this, id](const core::Expected<wire::HttpResponse>& answer) {
        Job* current = this->context.jobs.Find(id);
        if (current == nullptr || current->phase != JobPhase::kFollowing) {
          return;
        }
        current->follow_call_open = false;
        current->next_query_at = this->context.now + kFollowPollPeriod;
        if (!answer) {
          // The owner may have accepted the job. Handing it over again is
          // idempotent: the owner recognises the job id.
          current->handover_in_doubt = true;
          return;
        }
        if (answer->status == status::kAccepted) {
          current->handed_over = true;
        } else if (answer->status == status::kConflict) {
          current->followed_endpoint.clear();
        }
      });
}

void OwnershipService::PollFollowed(Job& job) {
  job.next_query_at = this->context.now + kFollowPollPeriod;
  const std::optional<PlanningOwner>& owner = this->context.ownership.Owner();
  const bool by_owner = NeedsOwner(job.description);
  if (by_owner && this->context.ownership.IsOwner()) {
    this->OnHolderLost(job);
    return;
  }
  if (by_owner && owner && owner->endpoint != job.followed_endpoint) {
    job.followed_endpoint = owner->endpoint;
    job.handed_over = false;
    job.follow_failures = 0;
  }
  if (job.followed_endpoint.empty()) {
    if (!by_owner) {
      this->OnHolderLost(job);
    }
    return;
  }
  if (by_owner && !job.handed_over && job.payload) {
    this->SendHandover(job);
    return;
  }
  job.follow_call_open = true;
  const core::JobId id = job.description.id;
  this->context.Call(
      {job.followed_endpoint, wire::HttpMethod::kGet, PeerJobTarget(job)}, {},
      [this, id](const core::Expected<wire::HttpResponse>& answer) {
        Job* current = this->context.jobs.Find(id);
        if (current == nullptr || current->phase != JobPhase::kFollowing) {
          return;
        }
        current->follow_call_open = false;
        if (answer && answer->status != status::kNotFound) {
          current->follow_failures = 0;
          this->OnFollowAnswer(*current, *answer);
          return;
        }
        current->handed_over = false;
        if (++current->follow_failures >= kMaxFollowPollFailures) {
          current->follow_failures = 0;
          this->OnHolderLost(*current);
        }
      });
}

void OwnershipService::OnFollowAnswer(Job& job,
                                      const wire::HttpResponse& response) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(response.body);
  if (!doc || !doc->is_object()) {
    return;
  }
  if (doc->value("state", "") == "running") {
    job.may_have_run = true;
  }
  const std::optional<model::JobOutcome> outcome =
      model::JobOutcomeFromName(doc->value("outcome", ""));
  if (!outcome) {
    return;
  }
  model::ResultNotice notice;
  notice.job = job.description.id;
  notice.outcome = *outcome;
  notice.attempt =
      core::AttemptNumber(doc->value("attempts", std::uint64_t{0}));
  const bool done = *outcome == model::JobOutcome::kDone;
  if (done && !doc->contains("result")) {
    // The holder has dropped the result. The store record has the result or
    // names the agent that keeps it.
    this->OnHolderLost(job);
    return;
  }
  this->OnFollowedEnd(
      job, notice,
      std::make_shared<const std::string>(
          done ? doc->value("result", "")
               : doc->value("error", doc->value("detail", ""))));
}

bool OwnershipService::OnPushedEnd(Job& job,
                                   const model::ResultNotice& notice,
                                   const SharedBody& body) {
  // Only the entry that holds the job knows which attempt is the current one. A
  // result that an agent sends here may belong to an earlier attempt.
  if (job.followed_endpoint.empty() ||
      notice.agent != PeerAgentId(job.followed_endpoint)) {
    return false;
  }
  this->OnFollowedEnd(job, notice, body);
  return job.phase == JobPhase::kEnded;
}

void OwnershipService::OnFollowedEnd(Job& job,
                                     const model::ResultNotice& notice,
                                     const SharedBody& body) {
  if (notice.outcome == model::JobOutcome::kDone) {
    if (!this->context.jobs.MakeRoomForResult(job, body->size())) {
      // The job stays in phase `kFollowing`, and a later poll gets the end
      // again.
      return;
    }
    this->context.jobs.DropPayload(job);
    const bool attached = this->context.jobs.AttachResult(job, body);
    HD_ASSERT(attached);
  } else {
    job.error = *body;
  }
  job.outcome = notice.outcome;
  job.ended_attempt = notice.attempt;
  job.last_attempt = std::max(job.last_attempt, notice.attempt);
  if (notice.outcome == model::JobOutcome::kNotRun) {
    job.problem_status = status::kUnavailable;
    job.problem_type = "not-run";
    job.retry_after = core::Duration::Seconds(1);
  }
  this->context.attempts->Finalize(job);
}

void OwnershipService::OnHolderLost(Job& job) {
  if (!job.recorded) {
    // A job without a record is repeatable. It is queued again when this entry
    // may place it; otherwise `PollFollowed` hands it over to the next owner.
    if (this->context.ownership.IsOwner() || !NeedsOwner(job.description)) {
      this->context.attempts->Requeue(job, {});
    }
    return;
  }
  const core::JobId id = job.description.id;
  job.follow_call_open = true;
  this->context.records->Lookup(id, [this, id](const auto& found) {
    Job* current = this->context.jobs.Find(id);
    if (current == nullptr || current->phase != JobPhase::kFollowing) {
      return;
    }
    current->follow_call_open = false;
    if (!found || !*found) {
      return;
    }
    if ((*found)->ended) {
      this->context.records->FinalizeFromRecord(*current, (*found)->record);
    } else if (this->context.ownership.IsOwner()) {
      this->AdoptRecord(**found);
    } else {
      const std::string& holder = (*found)->record.holder;
      current->record.revision = (*found)->revision;
      if (!holder.empty()) {
        current->followed_endpoint = holder;
      }
    }
  });
}

void OwnershipService::PushEnd(Job& job) {
  model::ResultNotice notice;
  notice.agent = PeerAgentId(this->context.options.endpoint);
  notice.job = job.description.id;
  notice.attempt = job.ended_attempt;
  notice.outcome = job.outcome.value_or(model::JobOutcome::kUnknown);
  notice.body = job.error;
  // A lost message is not repeated, because the receiver also polls at
  // `kFollowPollPeriod`.
  nlohmann::json doc = model::ToJson(notice);
  doc.erase("body");
  SharedBody body = std::make_shared<const std::string>(job.error);
  if (notice.outcome == model::JobOutcome::kDone && job.result) {
    body = job.result;
  }
  this->context.SendWork(
      {job.reply_to, wire::HttpMethod::kPost, "/internal/v1/result"},
      std::move(doc), std::move(body),
      [](const core::Expected<wire::HttpResponse>&) {}, "body");
}

void OwnershipService::OnEpochSeen(core::SchedulingEpoch seen) {
  this->context.ownership.OnEpochSeen(seen, this->context.now);
  this->CheckRole();
}

void OwnershipService::OnTick() {
  this->RunStep();
  this->CheckRole();
  if (this->was_owner && this->context.now >= this->next_sweep) {
    this->Sweep();
  }
  for (const core::JobId& id : this->context.jobs.OpenIds()) {
    Job* job = this->context.jobs.Find(id);
    if (job != nullptr && job->phase == JobPhase::kFollowing &&
        !job->follow_call_open && this->context.now >= job->next_query_at) {
      this->PollFollowed(*job);
    }
  }
}

void OwnershipService::RunStep() {
  PlanningOwnership& ownership = this->context.ownership;
  switch (ownership.NextStep(this->context.now)) {
    case OwnershipStep::kNone:
      return;
    case OwnershipStep::kRead:
      this->context.List(PlanningOwnership::kPrefix, [this](const auto& read) {
        this->context.ownership.OnRead(read, this->context.now);
        this->RunStep();
      });
      return;
    case OwnershipStep::kGrant:
      this->context.Grant(kPlanningLease, [this](const auto& granted) {
        this->context.ownership.OnGranted(granted, this->context.now);
        this->RunStep();
      });
      return;
    case OwnershipStep::kClaim:
      this->context.Commit(
          ownership.ClaimTransaction(), [this](const auto& claimed) {
            this->context.ownership.OnClaimed(claimed, this->context.now);
            if (this->context.ownership.MustRelease()) {
              this->Release();
            }
            this->CheckRole();
          });
      return;
    case OwnershipStep::kRenew:
      this->context.Renew(ownership.Lease(), [this](const auto& renewed) {
        this->context.ownership.OnRenewed(renewed, this->context.now);
        this->CheckRole();
      });
      return;
  }
}

void OwnershipService::CheckRole() {
  const bool is_owner = this->context.ownership.IsOwner();
  if (is_owner == this->was_owner) {
    return;
  }
  this->was_owner = is_owner;
  if (is_owner) {
    this->BecomeOwner();
  } else {
    this->LoseOwnership();
  }
}

void OwnershipService::BecomeOwner() {
  this->context.Log(
      observe::LogLevel::kInfo,
      "became planning owner, epoch " +
          std::to_string(this->context.ownership.Epoch().Number()));
  this->RebuildScheduler();
  for (const core::JobId& id : this->context.jobs.OpenIds()) {
    Job* job = this->context.jobs.Find(id);
    if (job != nullptr && job->phase == JobPhase::kFollowing &&
        NeedsOwner(job->description)) {
      this->OnHolderLost(*job);
    }
  }
  this->Sweep();
}

void OwnershipService::LoseOwnership() {
  this->context.Log(
      observe::LogLevel::kWarn,
      "lost planning ownership; epoch " +
          std::to_string(this->context.ownership.Epoch().Number()) +
          " is the highest known");
  this->RebuildScheduler();
}

void OwnershipService::RebuildScheduler() {
  decide::SchedulerOptions options;
  options.seed = this->context.options.seed;
  options.plans_accelerators = this->context.ownership.IsOwner();
  core::Expected<PlacementScheduler> fresh =
      PlacementScheduler::Create(options);
  HD_ASSERT(fresh.has_value());
  this->context.scheduler = std::move(*fresh);
  if (this->context.catalogue) {
    this->context.scheduler.ApplyCatalogue(*this->context.catalogue,
                                           this->context.now);
  }
  std::vector<core::JobId> queued;
  std::vector<core::JobId> placed;
  for (const core::JobId& id : this->context.jobs.OpenIds()) {
    Job* job = this->context.jobs.Find(id);
    if (job->attempt) {
      placed.push_back(id);
    } else if (job->in_scheduler) {
      queued.push_back(id);
    }
    job->in_scheduler = job->attempt.has_value();
  }
  for (const auto& [id, agent] : this->context.agents.All()) {
    this->UpsertWorker(agent);
  }
  for (const core::JobId& id : placed) {
    this->AdoptIntoScheduler(*this->context.jobs.Find(id));
  }
  for (const core::JobId& id : queued) {
    this->Dispatch(*this->context.jobs.Find(id));
  }
}

void OwnershipService::AdoptIntoScheduler(Job& job) {
  std::vector<decide::Placement> members;
  for (const AttemptMember& member : job.attempt->members) {
    members.push_back({member.place.agent, member.place.accelerators});
  }
  // Set before the workers are updated, so that `UpsertWorker` does not count
  // the job's tasks as foreign.
  job.in_scheduler = true;
  for (const AttemptMember& member : job.attempt->members) {
    if (const KnownAgent* agent =
            this->context.agents.Find(member.place.agent)) {
      this->UpsertWorker(*agent);
    }
  }
  this->context.scheduler.Adopt(
      {job.description, std::move(members), this->context.now},
      this->context.now);
}

void OwnershipService::UpsertWorker(const KnownAgent& agent) {
  const core::AgentId& id = agent.last_announcement.agent;
  if (!agent.last_announcement.shape) {
    this->context.scheduler.RemoveWorker(id, this->context.now);
    return;
  }
  decide::WorkerView view;
  view.agent = id;
  view.shape = *agent.last_announcement.shape;
  view.draining = !this->context.agents.MayPlaceOn(id, this->context.now);
  for (const model::RunningTask& task : agent.last_announcement.running) {
    const Job* job = this->context.jobs.Find(task.job);
    if (job != nullptr && job->in_scheduler && job->attempt) {
      continue;
    }
    ++view.foreign_slots;
    view.foreign_accelerators =
        view.foreign_accelerators.Union(task.accelerators);
  }
  this->context.scheduler.UpsertWorker(view, this->context.now);
  this->context.plan_needed = true;
}

void OwnershipService::Sweep() {
  if (this->sweep_open) {
    return;
  }
  this->sweep_open = true;
  this->next_sweep = this->context.now + kSweepPeriod;
  this->context.List(kOpenPrefix, [this](const auto& listing) {
    this->sweep_open = false;
    if (!listing) {
      this->next_sweep = this->context.now + kFollowPollPeriod;
    } else if (this->context.ownership.IsOwner()) {
      this->OnSweepListed(*listing);
    }
  });
}

void OwnershipService::OnSweepListed(const store::Listing& listing) {
  std::map<core::JobId, int> still_failing;
  for (const store::KeyValue& item : listing.items) {
    core::Expected<JobRecord> record = JobRecordFromText(item.value);
    if (!record) {
      this->context.Log(observe::LogLevel::kError, "cannot read store record " +
                                                       item.key + ": " +
                                                       record.error().message);
      continue;
    }
    const core::JobId& id = record->description.id;
    const FoundRecord found{*record, false, item.mod_revision};
    const Job* job = this->context.jobs.Find(id);
    if (job != nullptr && job->phase != JobPhase::kFollowing) {
      continue;
    }
    const bool held_here = record->holder.empty() ||
                           record->holder == this->context.options.endpoint;
    if (held_here) {
      this->AdoptRecord(found);
      continue;
    }
    const auto failures = this->holder_failures.find(id);
    if (failures != this->holder_failures.end()) {
      still_failing.insert(*failures);
    }
    this->ProbeHolder(found);
  }
  this->holder_failures = std::move(still_failing);
}

void OwnershipService::ProbeHolder(const FoundRecord& found) {
  const core::JobId id = found.record.description.id;
  const std::string target =
      "/internal/v1/jobs/" + id.Text() +
      "?organisation=" + found.record.description.organisation.Text();
  this->context.Call(
      {found.record.holder, wire::HttpMethod::kGet, target}, {},
      [this, id, found](const core::Expected<wire::HttpResponse>& answer) {
        if (answer && answer->status != status::kNotFound) {
          this->holder_failures.erase(id);
          return;
        }
        // A holder that answers 404 has restarted. A holder that does not
        // answer may only be slow, so the next sweep probes it again. The
        // compare-and-swap on the record prevents both entries from starting
        // the job.
        const int failures = ++this->holder_failures[id];
        if ((answer || failures >= kMaxHolderProbeFailures) &&
            this->context.ownership.IsOwner()) {
          this->holder_failures.erase(id);
          this->AdoptRecord(found);
        }
      });
}

void OwnershipService::AdoptRecord(const FoundRecord& found) {
  const JobRecord& record = found.record;
  const core::JobId& id = record.description.id;
  Job* job = this->context.jobs.Find(id);
  if (job == nullptr) {
    Job fresh;
    fresh.description = record.description;
    fresh.body_hash = record.body_hash;
    fresh.submitted_at = this->context.now;
    fresh.submitted_wall_ms = record.submitted_wall_ms;
    fresh.durable = true;
    const core::Expected<Job*> added = this->context.jobs.Add(std::move(fresh));
    if (!added) {
      this->context.Log(
          observe::LogLevel::kWarn,
          "no room to take over a recorded job; it stays in the store");
      return;
    }
    job = *added;
  } else if (job->phase != JobPhase::kFollowing) {
    return;
  }
  job->recorded = true;
  job->payload_stored = record.payload_stored;
  job->record.revision = found.revision;
  job->last_attempt = record.attempt;
  job->may_have_run = record.may_have_run;
  this->context.Log(observe::LogLevel::kInfo,
                    "taken over from its store record", job);
  if (record.members.empty()) {
    this->context.attempts->Requeue(*job, {});
    return;
  }
  job->may_have_run = true;
  Attempt attempt;
  attempt.number = record.attempt;
  attempt.members = record.members;
  job->attempt = std::move(attempt);
  this->context.attempts->Adopt(*job);
}

void OwnershipService::Resign() {
  if (!this->context.ownership.IsOwner()) {
    this->context.ownership.Resign();
    return;
  }
  this->Release();
  this->context.ownership.Resign();
}

void OwnershipService::Release() {
  this->context.Commit(
      this->context.ownership.ReleaseTransaction(),
      [this](const core::Expected<store::TransactionResult>& released) {
        if (!released) {
          this->context.Log(
              observe::LogLevel::kWarn,
              "planning lease not released, it ends when it expires: " +
                  released.error().message);
        }
      });
}

}  // namespace hemlockdoor::entry
