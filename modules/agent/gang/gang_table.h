// The gangs of which one agent holds a part.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/agent/core/task_key.h"

namespace hemlockdoor::agent {

/// One member reserved here, ready to start.
struct GangReservation {
  UpstreamStart start;
  core::ReservationId reservation;
  /// No start after this time.
  core::TimePoint not_after;
};

/// Start one member on the upstream.
struct GangStartAction {
  UpstreamStart start;
  core::TimePoint not_after;
};

/// Stop the members of a gang that run here.
struct GangStopAction {
  AttemptKey attempt;
  model::ResultCause cause = model::ResultCause::kGangStopped;
};

/// Give back what a member that never started held.
struct GangReleaseAction {
  GangReservation member;
  /// Set when the attempt was committed, so that its end must be reported.
  /// kNotRun only when no member of the gang was started on any agent.
  std::optional<model::JobOutcome> report;
  model::ResultCause cause = model::ResultCause::kGangStopped;
};

using GangAction = std::variant<GangStartAction,
                                GangStopAction,
                                GangReleaseAction,
                                SendGangMessage,
                                LogRecord>;

/// Runs the gang protocol for the parts on one agent: two-phase commit in
/// which the lead (the agent of member 0) is the commit point, and a lease
/// between the lead and each other agent while the gang runs. One message per
/// agent covers all members on it.
class GangTable {
 public:
  /// With `roll_forward` the lead commits a gang whose coordinator is silent.
  GangTable(core::AgentId own_agent,
            core::Incarnation own_incarnation,
            bool roll_forward);

  /// Adds a member; false when the attempt exists with other members or is
  /// decided already.
  [[nodiscard]] bool Reserve(const std::vector<model::GangMember>& members,
                             GangReservation member,
                             core::TimePoint now);
  /// Commits at the lead; nothing: granted.
  std::optional<model::RefusalReason> Commit(const AttemptKey& attempt,
                                             core::TimePoint now);
  /// Gives up what is not committed; false when it is committed.
  bool Release(const AttemptKey& attempt, core::TimePoint now);
  /// Ends the gang, or this part of it, for the caller; true when a part of it
  /// was held here. Attempt 0 stands for every attempt of the job.
  bool Cancel(const AttemptKey& attempt, core::TimePoint now);
  /// Gives up every gang that is not committed.
  void ReleaseUncommitted(core::TimePoint now);

  model::GangReply OnMessage(GangMessageKind kind,
                             const model::GangMessage& message,
                             core::TimePoint now);
  void OnAnswered(const GangMessageAnswered& answer, core::TimePoint now);
  void OnTaskEnded(const TaskKey& key,
                   model::JobOutcome outcome,
                   core::TimePoint now);
  void OnTick(core::TimePoint now);
  /// Whether the upstream takes starts now; asked before each start.
  void SetUpstreamReady(bool ready) { this->upstream_ready = ready; }

  /// The reservation of a member that is held and not started.
  const GangReservation* FindReservation(const TaskKey& key) const;
  /// Members of a job reserved here and not started.
  int ReservedCount(const core::JobId& job) const;
  /// True when the attempt is held here and its outcome is open.
  bool IsActive(const AttemptKey& attempt) const;
  std::size_t ActiveCount() const;
  /// What is to be done since the last call.
  std::vector<GangAction> TakeActions();

  /// Pace of repeated confirm, start, stop and ask messages.
  static constexpr core::Duration kRetryPeriod =
      core::Duration::Milliseconds(250);
  /// A decided gang is remembered so long, to answer a new owner.
  static constexpr core::Duration kDecisionRetention =
      core::Duration::Seconds(600);
  static constexpr std::size_t kMaxGangs = 4096;

