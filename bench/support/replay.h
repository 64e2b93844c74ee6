// Replay of a workload through a scheduler with a virtual clock. There is no
// model of machines beyond free and busy slots and accelerators.
#pragma once

#include <algorithm>
#include <array>
#include <queue>
#include <unordered_map>

#include "bench/support/workload.h"
#include "modules/decide/fleet/adjacency.h"

namespace hemlockdoor::bench {

/// What one replay measured.
struct ReplayResult {
  std::array<std::vector<double>, kWorkKinds> completion_ms;
  /// Time from submission to the end, without the job's own run time. Work
  /// that is not done by the end of the replay counts with its wait so far, and
  /// repeatable work that failed for good as waiting to the end.
  std::array<std::vector<double>, kWorkKinds> wait_ms;
  std::array<std::vector<double>, kWorkKinds> first_start_ms;
  std::vector<double> fragmentation;
  double busy_ms = 0;       ///< Accelerator-milliseconds of work that counts.
  double lost_ms = 0;       ///< Accelerator-milliseconds lost by stops.
  double available_ms = 0;  ///< Accelerator-milliseconds of good workers.
  double peak_good_ms = 0;  ///< Slot time of short work that met its deadline.
  double peak_slot_ms = 0;  ///< Slot time that long work left free in the peak.
  int peak_accepted = 0;
  int peak_in_time = 0;
  int guarantee_misses = 0;
  int urgent_jobs = 0;
  int refused_impossible = 0;
  int impossible = 0;
  std::size_t decisions = 0;
};

template <typename SchedulerUnderTest>
class Replay {
 public:
  Replay(const Workload& given, SchedulerUnderTest& scheduler)
      : workload(given), tested(scheduler), jobs(given.jobs.size()) {
    for (std::size_t i = 0; i < given.workers.size(); ++i) {
      this->workers[given.workers[i].agent] = static_cast<int>(i);
      this->used.emplace_back();
      if (given.bad_workers.count(static_cast<int>(i)) == 0) {
        this->good_slots += given.workers[i].shape.slots;
        this->result.available_ms +=
            static_cast<double>(given.workers[i].shape.accelerators) *
            static_cast<double>(given.end_ms);
      }
    }
    for (std::size_t i = 0; i < given.jobs.size(); ++i) {
      this->by_id[given.jobs[i].description.id] = i;
      this->jobs[i].left_ms = given.jobs[i].run_ms;
      if (given.jobs[i].after_previous_ms < 0) {
        this->Push(given.jobs[i].arrival_ms, EventKind::kSubmit, i);
      }
    }
    for (std::size_t i = 0; i < given.cancels.size(); ++i) {
      this->Push(given.cancels[i].at_ms, EventKind::kCancel, i);
    }
    this->Push(kTickMs, EventKind::kTick, 0);
  }

  ReplayResult Run() {
    while (!this->events.empty() &&
           this->events.top().at_ms <= this->workload.end_ms) {
      const Event event = this->events.top();
      this->events.pop();
      this->Advance(event.at_ms);
      this->Handle(event);
      // Events of one moment are decided on together, as in a process.
      if (this->events.empty() || this->events.top().at_ms > this->now_ms) {
        this->Plan();
      }
    }
    this->Advance(this->workload.end_ms);
    this->CountUnfinished();
    return std::move(this->result);
  }

 private:
  enum class EventKind { kSubmit, kEnd, kFail, kStopped, kCancel, kTick };
  enum class JobState { kNew, kQueued, kRunning, kDone };
  struct Event {
    std::int64_t at_ms;
    std::uint64_t order;
    EventKind kind;
    std::size_t index;
    int attempt;
    bool operator<(const Event& other) const {
      return this->at_ms != other.at_ms ? this->at_ms > other.at_ms
                                        : this->order > other.order;
    }
  };
  struct JobProgress {
    JobState state = JobState::kNew;
    std::int64_t submitted_ms = -1;
    std::int64_t first_start_ms = -1;
    std::int64_t started_ms = 0;
    std::int64_t left_ms = 0;
    int attempt = 0;
    int failures = 0;
    bool saves = false;
    bool gave_up = false;
    std::vector<decide::Placement> members;
  };
  static constexpr std::int64_t kTickMs = 100;
  static constexpr std::int64_t kFailMs = 300;
  static constexpr int kMaxFailures = 8;

