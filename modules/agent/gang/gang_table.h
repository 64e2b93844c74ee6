// The gangs of which at least one member is reserved on this agent.
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

/// One member that is reserved on this agent and can be started.
struct GangReservation {
  UpstreamStart start;
  core::ReservationId reservation;
  /// No start after this time.
  core::TimePoint not_after;
};

/// Asks the caller to start one member on the upstream.
struct GangStartAction {
  UpstreamStart start;
  /// No start after this time.
  core::TimePoint not_after;
};

/// Asks the caller to stop the members of a gang that run here.
struct GangStopAction {
  AttemptKey attempt;
  model::ResultCause cause = model::ResultCause::kGangStopped;
};

/// Asks the caller to release the capacity of a member that never started.
struct GangReleaseAction {
  GangReservation member;
  /// Outcome to report; set when the member was committed.
  /// kNotRun only when no member of the gang was started on any agent.
  std::optional<model::JobOutcome> report;
  model::ResultCause cause = model::ResultCause::kGangStopped;
};

using GangAction = std::variant<GangStartAction,
                                GangStopAction,
                                GangReleaseAction,
                                SendGangMessage,
                                LogRecord>;

/// Runs the gang protocol for the members on one agent. A gang starts by
/// two-phase commit, in which the agent of member 0, the lead, decides. From
/// the commit until the gang ends, the lead and each other agent hold a lease:
/// when contact between them is lost for `model::kGangLease`, both sides stop
/// their members. One message per agent covers all members on it.
///
/// Performs no I/O: the caller passes in messages, answers and ticks, and
/// carries out the actions from `TakeActions`.
class GangTable {
 public:
  /// With `roll_forward` the lead commits a fully reserved gang by itself when
  /// the coordinator sends neither commit nor release in time.
  GangTable(core::AgentId own_agent,
            core::Incarnation own_incarnation,
            bool roll_forward);

  /// Adds a member's reservation; false when the member is reserved already,
  /// the attempt exists with other members or is no longer open to
  /// reservations, or `kMaxGangs` gangs are known.
  [[nodiscard]] bool Reserve(const std::vector<model::GangMember>& members,
                             GangReservation member,
                             core::TimePoint now);
  /// Commits the gang; only the lead may. Returns nothing when it is committed,
  /// also by an earlier call, else the reason of the refusal. A gang that is
  /// incomplete or past its start limit is aborted.
  std::optional<model::RefusalReason> Commit(const AttemptKey& attempt,
                                             core::TimePoint now);
  /// Aborts an attempt that is not committed. True when the attempt is aborted
  /// or unknown, else it has been committed.
  bool Release(const AttemptKey& attempt, core::TimePoint now);
  /// Ends the gang at the lead, else the members held here, as cancelled; true
  /// when there was something to end. Attempt 0 stands for every attempt of the
  /// job.
  bool Cancel(const AttemptKey& attempt, core::TimePoint now);
  /// Aborts every gang that is not committed.
  void ReleaseUncommitted(core::TimePoint now);

  /// Handles a message from another agent, or a `kAsk` query from an entry.
  model::GangReply OnMessage(GangMessageKind kind,
                             const model::GangMessage& message,
                             core::TimePoint now);
  /// Handles the answer to a message of this agent, or its failure.
  void OnAnswered(const GangMessageAnswered& answer, core::TimePoint now);
  /// Records the end of a member's task. Any outcome but kDone stops the
  /// other members.
  void OnTaskEnded(const TaskKey& key,
                   model::JobOutcome outcome,
                   core::TimePoint now);
  /// Sends due messages and checks start limits and leases.
  void OnTick(core::TimePoint now);
  /// Sets whether the upstream takes starts. A gang that is about to start here
  /// is stopped when the upstream does not.
  void SetUpstreamReady(bool ready) { this->upstream_ready = ready; }

  /// Returns the reservation of a member that has not started, or null.
  const GangReservation* FindReservation(const TaskKey& key) const;
  /// Number of a job's members that are reserved here and have not started.
  int ReservedCount(const core::JobId& job) const;
  /// True when the attempt is known here and the protocol has not ended for it.
  bool IsActive(const AttemptKey& attempt) const;
  /// Number of gangs for which the protocol has not ended.
  std::size_t ActiveCount() const;
  /// Returns and clears the actions collected since the last call, in order.
  std::vector<GangAction> TakeActions();

  /// Interval at which confirm, start, stop and ask messages are repeated until
  /// they are answered, and delay before any message after a failed one.
  static constexpr core::Duration kRetryPeriod =
      core::Duration::Milliseconds(250);
  /// How long a gang is remembered after its end, so that a new owner of the
  /// job can still learn the outcome.
  static constexpr core::Duration kDecisionRetention =
      core::Duration::Seconds(600);
  /// Bound on the gangs known, active or remembered.
  static constexpr std::size_t kMaxGangs = 4096;

