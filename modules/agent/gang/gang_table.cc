#include "modules/agent/gang/gang_table.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::agent {

namespace {

bool SameMembers(const std::vector<model::GangMember>& left,
                 const std::vector<model::GangMember>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const model::GangMember& a, const model::GangMember& b) {
                      return a.agent == b.agent &&
                             a.incarnation == b.incarnation;
                    });
}

}  // namespace

GangTable::GangTable(core::AgentId own_agent,
                     core::Incarnation own_incarnation,
                     bool roll_forward)
    : agent(std::move(own_agent)),
      incarnation(own_incarnation),
      rolls_forward(roll_forward) {}

bool GangTable::IsOwn(const model::GangMember& member) const {
  return member.agent == this->agent && member.incarnation == this->incarnation;
}

bool GangTable::IsComplete(const Gang& gang) const {
  for (std::size_t index = 0; index < gang.members.size(); ++index) {
    if (this->IsOwn(gang.members[index]) &&
        !gang.held.contains(static_cast<int>(index))) {
      return false;
    }
  }
  return true;
}

bool GangTable::IsOpen(const Gang& gang) {
  return gang.part == Part::kReserved || gang.part == Part::kCommitted ||
         gang.part == Part::kRunning;
}

core::TimePoint GangTable::HalfTime(const Gang& gang) {
  return gang.reserved_at + (gang.not_after - gang.reserved_at) / 2;
}

GangTable::Gang GangTable::MakeGang(
    const std::vector<model::GangMember>& members,
    core::TimePoint now) const {
  Gang gang;
  gang.members = members;
  gang.reserved_at = now;
  const bool leads = this->IsOwn(members.front());
  gang.duty = leads ? Duty::kUndecided : Duty::kNone;
  for (const model::GangMember& member : members) {
    const bool is_peer =
        leads ? member.agent != this->agent : &member == &members.front();
    if (is_peer) {
      Peer peer;
      peer.endpoint = member.endpoint;
      peer.incarnation = member.incarnation;
      peer.heard_at = now;
      gang.peers.emplace(member.agent, peer);
    }
  }
  return gang;
}

bool GangTable::Reserve(const std::vector<model::GangMember>& members,
                        GangReservation member,
                        core::TimePoint now) {
  const TaskKey& key = member.start.key;
  const AttemptKey attempt{key.job, key.attempt};
  auto found = this->gangs.find(attempt);
  if (found == this->gangs.end()) {
    if (this->gangs.size() >= kMaxGangs) {
      return false;
    }
    Gang gang = this->MakeGang(members, now);
    gang.not_after = member.not_after;
    found = this->gangs.emplace(attempt, std::move(gang)).first;
  }
  Gang& gang = found->second;
  const bool undecided =
      gang.duty == Duty::kNone || gang.duty == Duty::kUndecided;
  if (gang.part != Part::kReserved || !undecided ||
      !SameMembers(gang.members, members)) {
    return false;
  }
  gang.not_after = std::min(gang.not_after, member.not_after);
  const int index = key.member;
  return gang.held.emplace(index, std::move(member)).second;
}

std::optional<model::RefusalReason> GangTable::Commit(const AttemptKey& attempt,
                                                      core::TimePoint now) {
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end() || found->second.duty == Duty::kNone) {
    return model::RefusalReason::kUnknownReservation;
  }
  Gang& gang = found->second;
  if (gang.part == Part::kAborted) {
    return model::RefusalReason::kCancelled;
  }
  if (gang.part != Part::kReserved) {
    return std::nullopt;  // Committed before.
  }
  if (now > gang.not_after) {
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return model::RefusalReason::kExpired;
  }
  if (!this->IsComplete(gang)) {
    // The refusal is final, as the coordinator takes it to be.
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return model::RefusalReason::kUnknownReservation;
  }
  gang.part = Part::kCommitted;
  this->EnterDuty(attempt, gang, Duty::kConfirming, now);
  return std::nullopt;
}

bool GangTable::Release(const AttemptKey& attempt, core::TimePoint now) {
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end()) {
    return true;
  }
  Gang& gang = found->second;
  if (gang.part == Part::kReserved) {
    this->EndHere(attempt, gang, model::ResultCause::kNotStarted, now);
  }
  return gang.part == Part::kAborted;
}

