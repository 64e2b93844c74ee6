// The agents known to one entry: leases, failure suspicion, clock estimates.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// Consecutive failed calls after which an agent is suspected to have failed. A
/// suspected agent gets no new work until a call to it succeeds or
/// `kSuspicionTime` has passed since the last failed call.
inline constexpr int kSuspicionThreshold = 2;
/// How long after its last failed call a suspected agent gets no new work.
inline constexpr core::Duration kSuspicionTime =
    core::Duration::Milliseconds(3000);

/// An agent and its most recent announcement.
struct KnownAgent {
  model::Announcement last_announcement;
  /// When the announcement arrived, on this entry's clock.
  core::TimePoint heard_at;
  /// Consecutive failed calls.
  int failed_calls = 0;
  core::TimePoint suspected_until;
  /// An operator drains the agent through this entry.
  bool operator_drain = false;
};

/// Result of `AgentDirectory::ApplyAnnouncement`.
struct AnnouncementEffect {
  /// False when the announcement was older than the known one and was ignored.
  bool accepted = false;
  /// The previous incarnation, when the agent has restarted.
  std::optional<core::Incarnation> previous_incarnation;
};

/// The agents that announce themselves to this entry.
class AgentDirectory {
 public:
  /// Stores an announcement. Ignores one that the same incarnation sent before
  /// the stored one, since a delayed message may show the state before a drain.
  /// A new incarnation resets the failure count and the operator's drain.
  AnnouncementEffect ApplyAnnouncement(const model::Announcement& announcement,
                                       core::TimePoint now);
  /// Removes and returns the agents whose last announcement is at least
  /// `model::kAgentLease` old.
  std::vector<core::AgentId> RemoveExpired(core::TimePoint now);
  /// Counts a failed call to an agent. Returns true when the agent is now
  /// suspected.
  bool CountFailure(const core::AgentId& agent, core::TimePoint now);
  /// Ends the suspicion of an agent that answered a call.
  void CountSuccess(const core::AgentId& agent);
  /// Records that an operator drains the agent.
  void MarkDraining(const core::AgentId& agent);

  /// Returns true when the agent may get new work: it announces a shape, is
  /// neither draining nor suspected, and its lease has not expired.
  bool MayPlaceOn(const core::AgentId& agent, core::TimePoint now) const;
  /// Returns the agent, or null when it is unknown or was removed as expired.
  const KnownAgent* Find(const core::AgentId& agent) const;
  /// Returns an estimate of the agent's clock that is never ahead of it: the
  /// clock value in its announcement plus the time since the announcement
  /// arrived, so that the announcement's transit time is left out. Zero for an
  /// unknown agent.
  core::TimePoint EstimateClock(const core::AgentId& agent,
                                core::TimePoint now) const;
  /// Returns an agent that announces a running task of the job, or null.
  const KnownAgent* FindRunning(const core::JobId& job) const;
  /// Returns an agent that announces a result of the job, or null.
  const KnownAgent* FindResultHolder(const core::JobId& job) const;

  const std::map<core::AgentId, KnownAgent>& All() const {
    return this->agents;
  }
  /// The highest scheduling epoch that any agent has announced.
  core::SchedulingEpoch HighestEpoch() const { return this->highest_epoch; }

 private:
  std::map<core::AgentId, KnownAgent> agents;
  core::SchedulingEpoch highest_epoch;
};

}  // namespace hemlockdoor::entry
