#include "modules/entry/core/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/caller_service.h"
#include "modules/entry/core/entry_metrics.h"
#include "modules/entry/core/gang_coordinator.h"
#include "modules/entry/core/operator_service.h"
#include "modules/entry/core/ownership_service.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

namespace {

namespace status = wire::http_status;

/// Time that must remain of the start window when a start is first sent.
constexpr core::Duration kMinStartWindow = core::Duration::Milliseconds(1000);
/// Delay before an unanswered start request is sent again, multiplied by the
/// number of sends, and before a failed or preempted job is queued again.
constexpr core::Duration kResendDelay = core::Duration::Milliseconds(100);
/// Delay before a job is placed again after more than `kMaxImmediateRetries`
/// refused starts, or when the retry budget is used up.
constexpr core::Duration kRefusalDelay = core::Duration::Milliseconds(500);
/// Largest result that its agent keeps until it is fetched when no caller waits
/// for it. The agent delivers a kept result again every 5 s, which would be too
/// much traffic for larger results.
constexpr std::size_t kMaxAgentHeldResultBytes = 64U * 1024U;
/// How long after its start a running task may be missing from its agent's
/// announcements. After that, the task may have ended without a report, and the
/// agent is queried.
constexpr core::Duration kUnannouncedTimeout =
    core::Duration::Milliseconds(3000);

const model::RunningTask* FindTask(const KnownAgent& agent,
                                   const core::JobId& job,
                                   core::AttemptNumber attempt) {
  for (const model::RunningTask& task : agent.last_announcement.running) {
    if (task.job == job && task.attempt == attempt) {
      return &task;
    }
  }
  return nullptr;
}

SharedBody BodyOf(const model::ResultNotice& notice) {
  return std::make_shared<const std::string>(notice.body);
}

/// Returns the start window of a job: how long after its placement it may
/// start.
core::Duration StartWindowOf(const Job& job) {
  constexpr std::int64_t kMegabyte = std::int64_t{1024} * 1024;
  const auto size = static_cast<std::int64_t>(job.payload_bytes);
  return kStartWindow +
         kStartWindowPerMegabyte * ((size + kMegabyte - 1) / kMegabyte);
}

bool IsGang(const Job& job) {
  return job.description.shape.gang_size > 1;
}

}  // namespace

std::optional<model::GrantReply> ReadGrantReply(
    const wire::HttpResponse& response) {
  core::Expected<model::GrantReply> reply =
      model::FromText<&model::GrantReplyFromJson>(response.body);
  if (!reply) {
    return std::nullopt;
  }
  return std::move(*reply);
}

bool IsRefusedBeforeProcessing(int status_code) {
  switch (status_code) {
    case status::kBadRequest:
    case status::kUnauthorized:
    case status::kForbidden:
    case status::kNotFound:
    case status::kMethodNotAllowed:
    case status::kPayloadTooLarge:
    case status::kTooManyRequests:
    case status::kHeadersTooLarge:
    case status::kUnavailable:
      return true;
    default:
      return false;
  }
}

void AttemptRunner::Enqueue(Job& job) {
  if (job.cancel_requested) {
    this->End(job, model::JobOutcome::kCancelled, "cancelled by request");
    return;
  }
  const tl::expected<void, decide::RefuseDecision> submitted =
      this->context.scheduler.Submit(job.description, this->context.now);
  if (submitted) {
    job.phase = JobPhase::kQueued;
    job.in_scheduler = true;
    this->context.plan_needed = true;
    return;
  }
  const decide::RefuseDecision& refusal = submitted.error();
  const bool in_startup_grace_period =
      this->context.now - this->context.started_at < kStartupGracePeriod;
  if (refusal.kind == decide::RefusalKind::kNeverRunnable &&
      in_startup_grace_period) {
    this->Requeue(job, kQueryPeriod);
  } else if (job.may_have_run) {
    this->End(job, model::JobOutcome::kFailed,
              job.last_error.empty() ? refusal.reason : job.last_error);
  } else {
    this->Refuse(job, ProblemOfRefusal(refusal));
  }
}

void AttemptRunner::Plan() {
  this->context.plan_needed = false;
  if (this->context.ownership.IsOwner() &&
      !this->context.ownership.MayPlan(this->context.now)) {
    return;
  }
  for (const decide::Decision& decision :
       this->context.scheduler.Plan(this->context.now)) {
    if (const auto* start = std::get_if<decide::StartDecision>(&decision)) {
      this->Start(*start);
    } else if (const auto* preempt =
                   std::get_if<decide::PreemptDecision>(&decision)) {
      this->Preempt(*preempt);
    } else if (const auto* refuse =
                   std::get_if<decide::RefuseDecision>(&decision)) {
      Job* job = this->context.jobs.Find(refuse->job);
      if (job == nullptr || job->phase == JobPhase::kEnded) {
        continue;
      }
      job->in_scheduler = false;
      if (job->may_have_run) {
        this->End(*job, model::JobOutcome::kFailed,
                  job->last_error.empty() ? refuse->reason : job->last_error);
      } else {
        this->Refuse(*job, ProblemOfRefusal(*refuse));
      }
    }
  }
}

