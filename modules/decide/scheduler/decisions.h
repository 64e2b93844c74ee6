// Value types for the decisions of the scheduler.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// The agent and the accelerators that one member of a job is placed on.
struct Placement {
  core::AgentId agent;
  model::AcceleratorSet accelerators;
};

/// Tells the caller to start a job; `members[i]` is member i. The scheduler
/// counts the capacity as used from this decision on, until `OnStartRefused`,
/// `OnEnded` or the grant timeout.
struct StartDecision {
  core::JobId job;
  std::vector<Placement> members;
};

/// How capacity is taken back from a running job.
enum class PreemptMode {
  kCheckpoint,  ///< Asks the job to write a checkpoint and end.
  kThrottle,    ///< Throttles the job, which keeps running.
  kStop         ///< Stops the job.
};

/// Tells the caller to preempt a running job, all members together. When the
/// job has not ended after `grace`, another kStop decision for it follows. A
/// kThrottle decision and the kStop after a grant timeout have no follow-up.
struct PreemptDecision {
  core::JobId job;
  PreemptMode mode = PreemptMode::kCheckpoint;
  core::Duration grace;
  /// The job that gets the capacity; empty when there is none.
  core::JobId beneficiary;
};

/// Why a job is refused or dropped before it starts.
enum class RefusalKind {
  kNeverRunnable,  ///< No set of workers has room for the job, even when idle.
  kOverLimit,      ///< The job is larger than a cap of its catalogue entry.
  kNoEntry,        ///< No catalogue entry covers the class of the job.
  kQueueFull,      ///< The queue of the entry or of the scheduler is full.
  kDeadline,       ///< The deadline has passed or leaves too little run time.
  kShed,           ///< Load shedding or an exhausted retry budget.
  kFaulty,         ///< The job failed on several distinct workers.
};

/// Tells the caller that a job is refused or dropped from the queue. The job
/// is not started.
struct RefuseDecision {
  core::JobId job;
  RefusalKind kind = RefusalKind::kShed;
  /// One line of human-readable text.
  std::string reason;
  /// Time after which a new submission may succeed; zero when the same job is
  /// not expected to be accepted later.
  core::Duration retry_after;
};

using Decision = std::variant<StartDecision, PreemptDecision, RefuseDecision>;

/// Human-readable reason why a job waits, for status pages and `plan`.
struct WaitReason {
  std::string text;
};

/// A guarantee that does not fit on the usable workers, for example after a
/// worker was lost.
struct UnmetGuarantee {
  core::CatalogueEntryName entry;
  int missing_gangs = 0;
  std::string text;
};

}  // namespace hemlockdoor::decide
