// Membership of agents as seen by one entry: leases, suspicion, clocks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// Failed calls in a row after which an agent gets no new work until it
/// announces itself and answers a call again.
inline constexpr int kSuspicionThreshold = 2;
/// How long a suspected agent gets no new work.
inline constexpr core::Duration kSuspicionTime =
    core::Duration::Milliseconds(3000);

/// One agent as last announced.
struct KnownAgent {
  model::Announcement last_announcement;
  core::TimePoint heard_at;
  int failed_calls = 0;
  core::TimePoint suspected_until;
  bool operator_drain = false;
};

/// What an announcement changed.
struct AnnouncementEffect {
  /// False: older than what is known; nothing was taken over.
  bool accepted = false;
  /// The agent restarted; the incarnation before.
  std::optional<core::Incarnation> replaced;
};

/// The agents that this entry hears from.
class AgentDirectory {
 public:
  /// Takes over an announcement. One that was sent before the last one of the
  /// same incarnation is ignored, since a delayed message may carry a state
  /// from before a drain.
  AnnouncementEffect ApplyAnnouncement(const model::Announcement& announcement,
                                       core::TimePoint now);
  /// Removes agents that were silent for `model::kAgentLease`.
  std::vector<core::AgentId> RemoveExpired(core::TimePoint now);
  /// Counts a failed call; true when the agent is suspected from now on.
  bool CountFailure(const core::AgentId& agent, core::TimePoint now);
  /// An answered call ends suspicion.
  void CountSuccess(const core::AgentId& agent);
  /// An operator drains the agent.
  void MarkDraining(const core::AgentId& agent);

  /// True when the agent may get new work now.
  bool MayPlaceOn(const core::AgentId& agent, core::TimePoint now) const;
  /// The agent, or null when it is unknown or silent.
  const KnownAgent* Find(const core::AgentId& agent) const;
  /// Estimate of the agent's clock that is never late: the clock it announced
  /// plus the time since then on this entry's clock, which leaves out the
  /// announcement's travel time. Zero for an unknown agent.
  core::TimePoint EstimateClock(const core::AgentId& agent,
                                core::TimePoint now) const;
  /// The agent that runs a task of the job, or null.
  const KnownAgent* FindRunning(const core::JobId& job) const;
  /// The agent that holds a result of the job, or null.
  const KnownAgent* FindResultHolder(const core::JobId& job) const;

  const std::map<core::AgentId, KnownAgent>& All() const {
    return this->agents;
  }
  /// The highest values any agent announced.
  core::SchedulingEpoch HighestEpoch() const { return this->highest_epoch; }

 private:
  std::map<core::AgentId, KnownAgent> agents;
  core::SchedulingEpoch highest_epoch;
};

}  // namespace hemlockdoor::entry
