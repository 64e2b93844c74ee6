// Starts queued jobs in fair order.
#pragma once

#include <vector>

#include "modules/decide/scheduler/preemption.h"

namespace hemlockdoor::decide {

/// Goes through the buckets that may be able to start. A bucket whose first
/// job does not fit is left out until capacity is freed, so the cost of a call
/// follows from what became possible and not from the length of the queues.
class JobStarter {
 public:
  explicit JobStarter(SchedulerState& scheduler)
      : state(scheduler), lifecycle(scheduler), preemption(scheduler) {}

  void StartQueued(core::TimePoint now);
  /// Starts reserved gangs that have room or whose place can be cleared.
  void ServeReservations(core::TimePoint now);
  /// Reserves for one of the gangs that could not start.
  void MakeReservation(core::TimePoint now);

 private:
  enum class StartResult : std::uint8_t {
    kLeftQueue,  ///< Started, holds places, or was refused: left the queue.
    kNoCapacity,
    kAcceleratorCap,
    kSlotCap,
  };
  struct Rank {
    int tier = 0;
    double virtual_time = 0;
    int priority = 0;
    std::uint64_t sequence = 0;
    BucketHandle bucket = 0;
    bool operator<(const Rank& other) const;
  };
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
  bool TryOutsideCell(JobHandle job, GuaranteeUse use, core::TimePoint now);
  StartResult TryOrdinary(JobHandle job, core::TimePoint now);
  bool TryTrial(JobHandle job, core::TimePoint now);
  std::optional<std::vector<MemberPlace>> FindPlaces(const JobRecord& job,
                                                     core::TimePoint now);
  std::optional<std::vector<MemberPlace>> FindInView(
      const JobRecord& job,
      CapacityView view,
      const std::vector<WorkerIndex>* excluded);
  bool RefuseIfInfeasible(JobHandle job, core::TimePoint now);
  void ServeReservation(const Reservation& reservation, core::TimePoint now);
  /// The place can no longer be cleared for the job.
  bool IsUnusable(const Reservation& reservation, const JobRecord& job) const;
  bool ShouldClear(const Reservation& reservation, core::TimePoint now) const;

  SchedulerState& state;
  JobLifecycle lifecycle;
  Preemption preemption;
  std::vector<FailedSearch> failed_searches;
};

}  // namespace hemlockdoor::decide
