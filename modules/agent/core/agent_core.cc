#include "modules/agent/core/agent_core.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::agent {

namespace {

/// An adopted task has no known start limit. After its end the attempt is
/// remembered for the longest time that a start request of it may still be in
/// flight.
constexpr core::Duration kAdoptedRetention = AgentCore::kMaxStartHorizon;

TaskKey KeyOf(const model::ReservationRequest& request) {
  return {request.job.id, request.attempt, request.member};
}

AttemptKey AttemptOf(const model::AttemptReference& reference) {
  return {reference.job, reference.attempt};
}

bool AllocatesAccelerators(const model::ReservationRequest& request) {
  return request.job.shape.accelerators_per_member > 0 ||
         request.members.size() > 1;
}

}  // namespace

AgentCore::AgentCore(AgentCoreOptions core_options, core::TimePoint now)
    : options(std::move(core_options)),
      tasks(this->ledger),
      gangs(options.id, options.incarnation, options.roll_forward),
      results(options.max_held_result_bytes),
      entries(options.entries, now) {}

Commands AgentCore::Handle(Event event, core::TimePoint now) {
  Commands out;
  this->gangs.SetUpstreamReady(this->tasks.Link().IsReady(now));
  std::visit([this, now, &out](auto& one) { this->On(one, now, out); }, event);
  this->HandleConsequences(now, out);
  return out;
}

bool AgentCore::IsReady(core::TimePoint now) const {
  return !this->drain_until && this->tasks.Link().IsReady(now);
}

void AgentCore::On(const Tick& /*event*/, core::TimePoint now, Commands& out) {
  this->history.Expire(now);
  this->tasks.OnTick(now, out);
  this->gangs.OnTick(now);
}

void AgentCore::On(const UpstreamAnnounced& event,
                   core::TimePoint now,
                   Commands& out) {
  const bool changed = this->tasks.Link().Shape() != event.shape;
  this->tasks.Link().OnAnnounced(event.shape, event.instance, now);
  if (changed) {
    this->ledger.SetShape(event.shape);
    this->entries.MarkChanged(/*urgent=*/true);
  }
  out.emplace_back(AnswerPlain{event.call});
}

void AgentCore::On(const UpstreamWithdrawn& event,
                   core::TimePoint now,
                   Commands& out) {
  this->tasks.Link().OnWithdrawn(now);
  out.emplace_back(AnswerPlain{event.call});
}

void AgentCore::On(TaskFinished& event, core::TimePoint now, Commands& out) {
  const bool known = this->tasks.Has(event.task.key);
  // Before the first listing an unknown task may be one to adopt. Without room
  // for the result the upstream has to keep it. In both cases the upstream is
  // asked to send the report again.
  const bool too_early = !known && !this->tasks.Link().WasReconciled();
  const bool no_room =
      known && !this->results.HasRoomFor(event.task.body.size());
  if (too_early || no_room) {
    this->counters.postponed_reports += no_room ? 1 : 0;
    out.emplace_back(AnswerPlain{event.call, AnswerPlain::Kind::kRetryLater});
    return;
  }
  this->tasks.OnFinished(std::move(event.task), now);
  out.emplace_back(AnswerPlain{event.call});
}

model::GrantReply AgentCore::Reply() const {
  model::GrantReply reply;
  reply.incarnation = this->options.incarnation;
  reply.epoch = this->epoch;
  reply.revision = this->revision;
  return reply;
}

model::GrantReply AgentCore::Refuse(model::RefusalReason reason,
                                    bool may_have_started) const {
  model::GrantReply reply = this->Reply();
  reply.refusal = reason;
  reply.may_have_started = may_have_started;
  return reply;
}

void AgentCore::Answer(CallId call, model::GrantReply reply, Commands& out) {
  if (reply.refusal) {
    ++this->counters.refused.at(static_cast<std::size_t>(*reply.refusal));
  } else if (reply.granted) {
    ++this->counters.granted;
  }
  out.emplace_back(AnswerGrant{call, std::move(reply)});
}

void AgentCore::RaiseEpochAndRevision(core::SchedulingEpoch seen_epoch,
                                      core::CatalogueRevision seen_revision) {
  if (seen_epoch > this->epoch || seen_revision > this->revision) {
    this->epoch = std::max(this->epoch, seen_epoch);
    this->revision = std::max(this->revision, seen_revision);
    this->entries.MarkChanged(/*urgent=*/false);
  }
}

