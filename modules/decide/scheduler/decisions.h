// What the scheduler decides, as values.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// Where one member of a job goes.
struct Placement {
  core::AgentId agent;
  model::AcceleratorSet accelerators;
};

/// Start a job: `members[i]` is member i. The scheduler counts the capacity as
/// used from now on, until `OnStartRefused` or `OnEnded`.
struct StartDecision {
  core::JobId job;
  std::vector<Placement> members;
};

/// How to take capacity back from a running job.
enum class PreemptMode { kCheckpoint, kThrottle, kStop };

/// Take capacity back from a running job, whole gang. After `grace` without an
/// end, a kStop decision for the same job follows.
struct PreemptDecision {
  core::JobId job;
  PreemptMode mode = PreemptMode::kCheckpoint;
  core::Duration grace;
  /// The job that gets the capacity.
  core::JobId beneficiary;
};

/// Why a job is refused or dropped before it starts.
enum class RefusalKind {
  kNeverRunnable,  ///< No possible set of workers fits it.
  kOverLimit,      ///< A cap of its catalogue entry, now or for good.
  kNoEntry,        ///< No catalogue entry covers its class.
  kQueueFull,      ///< Bounded queue is full.
  kDeadline,       ///< It cannot end in time, or its deadline has passed.
  kShed,           ///< Load shedding by fairness.
  kFaulty,         ///< It failed on several good workers.
};

/// Drop a queued job; it was never started.
struct RefuseDecision {
  core::JobId job;
  RefusalKind kind = RefusalKind::kShed;
  /// One line for people.
  std::string reason;
  /// When a new try may succeed; zero: never as it stands.
  core::Duration retry_after;
};

using Decision = std::variant<StartDecision, PreemptDecision, RefuseDecision>;

/// Why a job waits, for status pages and `plan`.
struct WaitReason {
  std::string text;
};

/// Which guarantee cannot be met, now that a worker is lost.
struct UnmetGuarantee {
  core::CatalogueEntryName entry;
  int missing_gangs = 0;
  std::string text;
};

}  // namespace hemlockdoor::decide
