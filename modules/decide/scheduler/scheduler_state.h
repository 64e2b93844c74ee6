// State of a scheduler, shared by the classes that implement it.
#pragma once

#include <vector>

#include "modules/decide/gang/backfill_reservation.h"
#include "modules/decide/gang/slot_placer.h"
#include "modules/decide/health/job_history.h"
#include "modules/decide/health/worker_health.h"
#include "modules/decide/limits/admission.h"
#include "modules/decide/limits/concurrency_limit.h"
#include "modules/decide/limits/retry_budget.h"
#include "modules/decide/queue/job_queue.h"
#include "modules/decide/scheduler/decisions.h"
#include "modules/decide/scheduler/entry_table.h"
#include "modules/decide/scheduler/feasibility_cache.h"
#include "modules/decide/scheduler/job_table.h"
#include "modules/decide/scheduler/scheduler.h"
#include "modules/decide/scheduler/timer_queue.h"

namespace hemlockdoor::decide {

/// Plain aggregate; each member keeps its own invariants.
struct SchedulerState {
  explicit SchedulerState(const SchedulerOptions& given)
      : options(given),
        fleet(given.policy.short_lane ? given.policy.short_reserve_percent : 0),
        cells(fleet),
        reservations(fleet, given.policy.max_reservations),
        gang_placer(fleet),
        slot_placer(fleet, given.seed),
        feasibility(fleet),
        run_times(given.policy.short_limit),
        health(given.seed) {}
  SchedulerState(const SchedulerState&) = delete;
  SchedulerState& operator=(const SchedulerState&) = delete;

  const Policy& GetPolicy() const { return this->options.policy; }
  /// True when the settle time since the first worker is over, so that jobs
  /// that fit nowhere may be refused.
  bool HasSettled(core::TimePoint now) const {
    return this->first_worker_at &&
           now - *this->first_worker_at >= this->GetPolicy().settle_time;
  }
  void AddTimer(JobHandle job, core::TimePoint due, TimerKind kind) {
    this->timers.Add({due, job, this->jobs.At(job).generation, kind});
  }

  SchedulerOptions options;
  Fleet fleet;
  GuaranteeCells cells;
  BackfillReservations reservations;
  GangPlacer gang_placer;
  SlotPlacer slot_placer;
  FeasibilityCache feasibility;
  EntryTable entries;
  JobTable jobs;
  JobQueue queue;
  FairShare fair_share;
  RunTimeEstimator run_times;
  WorkerHealth health;
  JobHistory history;
  ConcurrencyLimit concurrency;
  RetryBudget retry_budget;
  Admission admission;
  TimerQueue timers;
  core::CatalogueRevision revision;
  std::uint64_t next_sequence = 1;
  std::optional<core::TimePoint> first_worker_at;
  /// Jobs in phase kReclaiming.
  std::vector<JobHandle> reclaiming;
  /// Quarantined workers that may get a trial job.
  std::vector<WorkerIndex> trials;
  /// True when capacity was freed, or workers or the catalogue changed, since
  /// the last `Plan`.
  bool capacity_changed = true;
  core::TimePoint next_repack;
  core::TimePoint next_reservation;
  core::TimePoint next_recheck;
  std::vector<Decision> decisions;
};

}  // namespace hemlockdoor::decide
