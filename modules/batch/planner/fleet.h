// Agents and their workers as the planner sees them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// An end that may be acknowledged once the job's progress is recorded.
struct PendingEnd {
  std::uint64_t number = 0;
  core::JobId job;
  std::uint64_t version = 0;
};

/// One agent and its worker.
struct AgentView {
  core::AgentId agent;
  std::string endpoint;
  core::Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::optional<WorkerDescription> worker;
  bool worker_reachable = true;
  /// While the worker drains: everything on it may end from then on.
  core::TimePoint leaves;
  /// The last report listed all that is on the worker.
  bool is_complete = false;
  /// It said that it can lease what it starts.
  bool can_start = false;
  /// Its place in the member list is stored; only then it gets starts.
  bool is_recorded = false;
  /// It has reported in this planner's term.
  bool has_reported = false;
  core::TimePoint last_contact;
  /// Every lease that it may have asked for has ended by then.
  core::TimePoint leases_over;
  bool is_lost = false;
  /// Orders: one batch at a time.
  std::uint64_t batch = 0;
  bool batch_open = false;
  core::TimePoint batch_sent;
  /// A batch ended without an answer; the next one settles it.
  bool needs_probe = false;
  core::TimePoint next_batch;
  /// Resources of runs that are, or may be, on the worker.
  Resources used;
  /// Kept for units that wait for room here, by their priority.
  std::map<int, Resources> reserved;
  /// Runs to be stopped that belong to no unit, with what they hold.
  std::map<RunKey, Resources> strays;
  /// Ends up to this number have been applied.
  std::uint64_t applied_end = 0;
  std::deque<PendingEnd> pending_ends;
  /// Tasks that failed here in a row, by job.
  std::set<core::JobId> failing_jobs;
  core::TimePoint suspended_until;
  int suspensions = 0;

  /// What a unit of `priority` may take. Reservations of less urgent units do
  /// not bind it.
  Resources Free(int priority) const;
  bool IsLeaving() const {
    return this->worker && this->worker->state == WorkerState::kDraining;
  }
  /// May get a start now.
  bool IsUsable(core::TimePoint now) const;
  /// Highest end that the worker may forget.
  std::uint64_t Acknowledgeable() const;
};

/// A report older than this takes a worker out of placement.
inline constexpr core::Duration kContactTimeout =
    core::Duration::Milliseconds(1800);

}  // namespace hemlockdoor::batch
