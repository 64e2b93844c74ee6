// Job descriptions as callers submit them, and the outcomes reported to
// callers.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "modules/core/core.h"

namespace hemlockdoor::model {

/// Placement constraint on the accelerators of a gang. The accelerators of one
/// member are always on one worker. Several members may share a worker, except
/// with kSpread.
enum class Adjacency {
  kAny,     ///< No further constraint.
  kWorker,  ///< Each member's accelerators are adjacent on its worker.
  kRack,    ///< As kWorker, and all members are in one rack.
  kSpread,  ///< Each member is on a different worker.
};

/// Maximum number of members of a gang.
inline constexpr int kMaxGangSize = 64;
/// Maximum number of accelerators of one worker.
inline constexpr int kMaxAcceleratorsPerWorker = 64;
/// Maximum size of a payload and of a result, in bytes.
inline constexpr std::size_t kMaxPayloadBytes = 8U * 1024U * 1024U;

/// Resources of a gang: `gang_size` members with `accelerators_per_member`
/// accelerators each. Every member also takes one slot of its worker. A single
/// task is a gang with one member.
struct GangShape {
  int gang_size = 1;
  int accelerators_per_member = 0;
  Adjacency adjacency = Adjacency::kAny;

  int TotalAccelerators() const {
    return this->gang_size * this->accelerators_per_member;
  }
  bool operator==(const GangShape&) const = default;
};

/// All properties of a job except its payload.
struct JobDescription {
  core::JobId id;
  core::OrganisationId organisation;
  core::JobClass job_class;
  core::ServiceName service;
  GangShape shape;
  /// Time after the submission by which the job must end; absent means no
  /// deadline.
  std::optional<core::Duration> deadline;
  /// Size and run time that the caller declares; they can be wrong by a factor
  /// of 10.
  std::int64_t declared_size = 0;
  core::Duration declared_run;
  bool checkpointable = false;
  bool repeatable = true;
  bool urgent = false;
};

/// Outcome of a job, as reported to its caller.
enum class JobOutcome {
  kDone,       ///< Ended; the complete result is available.
  kFailed,     ///< The upstream reported an error.
  kNotRun,     ///< Provably not started, and will never start.
  kCancelled,  ///< Ended at the caller's request.
  kUnknown,    ///< Started or may have started; how it ended is unknown.
};

/// State of a job in its life cycle. A job in kEnded has a `JobOutcome`.
enum class JobState { kQueued, kRunning, kEnded };

/// Names used in JSON: "any", "worker", "rack", "spread".
std::string_view AdjacencyName(Adjacency adjacency);
std::optional<Adjacency> AdjacencyFromName(std::string_view name);
/// Names used in JSON: "done", "failed", "not-run", "cancelled", "unknown".
std::string_view JobOutcomeName(JobOutcome outcome);
std::optional<JobOutcome> JobOutcomeFromName(std::string_view name);
/// Names used in JSON: "queued", "running", "ended".
std::string_view JobStateName(JobState state);

/// A submitted job, as received from a caller.
struct JobSubmission {
  JobDescription description;
  std::string payload;
};

/// Reads the body of a submission. The body cannot set the organisation or the
/// id: as for every unknown field, the result is kInvalidArgument.
core::Expected<JobSubmission> JobSubmissionFromJson(
    const nlohmann::json& document);

/// Converts a description to JSON with its id and organisation, for stored
/// records and messages.
nlohmann::json JobDescriptionToJson(const JobDescription& description);
/// Reads the output of `JobDescriptionToJson` and ignores unknown fields.
/// `path` is the place of `document` in the whole document, for errors.
core::Expected<JobDescription> JobDescriptionFromJson(
    const nlohmann::json& document,
    const std::string& path);

}  // namespace hemlockdoor::model