bool GangTable::Cancel(const AttemptKey& attempt, core::TimePoint now) {
  bool held = false;
  for (auto position = this->gangs.lower_bound({attempt.job, {}});
       position != this->gangs.end() && position->first.job == attempt.job;
       ++position) {
    const bool matches = attempt.attempt == core::AttemptNumber() ||
                         position->first.attempt == attempt.attempt;
    const bool others_run = position->second.duty == Duty::kStarting ||
                            position->second.duty == Duty::kWatching;
    if (matches && (IsOpen(position->second) || others_run)) {
      held = true;
      this->EndHere(position->first, position->second,
                    model::ResultCause::kCancelled, now);
    }
  }
  return held;
}

void GangTable::ReleaseUncommitted(core::TimePoint now) {
  for (auto& [attempt, gang] : this->gangs) {
    if (gang.part == Part::kReserved) {
      this->EndHere(attempt, gang, model::ResultCause::kNotStarted, now);
    }
  }
}

void GangTable::EndHere(const AttemptKey& attempt,
                        Gang& gang,
                        model::ResultCause cause,
                        core::TimePoint now) {
  if (gang.duty != Duty::kNone) {
    this->StopGang(attempt, gang, cause, now);
    return;
  }
  this->EndPart(attempt, gang, cause, /*none_started=*/false, now);
}

model::GangState GangTable::StateOf(const Gang& gang) const {
  if (gang.duty == Duty::kStarting || gang.duty == Duty::kWatching) {
    return model::GangState::kRunning;
  }
  switch (gang.part) {
    case Part::kReserved:
      return model::GangState::kReserved;
    case Part::kCommitted:
      return model::GangState::kCommitted;
    case Part::kRunning:
      return model::GangState::kRunning;
    case Part::kDone:
      return model::GangState::kDone;
    case Part::kStopped:
      return model::GangState::kStopped;
    case Part::kAborted:
      return model::GangState::kAborted;
  }
  return model::GangState::kUnknown;
}

model::GangReply GangTable::Refuse(const Gang* gang,
                                   model::RefusalReason reason) const {
  model::GangReply reply;
  reply.refusal = reason;
  reply.incarnation = this->incarnation;
  reply.state =
      gang == nullptr ? model::GangState::kUnknown : this->StateOf(*gang);
  return reply;
}

model::GangReply GangTable::Grant(const Gang& gang) const {
  model::GangReply reply;
  reply.granted = true;
  reply.state = this->StateOf(gang);
  reply.incarnation = this->incarnation;
  return reply;
}

model::GangReply GangTable::OnMessage(GangMessageKind kind,
                                      const model::GangMessage& message,
                                      core::TimePoint now) {
  if (message.incarnation != this->incarnation) {
    return this->Refuse(nullptr, model::RefusalReason::kWrongIncarnation);
  }
  const AttemptKey attempt{message.job, message.attempt};
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end()) {
    return this->Refuse(nullptr, model::RefusalReason::kUnknownReservation);
  }
  Gang& gang = found->second;
  if (kind == GangMessageKind::kAsk) {
    return this->OnAsk(gang);
  }
  // Only a member's agent may renew, and only the lead may decide.
  const auto peer = gang.peers.find(message.sender);
  const bool from_lead = message.sender == gang.members.front().agent;
  if (peer == gang.peers.end() ||
      peer->second.incarnation != message.sender_incarnation ||
      from_lead == (kind == GangMessageKind::kRenew)) {
    return this->Refuse(&gang, model::RefusalReason::kUnknownReservation);
  }
  switch (kind) {
    case GangMessageKind::kConfirm:
      return this->OnConfirm(attempt, gang, now);
    case GangMessageKind::kStart:
      return this->OnStart(attempt, gang, now);
    case GangMessageKind::kRenew:
      return this->OnRenew(attempt, gang, message, now);
    case GangMessageKind::kStop:
      return this->OnStop(attempt, gang, message.state, now);
    case GangMessageKind::kAsk:
      break;
  }
  return this->OnAsk(gang);
}

model::GangReply GangTable::OnConfirm(const AttemptKey& attempt,
                                      Gang& gang,
                                      core::TimePoint now) {
  if (gang.part == Part::kReserved && now > gang.not_after) {
    this->EndPart(attempt, gang, model::ResultCause::kNotStarted,
                  /*none_started=*/false, now);
  }
  if (gang.part == Part::kReserved && this->IsComplete(gang)) {
    gang.part = Part::kCommitted;
    Peer& lead = gang.peers.begin()->second;
    lead.heard_at = now;
    lead.next_send = now + model::kGangRenewPeriod;
    return this->Grant(gang);
  }
  if (gang.part == Part::kReserved || gang.part == Part::kAborted) {
    return this->Refuse(&gang, model::RefusalReason::kUnknownReservation);
  }
  if (gang.part == Part::kStopped) {
    return this->Refuse(&gang, model::RefusalReason::kCancelled);
  }
  return this->Grant(gang);
}