 private:
  /// State of the members on this agent.
  enum class LocalState {
    kReserved,
    kCommitted,  ///< Confirmed to the lead, or decided by it; not started.
    kRunning,
    kDone,  ///< All members here ended with kDone.
    /// Ended after the commit; members of the gang may have started.
    kStopped,
    /// Ended before the commit, or before any start on any agent.
    kAborted
  };
  /// Step of the protocol at the lead.
  enum class LeadPhase {
    kNone,        ///< Not the lead.
    kUndecided,   ///< Awaits the coordinator's commit.
    kQuerying,    ///< No commit in time; asks every agent whether its members
                  ///< are reserved.
    kConfirming,  ///< Committed; asks every agent to confirm.
    kStarting,    ///< Tells every agent to start its members.
    kMonitoring,  ///< Every agent has started its members; checks leases.
    kStopping,    ///< Tells every agent to stop its members.
    kEnded,       ///< Every agent has ended, or its lease is over.
  };
  /// Another agent of the gang: at the lead each of the others, at any other
  /// agent the lead.
  struct Peer {
    std::string endpoint;
    core::Incarnation incarnation;
    /// At the lead: this agent has answered the message of the current phase,
    /// or, while the gang stops, its lease is over.
    bool answered = false;
    /// At the lead: all members on that agent ended with kDone. At another
    /// agent: the lead needs no more renewals, because it knows of the end or
    /// the lease is over.
    bool ended = false;
    /// A message to this agent is in flight.
    bool outstanding = false;
    /// The last message stated that the members here have ended.
    bool reports_end = false;
    /// The lease counts from here: the arrival of the last message, or the
    /// sending of the last message that was granted.
    core::TimePoint last_contact;
    core::TimePoint next_send;
  };
  struct Gang {
    std::vector<model::GangMember> members;
    /// Members here that have not started, by index.
    std::map<int, GangReservation> reservations;
    /// Indexes of members here that have started and not ended.
    std::set<int> running;
    LocalState local_state = LocalState::kReserved;
    LeadPhase phase = LeadPhase::kNone;
    core::TimePoint reserved_at;
    /// Earliest start limit of the members here.
    core::TimePoint not_after;
    /// When the protocol ended for this agent.
    std::optional<core::TimePoint> ended_at;
    /// At the lead: the other agents. At any other agent: only the lead.
    std::map<core::AgentId, Peer> peers;
    model::ResultCause stop_cause = model::ResultCause::kGangStopped;
  };

  /// True when the member belongs to this process of this agent.
  bool IsOwn(const model::GangMember& member) const;
  /// True when every member assigned to this agent is reserved here.
  bool IsComplete(const Gang& gang) const;
  Gang MakeGang(const std::vector<model::GangMember>& members,
                core::TimePoint now) const;
  /// True while the members here are reserved, committed or running.
  static bool IsOpen(const Gang& gang);
  /// Midpoint between reservation and start limit. Without a commit by then,
  /// the lead (with roll-forward) commits a complete gang or aborts an
  /// incomplete one, and the other agents ask the lead for its state.
  static core::TimePoint HalfTime(const Gang& gang);
  /// State that this agent reports: at a lead that starts or monitors the gang,
  /// kRunning even when its own members have ended.
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
  /// Enters a phase at the lead and sends its message to every agent.
  void EnterPhase(const AttemptKey& attempt,
                  Gang& gang,
                  LeadPhase phase,
                  core::TimePoint now);
  /// Moves the lead to the next phase when every agent has answered.
  void AdvanceWhenAllAnswered(const AttemptKey& attempt,
                              Gang& gang,
                              core::TimePoint now);
  /// Starts the members reserved here.
  void StartLocalMembers(Gang& gang, core::TimePoint now);
  /// Ends the members here: releases those that never started, stops the
  /// others. `none_started`: no member has started on any agent.
  void EndLocalMembers(const AttemptKey& attempt,
                       Gang& gang,
                       model::ResultCause cause,
                       bool none_started,
                       core::TimePoint now);
  /// At the lead: ends the gang on all agents.
  void StopGang(const AttemptKey& attempt,
                Gang& gang,
                model::ResultCause cause,
                core::TimePoint now);
  /// At the lead: ends the gang on all agents. At any other agent: ends the
  /// members here.
  void EndGangOrLocalMembers(const AttemptKey& attempt,
                             Gang& gang,
                             model::ResultCause cause,
                             core::TimePoint now);
  void TickLead(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  void TickMember(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  /// At the lead: stops the gang when another agent's lease is over.
  void CheckLeases(const AttemptKey& attempt, Gang& gang, core::TimePoint now);
  /// Sends a message to each peer that has not answered, has none in flight and
  /// is due.
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
  /// Message that the lead sends in a phase; nothing when it sends none.
  static std::optional<GangMessageKind> MessageKindFor(LeadPhase phase);

  core::AgentId agent;
  core::Incarnation incarnation;
  bool rolls_forward;
  bool upstream_ready = false;
  std::map<AttemptKey, Gang> gangs;
  std::vector<GangAction> actions;
};

}  // namespace hemlockdoor::agent
