#include "modules/agent/gang/gang_table.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::agent {

namespace {

bool HaveSameMembers(const std::vector<model::GangMember>& left,
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
        !gang.reservations.contains(static_cast<int>(index))) {
      return false;
    }
  }
  return true;
}

bool GangTable::IsOpen(const Gang& gang) {
  return gang.local_state == LocalState::kReserved ||
         gang.local_state == LocalState::kCommitted ||
         gang.local_state == LocalState::kRunning;
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
  const bool is_lead = this->IsOwn(members.front());
  gang.phase = is_lead ? LeadPhase::kUndecided : LeadPhase::kNone;
  for (const model::GangMember& member : members) {
    const bool is_peer =
        is_lead ? member.agent != this->agent : &member == &members.front();
    if (is_peer) {
      Peer peer;
      peer.endpoint = member.endpoint;
      peer.incarnation = member.incarnation;
      peer.last_contact = now;
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
      gang.phase == LeadPhase::kNone || gang.phase == LeadPhase::kUndecided;
  if (gang.local_state != LocalState::kReserved || !undecided ||
      !HaveSameMembers(gang.members, members)) {
    return false;
  }
  gang.not_after = std::min(gang.not_after, member.not_after);
  const int index = key.member;
  return gang.reservations.emplace(index, std::move(member)).second;
}

std::optional<model::RefusalReason> GangTable::Commit(const AttemptKey& attempt,
                                                      core::TimePoint now) {
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end() || found->second.phase == LeadPhase::kNone) {
    return model::RefusalReason::kUnknownReservation;
  }
  Gang& gang = found->second;
  if (gang.local_state == LocalState::kAborted) {
    return model::RefusalReason::kCancelled;
  }
  if (gang.local_state != LocalState::kReserved) {
    return std::nullopt;  // Committed already.
  }
  if (now > gang.not_after) {
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return model::RefusalReason::kExpired;
  }
  if (!this->IsComplete(gang)) {
    // The coordinator treats the refusal as final, so the gang must not be
    // committed later.
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return model::RefusalReason::kUnknownReservation;
  }
  gang.local_state = LocalState::kCommitted;
  this->EnterPhase(attempt, gang, LeadPhase::kConfirming, now);
  return std::nullopt;
}

bool GangTable::Release(const AttemptKey& attempt, core::TimePoint now) {
  const auto found = this->gangs.find(attempt);
  if (found == this->gangs.end()) {
    return true;
  }
  Gang& gang = found->second;
  if (gang.local_state == LocalState::kReserved) {
    this->EndGangOrLocalMembers(attempt, gang, model::ResultCause::kNotStarted,
                                now);
  }
  return gang.local_state == LocalState::kAborted;
}

bool GangTable::Cancel(const AttemptKey& attempt, core::TimePoint now) {
  bool held = false;
  for (auto position = this->gangs.lower_bound({attempt.job, {}});
       position != this->gangs.end() && position->first.job == attempt.job;
       ++position) {
    const bool matches = attempt.attempt == core::AttemptNumber() ||
                         position->first.attempt == attempt.attempt;
    const bool others_run = position->second.phase == LeadPhase::kStarting ||
                            position->second.phase == LeadPhase::kMonitoring;
    if (matches && (IsOpen(position->second) || others_run)) {
      held = true;
      this->EndGangOrLocalMembers(position->first, position->second,
                                  model::ResultCause::kCancelled, now);
    }
  }
  return held;
}

void GangTable::ReleaseUncommitted(core::TimePoint now) {
  for (auto& [attempt, gang] : this->gangs) {
    if (gang.local_state == LocalState::kReserved) {
      this->EndGangOrLocalMembers(attempt, gang,
                                  model::ResultCause::kNotStarted, now);
    }
  }
}

void GangTable::EndGangOrLocalMembers(const AttemptKey& attempt,
                                      Gang& gang,
                                      model::ResultCause cause,
                                      core::TimePoint now) {
  if (gang.phase != LeadPhase::kNone) {
    this->StopGang(attempt, gang, cause, now);
    return;
  }
  this->EndLocalMembers(attempt, gang, cause, /*none_started=*/false, now);
}

model::GangState GangTable::StateOf(const Gang& gang) const {
  if (gang.phase == LeadPhase::kStarting ||
      gang.phase == LeadPhase::kMonitoring) {
    return model::GangState::kRunning;
  }
  switch (gang.local_state) {
    case LocalState::kReserved:
      return model::GangState::kReserved;
    case LocalState::kCommitted:
      return model::GangState::kCommitted;
    case LocalState::kRunning:
      return model::GangState::kRunning;
    case LocalState::kDone:
      return model::GangState::kDone;
    case LocalState::kStopped:
      return model::GangState::kStopped;
    case LocalState::kAborted:
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
  // Only the lead may send confirm, start and stop; only the other agents may
  // send renew.
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
  if (gang.local_state == LocalState::kReserved && now > gang.not_after) {
    this->EndLocalMembers(attempt, gang, model::ResultCause::kNotStarted,
                          /*none_started=*/false, now);
  }
  if (gang.local_state == LocalState::kReserved && this->IsComplete(gang)) {
    gang.local_state = LocalState::kCommitted;
    Peer& lead = gang.peers.begin()->second;
    lead.last_contact = now;
    lead.next_send = now + model::kGangRenewPeriod;
    return this->Grant(gang);
  }
  if (gang.local_state == LocalState::kReserved ||
      gang.local_state == LocalState::kAborted) {
    return this->Refuse(&gang, model::RefusalReason::kUnknownReservation);
  }
  if (gang.local_state == LocalState::kStopped) {
    return this->Refuse(&gang, model::RefusalReason::kCancelled);
  }
  return this->Grant(gang);
}

model::GangReply GangTable::OnStart(const AttemptKey& attempt,
                                    Gang& gang,
                                    core::TimePoint now) {
  if (gang.local_state == LocalState::kRunning ||
      gang.local_state == LocalState::kDone) {
    return this->Grant(gang);
  }
  if (gang.local_state != LocalState::kCommitted) {
    return this->Refuse(&gang, model::RefusalReason::kUnknownReservation);
  }
  if (now > gang.not_after || !this->upstream_ready) {
    const bool late = now > gang.not_after;
    this->EndLocalMembers(attempt, gang, model::ResultCause::kNotStarted,
                          /*none_started=*/false, now);
    return this->Refuse(&gang, late ? model::RefusalReason::kExpired
                                    : model::RefusalReason::kNotReady);
  }
  this->StartLocalMembers(gang, now);
  gang.peers.begin()->second.last_contact = now;
  return this->Grant(gang);
}

model::GangReply GangTable::OnRenew(const AttemptKey& attempt,
                                    Gang& gang,
                                    const model::GangMessage& message,
                                    core::TimePoint now) {
  Peer& member = gang.peers.find(message.sender)->second;
  member.last_contact = now;
  const bool is_active = gang.phase == LeadPhase::kConfirming ||
                         gang.phase == LeadPhase::kStarting ||
                         gang.phase == LeadPhase::kMonitoring;
  if (!is_active) {
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
  this->EndLocalMembers(
      attempt, gang, model::ResultCause::kGangStopped,
      /*none_started=*/lead_state == model::GangState::kAborted, now);
  Peer& lead = gang.peers.begin()->second;
  lead.last_contact = now;
  lead.ended = true;
  return this->Grant(gang);
}

model::GangReply GangTable::OnAsk(const Gang& gang) const {
  model::GangReply reply = this->Grant(gang);
  const bool holds_all =
      gang.local_state != LocalState::kReserved || this->IsComplete(gang);
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
  if (gang.phase == LeadPhase::kNone) {
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
  if (lead.reports_end) {
    lead.ended = true;
    return;
  }
  if (answer.kind == GangMessageKind::kAsk) {
    // Any other state of the lead is final.
    const bool open = reply.state == model::GangState::kReserved ||
                      reply.state == model::GangState::kCommitted ||
                      reply.state == model::GangState::kRunning;
    if (!open && gang.local_state == LocalState::kReserved) {
      this->EndLocalMembers(attempt, gang, model::ResultCause::kNotStarted,
                            /*none_started=*/false, now);
    }
    lead.next_send = now + kRetryPeriod;
    return;
  }
  if (reply.granted) {
    lead.last_contact = std::max(lead.last_contact, answer.sent_at);
    return;
  }
  lead.ended = true;
  this->EndLocalMembers(attempt, gang, model::ResultCause::kGangStopped,
                        /*none_started=*/false, now);
}

void GangTable::OnMemberAnswered(const AttemptKey& attempt,
                                 Gang& gang,
                                 Peer& member,
                                 const GangMessageAnswered& answer,
                                 core::TimePoint now) {
  if (MessageKindFor(gang.phase) != answer.kind) {
    return;  // A late answer to a message of an earlier phase.
  }
  const bool stopping = answer.kind == GangMessageKind::kStop;
  if (!answer.reply->granted && !stopping) {
    this->StopGang(attempt, gang, model::ResultCause::kGangStopped, now);
    return;
  }
  member.last_contact = std::max(member.last_contact, answer.sent_at);
  member.answered = true;
  this->AdvanceWhenAllAnswered(attempt, gang, now);
}

std::optional<GangMessageKind> GangTable::MessageKindFor(LeadPhase phase) {
  switch (phase) {
    case LeadPhase::kQuerying:
      return GangMessageKind::kAsk;
    case LeadPhase::kConfirming:
      return GangMessageKind::kConfirm;
    case LeadPhase::kStarting:
      return GangMessageKind::kStart;
    case LeadPhase::kStopping:
      return GangMessageKind::kStop;
    case LeadPhase::kNone:
    case LeadPhase::kUndecided:
    case LeadPhase::kMonitoring:
    case LeadPhase::kEnded:
      break;
  }
  return std::nullopt;
}

void GangTable::EnterPhase(const AttemptKey& attempt,
                           Gang& gang,
                           LeadPhase phase,
                           core::TimePoint now) {
  gang.phase = phase;
  for (auto& [peer_agent, peer] : gang.peers) {
    peer.answered = false;
    peer.outstanding = false;
    peer.next_send = now;
    if (phase == LeadPhase::kConfirming || phase == LeadPhase::kStopping) {
      peer.last_contact = now;
    }
  }
  if (const std::optional<GangMessageKind> kind = MessageKindFor(phase)) {
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
  switch (gang.phase) {
    case LeadPhase::kQuerying:
      this->actions.emplace_back(
          LogRecord{RecordLevel::kInfo,
                    "no commit or release from the coordinator in time; the "
                    "lead commits the fully reserved gang",
                    attempt.job});
      gang.local_state = LocalState::kCommitted;
      this->EnterPhase(attempt, gang, LeadPhase::kConfirming, now);
      return;
    case LeadPhase::kConfirming:
      if (now > gang.not_after || !this->upstream_ready) {
        this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
        return;
      }
      this->StartLocalMembers(gang, now);
      this->EnterPhase(attempt, gang, LeadPhase::kStarting, now);
      return;
    case LeadPhase::kStarting:
      gang.phase = LeadPhase::kMonitoring;
      return;
    case LeadPhase::kStopping:
      if (gang.running.empty()) {
        gang.phase = LeadPhase::kEnded;
        gang.ended_at = now;
      }
      return;
    case LeadPhase::kNone:
    case LeadPhase::kUndecided:
    case LeadPhase::kMonitoring:
    case LeadPhase::kEnded:
      return;
  }
}

void GangTable::StartLocalMembers(Gang& gang, core::TimePoint /*now*/) {
  for (auto& [index, member] : gang.reservations) {
    gang.running.insert(index);
    this->actions.emplace_back(
        GangStartAction{std::move(member.start), member.not_after});
  }
  gang.reservations.clear();
  gang.local_state = LocalState::kRunning;
}

void GangTable::EndLocalMembers(const AttemptKey& attempt,
                                Gang& gang,
                                model::ResultCause cause,
                                bool none_started,
                                core::TimePoint now) {
  if (!IsOpen(gang)) {
    return;
  }
  const bool committed = gang.local_state != LocalState::kReserved;
  std::optional<model::JobOutcome> report;
  if (committed) {
    report =
        none_started ? model::JobOutcome::kNotRun : model::JobOutcome::kFailed;
    report = cause == model::ResultCause::kCancelled
                 ? model::JobOutcome::kCancelled
                 : report;
  }
  for (auto& [index, member] : gang.reservations) {
    this->actions.emplace_back(
        GangReleaseAction{std::move(member), report, cause});
  }
  gang.reservations.clear();
  if (!gang.running.empty()) {
    this->actions.emplace_back(GangStopAction{attempt, cause});
  }
  gang.local_state =
      committed && !none_started ? LocalState::kStopped : LocalState::kAborted;
  for (auto& [peer_agent, peer] : gang.peers) {
    peer.next_send = now;
  }
}

void GangTable::StopGang(const AttemptKey& attempt,
                         Gang& gang,
                         model::ResultCause cause,
                         core::TimePoint now) {
  if (gang.phase == LeadPhase::kStopping || gang.phase == LeadPhase::kEnded) {
    return;
  }
  // Start messages are sent only after every agent has confirmed.
  const bool none_started = gang.phase == LeadPhase::kUndecided ||
                            gang.phase == LeadPhase::kQuerying ||
                            gang.phase == LeadPhase::kConfirming;
  this->EndLocalMembers(attempt, gang, cause, none_started, now);
  if (gang.local_state == LocalState::kDone) {
    gang.local_state =
        LocalState::kStopped;  // Other members did not end with kDone.
  }
  this->actions.emplace_back(LogRecord{
      RecordLevel::kWarn, "stopping the gang on all agents", attempt.job});
  this->EnterPhase(attempt, gang, LeadPhase::kStopping, now);
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
  if (gang.local_state != LocalState::kRunning) {
    return;
  }
  if (outcome != model::JobOutcome::kDone) {
    this->EndGangOrLocalMembers(attempt, gang, model::ResultCause::kGangStopped,
                                now);
    return;
  }
  if (gang.running.empty()) {
    gang.local_state = LocalState::kDone;
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
    if (gang.phase == LeadPhase::kNone) {
      this->TickMember(attempt, gang, now);
    } else {
      this->TickLead(attempt, gang, now);
    }
  }
  std::erase_if(this->gangs, [now](const auto& row) {
    const std::optional<core::TimePoint>& ended_at = row.second.ended_at;
    return ended_at && now - *ended_at > kDecisionRetention;
  });
}

void GangTable::TickLead(const AttemptKey& attempt,
                         Gang& gang,
                         core::TimePoint now) {
  const bool undecided =
      gang.phase == LeadPhase::kUndecided || gang.phase == LeadPhase::kQuerying;
  if ((undecided || gang.phase == LeadPhase::kConfirming) &&
      now > gang.not_after) {
    this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
    return;
  }
  switch (gang.phase) {
    case LeadPhase::kUndecided:
      if (this->rolls_forward && now >= HalfTime(gang)) {
        if (this->IsComplete(gang)) {
          this->EnterPhase(attempt, gang, LeadPhase::kQuerying, now);
        } else {
          this->StopGang(attempt, gang, model::ResultCause::kNotStarted, now);
        }
      }
      return;
    case LeadPhase::kQuerying:
      this->SendDue(attempt, gang, GangMessageKind::kAsk, now);
      return;
    case LeadPhase::kConfirming:
      this->SendDue(attempt, gang, GangMessageKind::kConfirm, now);
      this->CheckLeases(attempt, gang, now);
      return;
    case LeadPhase::kStarting:
      this->SendDue(attempt, gang, GangMessageKind::kStart, now);
      this->CheckLeases(attempt, gang, now);
      return;
    case LeadPhase::kMonitoring: {
      this->CheckLeases(attempt, gang, now);
      const bool all_ended =
          std::all_of(gang.peers.begin(), gang.peers.end(),
                      [](const auto& row) { return row.second.ended; });
      if (gang.phase == LeadPhase::kMonitoring &&
          gang.local_state == LocalState::kDone && all_ended) {
        gang.phase = LeadPhase::kEnded;
        gang.ended_at = now;
      }
      return;
    }
    case LeadPhase::kStopping:
      for (auto& [peer_agent, peer] : gang.peers) {
        // An agent without contact to the lead stops its members by itself
        // when its lease is over.
        peer.answered =
            peer.answered || now - peer.last_contact > model::kGangLease;
      }
      this->SendDue(attempt, gang, GangMessageKind::kStop, now);
      this->AdvanceWhenAllAnswered(attempt, gang, now);
      return;
    case LeadPhase::kNone:
    case LeadPhase::kEnded:
      return;
  }
}

void GangTable::CheckLeases(const AttemptKey& attempt,
                            Gang& gang,
                            core::TimePoint now) {
  for (const auto& [peer_agent, peer] : gang.peers) {
    if (!peer.ended && now - peer.last_contact > model::kGangLease) {
      this->StopGang(attempt, gang, model::ResultCause::kGangStopped, now);
      return;
    }
  }
}

void GangTable::TickMember(const AttemptKey& attempt,
                           Gang& gang,
                           core::TimePoint now) {
  auto& [lead_agent, lead] = *gang.peers.begin();
  const bool lease_over = now - lead.last_contact > model::kGangLease;
  switch (gang.local_state) {
    case LocalState::kReserved:
      if (now > gang.not_after) {
        this->EndLocalMembers(attempt, gang, model::ResultCause::kNotStarted,
                              /*none_started=*/false, now);
      } else if (now >= HalfTime(gang)) {
        this->SendDue(attempt, gang, GangMessageKind::kAsk, now);
      }
      return;
    case LocalState::kCommitted:
    case LocalState::kRunning:
      if (lease_over) {
        this->EndLocalMembers(attempt, gang, model::ResultCause::kGangStopped,
                              /*none_started=*/false, now);
        return;
      }
      this->SendDue(attempt, gang, GangMessageKind::kRenew, now);
      return;
    case LocalState::kDone:
    case LocalState::kStopped:
      lead.ended = lead.ended || lease_over;
      if (!lead.ended) {
        this->SendDue(attempt, gang, GangMessageKind::kRenew, now);
      } else if (gang.running.empty()) {
        gang.ended_at = now;
      }
      return;
    case LocalState::kAborted:
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
  peer.reports_end = renews && !IsOpen(gang);
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
  const auto member = found->second.reservations.find(key.member);
  return member == found->second.reservations.end() ? nullptr : &member->second;
}

int GangTable::ReservedCount(const core::JobId& job) const {
  int count = 0;
  for (auto position = this->gangs.lower_bound({job, {}});
       position != this->gangs.end() && position->first.job == job;
       ++position) {
    count += static_cast<int>(position->second.reservations.size());
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