model::GangReply GangTable::OnStart(const AttemptKey& attempt,
                                    Gang& gang,
                                    core::TimePoint now) {
  if (gang.part == Part::kRunning || gang.part == Part::kDone) {
    return this->Grant(gang);
  }
  if (gang.part != Part::kCommitted) {
    return this->Refuse(&gang, model::RefusalReason::kUnknownReservation);
  }
  if (now > gang.not_after || !this->upstream_ready) {
    const bool late = now > gang.not_after;
    this->EndPart(attempt, gang, model::ResultCause::kNotStarted,
                  /*none_started=*/false, now);
    return this->Refuse(&gang, late ? model::RefusalReason::kExpired
                                    : model::RefusalReason::kNotReady);
  }
  this->StartPart(gang, now);
  gang.peers.begin()->second.heard_at = now;
  return this->Grant(gang);
}

model::GangReply GangTable::OnRenew(const AttemptKey& attempt,
                                    Gang& gang,
                                    const model::GangMessage& message,
                                    core::TimePoint now) {
  Peer& member = gang.peers.find(message.sender)->second;
  member.heard_at = now;
  const bool goes_on = gang.duty == Duty::kConfirming ||
                       gang.duty == Duty::kStarting ||
                       gang.duty == Duty::kWatching;
  if (!goes_on) {
    return this->Refuse(&gang, model::RefusalReason::kCancelled);
  }
  if (message.state == model::GangState::kDone) {
    member.ended = true;
  }
  if (message.state == model::GangState::kStopped ||
      message.state == model::GangState::kAborted) {
    this->StopGang(attempt, gang, model::ResultCause::kGangStopped, now);
    return this->Refuse(&gang, model::RefusalReason::kCancelled);
  }
  return this->Grant(gang);
}

model::GangReply GangTable::OnStop(const AttemptKey& attempt,
                                   Gang& gang,
                                   model::GangState lead_state,
                                   core::TimePoint now) {
  this->EndPart(attempt, gang, model::ResultCause::kGangStopped,
                /*none_started=*/lead_state == model::GangState::kAborted, now);
  Peer& lead = gang.peers.begin()->second;
  lead.heard_at = now;
  lead.ended = true;
  return this->Grant(gang);
}

model::GangReply GangTable::OnAsk(const Gang& gang) const {
  model::GangReply reply = this->Grant(gang);
  const bool holds_all = gang.part != Part::kReserved || this->IsComplete(gang);
  reply.granted = IsOpen(gang) && holds_all;
  return reply;
}

void GangTable::OnAnswered(const GangMessageAnswered& answer,
                           core::TimePoint now) {
  const auto found = this->gangs.find(answer.attempt);
  if (found == this->gangs.end()) {
    return;
  }
  Gang& gang = found->second;
  const auto peer = gang.peers.find(answer.receiver);
  if (peer == gang.peers.end()) {
    return;
  }
  peer->second.outstanding = false;
  if (!answer.reply) {
    peer->second.next_send = now + kRetryPeriod;
    return;
  }
  if (gang.duty == Duty::kNone) {
    this->OnLeadAnswered(answer.attempt, gang, peer->second, answer, now);
  } else {
    this->OnMemberAnswered(answer.attempt, gang, peer->second, answer, now);
  }
}

void GangTable::OnLeadAnswered(const AttemptKey& attempt,
                               Gang& gang,
                               Peer& lead,
                               const GangMessageAnswered& answer,
                               core::TimePoint now) {
  const model::GangReply& reply = *answer.reply;
  if (lead.told_end) {
    lead.ended = true;
    return;
  }
  if (answer.kind == GangMessageKind::kAsk) {
    // The lead's state is final unless it still is reserved or goes on.
    const bool open = reply.state == model::GangState::kReserved ||
                      reply.state == model::GangState::kCommitted ||
                      reply.state == model::GangState::kRunning;
    if (!open && gang.part == Part::kReserved) {
      this->EndPart(attempt, gang, model::ResultCause::kNotStarted,
                    /*none_started=*/false, now);
    }
    lead.next_send = now + kRetryPeriod;
    return;
  }
  if (reply.granted) {
    lead.heard_at = std::max(lead.heard_at, answer.sent_at);
    return;
  }
  lead.ended = true;
  this->EndPart(attempt, gang, model::ResultCause::kGangStopped,
                /*none_started=*/false, now);
}