std::optional<model::GrantReply> AgentCore::AnswerRepeat(
    const model::ReservationRequest& request,
    const TaskKey& key) const {
  const auto found = this->grants.find(key);
  if (found != this->grants.end()) {
    const bool started = this->tasks.Has(key);
    if (found->second.reservation != request.reservation) {
      return this->Refuse(model::RefusalReason::kUnknownReservation, started);
    }
    model::GrantReply reply = this->Reply();
    reply.granted = true;
    reply.may_have_started = started;
    return reply;
  }
  if (this->tasks.Has(key)) {
    // An adopted task, whose reservation this process does not know.
    return this->Refuse(model::RefusalReason::kUnknownReservation, true);
  }
  const std::optional<PastAttempt> past = this->history.Find(key);
  if (past && past->kind == PastAttemptKind::kEnded) {
    if (past->reservation != request.reservation) {
      return this->Refuse(model::RefusalReason::kUnknownReservation, true);
    }
    model::GrantReply reply = this->Reply();
    reply.granted = true;
    reply.may_have_started = true;
    return reply;
  }
  if (past || this->history.IsForbidden({key.job, key.attempt})) {
    return this->Refuse(model::RefusalReason::kCancelled);
  }
  return std::nullopt;
}

std::optional<model::RefusalReason> AgentCore::CheckEpochAndRevision(
    const model::ReservationRequest& request) {
  this->RaiseEpochAndRevision(request.epoch, request.revision);
  if (AllocatesAccelerators(request) && request.epoch < this->epoch) {
    return model::RefusalReason::kStaleEpoch;
  }
  if (request.revision < this->revision) {
    return model::RefusalReason::kStaleRevision;
  }
  return std::nullopt;
}

std::optional<model::RefusalReason> AgentCore::CheckCapacity(
    const model::ReservationRequest& request,
    core::TimePoint now) const {
  const bool late = request.start_not_after < now;
  if (late || request.start_not_after - now > kMaxStartHorizon) {
    return model::RefusalReason::kExpired;
  }
  if (this->drain_until) {
    return model::RefusalReason::kDraining;
  }
  if (!this->tasks.Link().IsReady(now)) {
    return model::RefusalReason::kNotReady;
  }
  const std::vector<core::ServiceName>& services =
      this->tasks.Link().Shape()->services;
  const bool offered = std::find(services.begin(), services.end(),
                                 request.job.service) != services.end();
  const model::AcceleratorSet accelerators =
      request.members[static_cast<std::size_t>(request.member)].accelerators;
  const bool counts_match =
      accelerators.Count() == request.job.shape.accelerators_per_member;
  const bool payload_fits =
      this->reserved_payload_bytes +
          static_cast<std::int64_t>(request.payload.size()) <=
      kMaxReservedPayloadBytes;
  const bool fits = offered && counts_match && payload_fits &&
                    this->ledger.CanTake(accelerators) &&
                    this->results.AcceptsNewWork() && !this->history.IsFull();
  return fits ? std::nullopt : std::optional(model::RefusalReason::kNoCapacity);
}

std::optional<model::GrantReply> AgentCore::CheckAdmission(
    const model::ReservationRequest& request,
    core::TimePoint now) {
  const model::GangMember& member =
      request.members[static_cast<std::size_t>(request.member)];
  if (request.incarnation != this->options.incarnation ||
      member.agent != this->options.id ||
      member.incarnation != this->options.incarnation) {
    return this->Refuse(model::RefusalReason::kWrongIncarnation);
  }
  if (std::optional<model::GrantReply> repeat =
          this->AnswerRepeat(request, KeyOf(request))) {
    return repeat;
  }
  std::optional<model::RefusalReason> refusal =
      this->CheckEpochAndRevision(request);
  if (!refusal) {
    refusal = this->CheckCapacity(request, now);
  }
  if (refusal) {
    return this->Refuse(
        *refusal, this->history.MayHaveForgotten(request.start_not_after));
  }
  return std::nullopt;
}