  core::TimePoint Now() const {
    return core::TimePoint::FromMilliseconds(this->now_ms);
  }
  void Push(std::int64_t at_ms, EventKind kind, std::size_t index) {
    const int attempt = kind == EventKind::kCancel || kind == EventKind::kTick
                            ? 0
                            : this->jobs[index].attempt;
    this->events.push({at_ms, this->next_order++, kind, index, attempt});
  }
  bool InPeak(std::int64_t at_ms) const {
    return at_ms >= this->workload.peak_begin_ms &&
           at_ms < this->workload.peak_end_ms;
  }

  void Advance(std::int64_t to_ms) {
    if (this->InPeak(this->now_ms)) {
      this->result.peak_slot_ms +=
          static_cast<double>(to_ms - this->now_ms) *
          std::max(0, this->good_slots - this->long_slots);
    }
    this->now_ms = to_ms;
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case EventKind::kTick:
        this->Push(this->now_ms + kTickMs, EventKind::kTick, 0);
        if (this->now_ms % (600 * kTickMs) == 0) {
          this->SampleFragmentation();
        }
        return;
      case EventKind::kCancel:
        for (const std::size_t job : this->workload.cancels[event.index].jobs) {
          if (this->tested.Cancel(this->workload.jobs[job].description.id,
                                  this->Now())) {
            this->jobs[job].state = JobState::kDone;
          }
        }
        return;
      case EventKind::kSubmit:
        this->Submit(event.index);
        return;
      default:
        if (this->jobs[event.index].state == JobState::kRunning &&
            this->jobs[event.index].attempt == event.attempt) {
          this->End(event.index, event.kind);
        }
    }
  }

  void Submit(std::size_t index) {
    JobProgress& job = this->jobs[index];
    const ReplayJob& given = this->workload.jobs[index];
    if (job.state == JobState::kDone) {
      return;
    }
    const bool first = job.submitted_ms < 0;
    if (first) {
      job.submitted_ms = this->now_ms;
      this->result.impossible += given.impossible ? 1 : 0;
    }
    job.state = JobState::kQueued;
    const auto answer = this->tested.Submit(given.description, this->Now());
    if (!answer.accepted && !first && answer.retry_after_ms > 0) {
      this->Push(this->now_ms + answer.retry_after_ms, EventKind::kSubmit,
                 index);
    } else if (!answer.accepted) {
      job.state = JobState::kDone;
      this->result.refused_impossible += given.impossible ? 1 : 0;
    } else if (first && given.kind == WorkKind::kShort && !given.impossible &&
               this->InPeak(this->now_ms)) {
      ++this->result.peak_accepted;
    }
  }

  void Plan() {
    for (const decide::Decision& decision : this->tested.Plan(this->Now())) {
      ++this->result.decisions;
      if (const auto* start = std::get_if<decide::StartDecision>(&decision)) {
        this->Start(*start);
      } else if (const auto* refusal =
                     std::get_if<decide::RefuseDecision>(&decision)) {
        this->jobs[this->by_id.at(refusal->job)].state = JobState::kDone;
      } else {
        this->Preempt(std::get<decide::PreemptDecision>(decision));
      }
    }
  }

