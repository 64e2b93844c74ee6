// Records of the jobs known to a scheduler.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"
#include "modules/decide/queue/run_time_estimator.h"

namespace hemlockdoor::decide {

/// Phase of a job between submission and end.
enum class JobPhase : std::uint8_t {
  kUnused,         ///< The record belongs to no job.
  kQueued,         ///< Waits in a queue.
  kReclaiming,     ///< Holds a place; waits for the jobs there to end.
  kGranted,        ///< A start was decided, but not reported yet.
  kRunning,        ///< The start was reported.
  kGrantTimedOut,  ///< The start was not reported in time; uses no capacity.
};

/// Progress of the preemption of a job.
enum class PreemptStep : std::uint8_t { kNone, kCheckpoint, kStop };

/// One job.
struct JobRecord {
  core::JobId id;
  EntryIndex entry = 0;
  OrganisationIndex organisation = 0;
  ServiceIndex service = 0;
  RunTimeGroupIndex run_time_group = 0;
  model::GangShape shape;
  JobPhase phase = JobPhase::kUnused;
  Lane lane = Lane::kShort;
  PreemptStep preempt = PreemptStep::kNone;
  bool stoppable = true;
  bool checkpointable = false;
  bool urgent = false;
  /// Not preempted for other jobs: the job is not stoppable, or runs within a
  /// guarantee. Its workers count its capacity accordingly.
  bool non_preemptible = false;
  bool has_reservation = false;
  bool trial = false;
  std::uint16_t preemptions = 0;
  std::uint32_t generation = 0;
  CellHandle cell = kNoCell;
  /// True when the job uses a guarantee but runs outside of its cell; the cell
  /// keeps its whole claim.
  bool outside_cell = false;
  GuaranteeUse use;
  /// Job that gets the capacity while this one is being preempted.
  JobHandle beneficiary = kNoJob;
  /// Order of arrival.
  std::uint64_t sequence = 0;
  core::TimePoint submitted;
  /// Deadline of the job.
  core::TimePoint expires = kNever;
  /// Time of the start decision.
  core::TimePoint started;
  /// End of the current grace period.
  core::TimePoint preempt_due;
  core::Duration expected_run;
  /// Work charged to the organisation: milliseconds times accelerators or
  /// members, whichever are more.
  double charged = 0;
  std::vector<MemberPlace> members;

  static constexpr core::TimePoint kNever = core::TimePoint::FromMilliseconds(
      std::numeric_limits<std::int64_t>::max());

  TaskKind GetTaskKind() const {
    return {this->non_preemptible, this->lane,
            this->shape.accelerators_per_member > 0};
  }
  bool UsesCapacity() const {
    return this->phase == JobPhase::kGranted ||
           this->phase == JobPhase::kRunning;
  }
  /// Lane that fair share charges the job to. All jobs with accelerators are
  /// charged to the long lane.
  Lane FairShareLane() const {
    return this->shape.accelerators_per_member > 0 ? Lane::kLong : this->lane;
  }
};

/// Job records by handle and by id. Handles are reused; the generation of a
/// record tells its jobs apart.
class JobTable {
 public:
  /// Creates a record; the id must not be in the table.
  JobHandle Add(const core::JobId& id);
  void Remove(JobHandle job);
  std::optional<JobHandle> Find(const core::JobId& id) const;
  JobRecord& At(JobHandle job) { return this->records[job]; }
  const JobRecord& At(JobHandle job) const { return this->records[job]; }
  std::size_t Count() const { return this->by_id.size(); }

 private:
  std::vector<JobRecord> records;
  std::vector<JobHandle> unused;
  std::unordered_map<core::JobId, JobHandle> by_id;
};

}  // namespace hemlockdoor::decide