void GangTable::OnMemberAnswered(const AttemptKey& attempt,
                                 Gang& gang,
                                 Peer& member,
                                 const GangMessageAnswered& answer,
                                 core::TimePoint now) {
  if (MessageOf(gang.duty) != answer.kind) {
    return;  // Answer to a message of an earlier duty.
  }
  const bool stopping = answer.kind == GangMessageKind::kStop;
  if (!answer.reply->granted && !stopping) {
    this->StopGang(attempt, gang, model::ResultCause::kGangStopped, now);
    return;
  }
  member.heard_at = std::max(member.heard_at, answer.sent_at);
  member.answered = true;
  this->AdvanceWhenAllAnswered(attempt, gang, now);
}

std::optional<GangMessageKind> GangTable::MessageOf(Duty duty) {
  switch (duty) {
    case Duty::kAsking:
      return GangMessageKind::kAsk;
    case Duty::kConfirming:
      return GangMessageKind::kConfirm;
    case Duty::kStarting:
      return GangMessageKind::kStart;
    case Duty::kStopping:
      return GangMessageKind::kStop;
    case Duty::kNone:
    case Duty::kUndecided:
    case Duty::kWatching:
    case Duty::kEnded:
      break;
  }
  return std::nullopt;
}

void GangTable::EnterDuty(const AttemptKey& attempt,
                          Gang& gang,
                          Duty duty,
                          core::TimePoint now) {
  gang.duty = duty;
  for (auto& [peer_agent, peer] : gang.peers) {
    peer.answered = false;
    peer.outstanding = false;
    peer.next_send = now;
    if (duty == Duty::kConfirming || duty == Duty::kStopping) {
      peer.heard_at = now;
    }
  }
  if (const std::optional<GangMessageKind> kind = MessageOf(duty)) {
    this->SendDue(attempt, gang, *kind, now);
    this->AdvanceWhenAllAnswered(attempt, gang, now);
  }
}

void GangTable::AdvanceWhenAllAnswered(const AttemptKey& attempt,
                                       Gang& gang,
                                       core::TimePoint now) {
  const bool all_answered =
      std::all_of(gang.peers.begin(), gang.peers.end(),
                  [](const auto& row) { return row.second.answered; });
  if (!all_answered) {
    return;
  }
  switch (gang.duty) {
    case Duty::kAsking:
      this->actions.emplace_back(
          LogRecord{RecordLevel::kInfo,
                    "coordinator is silent, gang rolls forward", attempt.job});
      gang.part = Part::kCommitted;
      this->EnterDuty(attempt, gang, Duty::kConfirming, now);
      return;
    case Duty::kConfirming:
      if (now > gang.not_after || !this->upstream_ready) {
        this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
        return;
      }
      this->StartPart(gang, now);
      this->EnterDuty(attempt, gang, Duty::kStarting, now);
      return;
    case Duty::kStarting:
      gang.duty = Duty::kWatching;
      return;
    case Duty::kStopping:
      if (gang.running.empty()) {
        gang.duty = Duty::kEnded;
        gang.ended_at = now;
      }
      return;
    case Duty::kNone:
    case Duty::kUndecided:
    case Duty::kWatching:
    case Duty::kEnded:
      return;
  }
}

void GangTable::StartPart(Gang& gang, core::TimePoint /*now*/) {
  for (auto& [index, member] : gang.held) {
    gang.running.insert(index);
    this->actions.emplace_back(
        GangStartAction{std::move(member.start), member.not_after});
  }
  gang.held.clear();
  gang.part = Part::kRunning;
}