  void Start(const decide::StartDecision& start) {
    const std::size_t index = this->by_id.at(start.job);
    JobProgress& job = this->jobs[index];
    job.state = JobState::kRunning;
    job.started_ms = this->now_ms;
    job.members = start.members;
    ++job.attempt;
    if (job.first_start_ms < 0) {
      job.first_start_ms = this->now_ms;
      this->result.first_start_ms[Kind(index)].push_back(
          static_cast<double>(this->now_ms - job.submitted_ms));
    }
    bool fails = false;
    for (const decide::Placement& member : start.members) {
      const int worker = this->workers.at(member.agent);
      model::AcceleratorSet& in_use =
          this->used[static_cast<std::size_t>(worker)];
      HD_ASSERT(!in_use.Intersects(member.accelerators));
      in_use = in_use.Union(member.accelerators);
      fails = fails || this->workload.bad_workers.count(worker) > 0;
    }
    this->CountLong(index, 1);
    this->tested.OnStarted(start.job, this->Now());
    if (fails) {
      this->Push(this->now_ms + std::min(kFailMs, job.left_ms),
                 EventKind::kFail, index);
    } else {
      this->Push(this->now_ms + job.left_ms, EventKind::kEnd, index);
    }
  }

  std::size_t Kind(std::size_t index) const {
    return static_cast<std::size_t>(this->workload.jobs[index].kind);
  }

  void CountLong(std::size_t index, int sign) {
    if (this->workload.jobs[index].kind == WorkKind::kShort) {
      return;
    }
    for (const decide::Placement& member : this->jobs[index].members) {
      const int worker = this->workers.at(member.agent);
      this->long_slots +=
          this->workload.bad_workers.count(worker) == 0 ? sign : 0;
    }
  }

  void Preempt(const decide::PreemptDecision& decision) {
    const std::size_t index = this->by_id.at(decision.job);
    JobProgress& job = this->jobs[index];
    if (job.state != JobState::kRunning ||
        decision.mode == decide::PreemptMode::kThrottle) {
      return;
    }
    const bool checkpoint = decision.mode == decide::PreemptMode::kCheckpoint;
    // One job in five ignores the request to write a checkpoint.
    if (checkpoint && index % 5 == 0) {
      return;
    }
    constexpr std::int64_t kCheckpointMs = 1500;
    constexpr std::int64_t kStopMs = 500;
    job.saves = checkpoint;
    this->Push(this->now_ms + (checkpoint ? kCheckpointMs : kStopMs),
               EventKind::kStopped, index);
  }

  void End(std::size_t index, EventKind kind) {
    JobProgress& job = this->jobs[index];
    const ReplayJob& given = this->workload.jobs[index];
    const std::int64_t run_ms = this->now_ms - job.started_ms;
    const double work = static_cast<double>(run_ms) *
                        given.description.shape.TotalAccelerators();
    core::AgentId failed_on;
    for (const decide::Placement& member : job.members) {
      const int worker = this->workers.at(member.agent);
      model::AcceleratorSet& in_use =
          this->used[static_cast<std::size_t>(worker)];
      in_use = in_use.Without(member.accelerators);
      if (this->workload.bad_workers.count(worker) > 0) {
        failed_on = member.agent;
      }
    }
    this->CountLong(index, -1);
    job.members.clear();
    job.state = JobState::kDone;
    if (kind == EventKind::kEnd) {
      this->result.busy_ms += work;
      this->tested.OnEnded(given.description.id, model::JobOutcome::kDone,
                           std::nullopt, this->Now());
      this->Finish(index);
      return;
    }
    const bool failed = kind == EventKind::kFail;
    this->tested.OnEnded(
        given.description.id,
        failed ? model::JobOutcome::kFailed : model::JobOutcome::kCancelled,
        failed ? std::optional(failed_on) : std::nullopt, this->Now());
    if (failed &&
        (!given.description.repeatable || ++job.failures > kMaxFailures)) {
      job.gave_up = given.description.repeatable;
      return;
    }
    if (!failed && job.saves) {
      job.left_ms -= run_ms;
      this->result.busy_ms += work;
    } else if (!failed) {
      this->result.lost_ms += work;
    }
    constexpr std::int64_t kRetryMs = 1000;
    job.state = JobState::kQueued;
    this->Push(this->now_ms + (failed ? kRetryMs : 0), EventKind::kSubmit,
               index);
  }

