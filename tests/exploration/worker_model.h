// A worker as the protocol describes it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "modules/batch/batch.h"
#include "tests/exploration/witness.h"

namespace hemlockdoor::batch::exploration {

/// The worker's answer to a start.
struct StartReply {
  StartResult result = StartResult::kStarted;
  RejectReason reason = RejectReason::kInvalid;
  std::int64_t clock_ms = 0;
};

/// A run of a gang: its job, occurrence, step and run number.
using GangRun = std::tuple<core::JobId, int, int, std::int64_t>;

/// What the workers together know of a run of a gang.
struct GangState {
  /// Indexes of the tasks that have begun, and since when all have.
  std::set<int> begun;
  std::optional<core::TimePoint> complete_since;
  /// A member, on any worker, ended other than done.
  bool is_broken = false;
};

/// Follows the run time in the payload of the tasks of a gang; the number of
/// the members follows.
inline constexpr const char* kGangMark = " gang ";

/// Time for which a member of a gang waits for the others.
inline constexpr core::Duration kGangWait = core::Duration::Milliseconds(3000);

/// Runs tasks within a lease on its own clock. Refuses starts of lower epochs,
/// of run numbers that are not above those stopped or ended here, and without
/// room. Members of a gang work from the time when all have begun, and wait for
/// each other for `kGangWait`. The payload of a start is the run time in
/// milliseconds, and for a gang also `kGangMark` and its size.
class WorkerModel {
 public:
  /// `drift_per_mille` is by how much the worker's clock is slow.
  WorkerModel(WorkerIdentity own_identity,
              core::DataCentreId own_data_centre,
              std::int64_t drift_per_mille,
              core::TimePoint now,
              Witness& run_witness,
              std::map<GangRun, GangState>& all_gangs);

  const WorkerIdentity& Identity() const { return this->identity; }
  WorkerDescription Describe() const;
  std::int64_t ClockAt(core::TimePoint now) const;

  StartReply Start(const StartCall& call, core::TimePoint now);
  /// Returns the worker's clock.
  std::int64_t Stop(const StopCall& call, core::TimePoint now);
  /// Returns kStale for a lower epoch.
  core::Expected<WorkerListing> Hold(FencingToken token,
                                     std::uint64_t acknowledged,
                                     std::optional<std::int64_t> deadline_ms,
                                     core::TimePoint now);
  /// The worker describes itself as draining from now on.
  void Drain(core::Duration remaining);
  /// All runs fail before this time, a short while after their starts.
  void FailUntil(core::TimePoint until) { this->fails_until = until; }
  bool IsDraining() const { return this->drains_for.has_value(); }
  std::size_t ActiveCount() const { return this->active.size(); }
  std::size_t FreeRoom() const;
  bool Runs(const core::JobId& job) const;
  /// Ends runs that have finished or failed, whose lease has expired, or whose
  /// gang is broken.
  void Advance(core::TimePoint now);
  /// The worker ends, and all runs with it.
  void Crash();

 private:
  struct ActiveTask {
    std::int64_t starts_ms = 0;
    std::int64_t run_ms = 0;
    std::int64_t finishes_ms = 0;
    bool is_stopping = false;
    bool is_gang = false;
  };

  /// Returns when the task's work is done, or nothing while its gang waits.
  std::optional<std::int64_t> WorkEnd(const RunKey& key,
                                      const ActiveTask& task) const;

  void ExtendLease(std::int64_t deadline_ms, std::int64_t clock_ms);
  void End(const RunKey& key, RunEndKind kind, core::TimePoint now);
  std::optional<RunEndKind> HowItEnds(const RunKey& key,
                                      const ActiveTask& task,
                                      core::TimePoint now) const;

  WorkerIdentity identity;
  core::DataCentreId data_centre;
  std::int64_t drift_per_mille;
  core::TimePoint born;
  std::optional<core::Duration> drains_for;
  Witness& witness;
  std::map<GangRun, GangState>& gangs;
  core::TimePoint fails_until;
  FencingToken fence;
  std::int64_t lease_ms = 0;
  std::map<RunKey, ActiveTask> active;
  std::map<TaskName, std::int64_t> highest_over;
  std::map<std::uint64_t, RunEnd> ends;
  std::uint64_t last_end = 0;
  /// The lease expired after the ends up to this number. Their acknowledgement
  /// does not count: the system may have started their tasks again.
  std::uint64_t last_end_before_expiry = 0;
};

}  // namespace hemlockdoor::batch::exploration
