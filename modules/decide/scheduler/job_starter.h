// Starts queued jobs and reserved gangs.
#pragma once

#include <vector>

#include "modules/decide/scheduler/preemption.h"

namespace hemlockdoor::decide {

/// Tries the buckets whose first job may be able to start, best rank first. A
/// bucket whose first job does not fit is blocked until capacity is freed, so
/// the cost of a call depends on the number of ready buckets and not on the
/// length of the queues.
class JobStarter {
 public:
  explicit JobStarter(SchedulerState& scheduler)
      : state(scheduler), lifecycle(scheduler), preemption(scheduler) {}

  /// Starts or refuses queued jobs in the order of their ranks.
  void StartQueued(core::TimePoint now);
  /// Starts the reserved gangs that have room, and reclaims the places of those
  /// whose places may be cleared. Does nothing while no capacity has changed.
  void ServeReservations(core::TimePoint now);
  /// Reserves a place for one of the jobs that are blocked for accelerators, at
  /// most once per second.
  void MakeReservation(core::TimePoint now);

 private:
  enum class StartResult : std::uint8_t {
    kLeftQueue,  ///< The job was started, holds places, or was refused.
    kNoCapacity,
    kAcceleratorCap,
    kSlotCap,
  };
  /// Position in the start order; a lower tier comes first, then a lower
  /// virtual time, a higher priority and an earlier sequence.
  struct Rank {
    int tier = 0;
    double virtual_time = 0;
    int priority = 0;
    std::uint64_t sequence = 0;
    BucketHandle bucket = 0;
    bool operator<(const Rank& other) const;
  };
  /// A search for places that found none in the current call of `StartQueued`.
  struct FailedSearch {
    model::GangShape shape;
    ServiceIndex service = 0;
    bool stoppable = false;
    bool checkpointable = false;
    Lane lane = Lane::kShort;
    bool operator==(const FailedSearch&) const = default;
  };

  Rank RankOf(BucketHandle bucket) const;
  StartResult TryStartFirst(BucketHandle bucket, core::TimePoint now);
  StartResult TryGuaranteed(JobHandle job, core::TimePoint now);
  /// Starts a job within a guarantee on capacity that no cell claims.
  bool TryOutsideCell(JobHandle job, GuaranteeUse use, core::TimePoint now);
  StartResult TryOrdinary(JobHandle job, core::TimePoint now);
  /// Starts a job on a quarantined worker that may get a trial job.
  bool TryTrial(JobHandle job, core::TimePoint now);
  std::optional<std::vector<MemberPlace>> FindPlaces(const JobRecord& job,
                                                     core::TimePoint now);
  std::optional<std::vector<MemberPlace>> FindInView(
      const JobRecord& job,
      CapacityView view,
      const std::vector<WorkerIndex>* excluded);
  /// Refuses a job that no set of workers has room for, even when idle.
  bool RefuseIfInfeasible(JobHandle job, core::TimePoint now);
  void ServeReservation(const Reservation& reservation, core::TimePoint now);
  /// True when the reserved place can no longer be cleared for the job.
  bool IsUnusable(const Reservation& reservation, const JobRecord& job) const;
  /// True when the jobs at a reserved place may be preempted for it now: only
  /// backfill runs there, or compaction saves more than it costs.
  bool ShouldClear(const Reservation& reservation, core::TimePoint now) const;

  SchedulerState& state;
  JobLifecycle lifecycle;
  Preemption preemption;
  std::vector<FailedSearch> failed_searches;
};

}  // namespace hemlockdoor::decide