  void Finish(std::size_t index) {
    const JobProgress& job = this->jobs[index];
    const ReplayJob& given = this->workload.jobs[index];
    const std::int64_t taken = this->now_ms - job.submitted_ms;
    this->result.completion_ms[Kind(index)].push_back(
        static_cast<double>(taken));
    this->result.wait_ms[Kind(index)].push_back(
        static_cast<double>(taken - given.run_ms));
    if (given.kind == WorkKind::kShort &&
        taken <= given.description.deadline->InMilliseconds()) {
      this->result.peak_in_time += this->InPeak(job.submitted_ms) ? 1 : 0;
      this->result.peak_good_ms +=
          this->InPeak(this->now_ms) ? static_cast<double>(given.run_ms) : 0;
    }
    const std::size_t next = index + 1;
    if (next < this->jobs.size() &&
        this->workload.jobs[next].after_previous_ms >= 0) {
      this->Push(this->now_ms + this->workload.jobs[next].after_previous_ms,
                 EventKind::kSubmit, next);
    }
  }

  /// Share of the free accelerators of good workers that a member of the
  /// largest guaranteed shape cannot use.
  void SampleFragmentation() {
    int size = 1;
    for (const auto& [name, entry] : this->workload.catalogue.entries) {
      for (const model::Guarantee& row : entry.guarantees) {
        size = std::max(size, row.shape.accelerators_per_member);
      }
    }
    int free = 0;
    int useful = 0;
    for (std::size_t i = 0; i < this->used.size(); ++i) {
      if (this->workload.bad_workers.count(static_cast<int>(i)) > 0) {
        continue;
      }
      const int count = this->workload.workers[i].shape.accelerators;
      const auto open =
          model::AcceleratorSet::First(count).Without(this->used[i]);
      free += open.Count();
      useful += size * decide::AcceleratorBlocks(count, 0).MemberCapacity(
                           open, size, true);
    }
    if (free > 0) {
      this->result.fragmentation.push_back(1.0 - static_cast<double>(useful) /
                                                     static_cast<double>(free));
    }
  }

  /// Work that waits at the end counts with its wait so far; a miss of a
  /// guarantee is a first start later than 5.7 s.
  void CountUnfinished() {
    constexpr double kUrgentLimitMs = 5700;
    for (std::size_t i = 0; i < this->jobs.size(); ++i) {
      const JobProgress& job = this->jobs[i];
      const ReplayJob& given = this->workload.jobs[i];
      const auto waited = static_cast<double>(this->now_ms - job.submitted_ms);
      if ((job.state == JobState::kQueued || job.gave_up) &&
          !given.impossible) {
        this->result.wait_ms[Kind(i)].push_back(waited);
      }
      if (job.state == JobState::kQueued && job.first_start_ms < 0) {
        this->result.first_start_ms[Kind(i)].push_back(waited);
      }
      if (job.state == JobState::kRunning) {
        this->result.wait_ms[Kind(i)].push_back(
            static_cast<double>(job.started_ms - job.submitted_ms));
        this->result.busy_ms +=
            static_cast<double>(this->now_ms - job.started_ms) *
            given.description.shape.TotalAccelerators();
      }
    }
    const auto& urgent =
        this->result
            .first_start_ms[static_cast<std::size_t>(WorkKind::kUrgent)];
    this->result.urgent_jobs = static_cast<int>(urgent.size());
    this->result.guarantee_misses = static_cast<int>(
        std::count_if(urgent.begin(), urgent.end(),
                      [](double wait) { return wait > kUrgentLimitMs; }));
  }

  const Workload& workload;
  SchedulerUnderTest& tested;
  ReplayResult result;
  std::vector<JobProgress> jobs;
  std::vector<model::AcceleratorSet> used;
  std::unordered_map<core::AgentId, int> workers;
  std::unordered_map<core::JobId, std::size_t> by_id;
  std::priority_queue<Event> events;
  std::uint64_t next_order = 0;
  std::int64_t now_ms = 0;
  int good_slots = 0;
  int long_slots = 0;
};

}  // namespace hemlockdoor::bench
