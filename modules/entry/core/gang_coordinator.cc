#include "modules/entry/core/gang_coordinator.h"

#include <algorithm>
#include <utility>

#include "modules/entry/core/attempt_runner.h"
#include "modules/entry/core/operator_service.h"
#include "modules/entry/core/ownership_service.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

void GangCoordinator::Reserve(Job& job) {
  if (job.cancel_requested || !this->context.ownership.IsOwner()) {
    this->context.attempts->OnNeverStarted(
        job, {job.attempt->members.front().place.agent,
              "this entry is no longer the planning owner"});
    return;
  }
  job.phase = JobPhase::kReserving;
  for (std::size_t i = 0; i < job.attempt->members.size(); ++i) {
    this->SendReserve(job, i);
  }
}

void GangCoordinator::SendReserve(Job& job, std::size_t member) {
  AttemptMember& target = job.attempt->members.at(member);
  ++target.sends;
  target.in_doubt = true;
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  this->context.SendWork(
      {target.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/reserve"},
      this->context.attempts->StartDocument(job, static_cast<int>(member)),
      job.payload,
      [this, id, number,
       member](const core::Expected<wire::HttpResponse>& answer) {
        this->OnReserveAnswer(id, number, member, answer);
      });
}

void GangCoordinator::OnReserveAnswer(
    const core::JobId& id,
    core::AttemptNumber number,
    std::size_t member,
    const core::Expected<wire::HttpResponse>& answer) {
  Job* job = this->context.jobs.Find(id);
  if (!AttemptRunner::IsCurrent(job, number, JobPhase::kReserving)) {
    return;
  }
  AttemptMember& target = job->attempt->members.at(member);
  if (!answer) {
    this->context.agents.CountFailure(target.place.agent, this->context.now);
    const bool may_resend = target.sends < kMaxSends &&
                            this->context.now < target.cannot_start_after;
    if (may_resend) {
      this->SendReserve(*job, member);
    } else {
      this->OnReserveRefused(*job, member, answer.error().message);
    }
    return;
  }
  this->context.agents.CountSuccess(target.place.agent);
  const std::optional<model::GrantReply> reply = ReadGrantReply(*answer);
  if (reply && reply->granted) {
    target.granted = true;
    target.in_doubt = false;
    const bool all_granted =
        std::all_of(job->attempt->members.begin(), job->attempt->members.end(),
                    [](const AttemptMember& each) { return each.granted; });
    if (all_granted) {
      this->OnAllGranted(*job);
    }
    return;
  }
  if (reply) {
    this->context.operators->OnRevisionSeen(reply->revision);
    target.in_doubt = target.sends > 1;
  }
  this->OnReserveRefused(
      *job, member,
      reply && reply->refusal
          ? std::string(model::RefusalReasonName(*reply->refusal))
          : "HTTP status " + std::to_string(answer->status));
  if (reply) {
    this->context.owners->OnEpochSeen(reply->epoch);
  }
}

void GangCoordinator::OnReserveRefused(Job& job,
                                       std::size_t member,
                                       std::string reason) {
  job.attempt->failed_agent = job.attempt->members.at(member).place.agent;
  job.last_error = "reservation failed: " + std::move(reason);
  this->Release(job);
}

void GangCoordinator::OnAllGranted(Job& job) {
  if (job.cancel_requested) {
    this->Release(job);
    return;
  }
  const bool record_now = job.recorded && job.description.repeatable;
  if (record_now) {
    this->context.records->RecordAttempt(
        job, [this](const core::JobId& id) { this->Commit(id); });
  } else {
    this->Commit(job.description.id);
  }
}

void GangCoordinator::Commit(const core::JobId& id) {
  Job* job = this->context.jobs.Find(id);
  if (job == nullptr || !job->attempt) {
    return;
  }
  AttemptMember& lead = job->attempt->members.front();
  if (!job->attempt->start_sent) {
    if (job->cancel_requested || !this->context.ownership.IsOwner() ||
        this->context.now >= lead.cannot_start_after) {
      this->Release(*job);
      return;
    }
    lead.sends = 0;
  }
  job->phase = JobPhase::kStarting;
  job->attempt->start_sent = true;
  job->resume_at = {};
  ++lead.sends;
  const core::AttemptNumber number = job->attempt->number;
  this->context.Call(
      {lead.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/commit"},
      AttemptRunner::ReferenceText(*job, lead),
      [this, id, number](const core::Expected<wire::HttpResponse>& answer) {
        this->OnCommitAnswer(id, number, answer);
      });
}

void GangCoordinator::OnCommitAnswer(
    const core::JobId& id,
    core::AttemptNumber number,
    const core::Expected<wire::HttpResponse>& answer) {
  Job* job = this->context.jobs.Find(id);
  if (!AttemptRunner::IsCurrent(job, number, JobPhase::kStarting)) {
    return;
  }
  AttemptMember& lead = job->attempt->members.front();
  const std::optional<model::GrantReply> reply =
      answer ? ReadGrantReply(*answer) : std::nullopt;
  if (reply && reply->granted) {
    this->context.agents.CountSuccess(lead.place.agent);
    this->context.attempts->OnStarted(*job);
    return;
  }
  // A lead that refuses has aborted the attempt and never commits it later.
  if (reply && !reply->may_have_started &&
      reply->incarnation == lead.place.incarnation) {
    job->last_error = "the gang's lead refused to commit";
    job->attempt->failed_agent = lead.place.agent;
    this->Release(*job);
    return;
  }
  if (!answer) {
    this->context.agents.CountFailure(lead.place.agent, this->context.now);
  }
  if (lead.sends < kMaxSends) {
    job->resume_at = this->context.now + kQueryPeriod;
  } else {
    this->context.attempts->Resolve(*job);
  }
}

void GangCoordinator::Release(Job& job) {
  job.phase = JobPhase::kReleasing;
  for (std::size_t i = 0; i < job.attempt->members.size(); ++i) {
    AttemptMember& member = job.attempt->members.at(i);
    member.granted = false;
    // A member that refused the only request it was sent holds no reservation.
    member.released = member.sends > 0 && !member.in_doubt && !member.granted &&
                      job.attempt->failed_agent == member.place.agent &&
                      !job.attempt->start_sent;
    member.released = member.released || member.sends == 0;
    if (!member.released) {
      this->SendRelease(job, i);
    }
  }
  this->CheckReleased(job);
}

void GangCoordinator::SendRelease(Job& job, std::size_t member) {
  const AttemptMember& target = job.attempt->members.at(member);
  const core::JobId id = job.description.id;
  const core::AttemptNumber number = job.attempt->number;
  job.next_query_at = this->context.now + kQueryPeriod;
  this->context.Call(
      {target.place.endpoint, wire::HttpMethod::kPost, "/internal/v1/release"},
      AttemptRunner::ReferenceText(job, target),
      [this, id, number,
       member](const core::Expected<wire::HttpResponse>& answer) {
        this->OnReleaseAnswer(id, number, member, answer);
      });
}

void GangCoordinator::OnReleaseAnswer(
    const core::JobId& id,
    core::AttemptNumber number,
    std::size_t member,
    const core::Expected<wire::HttpResponse>& answer) {
  Job* job = this->context.jobs.Find(id);
  if (!answer || !AttemptRunner::IsCurrent(job, number, JobPhase::kReleasing)) {
    return;
  }
  AttemptMember& target = job->attempt->members.at(member);
  const std::optional<model::GrantReply> reply = ReadGrantReply(*answer);
  const bool same_process =
      reply && reply->incarnation == target.place.incarnation;
  if (same_process && reply->may_have_started) {
    // The lead committed before the release arrived: the gang runs.
    this->context.attempts->OnStarted(*job);
    return;
  }
  target.released = reply && reply->granted;
  this->CheckReleased(*job);
}

void GangCoordinator::CheckReleased(Job& job) {
  const bool all_released =
      std::all_of(job.attempt->members.begin(), job.attempt->members.end(),
                  [](const AttemptMember& each) { return each.released; });
  if (!all_released) {
    return;
  }
  const core::AgentId fault = job.attempt->failed_agent.value_or(
      job.attempt->members.front().place.agent);
  this->context.attempts->OnNeverStarted(
      job, {fault, job.last_error.empty() ? "released" : job.last_error});
}

void GangCoordinator::OnTick(Job& job) {
  if (job.description.shape.gang_size < 2) {
    return;
  }
  if (job.phase == JobPhase::kStarting && job.resume_at != core::TimePoint() &&
      this->context.now >= job.resume_at) {
    this->Commit(job.description.id);
    return;
  }
  if (job.phase != JobPhase::kReleasing ||
      this->context.now < job.next_query_at) {
    return;
  }
  const AttemptMember& lead = job.attempt->members.front();
  for (std::size_t i = 0; i < job.attempt->members.size(); ++i) {
    AttemptMember& member = job.attempt->members.at(i);
    if (member.released) {
      continue;
    }
    const KnownAgent* agent = this->context.agents.Find(member.place.agent);
    const bool lost =
        agent == nullptr ||
        agent->last_announcement.incarnation != member.place.incarnation;
    job.next_query_at = this->context.now + kQueryPeriod;
    if (!lost) {
      this->SendRelease(job, i);
    } else if (i > 0 && (lead.released || !job.attempt->start_sent) &&
               this->context.now > member.cannot_start_after) {
      // The lost member's reservation has expired, and the lead does not commit
      // the attempt any more.
      member.released = true;
    } else if (i == 0) {
      // The lead is lost, and only the lead knew whether it had committed.
      this->context.attempts->Resolve(job);
      return;
    }
  }
  this->CheckReleased(job);
}

}  // namespace hemlockdoor::entry