void AgentCore::RecordGrant(const model::ReservationRequest& request,
                            const TaskKey& key) {
  const model::AcceleratorSet accelerators =
      request.members[static_cast<std::size_t>(request.member)].accelerators;
  const bool taken = this->ledger.TryTake(key, accelerators);
  HD_ASSERT(taken);
  Grant grant;
  grant.reservation = request.reservation;
  grant.not_after = request.start_not_after;
  grant.reply_to = request.reply_to;
  this->grants.emplace(key, std::move(grant));
  this->entries.MarkChanged(/*urgent=*/false);
}

UpstreamStart AgentCore::MakeStart(model::ReservationRequest& request) {
  UpstreamStart start;
  start.key = KeyOf(request);
  start.payload = std::move(request.payload);
  start.service = request.job.service;
  start.traceparent = request.traceparent;
  start.context.organisation = request.job.organisation;
  start.context.job_class = request.job.job_class;
  start.context.repeatable = request.job.repeatable;
  start.context.gang_size = static_cast<int>(request.members.size());
  start.context.accelerators =
      request.members[static_cast<std::size_t>(request.member)].accelerators;
  start.context.reply_to = request.reply_to;
  start.context.max_run = request.max_run;
  return start;
}

void AgentCore::On(RunRequested& event, core::TimePoint now, Commands& out) {
  model::ReservationRequest& request = event.request;
  if (std::optional<model::GrantReply> reply =
          this->CheckAdmission(request, now)) {
    this->Answer(event.call, std::move(*reply), out);
    return;
  }
  if (request.members.size() != 1) {
    this->Answer(event.call,
                 this->Refuse(model::RefusalReason::kUnknownReservation), out);
    return;
  }
  this->RecordGrant(request, KeyOf(request));
  ++this->counters.started;
  this->tasks.Start(MakeStart(request), request.start_not_after, now, out);
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  reply.may_have_started = true;
  this->Answer(event.call, std::move(reply), out);
}

void AgentCore::On(ReserveRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  model::ReservationRequest& request = event.request;
  if (std::optional<model::GrantReply> reply =
          this->CheckAdmission(request, now)) {
    this->Answer(event.call, std::move(*reply), out);
    return;
  }
  const TaskKey key = KeyOf(request);
  const auto payload_bytes = static_cast<std::int64_t>(request.payload.size());
  GangReservation member;
  member.reservation = request.reservation;
  member.not_after = request.start_not_after;
  const std::vector<model::GangMember> members = request.members;
  member.start = MakeStart(request);
  if (!this->gangs.Reserve(members, std::move(member), now)) {
    this->Answer(event.call, this->Refuse(model::RefusalReason::kCancelled),
                 out);
    return;
  }
  this->RecordGrant(request, key);
  this->grants.at(key).payload_bytes = payload_bytes;
  this->reserved_payload_bytes += payload_bytes;
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  this->Answer(event.call, std::move(reply), out);
}

bool AgentCore::MayHaveStarted(const AttemptKey& attempt) const {
  return !this->tasks.KeysOf(attempt).empty() ||
         this->history.HasStarted(attempt);
}

void AgentCore::On(const CommitRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  const AttemptKey attempt = AttemptOf(event.attempt);
  if (event.attempt.incarnation != this->options.incarnation) {
    this->Answer(event.call,
                 this->Refuse(model::RefusalReason::kWrongIncarnation), out);
    return;
  }
  if (std::optional<model::RefusalReason> refusal =
          this->gangs.Commit(attempt, now)) {
    this->Answer(event.call,
                 this->Refuse(*refusal, this->MayHaveStarted(attempt)), out);
    return;
  }
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  reply.may_have_started = true;
  this->Answer(event.call, std::move(reply), out);
}

void AgentCore::On(const ReleaseRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  const AttemptKey attempt = AttemptOf(event.attempt);
  if (event.attempt.incarnation != this->options.incarnation) {
    this->Answer(event.call,
                 this->Refuse(model::RefusalReason::kWrongIncarnation, true),
                 out);
    return;
  }
  model::GrantReply reply = this->Reply();
  reply.may_have_started = this->MayHaveStarted(attempt);
  reply.granted = this->gangs.Release(attempt, now) && !reply.may_have_started;
  if (reply.granted) {
    this->history.Forbid(attempt, event.attempt.start_not_after);
  } else {
    reply.may_have_started = true;
  }
  this->Answer(event.call, std::move(reply), out);
}

