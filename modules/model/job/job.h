// Jobs as callers describe them, and the outcomes they are told.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "modules/core/core.h"

namespace hemlockdoor::model {

/// How the accelerators of a gang must lie. Each member's accelerators are
/// always on one worker; several members may share a worker unless kSpread.
enum class Adjacency {
  kAny,     ///< No further condition.
  kWorker,  ///< Each member's accelerators are adjacent on its worker.
  kRack,    ///< As kWorker, and all members are in one rack.
  kSpread,  ///< Each member is on a worker of its own.
};

/// Most members a gang may have.
inline constexpr int kMaxGangSize = 64;
/// Most accelerators of one worker.
inline constexpr int kMaxAcceleratorsPerWorker = 64;
/// Largest payload and largest result, in bytes.
inline constexpr std::size_t kMaxPayloadBytes = 8U * 1024U * 1024U;

/// What a gang needs: `gang_size` members with `accelerators_per_member`
/// accelerators each. A single task is a gang of one; every member also takes
/// one slot.
struct GangShape {
  int gang_size = 1;
  int accelerators_per_member = 0;
  Adjacency adjacency = Adjacency::kAny;

  int TotalAccelerators() const {
    return this->gang_size * this->accelerators_per_member;
  }
  bool operator==(const GangShape&) const = default;
};

/// Everything about a job but its payload.
struct JobDescription {
  core::JobId id;
  core::OrganisationId organisation;
  core::JobClass job_class;
  core::ServiceName service;
  GangShape shape;
  /// Time from submission within which the job must end; nothing: no deadline.
  std::optional<core::Duration> deadline;
  /// Size and run time as declared; wrong by 10 times at times.
  std::int64_t declared_size = 0;
  core::Duration declared_run;
  bool checkpointable = false;
  bool repeatable = true;
  bool urgent = false;
};

/// The end of a job as told to its caller.
enum class JobOutcome {
  kDone,       ///< Ended; the whole result is there.
  kFailed,     ///< The upstream reported an error.
  kNotRun,     ///< Provably never started, and never will.
  kCancelled,  ///< Ended by the caller's request.
  kUnknown,    ///< Started; its end is not known.
};

/// Where a job is in its life; kEnded goes with an outcome.
enum class JobState { kQueued, kRunning, kEnded };

/// Names used in JSON: "any", "worker", "rack", "spread".
std::string_view AdjacencyName(Adjacency adjacency);
std::optional<Adjacency> AdjacencyFromName(std::string_view name);
/// Names used in JSON: "done", "failed", "not-run", "cancelled", "unknown".
std::string_view JobOutcomeName(JobOutcome outcome);
std::optional<JobOutcome> JobOutcomeFromName(std::string_view name);
/// Names used in JSON: "queued", "running", "ended".
std::string_view JobStateName(JobState state);

/// A submission as it arrives from a caller.
struct JobSubmission {
  JobDescription description;
  std::string payload;
};

/// Reads a submission body. Organisation and id are not in the body: a field
/// that names them is refused like any unknown field.
core::Expected<JobSubmission> JobSubmissionFromJson(
    const nlohmann::json& document);

/// Writes a description with id and organisation, for records and messages.
nlohmann::json JobDescriptionToJson(const JobDescription& description);
/// Reads what `JobDescriptionToJson` wrote; `path` is its place.
core::Expected<JobDescription> JobDescriptionFromJson(
    const nlohmann::json& document,
    const std::string& path);

}  // namespace hemlockdoor::model