void GangTable::EndPart(const AttemptKey& attempt,
                        Gang& gang,
                        model::ResultCause cause,
                        bool none_started,
                        core::TimePoint now) {
  if (!IsOpen(gang)) {
    return;
  }
  const bool committed = gang.part != Part::kReserved;
  std::optional<model::JobOutcome> report;
  if (committed) {
    report =
        none_started ? model::JobOutcome::kNotRun : model::JobOutcome::kFailed;
    report = cause == model::ResultCause::kCancelled
                 ? model::JobOutcome::kCancelled
                 : report;
  }
  for (auto& [index, member] : gang.held) {
    this->actions.emplace_back(
        GangReleaseAction{std::move(member), report, cause});
  }
  gang.held.clear();
  if (!gang.running.empty()) {
    this->actions.emplace_back(GangStopAction{attempt, cause});
  }
  gang.part = committed && !none_started ? Part::kStopped : Part::kAborted;
  for (auto& [peer_agent, peer] : gang.peers) {
    peer.next_send = now;
  }
}

void GangTable::StopGang(const AttemptKey& attempt,
                         Gang& gang,
                         model::ResultCause cause,
                         core::TimePoint now) {
  if (gang.duty == Duty::kStopping || gang.duty == Duty::kEnded) {
    return;
  }
  // Starts are sent only after every member has confirmed.
  const bool none_started = gang.duty == Duty::kUndecided ||
                            gang.duty == Duty::kAsking ||
                            gang.duty == Duty::kConfirming;
  this->EndPart(attempt, gang, cause, none_started, now);
  if (gang.part == Part::kDone) {
    gang.part = Part::kStopped;  // The gang as a whole did not end well.
  }
  this->actions.emplace_back(
      LogRecord{RecordLevel::kWarn, "gang stops", attempt.job});
  this->EnterDuty(attempt, gang, Duty::kStopping, now);
}

void GangTable::OnTaskEnded(const TaskKey& key,
                            model::JobOutcome outcome,
                            core::TimePoint now) {
  const AttemptKey attempt{key.job, key.attempt};
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end() ||
      found->second.running.erase(key.member) == 0) {
    return;
  }
  Gang& gang = found->second;
  if (gang.part != Part::kRunning) {
    return;
  }
  if (outcome != model::JobOutcome::kDone) {
    this->EndHere(attempt, gang, model::ResultCause::kGangStopped, now);
    return;
  }
  if (gang.running.empty()) {
    gang.part = Part::kDone;
    for (auto& [peer_agent, peer] : gang.peers) {
      peer.next_send = now;
    }
  }
}

void GangTable::OnTick(core::TimePoint now) {
  for (auto& [attempt, gang] : this->gangs) {
    if (gang.ended_at) {
      continue;
    }
    if (gang.duty == Duty::kNone) {
      this->TickMember(attempt, gang, now);
    } else {
      this->TickLead(attempt, gang, now);
    }
  }
  std::erase_if(this->gangs, [now](const auto& row) {
    const std::optional<core::TimePoint>& ended_at = row.second.ended_at;
    return ended_at && now - *ended_at > kDecisionMemory;
  });
}

void GangTable::TickLead(const AttemptKey& attempt,
                         Gang& gang,
                         core::TimePoint now) {
  const bool undecided =
      gang.duty == Duty::kUndecided || gang.duty == Duty::kAsking;
  if ((undecided || gang.duty == Duty::kConfirming) && now > gang.not_after) {
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return;
  }
  switch (gang.duty) {
    case Duty::kUndecided:
      if (this->rolls_forward && now >= HalfTime(gang)) {
        if (this->IsComplete(gang)) {
          this->EnterDuty(attempt, gang, Duty::kAsking, now);
        } else {
          this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
        }
      }
      return;
    case Duty::kAsking:
      this->SendDue(attempt, gang, GangMessageKind::kAsk, now);
      return;
    case Duty::kConfirming:
      this->SendDue(attempt, gang, GangMessageKind::kConfirm, now);
      this->CheckLeases(attempt, gang, now);
      return;
    case Duty::kStarting:
      this->SendDue(attempt, gang, GangMessageKind::kStart, now);
      this->CheckLeases(attempt, gang, now);
      return;
    case Duty::kWatching: {
      this->CheckLeases(attempt, gang, now);
      const bool all_ended =
          std::all_of(gang.peers.begin(), gang.peers.end(),
                      [](const auto& row) { return row.second.ended; });
      if (gang.duty == Duty::kWatching && gang.part == Part::kDone &&
          all_ended) {
        gang.duty = Duty::kEnded;
        gang.ended_at = now;
      }
      return;
    }
    case Duty::kStopping:
      for (auto& [peer_agent, peer] : gang.peers) {
        // A member without contact stops by itself within its lease.
        peer.answered =
            peer.answered || now - peer.heard_at > model::kGangLease;
      }
      this->SendDue(attempt, gang, GangMessageKind::kStop, now);
      this->AdvanceWhenAllAnswered(attempt, gang, now);
      return;
    case Duty::kNone:
    case Duty::kEnded:
      return;
  }
}