void AgentCore::On(const CancelRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  const AttemptKey attempt = AttemptOf(event.attempt);
  if (event.attempt.incarnation != this->options.incarnation) {
    // An earlier process of this agent may have started the attempt.
    this->Answer(event.call,
                 this->Refuse(model::RefusalReason::kWrongIncarnation, true),
                 out);
    return;
  }
  this->history.Forbid(attempt, event.attempt.start_not_after);
  this->gangs.Cancel(attempt, now);
  for (const TaskKey& key : this->tasks.KeysOf(attempt)) {
    this->tasks.RequestStop(key, model::ResultCause::kCancelled, now, out);
  }
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  reply.may_have_started =
      this->MayHaveStarted(attempt) ||
      this->history.MayHaveForgotten(event.attempt.start_not_after);
  this->Answer(event.call, std::move(reply), out);
}

void AgentCore::On(const PreemptRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  const model::PreemptRequest& request = event.request;
  if (request.incarnation != this->options.incarnation) {
    this->Answer(event.call,
                 this->Refuse(model::RefusalReason::kWrongIncarnation, true),
                 out);
    return;
  }
  const std::vector<TaskKey> keys =
      this->tasks.KeysOf({request.job, request.attempt});
  for (const TaskKey& key : keys) {
    switch (request.action) {
      case model::PreemptAction::kCheckpoint:
        this->tasks.RequestCheckpoint(key, request.grace, now, out);
        break;
      case model::PreemptAction::kThrottle:
        this->tasks.RequestThrottle(key, out);
        break;
      case model::PreemptAction::kStop:
        this->tasks.RequestStop(key, model::ResultCause::kPreempted, now, out);
        break;
    }
  }
  if (keys.empty()) {
    this->Answer(
        event.call,
        this->Refuse(model::RefusalReason::kUnknownReservation,
                     this->history.HasStarted({request.job, request.attempt})),
        out);
    return;
  }
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  reply.may_have_started = true;
  this->Answer(event.call, std::move(reply), out);
}

void AgentCore::On(const AckRequested& event,
                   core::TimePoint /*now*/,
                   Commands& out) {
  if (this->results.Acknowledge(AttemptOf(event.attempt)) > 0) {
    this->entries.MarkChanged(/*urgent=*/false);
  }
  out.emplace_back(AnswerPlain{event.call});
}

void AgentCore::On(const RevisionRequested& event,
                   core::TimePoint /*now*/,
                   Commands& out) {
  this->RaiseEpochAndRevision(event.epoch, event.revision);
  model::GrantReply reply = this->Reply();
  reply.granted = true;
  out.emplace_back(AnswerGrant{event.call, std::move(reply)});
}

void AgentCore::On(const DrainRequested& event,
                   core::TimePoint now,
                   Commands& out) {
  if (!this->drain_until) {
    this->drain_until = now + this->options.drain_timeout;
    this->gangs.ReleaseUncommitted(now);
    this->entries.MarkChanged(/*urgent=*/true);
    out.emplace_back(LogRecord{RecordLevel::kInfo, "draining", {}});
  }
  if (event.call) {
    out.emplace_back(AnswerPlain{*event.call});
  }
}

void AgentCore::On(const TasksQueried& event,
                   core::TimePoint now,
                   Commands& out) {
  AnswerStatus answer;
  answer.call = event.call;
  answer.status.incarnation = this->options.incarnation;
  for (model::RunningTask& task : this->tasks.Running(now)) {
    if (task.job == event.job) {
      answer.status.running.push_back(std::move(task));
    }
  }
  answer.status.reserved = this->gangs.ReservedCount(event.job);
  answer.status.results = this->results.OfJob(event.job);
  out.emplace_back(std::move(answer));
}

void AgentCore::On(const GangMessageReceived& event,
                   core::TimePoint now,
                   Commands& out) {
  out.emplace_back(AnswerGang{
      event.call, this->gangs.OnMessage(event.kind, event.message, now)});
}

void AgentCore::On(const GangMessageAnswered& event,
                   core::TimePoint now,
                   Commands& /*out*/) {
  this->gangs.OnAnswered(event, now);
}