 private:
  /// State of the part held here.
  enum class LocalState {
    kReserved,
    kCommitted,
    kRunning,
    kDone,
    kStopped,
    kAborted
  };
  /// What the lead is doing.
  enum class LeadPhase {
    kNone,        ///< Not the lead.
    kUndecided,   ///< Waits for the coordinator's commit.
    kQuerying,    ///< The coordinator is silent; asks every member.
    kConfirming,  ///< Committed; confirms every member.
    kStarting,
    kMonitoring,  ///< Every member has started; leases are watched.
    kStopping,    ///< Tells every member to stop.
    kEnded,
  };
  /// Another agent, as the lead or as a member sees it.
  struct Peer {
    std::string endpoint;
    core::Incarnation incarnation;
    /// Answered the current phase's message.
    bool answered = false;
    /// At the lead: the member's part ended well. At a member: the lead knows
    /// that this part has ended.
    bool ended = false;
    bool outstanding = false;
    /// The outstanding message stated the end of this part.
    bool reports_end = false;
    core::TimePoint last_contact;
    core::TimePoint next_send;
  };
  struct Gang {
    std::vector<model::GangMember> members;
    std::map<int, GangReservation> reservations;
    std::set<int> running;
    LocalState local_state = LocalState::kReserved;
    LeadPhase phase = LeadPhase::kNone;
    core::TimePoint reserved_at;
    core::TimePoint not_after;
    std::optional<core::TimePoint> ended_at;
    /// At the lead: the other agents. At a member: the lead alone.
    std::map<core::AgentId, Peer> peers;
    model::ResultCause stop_cause = model::ResultCause::kGangStopped;
  };

  bool IsOwn(const model::GangMember& member) const;
  /// True when every member named for this agent is reserved here.
  bool IsComplete(const Gang& gang) const;
  Gang MakeGang(const std::vector<model::GangMember>& members,
                core::TimePoint now) const;
  static bool IsOpen(const Gang& gang);
  static core::TimePoint HalfTime(const Gang& gang);
  model::GangState StateOf(const Gang& gang) const;
  model::GangReply Refuse(const Gang* gang, model::RefusalReason reason) const;
  model::GangReply Grant(const Gang& gang) const;

  model::GangReply OnConfirm(const AttemptKey& attempt,
                             Gang& gang,
                             core::TimePoint now);
  model::GangReply OnStart(const AttemptKey& attempt,
                           Gang& gang,
                           core::TimePoint now);
  model::GangReply OnRenew(const AttemptKey& attempt,
                           Gang& gang,
                           const model::GangMessage& message,
                           core::TimePoint now);
  model::GangReply OnStop(const AttemptKey& attempt,
                          Gang& gang,
                          model::GangState lead_state,
                          core::TimePoint now);
  model::GangReply OnAsk(const Gang& gang) const;

  void OnLeadAnswered(const AttemptKey& attempt,
                      Gang& gang,
                      Peer& lead,
                      const GangMessageAnswered& answer,
                      core::TimePoint now);
  void OnMemberAnswered(const AttemptKey& attempt,
                        Gang& gang,
                        Peer& member,
                        const GangMessageAnswered& answer,
                        core::TimePoint now);
  void EnterPhase(const AttemptKey& attempt,
                  Gang& gang,
                  LeadPhase phase,
                  core::TimePoint now);
  void AdvanceWhenAllAnswered(const AttemptKey& attempt,
                              Gang& gang,
                              core::TimePoint now);
  void StartLocalMembers(Gang& gang, core::TimePoint now);
  /// Ends the part held here: releases what never started, stops the rest.
  /// `none_started` says that no member started on any agent.
  void EndLocalMembers(const AttemptKey& attempt,
                       Gang& gang,
                       model::ResultCause cause,
                       bool none_started,
                       core::TimePoint now);
  /// At the lead: ends the gang everywhere.
  void StopGang(const AttemptKey& attempt,
                Gang& gang,
                model::ResultCause cause,
                core::TimePoint now);
  /// Ends the gang as far as this agent may: all of it at the lead, else the
  /// part held here.
  void EndGangOrLocalMembers(const AttemptKey& attempt,
                             Gang& gang,
                             model::ResultCause cause,
                             core::TimePoint now);
  void TickLead(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  void TickMember(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  void CheckLeases(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  void SendDue(const AttemptKey& attempt,
               Gang& gang,
               GangMessageKind kind,
               core::TimePoint now);
  void Send(const AttemptKey& attempt,
            const Gang& gang,
            const core::AgentId& receiver,
            Peer& peer,
            GangMessageKind kind,
            core::TimePoint now);
  static std::optional<GangMessageKind> MessageKindFor(LeadPhase phase);

  core::AgentId agent;
  core::Incarnation incarnation;
  bool rolls_forward;
  bool upstream_ready = false;
  std::map<AttemptKey, Gang> gangs;
  std::vector<GangAction> actions;
};

}  // namespace hemlockdoor::agent