void AttemptRunner::Start(const decide::StartDecision& decision) {
  Job* job = this->context.jobs.Find(decision.job);
  if (job == nullptr || job->phase != JobPhase::kQueued) {
    this->context.scheduler.OnEnded(decision.job, model::JobOutcome::kCancelled,
                                    std::nullopt, this->context.now);
    return;
  }
  if (!this->BuildAttempt(*job, decision)) {
    return;
  }
  if (!job->payload) {
    this->context.records->LoadPayload(*job);
    return;
  }
  this->ContinueStart(*job);
}

bool AttemptRunner::BuildAttempt(Job& job,
                                 const decide::StartDecision& decision) {
  Attempt attempt;
  attempt.number = job.last_attempt.Next();
  for (const decide::Placement& placement : decision.members) {
    const KnownAgent* agent = this->context.agents.Find(placement.agent);
    if (!this->context.agents.MayPlaceOn(placement.agent, this->context.now)) {
      this->context.scheduler.OnStartRefused(
          job.description.id, placement.agent, this->context.now);
      return false;
    }
    AttemptMember member;
    member.place = {placement.agent, agent->last_announcement.incarnation,
                    agent->last_announcement.endpoint, placement.accelerators};
    member.start_not_after =
        this->context.agents.EstimateClock(placement.agent, this->context.now) +
        StartWindowOf(job);
    member.cannot_start_after = this->context.now + StartWindowOf(job);
    attempt.members.push_back(std::move(member));
  }
  job.last_attempt = attempt.number;
  job.spans.OnPlaced(attempt.members.front().place.agent, attempt.number);
  job.attempt = std::move(attempt);
  if (job.last_attempt.Number() == 1) {
    this->context.retries.OnFirstAttempt();
  }
  return true;
}

void AttemptRunner::ContinueStart(Job& job) {
  const bool record_first = !IsGang(job) || !job.description.repeatable;
  if (job.recorded && record_first) {
    this->context.records->RecordAttempt(job, [this](const core::JobId& id) {
      Job* current = this->context.jobs.Find(id);
      if (current == nullptr) {
        return;
      }
      if (IsGang(*current)) {
        this->context.gangs->Reserve(*current);
      } else {
        this->SendRun(id);
      }
    });
  } else if (IsGang(job)) {
    this->context.gangs->Reserve(job);
  } else {
    this->SendRun(job.description.id);
  }
}

nlohmann::json AttemptRunner::StartDocument(const Job& job, int member) const {
  const Attempt& attempt = *job.attempt;
  const AttemptMember& target = attempt.members.at(member);
  model::ReservationRequest request;
  request.reservation =
      core::ReservationId(job.description.id.Text() + "." +
                          std::to_string(attempt.number.Number()));
  request.incarnation = target.place.incarnation;
  request.epoch = this->context.ownership.Epoch();
  request.revision = this->context.Revision();
  request.job = job.description;
  request.attempt = attempt.number;
  request.start_not_after = target.start_not_after;
  request.member = member;
  for (const AttemptMember& each : attempt.members) {
    request.members.push_back(each.place);
  }
  request.reply_to = this->context.options.endpoint;
  request.traceparent = job.spans.Traceparent();
  if (this->context.catalogue) {
    const model::CatalogueEntry* entry = this->context.catalogue->FindFor(
        job.description.organisation, job.description.job_class);
    if (entry != nullptr && entry->limits.max_run) {
      request.max_run = *entry->limits.max_run;
    }
  }
  return model::ToJson(request);
}

std::string AttemptRunner::ReferenceText(const Job& job,
                                         const AttemptMember& member) {
  model::AttemptReference reference;
  reference.job = job.description.id;
  reference.attempt = job.attempt->number;
  reference.incarnation = member.place.incarnation;
  reference.start_not_after = member.start_not_after;
  return model::DumpJson(model::ToJson(reference));
}