void AgentCore::On(const AnnounceAnswered& event,
                   core::TimePoint now,
                   Commands& /*out*/) {
  this->entries.EndAnnouncement(event.endpoint, event.reply.has_value(), now);
  if (!event.reply) {
    return;
  }
  this->RaiseEpochAndRevision(event.reply->epoch, event.reply->revision);
  for (const std::string& endpoint : event.reply->entry_endpoints) {
    this->entries.Learn(endpoint, now);
  }
}

void AgentCore::On(const StartAnswered& event,
                   core::TimePoint now,
                   Commands& out) {
  this->tasks.OnStartAnswered(event, now, out);
}

void AgentCore::On(const TasksListed& event,
                   core::TimePoint now,
                   Commands& out) {
  this->tasks.OnListed(event, now, out);
}

void AgentCore::On(TaskReported& event, core::TimePoint now, Commands& out) {
  const bool no_room = event.outcome == ReportOutcome::kReported &&
                       !this->results.HasRoomFor(event.task.body.size());
  if (no_room && event.task.state != UpstreamTaskState::kRunning) {
    // The upstream keeps the result; the agent asks again after the next
    // listing.
    ++this->counters.postponed_reports;
    this->tasks.OnReported(
        {event.key, event.kind, ReportOutcome::kNoAnswer, {}}, now, out);
    return;
  }
  this->tasks.OnReported(std::move(event), now, out);
}

void AgentCore::On(const ResultDelivered& event,
                   core::TimePoint now,
                   Commands& /*out*/) {
  ++this->counters.deliveries;
  this->counters.failed_deliveries += event.acknowledged ? 0 : 1;
  this->results.EndDelivery(event.key, event.acknowledged, now);
  if (event.acknowledged) {
    this->entries.MarkChanged(/*urgent=*/false);
  }
}

void AgentCore::HandleConsequences(core::TimePoint now, Commands& out) {
  this->ProcessTaskEnds(now);
  this->ProcessGangActions(now, out);
  this->UpdateReadiness(now, out);
  this->SendDeliveries(now, out);
  this->SendAnnouncements(now, out);
  this->CheckDrain(now, out);
}

void AgentCore::ProcessTaskEnds(core::TimePoint now) {
  for (TaskEnd& end : this->tasks.TakeEnds()) {
    ++this->counters.ended.at(static_cast<std::size_t>(end.outcome));
    const bool never_started = end.outcome == model::JobOutcome::kNotRun;
    if (never_started && end.context.gang_size > 1) {
      // Other members of the gang may have started, and kNotRun applies to the
      // whole job.
      end.outcome = model::JobOutcome::kFailed;
    }
    this->Report(end.key, end.outcome, end.cause, std::move(end.body),
                 end.run_time, end.context.reply_to);
    this->ReleaseGrant(end.key,
                       never_started ? PastAttemptKind::kNeverStarted
                                     : PastAttemptKind::kEnded,
                       now);
    this->gangs.OnTaskEnded(end.key, end.outcome, now);
  }
}

void AgentCore::ReleaseGrant(const TaskKey& key,
                             PastAttemptKind kind,
                             core::TimePoint now) {
  this->ledger.Release(key);
  PastAttempt past;
  past.kind = kind;
  core::TimePoint until = now + kAdoptedRetention;
  const auto found = this->grants.find(key);
  if (found != this->grants.end()) {
    past.reservation = found->second.reservation;
    until = found->second.not_after;
    this->reserved_payload_bytes -= found->second.payload_bytes;
    this->grants.erase(found);
  }
  this->history.Add(key, std::move(past), until);
  this->entries.MarkChanged(/*urgent=*/false);
}

void AgentCore::Report(const TaskKey& key,
                       model::JobOutcome outcome,
                       model::ResultCause cause,
                       std::string body,
                       core::Duration run_time,
                       const std::string& reply_to) {
  model::ResultNotice notice;
  notice.agent = this->options.id;
  notice.job = key.job;
  notice.attempt = key.attempt;
  notice.member = key.member;
  notice.outcome = outcome;
  notice.cause = cause;
  notice.body = std::move(body);
  notice.run_time = run_time;
  this->results.Add(std::move(notice), reply_to);
}

void AgentCore::ProcessGangActions(core::TimePoint now, Commands& out) {
  for (std::vector<GangAction> actions = this->gangs.TakeActions();
       !actions.empty(); actions = this->gangs.TakeActions()) {
    for (GangAction& action : actions) {
      std::visit([this, now, &out](auto& one) { this->Execute(one, now, out); },
                 action);
    }
  }
}

