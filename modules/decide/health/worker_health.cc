#include "modules/decide/health/worker_health.h"

#include <algorithm>
#include <random>

namespace hemlockdoor::decide {

namespace {

/// Distinct jobs that must fail in a row before a worker with a success on
/// record is quarantined. Two failures could both come from one faulty caller.
constexpr std::size_t kFailuresToQuarantine = 3;
/// The same for a worker without a success on record.
constexpr std::size_t kFailuresWithoutSuccess = 2;
constexpr core::Duration kFirstTrialDelay = core::Duration::Seconds(5);
constexpr int kMaxDelayDoublings = 7;
/// A trial without a result is repeated after this time. Otherwise a trial job
/// that never ends would keep the worker out of use.
constexpr core::Duration kTrialTimeout = core::Duration::Seconds(60);

}  // namespace

WorkerHealth::Health& WorkerHealth::At(WorkerIndex worker) {
  if (worker >= this->workers.size()) {
    this->workers.resize(worker + 1);
  }
  return this->workers[worker];
}

HealthState WorkerHealth::StateOf(WorkerIndex worker) const {
  return worker < this->workers.size() ? this->workers[worker].state
                                       : HealthState::kHealthy;
}

core::Duration WorkerHealth::TrialDelay(WorkerIndex worker,
                                        int failed_trials) const {
  // Jitter spreads the trials of workers that failed at the same time.
  std::mt19937_64 random(this->seed + worker * 64U +
                         static_cast<std::uint64_t>(failed_trials));
  constexpr double kJitter = 0.25;
  std::uniform_real_distribution<double> factor(1.0 - kJitter, 1.0 + kJitter);
  const double delay_ms =
      static_cast<double>(kFirstTrialDelay.InMilliseconds()) *
      static_cast<double>(1U << std::min(failed_trials, kMaxDelayDoublings));
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(delay_ms * factor(random)));
}

void WorkerHealth::Quarantine(WorkerIndex worker, core::TimePoint now) {
  Health& health = this->At(worker);
  if (health.state == HealthState::kHealthy) {
    this->quarantined.push_back(worker);
  }
  health.state = HealthState::kQuarantined;
  health.next_trial = now + this->TrialDelay(worker, health.failed_trials);
}

void WorkerHealth::Readmit(WorkerIndex worker) {
  Health& health = this->At(worker);
  health = Health();
  const auto found =
      std::find(this->quarantined.begin(), this->quarantined.end(), worker);
  HD_ASSERT(found != this->quarantined.end());
  *found = this->quarantined.back();
  this->quarantined.pop_back();
}

bool WorkerHealth::OnSuccess(WorkerIndex worker) {
  Health& health = this->At(worker);
  health.failed_jobs.clear();
  health.succeeded = true;
  if (health.state == HealthState::kHealthy) {
    return false;
  }
  this->Readmit(worker);
  this->At(worker).succeeded = true;
  return true;
}

bool WorkerHealth::IsProven(WorkerIndex worker, JobHandle job) const {
  if (worker >= this->workers.size()) {
    return false;
  }
  const Health& health = this->workers[worker];
  return health.state == HealthState::kHealthy && health.succeeded &&
         std::all_of(health.failed_jobs.begin(), health.failed_jobs.end(),
                     [job](JobHandle failed) { return failed == job; });
}

bool WorkerHealth::OnFailure(WorkerIndex worker,
                             JobHandle job,
                             core::TimePoint now) {
  Health& health = this->At(worker);
  if (health.state == HealthState::kTrial) {
    ++health.failed_trials;
    this->Quarantine(worker, now);
    return true;
  }
  if (health.state == HealthState::kQuarantined) {
    return false;
  }
  if (std::find(health.failed_jobs.begin(), health.failed_jobs.end(), job) ==
      health.failed_jobs.end()) {
    health.failed_jobs.push_back(job);
  }
  if (health.failed_jobs.size() <
      (health.succeeded ? kFailuresToQuarantine : kFailuresWithoutSuccess)) {
    return false;
  }
  this->Quarantine(worker, now);
  return true;
}

bool WorkerHealth::DiscountFailures(WorkerIndex worker, JobHandle job) {
  Health& health = this->At(worker);
  const auto found =
      std::find(health.failed_jobs.begin(), health.failed_jobs.end(), job);
  if (found == health.failed_jobs.end()) {
    return false;
  }
  health.failed_jobs.erase(found);
  if (health.state == HealthState::kHealthy || health.failed_trials > 0) {
    return false;
  }
  this->Readmit(worker);
  return true;
}

std::vector<WorkerIndex> WorkerHealth::TakeTrials(core::TimePoint now) {
  std::vector<WorkerIndex> trials;
  for (const WorkerIndex worker : this->quarantined) {
    Health& health = this->At(worker);
    if (now >= health.next_trial) {
      health.state = HealthState::kTrial;
      health.next_trial = now + kTrialTimeout;
      trials.push_back(worker);
    }
  }
  return trials;
}

void WorkerHealth::OnTrialStarted(WorkerIndex worker, core::TimePoint now) {
  this->At(worker).next_trial = now + kTrialTimeout;
}

core::TimePoint WorkerHealth::NextTrial(WorkerIndex worker) const {
  return worker < this->workers.size() ? this->workers[worker].next_trial
                                       : core::TimePoint();
}

int WorkerHealth::FailureCount(WorkerIndex worker) const {
  return worker < this->workers.size()
             ? static_cast<int>(this->workers[worker].failed_jobs.size())
             : 0;
}

}  // namespace hemlockdoor::decide