void GangTable::CheckLeases(const AttemptKey& attempt,
                            Gang& gang,
                            core::TimePoint now) {
  for (const auto& [peer_agent, peer] : gang.peers) {
    if (!peer.ended && now - peer.heard_at > model::kGangLease) {
      this->StopGang(attempt, gang, model::ResultCause::kGangStopped, now);
      return;
    }
  }
}

void GangTable::TickMember(const AttemptKey& attempt,
                           Gang& gang,
                           core::TimePoint now) {
  auto& [lead_agent, lead] = *gang.peers.begin();
  const bool lease_over = now - lead.heard_at > model::kGangLease;
  switch (gang.part) {
    case Part::kReserved:
      if (now > gang.not_after) {
        this->EndPart(attempt, gang, model::ResultCause::kNotStarted,
                      /*none_started=*/false, now);
      } else if (now >= HalfTime(gang)) {
        this->SendDue(attempt, gang, GangMessageKind::kAsk, now);
      }
      return;
    case Part::kCommitted:
    case Part::kRunning:
      if (lease_over) {
        this->EndPart(attempt, gang, model::ResultCause::kGangStopped,
                      /*none_started=*/false, now);
        return;
      }
      this->SendDue(attempt, gang, GangMessageKind::kRenew, now);
      return;
    case Part::kDone:
    case Part::kStopped:
      lead.ended = lead.ended || lease_over;
      if (!lead.ended) {
        this->SendDue(attempt, gang, GangMessageKind::kRenew, now);
      } else if (gang.running.empty()) {
        gang.ended_at = now;
      }
      return;
    case Part::kAborted:
      gang.ended_at = now;
      return;
  }
}

void GangTable::SendDue(const AttemptKey& attempt,
                        Gang& gang,
                        GangMessageKind kind,
                        core::TimePoint now) {
  for (auto& [peer_agent, peer] : gang.peers) {
    if (!peer.answered && !peer.outstanding && now >= peer.next_send) {
      this->Send(attempt, gang, peer_agent, peer, kind, now);
    }
  }
}

void GangTable::Send(const AttemptKey& attempt,
                     const Gang& gang,
                     const core::AgentId& receiver,
                     Peer& peer,
                     GangMessageKind kind,
                     core::TimePoint now) {
  const bool renews = kind == GangMessageKind::kRenew;
  peer.outstanding = true;
  peer.told_end = renews && !IsOpen(gang);
  peer.next_send = now + (renews ? model::kGangRenewPeriod : kRetryPeriod);
  SendGangMessage command;
  command.endpoint = peer.endpoint;
  command.receiver = receiver;
  command.kind = kind;
  command.sent_at = now;
  command.message.job = attempt.job;
  command.message.attempt = attempt.attempt;
  command.message.incarnation = peer.incarnation;
  command.message.sender = this->agent;
  command.message.sender_incarnation = this->incarnation;
  command.message.state = this->StateOf(gang);
  this->actions.emplace_back(std::move(command));
}

const GangReservation* GangTable::FindReservation(const TaskKey& key) const {
  const auto found = this->gangs.find({key.job, key.attempt});
  if (found == this->gangs.end()) {
    return nullptr;
  }
  const auto member = found->second.held.find(key.member);
  return member == found->second.held.end() ? nullptr : &member->second;
}

int GangTable::ReservedCount(const core::JobId& job) const {
  int count = 0;
  for (auto position = this->gangs.lower_bound({job, {}});
       position != this->gangs.end() && position->first.job == job;
       ++position) {
    count += static_cast<int>(position->second.held.size());
  }
  return count;
}

bool GangTable::IsActive(const AttemptKey& attempt) const {
  const auto found = this->gangs.find(attempt);
  return found != this->gangs.end() && !found->second.ended_at;
}

std::size_t GangTable::ActiveCount() const {
  std::size_t count = 0;
  for (const auto& [attempt, gang] : this->gangs) {
    count += gang.ended_at ? 0 : 1;
  }
  return count;
}

std::vector<GangAction> GangTable::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace hemlockdoor::agent