void AgentCore::Execute(GangStartAction& action,
                        core::TimePoint now,
                        Commands& out) {
  const auto found = this->grants.find(action.start.key);
  HD_ASSERT(found != this->grants.end());
  this->reserved_payload_bytes -= found->second.payload_bytes;
  found->second.payload_bytes = 0;
  ++this->counters.started;
  this->tasks.Start(std::move(action.start), action.not_after, now, out);
}

void AgentCore::Execute(GangStopAction& action,
                        core::TimePoint now,
                        Commands& out) {
  for (const TaskKey& key : this->tasks.KeysOf(action.attempt)) {
    this->tasks.RequestStop(key, action.cause, now, out);
  }
}

void AgentCore::Execute(GangReleaseAction& action,
                        core::TimePoint now,
                        Commands& /*out*/) {
  const TaskKey& key = action.member.start.key;
  if (action.report) {
    this->Report(key, *action.report, action.cause,
                 "gang ended before this member started", {},
                 action.member.start.context.reply_to);
  }
  this->ReleaseGrant(key, PastAttemptKind::kNeverStarted, now);
}

void AgentCore::Execute(SendGangMessage& action,
                        core::TimePoint /*now*/,
                        Commands& out) {
  out.emplace_back(std::move(action));
}

void AgentCore::Execute(LogRecord& action,
                        core::TimePoint /*now*/,
                        Commands& out) {
  out.emplace_back(std::move(action));
}

void AgentCore::SendDeliveries(core::TimePoint now, Commands& out) {
  for (const DueDelivery& due : this->results.TakeDue(now)) {
    out.emplace_back(DeliverResult{
        this->entries.TargetFor(due.reply_to, due.failures), due.notice});
  }
}

void AgentCore::UpdateReadiness(core::TimePoint now, Commands& out) {
  const bool ready = this->IsReady(now);
  if (ready == this->was_ready) {
    return;
  }
  this->was_ready = ready;
  this->entries.MarkChanged(/*urgent=*/true);
  out.emplace_back(LogRecord{
      RecordLevel::kInfo,
      ready ? "ready for new work"
            : "not ready for new work: agent is draining or upstream is not "
              "ready",
      {}});
}

model::Announcement AgentCore::MakeAnnouncement(core::TimePoint now) const {
  model::Announcement message;
  message.agent = this->options.id;
  message.incarnation = this->options.incarnation;
  message.endpoint = this->options.endpoint;
  message.agent_clock = now;
  if (this->tasks.Link().IsReady(now)) {
    message.shape = this->tasks.Link().Shape();
  }
  const bool takes_work = this->IsReady(now) && this->results.AcceptsNewWork();
  if (takes_work) {
    message.free_slots = this->ledger.FreeSlots();
    message.free_accelerators = this->ledger.FreeAccelerators();
  }
  message.running = this->tasks.Running(now);
  message.held_results = this->results.Jobs();
  message.draining = this->drain_until.has_value();
  message.epoch = this->epoch;
  message.revision = this->revision;
  return message;
}

void AgentCore::SendAnnouncements(core::TimePoint now, Commands& out) {
  const std::vector<std::string> due = this->entries.TakeDue(now);
  if (due.empty()) {
    return;
  }
  const model::Announcement message = this->MakeAnnouncement(now);
  this->counters.announcements += due.size();
  for (const std::string& endpoint : due) {
    out.emplace_back(SendAnnouncement{endpoint, message});
  }
}

void AgentCore::CheckDrain(core::TimePoint now, Commands& out) {
  if (!this->drain_until || this->stopped) {
    return;
  }
  const bool idle = this->tasks.Count() == 0 &&
                    this->gangs.ActiveCount() == 0 &&
                    this->results.Count() == 0;
  if (!idle && now < *this->drain_until) {
    return;
  }
  this->stopped = true;
  if (!idle) {
    out.emplace_back(LogRecord{
        RecordLevel::kWarn,
        "drain timed out with " + std::to_string(this->tasks.Count()) +
            " tasks still running and " +
            std::to_string(this->results.Count()) +
            " results undelivered; the next agent process adopts the tasks",
        {}});
  }
  out.emplace_back(Stop{});
}

}  // namespace hemlockdoor::agent