void AttemptRunner::SendRun(const core::JobId& id) {
  Job* job = this->context.jobs.Find(id);
  if (job == nullptr || !job->attempt) {
    return;
  }
  AttemptMember& member = job->attempt->members.front();
  if (member.sends == 0) {
    if (job->cancel_requested) {
      this->End(*job, model::JobOutcome::kCancelled, "cancelled by request");
      return;
    }
    const KnownAgent* agent = this->context.agents.Find(member.place.agent);
    const bool in_time =
        this->context.now + kMinStartWindow < member.cannot_start_after;
    const bool may_place =
        this->context.agents.MayPlaceOn(member.place.agent,
                                        this->context.now) &&
        agent->last_announcement.incarnation == member.place.incarnation;
    const bool owned =
        this->context.ownership.IsOwner() || !NeedsOwner(job->description);
    if (!in_time || !may_place || !owned) {
      this->OnNeverStarted(
          *job, {member.place.agent, "the chosen worker is not available"});
      return;
    }
  }
  job->phase = JobPhase::kStarting;
  job->attempt->start_sent = true;
  job->resume_at = {};
  ++member.sends;
  member.in_doubt = true;
  const core::AttemptNumber number = job->attempt->number;
  this->context.SendWork(
      {member.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/run"},
      this->StartDocument(*job, 0), job->payload,
      [this, id, number](const core::Expected<wire::HttpResponse>& answer) {
        this->OnRunAnswer(id, number, answer);
      });
}

bool AttemptRunner::IsCurrent(const Job* job,
                              core::AttemptNumber number,
                              JobPhase phase) {
  return job != nullptr && job->phase == phase && job->attempt &&
         job->attempt->number == number;
}

void AttemptRunner::OnRunAnswer(
    const core::JobId& id,
    core::AttemptNumber number,
    const core::Expected<wire::HttpResponse>& answer) {
  Job* job = this->context.jobs.Find(id);
  if (!IsCurrent(job, number, JobPhase::kStarting)) {
    return;
  }
  AttemptMember& member = job->attempt->members.front();
  const bool first_send = member.sends == 1;
  if (!answer) {
    const bool not_sent =
        answer.error().code == core::ErrorCode::kResourceExhausted ||
        answer.error().code == core::ErrorCode::kUnavailable;
    if (not_sent && first_send) {
      if (answer.error().code == core::ErrorCode::kUnavailable) {
        this->context.agents.CountFailure(member.place.agent,
                                          this->context.now);
      }
      this->OnNeverStarted(*job, {member.place.agent, answer.error().message});
      return;
    }
    this->context.agents.CountFailure(member.place.agent, this->context.now);
    this->OnRunInDoubt(*job);
    return;
  }
  this->context.agents.CountSuccess(member.place.agent);
  if (const std::optional<model::GrantReply> reply = ReadGrantReply(*answer)) {
    if (reply->granted) {
      this->OnStarted(*job);
    } else {
      this->OnRefusal(*job, *reply);
    }
  } else if (IsRefusedBeforeProcessing(answer->status) && first_send) {
    this->OnNeverStarted(
        *job,
        {member.place.agent, "the worker answered \"run\" with HTTP status " +
                                 std::to_string(answer->status)});
  } else {
    this->OnRunInDoubt(*job);
  }
}

void AttemptRunner::OnRunInDoubt(Job& job) {
  const AttemptMember& member = job.attempt->members.front();
  const KnownAgent* agent = this->context.agents.Find(member.place.agent);
  const bool same = agent != nullptr && agent->last_announcement.incarnation ==
                                            member.place.incarnation;
  if (same && member.sends < kMaxSends &&
      this->context.now < member.cannot_start_after) {
    job.resume_at = this->context.now + kResendDelay * member.sends;
    return;
  }
  this->Resolve(job);
}

void AttemptRunner::OnRefusal(Job& job, const model::GrantReply& reply) {
  const AttemptMember& member = job.attempt->members.front();
  const model::RefusalReason reason =
      reply.refusal.value_or(model::RefusalReason::kNotReady);
  this->context.operators->OnRevisionSeen(reply.revision);
  this->context.owners->OnEpochSeen(reply.epoch);
  // A refusal proves that no copy of the request started the job only when this
  // was the first copy, or when the agent's clock is past the latest start
  // time. A refusal by a new incarnation says nothing about copies that the
  // previous incarnation received.
  const bool covers_all_copies =
      member.sends == 1 || reason == model::RefusalReason::kExpired;
  if (!reply.may_have_started && covers_all_copies) {
    this->OnNeverStarted(job,
                         {member.place.agent,
                          "the worker refused the start: " +
                              std::string(model::RefusalReasonName(reason))});
  } else {
    this->Resolve(job);
  }
}

void AttemptRunner::OnNeverStarted(Job& job, const NeverStarted& cause) {
  if (job.deadline_passed) {
    this->Refuse(job,
                 ProblemOfRefusal({job.description.id,
                                   decide::RefusalKind::kDeadline,
                                   "the deadline passed before the job started",
                                   {}}));
    return;
  }
  if (job.cancel_requested) {
    this->End(job, model::JobOutcome::kCancelled, "cancelled by request");
    return;
  }
  ++job.refusals;
  job.attempt.reset();
  this->context.Log(observe::LogLevel::kInfo,
                    "attempt not started on agent " + cause.agent.Text() +
                        ": " + cause.reason,
                    &job);
  if (job.in_scheduler) {
    this->context.scheduler.OnStartRefused(job.description.id, cause.agent,
                                           this->context.now);
  }
  this->context.plan_needed = true;
  job.phase = JobPhase::kQueued;
  const bool owned =
      this->context.ownership.IsOwner() || !NeedsOwner(job.description);
  if (!owned) {
    this->RemoveFromScheduler(job, model::JobOutcome::kNotRun, std::nullopt);
    this->context.owners->Dispatch(job);
    return;
  }
  const bool may_retry = this->context.retries.TryTake();
  if (!job.recorded && (!may_retry || job.refusals >= kMaxRefusals)) {
    this->Refuse(job, {status::kUnavailable, "workers-refuse",
                       "The job was not run: " + cause.reason +
                           ". Retry after the time in Retry-After.",
                       core::Duration::Seconds(1), model::JobOutcome::kNotRun,
                       job.description.id});
    return;
  }
  if (!job.in_scheduler) {
    this->Requeue(job, {});
  } else if (!may_retry || job.refusals > kMaxImmediateRetries) {
    this->RemoveFromScheduler(job, model::JobOutcome::kNotRun, std::nullopt);
    this->Requeue(job, kRefusalDelay);
  }
}

void AttemptRunner::OnStarted(Job& job) {
  Attempt& attempt = *job.attempt;
  for (AttemptMember& member : attempt.members) {
    member.in_doubt = false;
  }
  attempt.agent_lost_since.reset();
  attempt.failed_queries = 0;
  attempt.started_at = this->context.now;
  if (!job.may_have_run) {
    CountJobStart(job, this->context.now);
  }
  job.may_have_run = true;
  job.phase = JobPhase::kRunning;
  if (job.in_scheduler) {
    this->context.scheduler.OnStarted(job.description.id, this->context.now);
  }
  if (!job.description.repeatable) {
    this->context.jobs.DropPayload(job);
  }
}

void AttemptRunner::Resolve(Job& job) {
  if (job.phase != JobPhase::kResolving) {
    job.phase = JobPhase::kResolving;
    job.attempt->failed_queries = 0;
    job.next_query_at = this->context.now;
  }
}

void AttemptRunner::QueryAttempt(Job& job) {
  job.next_query_at = this->context.now + kQueryPeriod;
  const AttemptMember& lead = job.attempt->members.front();
  const KnownAgent* agent = this->context.agents.Find(lead.place.agent);
  if (agent == nullptr) {
    this->OnAgentLost(job);
    return;
  }
  if (agent->last_announcement.incarnation != lead.place.incarnation) {
    this->OnAgentLost(job);
    return;
  }
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  const auto done = [this, id,
                     number](const core::Expected<wire::HttpResponse>& answer) {
    Job* current = this->context.jobs.Find(id);
    if (!IsCurrent(current, number, JobPhase::kResolving)) {
      return;
    }
    const core::AgentId asked = current->attempt->members.front().place.agent;
    if (answer) {
      this->context.agents.CountSuccess(asked);
      if (IsGang(*current)) {
        this->OnGangStateAnswer(*current, *answer);
      } else {
        this->OnTaskStatusAnswer(*current, *answer);
      }
    } else {
      this->context.agents.CountFailure(asked, this->context.now);
    }
  };
  if (IsGang(job)) {
    model::GangMessage question;
    question.job = id;
    question.attempt = number;
    question.incarnation = lead.place.incarnation;
    this->context.Call(
        {lead.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/gang/ask"},
        model::DumpJson(model::ToJson(question)), done);
  } else {
    this->context.Call({lead.place.endpoint, wire::HttpMethod::kGet,
                        "/internal/v1/tasks/" + id.Text()},
                       {}, done);
  }
}

void AttemptRunner::OnTaskStatusAnswer(Job& job,
                                       const wire::HttpResponse& response) {
  const std::optional<model::TaskStatus> task = ReadTaskStatus(response);
  const AttemptMember& lead = job.attempt->members.front();
  if (!task || task->incarnation != lead.place.incarnation) {
    return;
  }
  const core::AttemptNumber number = job.attempt->number;
  for (const model::ResultNotice& end : task->results) {
    if (end.attempt == number && this->ApplyNotice(job, end, BodyOf(end))) {
      return;
    }
  }
  for (const model::RunningTask& running : task->running) {
    if (running.attempt == number) {
      this->OnStarted(job);
      return;
    }
  }
  // The agent does not know the attempt. A delayed copy of the request can
  // still start it until the latest start time has passed.
  if (this->context.now > lead.cannot_start_after) {
    this->SendTombstone(job);
  }
}

void AttemptRunner::OnGangStateAnswer(Job& job,
                                      const wire::HttpResponse& response) {
  const core::Expected<model::GangReply> reply =
      model::FromText<&model::GangReplyFromJson>(response.body);
  const AttemptMember& lead = job.attempt->members.front();
  if (!reply || reply->incarnation != lead.place.incarnation) {
    return;
  }
  switch (reply->state) {
    case model::GangState::kCommitted:
    case model::GangState::kRunning:
      this->OnStarted(job);
      return;
    case model::GangState::kReserved:
    case model::GangState::kAborted:
      // A lead that has not committed aborts for good when it gets a release.
      this->context.gangs->Release(job);
      return;
    case model::GangState::kDone:
    case model::GangState::kStopped:
      // The members either are delivering their results or hold them.
      this->QueryMembers(job);
      return;
    case model::GangState::kUnknown:
      if (this->context.now > lead.cannot_start_after) {
        this->SendTombstone(job);
      }
      return;
  }
}

void AttemptRunner::QueryMembers(Job& job) {
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  for (const AttemptMember& member : job.attempt->members) {
    if (member.ended) {
      continue;
    }
    this->context.Call(
        {member.place.endpoint, wire::HttpMethod::kGet,
         "/internal/v1/tasks/" + id.Text()},
        {},
        [this, id, number](const core::Expected<wire::HttpResponse>& answer) {
          const std::optional<model::TaskStatus> task =
              answer ? ReadTaskStatus(*answer) : std::nullopt;
          if (!task) {
            return;
          }
          for (const model::ResultNotice& end : task->results) {
            Job* current = this->context.jobs.Find(id);
            if (end.attempt == number &&
                IsCurrent(current, number, JobPhase::kResolving)) {
              this->ApplyNotice(*current, end, BodyOf(end));
            }
          }
        });
  }
}

void AttemptRunner::SendTombstone(Job& job) {
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  const AttemptMember& lead = job.attempt->members.front();
  this->context.Call(
      {lead.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/cancel"},
      ReferenceText(job, lead),
      [this, id, number](const core::Expected<wire::HttpResponse>& answer) {
        Job* current = this->context.jobs.Find(id);
        if (!answer || !IsCurrent(current, number, JobPhase::kResolving)) {
          return;
        }
        this->OnCancelAnswer(*current, 0, *answer);
      });
}

void AttemptRunner::OnAgentLost(Job& job) {
  Attempt& attempt = *job.attempt;
  if (!attempt.agent_lost_since) {
    attempt.agent_lost_since = this->context.now;
    this->context.Log(observe::LogLevel::kWarn,
                      "agent " + attempt.members.front().place.agent.Text() +
                          " is lost; the outcome of its attempt is not known",
                      &job);
  }
  job.may_have_run = true;
  const core::AgentId agent = attempt.members.front().place.agent;
  if (job.description.repeatable && !job.cancel_requested) {
    job.last_error = "the worker was lost while the job ran";
    this->RetryAfterFailure(job, agent);
    return;
  }
  if (this->context.now - *attempt.agent_lost_since >= kLostAgentTimeout) {
    attempt.failed_agent = agent;
    this->End(job, model::JobOutcome::kUnknown,
              "the worker was lost after the job was sent to it; whether the "
              "job ended is not known");
  }
}

void AttemptRunner::RetryAfterFailure(
    Job& job,
    const std::optional<core::AgentId>& fault) {
  const bool exhausted = ++job.failures >= kMaxAttempts;
  if (exhausted || job.deadline_passed || !this->context.retries.TryTake()) {
    job.attempt->failed_agent = fault;
    this->End(job, model::JobOutcome::kFailed, job.last_error);
    return;
  }
  this->RemoveFromScheduler(job, model::JobOutcome::kFailed, fault);
  job.attempt.reset();
  this->Requeue(job, kResendDelay);
}

void AttemptRunner::Requeue(Job& job, core::Duration delay) {
  job.attempt.reset();
  job.spans.OnRequeued();
  job.preempting = false;
  job.phase = JobPhase::kDelayed;
  job.resume_at = this->context.now + delay;
}

void AttemptRunner::RemoveFromScheduler(
    Job& job,
    model::JobOutcome outcome,
    const std::optional<core::AgentId>& fault) {
  if (!job.in_scheduler) {
    return;
  }
  job.in_scheduler = false;
  if (!this->context.scheduler.Cancel(job.description.id, this->context.now)) {
    this->context.scheduler.OnEnded(job.description.id, outcome, fault,
                                    this->context.now);
  }
  this->context.plan_needed = true;
}

void AttemptRunner::Refuse(Job& job, const Problem& problem) {
  job.problem_status = problem.status;
  job.problem_type = problem.type;
  job.retry_after = problem.retry_after;
  this->End(job, model::JobOutcome::kNotRun, problem.detail);
}

void AttemptRunner::End(Job& job,
                        model::JobOutcome outcome,
                        std::string error) {
  HD_ASSERT(job.phase != JobPhase::kEnded);
  std::optional<core::AgentId> fault;
  if (job.attempt) {
    fault = job.attempt->failed_agent;
    job.ended_attempt = job.attempt->number;
  }
  this->RemoveFromScheduler(job, outcome, fault);
  job.outcome = outcome;
  job.error = std::move(error);
  if (job.recorded) {
    job.phase = JobPhase::kRecordingEnd;
    this->context.records->RecordEnd(job);
  } else {
    this->Finalize(job);
  }
}

void AttemptRunner::Finalize(Job& job) {
  CountJobEnd(job, this->context.now);
  job.spans.OnEnded(job.outcome.value_or(model::JobOutcome::kUnknown));
  this->context.jobs.MarkEnded(job, this->context.now);
  this->context.jobs.DropPayload(job);
  const bool delivered = !job.waiters.empty();
  this->context.callers->AnswerWaiters(job);
  if (delivered || !job.reply_to.empty()) {
    this->context.jobs.MarkDelivered(job);
  }
  if (!job.reply_to.empty()) {
    this->context.owners->PushEnd(job);
  }
  wire::HttpResponse kept;
  kept.body = "{}";
  if (!job.result_endpoint.empty()) {
    kept.status = status::kAccepted;
  }
  for (const RequestId request : job.result_requests) {
    this->context.Answer(request, kept);
  }
  job.result_requests.clear();
  const bool large =
      job.result && job.result->size() > kMaxAgentHeldResultBytes;
  if (delivered || job.recorded || large || !job.reply_to.empty()) {
    this->Acknowledge(job);
  }
}

void AttemptRunner::Forget(const core::JobId& id) {
  if (Job* job = this->context.jobs.Find(id)) {
    this->Acknowledge(*job);
    this->context.jobs.Remove(id);
  }
}

void AttemptRunner::Acknowledge(Job& job) {
  if (!job.result_endpoint.empty()) {
    return;
  }
  for (const AttemptMember& member : job.unacknowledged) {
    model::AttemptReference reference;
    reference.job = job.description.id;
    reference.attempt = job.ended_attempt;
    reference.incarnation = member.place.incarnation;
    reference.start_not_after = member.start_not_after;
    this->context.Call(
        {member.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/ack"},
        model::DumpJson(model::ToJson(reference)),
        [](const core::Expected<wire::HttpResponse>&) {});
  }
  job.unacknowledged.clear();
}

void AttemptRunner::OnResult(const ResultDelivered& event) {
  const RequestId request = event.request;
  const model::ResultNotice& notice = event.notice;
  Job* job = this->context.jobs.Find(notice.job);
  if (job == nullptr) {
    this->context.AnswerProblem(
        request, {status::kNotFound, "unknown-job",
                  "This entry does not hold job " + notice.job.Text() +
                      ". Keep the result."});
    return;
  }
  wire::HttpResponse response;
  response.status = status::kOk;
  response.body = "{}";
  if (job->phase == JobPhase::kFollowing) {
    if (this->context.owners->OnPushedEnd(*job, notice, event.body)) {
      this->context.Answer(request, std::move(response));
    } else {
      this->context.AnswerProblem(
          request, {status::kNotFound, "not-held-here",
                    "Another entry holds job " + notice.job.Text() +
                        ". Keep the result."});
    }
    return;
  }
  const bool ended = job->phase == JobPhase::kEnded;
  if (!ended && notice.outcome == model::JobOutcome::kDone &&
      !this->context.jobs.MakeRoomForResult(*job, event.body->size())) {
    this->context.AnswerProblem(request,
                                {status::kUnavailable, "no-room",
                                 "There is no room for a result of " +
                                     std::to_string(event.body->size()) +
                                     " bytes. Deliver it again later."});
    return;
  }
  const bool recording = job->phase == JobPhase::kRecordingEnd;
  const bool had_waiter = !job->waiters.empty() || !job->reply_to.empty();
  const bool taken =
      !ended && !recording && this->ApplyNotice(*job, notice, event.body);
  job = this->context.jobs.Find(notice.job);
  if (job == nullptr) {
    this->context.Answer(request, std::move(response));
    return;
  }
  if (job->phase == JobPhase::kRecordingEnd) {
    // The request is answered when the end has been recorded. Until then the
    // agent keeps the result.
    job->result_requests.push_back(request);
    return;
  }
  const bool fetched_later = taken && !had_waiter && !job->recorded &&
                             job->outcome == model::JobOutcome::kDone &&
                             event.body->size() <= kMaxAgentHeldResultBytes;
  const bool unfetched =
      fetched_later || (ended && !job->unacknowledged.empty() &&
                        job->ended_attempt == notice.attempt);
  if (unfetched) {
    // The result was not delivered to anyone yet. The agent keeps it until it
    // is fetched or its retention time is over, so that it survives the loss of
    // this entry.
    response.status = status::kAccepted;
  }
  this->context.Answer(request, std::move(response));
}

bool AttemptRunner::ApplyNotice(Job& job,
                                const model::ResultNotice& notice,
                                const SharedBody& body) {
  if (!job.attempt || job.attempt->number != notice.attempt ||
      job.phase == JobPhase::kEnded || job.phase == JobPhase::kRecordingEnd ||
      notice.member >= static_cast<int>(job.attempt->members.size())) {
    return false;
  }
  AttemptMember& member = job.attempt->members.at(notice.member);
  if (member.place.agent != notice.agent) {
    return false;
  }
  if (member.ended) {
    return true;
  }
  if (notice.outcome == model::JobOutcome::kNotRun) {
    this->OnNeverStarted(job, {notice.agent, *body});
    return true;
  }
  job.may_have_run = true;
  member.ended = true;
  job.unacknowledged.push_back(member);
  switch (notice.outcome) {
    case model::JobOutcome::kDone:
      break;
    case model::JobOutcome::kCancelled:
      this->OnMemberCancelled(job, notice, *body);
      return true;
    default:
      this->OnMemberFailed(job, notice, *body);
      return true;
  }
  if (notice.member == 0) {
    job.attempt->result = body;
  }
  const bool all_ended =
      std::all_of(job.attempt->members.begin(), job.attempt->members.end(),
                  [](const AttemptMember& each) { return each.ended; });
  if (all_ended) {
    this->context.jobs.DropPayload(job);
    // The attempt is kept after the end; a copy in it would keep the bytes in
    // memory after the job table has dropped the result.
    SharedBody result = std::exchange(job.attempt->result, nullptr);
    if (!this->context.jobs.AttachResult(job, std::move(result))) {
      job.result_endpoint = job.attempt->members.front().place.endpoint;
    }
    this->End(job, model::JobOutcome::kDone, {});
  }
  return true;
}

void AttemptRunner::OnMemberFailed(Job& job,
                                   const model::ResultNotice& notice,
                                   const std::string& text) {
  job.last_error = text;
  job.attempt->failed_agent = notice.agent;
  const bool may_retry = job.description.repeatable && !job.cancel_requested &&
                         notice.cause != model::ResultCause::kRunTimeExceeded;
  if (may_retry) {
    this->RetryAfterFailure(job, notice.agent);
  } else {
    this->End(job, notice.outcome, text);
  }
}

void AttemptRunner::OnMemberCancelled(Job& job,
                                      const model::ResultNotice& notice,
                                      const std::string& text) {
  if (job.deadline_passed) {
    this->End(job, model::JobOutcome::kFailed,
              "stopped because the deadline had passed");
  } else if (job.cancel_requested) {
    this->End(job, model::JobOutcome::kCancelled, "cancelled by request");
  } else if (notice.cause == model::ResultCause::kGangStopped) {
    this->OnMemberFailed(job, notice, text);
  } else if (job.description.repeatable) {
    // Stopped by a preemption or by the worker itself: the job runs again.
    this->RemoveFromScheduler(job, model::JobOutcome::kCancelled, std::nullopt);
    this->Requeue(job, kResendDelay);
  } else {
    job.last_error = text;
    this->End(job, model::JobOutcome::kFailed,
              "stopped by the worker before the job ended");
  }
}

void AttemptRunner::Cancel(Job& job) {
  if (job.phase == JobPhase::kEnded || job.phase == JobPhase::kRecordingEnd) {
    return;
  }
  job.cancel_requested = true;
  switch (job.phase) {
    case JobPhase::kDelayed:
    case JobPhase::kQueued:
    case JobPhase::kLoadingPayload:
      this->End(job, model::JobOutcome::kCancelled, "cancelled by request");
      return;
    case JobPhase::kReserving:
      this->context.gangs->Release(job);
      return;
    case JobPhase::kStarting:
    case JobPhase::kRunning:
    case JobPhase::kResolving:
      this->SendCancels(job);
      return;
    default:
      // The step in progress checks `cancel_requested` when it ends.
      return;
  }
}

void AttemptRunner::SendCancels(Job& job) {
  job.next_cancel_at = this->context.now + kQueryPeriod;
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  for (std::size_t i = 0; i < job.attempt->members.size(); ++i) {
    const AttemptMember& member = job.attempt->members.at(i);
    if (member.ended) {
      continue;
    }
    this->context.Call(
        {member.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/cancel"},
        ReferenceText(job, member),
        [this, id, number,
         i](const core::Expected<wire::HttpResponse>& answer) {
          Job* current = this->context.jobs.Find(id);
          if (!answer || current == nullptr || !current->attempt ||
              current->attempt->number != number ||
              current->phase == JobPhase::kEnded ||
              current->phase == JobPhase::kRecordingEnd) {
            return;
          }
          this->OnCancelAnswer(*current, i, *answer);
        });
  }
}

void AttemptRunner::OnCancelAnswer(Job& job,
                                   std::size_t member,
                                   const wire::HttpResponse& response) {
  const std::optional<model::GrantReply> reply = ReadGrantReply(response);
  if (!reply) {
    return;
  }
  const AttemptMember& asked = job.attempt->members.at(member);
  // A reply from another incarnation does not prove that the incarnation that
  // received the start request has not started the job.
  const bool certain =
      !reply->may_have_started && reply->incarnation == asked.place.incarnation;
  if (!certain || asked.ended) {
    return;
  }
  // The reply of a gang's lead is valid for all members, since no member starts
  // before the lead has committed.
  if (member == 0) {
    this->OnNeverStarted(job,
                         {asked.place.agent, "cancelled before it started"});
  }
}

void AttemptRunner::Preempt(const decide::PreemptDecision& decision) {
  Job* job = this->context.jobs.Find(decision.job);
  if (job == nullptr || !job->attempt || job->phase != JobPhase::kRunning) {
    return;
  }
  model::PreemptAction action = model::PreemptAction::kStop;
  if (decision.mode == decide::PreemptMode::kCheckpoint) {
    action = model::PreemptAction::kCheckpoint;
  } else if (decision.mode == decide::PreemptMode::kThrottle) {
    action = model::PreemptAction::kThrottle;
  }
  job->preempting = decision.mode != decide::PreemptMode::kThrottle;
  this->context.Log(observe::LogLevel::kInfo,
                    "preempting (" +
                        std::string(model::PreemptActionName(action)) +
                        ") for job " + decision.beneficiary.Text(),
                    job);
  for (const AttemptMember& member : job->attempt->members) {
    model::PreemptRequest request;
    request.job = job->description.id;
    request.attempt = job->attempt->number;
    request.incarnation = member.place.incarnation;
    request.action = action;
    request.grace = decision.grace;
    this->context.Call({member.place.endpoint, wire::HttpMethod::kPost,
                        "/internal/v1/preempt"},
                       model::DumpJson(model::ToJson(request)),
                       [](const core::Expected<wire::HttpResponse>&) {});
  }
}

void AttemptRunner::OnAnnouncement(const model::Announcement& announcement) {
  for (const model::RunningTask& task : announcement.running) {
    Job* job = this->context.jobs.Find(task.job);
    if (job == nullptr || !job->attempt ||
        job->attempt->number != task.attempt ||
        task.member >= static_cast<int>(job->attempt->members.size())) {
      continue;
    }
    AttemptMember& member = job->attempt->members.at(task.member);
    if (member.place.agent != announcement.agent) {
      continue;
    }
    // A restarted agent adopts the tasks that its upstream still runs: from now
    // on the attempt belongs to the agent's new incarnation.
    member.place.incarnation = announcement.incarnation;
    member.place.endpoint = announcement.endpoint;
    if (task.member == 0 && (job->phase == JobPhase::kResolving ||
                             job->phase == JobPhase::kStarting)) {
      this->OnStarted(*job);
    }
  }
}

void AttemptRunner::Adopt(Job& job) {
  job.phase = JobPhase::kResolving;
  job.attempt->start_sent = true;
  job.next_query_at = this->context.now;
  // A payload kept in the store is smaller than 1 MB. For any other payload the
  // largest size is assumed.
  const core::Duration window = job.payload_stored
                                    ? kStartWindow + kStartWindowPerMegabyte
                                    : kMaxStartWindow;
  for (AttemptMember& member : job.attempt->members) {
    member.cannot_start_after = this->context.now + window;
  }
  this->context.owners->AdoptIntoScheduler(job);
  const AttemptMember& lead = job.attempt->members.front();
  const KnownAgent* agent = this->context.agents.Find(lead.place.agent);
  if (agent != nullptr &&
      FindTask(*agent, job.description.id, job.attempt->number) != nullptr) {
    this->OnStarted(job);
  }
}

void AttemptRunner::OnTick() {
  for (const core::JobId& id : this->context.jobs.OpenIds()) {
    Job* job = this->context.jobs.Find(id);
    if (job != nullptr && job->phase != JobPhase::kEnded) {
      this->TickJob(*job);
    }
  }
}

void AttemptRunner::CheckDeadline(Job& job) {
  if (!job.deadline || this->context.now < *job.deadline ||
      job.deadline_passed) {
    return;
  }
  switch (job.phase) {
    case JobPhase::kDelayed:
    case JobPhase::kQueued:
    case JobPhase::kLoadingPayload:
      job.deadline_passed = true;
      if (job.may_have_run) {
        this->End(job, model::JobOutcome::kFailed,
                  "the deadline passed before an attempt succeeded");
      } else {
        this->Refuse(job, ProblemOfRefusal(
                              {job.description.id,
                               decide::RefusalKind::kDeadline,
                               "the deadline passed while the job was queued",
                               {}}));
      }
      return;
    case JobPhase::kRunning:
      job.deadline_passed = true;
      this->Cancel(job);
      return;
    default:
      return;
  }
}

void AttemptRunner::TickJob(Job& job) {
  this->CheckDeadline(job);
  const core::TimePoint now = this->context.now;
  switch (job.phase) {
    case JobPhase::kDelayed:
      if (now >= job.resume_at && !(this->context.draining && job.recorded)) {
        this->context.owners->Dispatch(job);
      }
      return;
    case JobPhase::kStarting:
      if (!IsGang(job) && job.resume_at != core::TimePoint() &&
          now >= job.resume_at) {
        this->SendRun(job.description.id);
      }
      break;
    case JobPhase::kRunning: {
      const AttemptMember& lead = job.attempt->members.front();
      const KnownAgent* agent = this->context.agents.Find(lead.place.agent);
      const bool lost =
          agent == nullptr ||
          agent->last_announcement.incarnation != lead.place.incarnation;
      const bool unannounced =
          !lost && !lead.ended &&
          now - job.attempt->started_at >= kUnannouncedTimeout &&
          FindTask(*agent, job.description.id, job.attempt->number) == nullptr;
      if (lost || unannounced) {
        this->Resolve(job);
      }
      break;
    }
    case JobPhase::kResolving:
      if (now >= job.next_query_at) {
        this->QueryAttempt(job);
      }
      break;
    default:
      break;
  }
  const bool cancelling =
      job.cancel_requested &&
      (job.phase == JobPhase::kStarting || job.phase == JobPhase::kRunning ||
       job.phase == JobPhase::kResolving);
  if (cancelling && now >= job.next_cancel_at) {
    this->SendCancels(job);
  }
  this->context.gangs->OnTick(job);
}

}  // namespace hemlockdoor::entry
