// The jobs a scheduler knows, in compact form.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "modules/decide/guarantees/guarantee_cells.h"
#include "modules/decide/queue/run_time_estimator.h"

namespace hemlockdoor::decide {

/// Where a job is between submission and end.
enum class JobPhase : std::uint8_t {
  kUnused,         ///< The record is free.
  kQueued,         ///< Waits in a queue.
  kReclaiming,     ///< Has a place; waits for others to leave it.
  kGranted,        ///< A start was decided, but not reported.
  kRunning,        ///< The start was reported.
  kGrantTimedOut,  ///< A start was decided and never reported; counts nothing.
};

/// How far the stop of a job for others is.
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
  /// Counted as unstoppable on its workers.
  bool non_preemptible = false;
  bool has_reservation = false;
  bool trial = false;
  std::uint16_t preemptions = 0;
  std::uint32_t generation = 0;
  CellHandle cell = kNoCell;
  /// Uses a guarantee outside of the cell, which keeps its whole claim.
  bool outside_cell = false;
  GuaranteeUse use;
  /// Job that gets the capacity of this one, while it is being stopped.
  JobHandle beneficiary = kNoJob;
  std::uint64_t sequence = 0;
  core::TimePoint submitted;
  core::TimePoint expires = kNever;
  /// Time of the start decision.
  core::TimePoint started;
  core::TimePoint preempt_due;
  core::Duration expected_run;
  /// Work charged to the organisation, in capacity-milliseconds.
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
  /// Queue of the fair share that the job is charged to.
  Lane FairShareLane() const {
    return this->shape.accelerators_per_member > 0 ? Lane::kLong : this->lane;
  }
};

/// Records by handle, with reuse, and by id.
class JobTable {
 public:
  /// Makes a record; the id must not be known.
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
