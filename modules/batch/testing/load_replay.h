// Simulates a fleet under a synthetic load in virtual time, planned by
// `Planner`.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch::testing {

/// A class of jobs. Each job has one step; `width` is its number of tasks.
struct LoadClass {
  std::string name;
  int priority = 0;
  int max_attempts = 2;
  /// The objective of a job is `slack` times the mean work of its tasks plus
  /// `objective_ms`.
  double slack = 1.5;
  double objective_ms = 250;
  double jobs_per_second = 1;
  double width_mean = 3;
  double width_max = 18;
  Resources need;
  /// Accelerators of a task, drawn with equal probability; empty: always
  /// `need.accelerators`.
  std::vector<int> accelerators;
  double work_ms = 2000;
  double work_spread = 0.3;
  /// Standard deviation of the logarithm of the work of a task relative to the
  /// mean of its siblings.
  double sibling_spread = 0;
  bool gang = false;
  double same_rack_share = 0;
  double checkpoint_share = 0;
  double preferred_rack_share = 0;
  /// Standard deviation of the logarithm of the declared estimate, whose mean
  /// is the actual work.
  double estimate_error = 0.5;
  /// Credit of a job that ends within its objective, and of one that ends
  /// within three times its objective.
  double credit = 1;
  double late_credit = 0.5;
  /// Probability that a run fails.
  double failure_share = 0.01;
  /// Share of the jobs whose runs always fail.
  double poison_share = 0;
};

/// Change of the speed of one worker during the replay.
struct SpeedChange {
  /// Index of the worker, from 0.
  int worker = 0;
  /// Time from the start of the replay.
  std::int64_t at_ms = 0;
  /// From then on its tasks take this many times their work.
  double time_factor = 1;
};

/// A fleet and the load that it gets.
struct LoadPattern {
  int workers = 11;
  int workers_per_rack = 3;
  Resources capacity{64000, 262144, 8};
  /// Time that a task takes, as a multiple of its work; the workers have these
  /// factors in turn. Empty: 1.0 for all.
  std::vector<double> time_factors;
  std::vector<SpeedChange> speed_changes;
  /// Probability that a run takes `tail_factor` times as long.
  double tail_share = 0;
  double tail_factor = 7;
  /// Time between two readings of the progress of the runs on a worker; 0: each
  /// report has the present progress.
  std::int64_t progress_interval_ms = 0;
  /// Longest time that a task takes to stop.
  std::int64_t stop_grace_ms = 200;
  /// Work between two checkpoints of a run.
  std::int64_t checkpoint_ms = 1000;
  /// Time that a run needs to restore a checkpoint before it continues.
  std::int64_t restore_ms = 0;
  /// Whether a task with checkpoints that is stopped saves all its progress;
  /// otherwise it continues from its last checkpoint.
  bool saves_on_stop = true;
  /// Factor by which a run outside its preferred rack, or of a gang that is
  /// spread over several racks against its request, is slower.
  double remote_slowdown = 3;
  std::vector<LoadClass> classes;
  /// Factor on the arrival rate of the classes with priority 0 within the
  /// burst.
  double burst_factor = 2.2;
  std::int64_t burst_start_ms = 3000;
  std::int64_t burst_end_ms = 9000;
  /// Relative amplitude of the sinusoidal arrival rate of all classes.
  double demand_amplitude = 0.55;
  double demand_period_ms = 16'000;
  /// Duration of the job arrivals, and the time after it for jobs to end.
  std::int64_t arrivals_ms = 34'000;
  std::int64_t drain_ms = 14'000;
  int organisations = 4;
  /// Relative numbers of jobs of the organisations; empty: equal.
  std::vector<double> organisation_shares;
  /// Whether a gang that is wider than a sixth of the fleet gets fewer tasks;
  /// otherwise its tasks run independently of each other.
  bool narrows_gangs = false;
  /// Whether the agents report the actual speeds of their workers when the
  /// planner's term begins, as after a change of the planner.
  bool knows_speeds = false;
};

/// Result of the jobs of one class, without those whose runs always fail.
struct ClassResult {
  double possible_credit = 0;
  double earned_credit = 0;
  int jobs = 0;
  int in_objective = 0;
  /// Jobs that ended within three times their objective.
  int late = 0;
  /// Jobs that ended later, failed or did not end.
  int unserved = 0;
  /// Sum of the times from arrival to the first start.
  double wait_ms = 0;
  /// Times from arrival to the first start, of the jobs that started, and from
  /// there to the end, of those that completed.
  std::vector<double> waits_ms;
  std::vector<double> runs_ms;
};

/// Value of a group of jobs.
struct ValueShare {
  double possible_credit = 0;
  double earned_credit = 0;
  int jobs = 0;

  void Add(const ValueShare& other) {
    this->possible_credit += other.possible_credit;
    this->earned_credit += other.earned_credit;
    this->jobs += other.jobs;
  }
  /// Returns the earned credit as a share of the possible credit, in [0, 1].
  double Share() const {
    return this->possible_credit == 0
               ? 0
               : this->earned_credit / this->possible_credit;
  }
};

/// Groups of the jobs of all classes by their work: tasks times
/// core-equivalents times run time.
enum class JobSize { kLargestTenth, kNextFifth, kRest };

/// Returns the smallest value that is not exceeded by `percent` of the values,
/// or 0 if there are none.
inline double Percentile(std::vector<double> values, int percent) {
  if (values.empty()) {
    return 0;
  }
  constexpr std::size_t kPercent = 100;
  const std::size_t rank =
      (values.size() * static_cast<std::size_t>(percent) + kPercent - 1) /
      kPercent;
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(
                                       std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

/// Result of a replay.
struct ReplayResult {
  std::map<std::string, ClassResult> classes;
  std::map<core::OrganisationId, ValueShare> organisations;
  std::map<JobSize, ValueShare> sizes;
  /// Core-seconds of work lost by stopped, failed and broken runs, that is work
  /// done since their last checkpoint.
  double lost_core_seconds = 0;
  /// Numbers of runs that the planner started and stopped.
  int starts = 0;
  int stops = 0;
  /// Numbers of units (single tasks or gangs) that were placed and preempted.
  int placed_units = 0;
  int preempted_units = 0;
  /// Number of decisions and workers for which the worker had another time
  /// factor than 1.0.
  int uneven_factors = 0;
  /// Number of rejections, jobs that were never accepted, and jobs that ended
  /// within three times their objective.
  int rejections = 0;
  std::set<core::JobId> rejected;
  std::set<core::JobId> served;
  /// Returns the earned credit as a share of the possible credit, in [0, 1].
  double EarnedShare() const {
    double possible_credit = 0;
    double earned_credit = 0;
    for (const auto& [name, result] : this->classes) {
      possible_credit += result.possible_credit;
      earned_credit += result.earned_credit;
    }
    return possible_credit == 0 ? 0 : earned_credit / possible_credit;
  }
};

/// Simulates one pattern once; the same pattern and seed give the same result.
class LoadReplay {
 public:
  /// `with_admission` tells whether jobs may be rejected, as at an entry that
  /// receives a summary once a second.
  LoadReplay(LoadPattern load, std::uint64_t seed, bool with_admission = false)
      : pattern(std::move(load)),
        admits(with_admission),
        random(seed),
        planner(PlannerOptions{}) {}

  ReplayResult Run() {
    this->planner.BeginTerm(core::SchedulingEpoch(1), {}, this->now);
    this->MakeOrganisations();
    this->MakeFleet();
    this->MakeJobs();
    const core::TimePoint start = this->now;
    const std::int64_t end = this->pattern.arrivals_ms + this->pattern.drain_ms;
    for (std::int64_t t = 0; t < end; t += kStepMs) {
      this->now = start + core::Duration::Milliseconds(t);
      this->ChangeSpeeds(t);
      this->Submit(t);
      this->Progress();
      this->Report();
      this->Decide();
    }
    return this->Score(start);
  }

  Planner& GetPlanner() { return this->planner; }

 private:
  static constexpr std::int64_t kStepMs = 20;
  static constexpr double kMsPerSecond = 1000;

  struct SimJob {
    JobRecord record;
    const LoadClass* load = nullptr;
    std::int64_t arrival_ms = 0;
    double work_ms = 0;
    /// Work of each task relative to `work_ms`; empty: 1.0 for all.
    std::vector<double> task_work;
    bool poison = false;
    bool submitted = false;
    /// Time of the next request of its caller, and number of those so far.
    std::int64_t request_ms = 0;
    int requests = 0;
    std::int64_t started_ms = -1;
  };
  struct SimRun {
    core::AgentId agent;
    RunKey key;
    SimJob* job = nullptr;
    /// Completed work, and the part of it restored from a checkpoint.
    double done_ms = 0;
    double restored_ms = 0;
    double speed = 1;
    /// Factor on its run time, for the long tail of run times.
    double tail = 1;
    /// Time until which it restores its checkpoint.
    core::TimePoint resumes_at;
    /// Completed work at which the run fails; -1: it does not fail.
    double fails_at = -1;
    /// Virtual time at which a stop that was ordered takes effect; -1: no stop.
    std::int64_t stops_at = -1;
    core::TimePoint started;
  };

  double Draw() { return std::uniform_real_distribution<>(0, 1)(this->random); }
  double LogNormal(double mean, double spread) {
    std::lognormal_distribution<> draw(std::log(mean) - spread * spread / 2,
                                       spread);
    return draw(this->random);
  }

  /// Creates organisations with equal guarantees that together cover 62% of the
  /// accelerators.
  void MakeOrganisations() {
    constexpr double kGuaranteedShare = 0.62;
    auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < this->pattern.organisations; ++i) {
      OrganisationConfig organisation;
      organisation.id = core::OrganisationId("o" + std::to_string(i));
      organisation.guaranteed_accelerators = static_cast<std::int64_t>(
          kGuaranteedShare *
          static_cast<double>(this->pattern.capacity.accelerators *
                              this->pattern.workers) /
          this->pattern.organisations);
      configuration->organisations.push_back(organisation);
    }
    this->planner.SetConfiguration(configuration);
  }

  void MakeFleet() {
    for (int i = 0; i < this->pattern.workers; ++i) {
      const std::string id = "w" + std::to_string(1000 + i);
      WorkerDescription worker = MakeWorker(
          id, "r" + std::to_string(i / this->pattern.workers_per_rack));
      worker.capacity = this->pattern.capacity;
      AgentReport report;
      report.agent = core::AgentId(id);
      report.endpoint = "127.0.0.1:1";
      report.incarnation = core::Incarnation(1);
      report.epoch = this->planner.Epoch();
      report.worker = worker;
      report.is_complete = true;
      const std::vector<double>& factors = this->pattern.time_factors;
      this->time_factors[report.agent] =
          factors.empty()
              ? 1.0
              : factors[static_cast<std::size_t>(i) % factors.size()];
      if (this->pattern.knows_speeds) {
        report.speed = this->ActualSpeed(report.agent);
      }
      this->reports[report.agent] = report;
    }
    this->Report();
    if (const auto members = this->planner.TakeMembersWrite()) {
      this->planner.OnMembersRecorded(*members);
    }
    this->Decide();
    this->Report();
  }

  /// Returns the time factor of a worker relative to the median of the fleet.
  ReportedSpeed ActualSpeed(const core::AgentId& agent) const {
    std::vector<double> factors = this->pattern.time_factors;
    std::sort(factors.begin(), factors.end());
    constexpr double kManyRuns = 50;
    return {
        std::log(this->time_factors.at(agent) / factors[factors.size() / 2]),
        kManyRuns};
  }

  void MakeJobs() {
    int number = 0;
    for (const LoadClass& load : this->pattern.classes) {
      double t = 0;
      while (true) {
        const bool in_burst =
            load.priority == 0 &&
            t >= static_cast<double>(this->pattern.burst_start_ms) &&
            t < static_cast<double>(this->pattern.burst_end_ms);
        const double rate = load.jobs_per_second * this->DemandFactor(t) *
                            (in_burst ? this->pattern.burst_factor : 1.0);
        std::exponential_distribution<> gap(rate / 1000.0);
        t += gap(this->random);
        if (t >= static_cast<double>(this->pattern.arrivals_ms)) {
          break;
        }
        this->jobs.push_back(this->MakeJob(load, ++number, t));
      }
    }
    std::sort(this->jobs.begin(), this->jobs.end(),
              [](const SimJob& left, const SimJob& right) {
                return left.arrival_ms < right.arrival_ms;
              });
    for (SimJob& job : this->jobs) {
      this->by_id[job.record.spec.id] = &job;
    }
  }

  double DemandFactor(double t) const {
    constexpr double kFullTurn = 6.283185307179586;
    return 1.0 + this->pattern.demand_amplitude *
                     std::sin(kFullTurn * t / this->pattern.demand_period_ms);
  }

  SimJob MakeJob(const LoadClass& load, int number, double arrival) {
    SimJob job;
    job.load = &load;
    job.arrival_ms = static_cast<std::int64_t>(arrival);
    job.request_ms = job.arrival_ms;
    constexpr double kMaxWork = 10;
    job.work_ms = std::min(LogNormal(load.work_ms, load.work_spread),
                           load.work_ms * kMaxWork);
    constexpr double kWidthSpread = 0.8;
    const int width = std::clamp(
        static_cast<int>(std::lround(LogNormal(load.width_mean, kWidthSpread))),
        1, static_cast<int>(load.width_max));
    StepSpec step = MakeStep(width, load.need);
    if (!load.accelerators.empty()) {
      step.need.accelerators =
          load.accelerators[std::uniform_int_distribution<std::size_t>(
              0, load.accelerators.size() - 1)(this->random)];
    }
    this->ShapeGang(load, step);
    step.checkpoints = this->Draw() < load.checkpoint_share;
    if (this->Draw() < load.preferred_rack_share) {
      const int racks =
          (this->pattern.workers + this->pattern.workers_per_rack - 1) /
          this->pattern.workers_per_rack;
      step.preferred_rack =
          "r" + std::to_string(static_cast<int>(this->Draw() * racks));
    }
    step.estimate = core::Duration::Milliseconds(
        static_cast<std::int64_t>(LogNormal(job.work_ms, load.estimate_error)));
    job.poison = this->Draw() < load.poison_share;
    if (load.sibling_spread > 0) {
      for (int i = 0; i < step.count; ++i) {
        job.task_work.push_back(LogNormal(1, load.sibling_spread));
      }
    }
    job.record =
        MakeJob("j" + std::to_string(10'000 + number), {step}, load.priority);
    job.record.organisation =
        core::OrganisationId("o" + std::to_string(this->DrawOrganisation()));
    job.record.queue = QueueName(load.name);
    return job;
  }
  /// Returns the index of the organisation of the next job.
  int DrawOrganisation() {
    const std::vector<double>& shares = this->pattern.organisation_shares;
    const double drawn = this->Draw();
    if (shares.empty()) {
      return static_cast<int>(drawn * this->pattern.organisations);
    }
    double left = drawn * std::accumulate(shares.begin(), shares.end(), 0.0);
    for (std::size_t i = 0; i + 1 < shares.size(); ++i) {
      left -= shares[i];
      if (left < 0) {
        return static_cast<int>(i);
      }
    }
    return static_cast<int>(shares.size()) - 1;
  }
  /// Limits gangs as on the deployments: a gang takes at most a sixth of the
  /// fleet, and one that requires a single rack at most half of a rack.
  void ShapeGang(const LoadClass& load, StepSpec& step) {
    const Resources& room = this->pattern.capacity;
    const std::int64_t per_worker =
        std::min({room.millicores / step.need.millicores,
                  room.memory_mb / step.need.memory_mb,
                  room.accelerators / step.need.accelerators});
    constexpr std::int64_t kFleetShare = 6;
    const bool wants_rack = this->Draw() < load.same_rack_share;
    const std::int64_t widest =
        this->pattern.workers * per_worker / kFleetShare;
    if (load.gang && this->pattern.narrows_gangs) {
      step.count = static_cast<int>(std::min<std::int64_t>(
          step.count, std::max<std::int64_t>(widest, 1)));
    }
    step.gang = load.gang && step.count > 1 && step.count <= widest;
    step.same_rack =
        step.gang && wants_rack &&
        step.count * 2 <= this->pattern.workers_per_rack * per_worker;
  }
  static JobRecord MakeJob(const std::string& id,
                           std::vector<StepSpec> steps,
                           int priority) {
    return testing::MakeJob(id, std::move(steps), priority);
  }

  void Submit(std::int64_t t) {
    for (SimJob& job : this->jobs) {
      if (job.submitted || job.request_ms > t) {
        continue;
      }
      job.record.max_attempts = job.load->max_attempts;
      job.record.slack_factor = job.load->slack;
      job.record.objective = core::Duration::Milliseconds(
          static_cast<std::int64_t>(job.load->objective_ms));
      job.record.accepted_wall_ms = this->now.InMilliseconds();
      if (this->IsAdmitted(job)) {
        job.submitted = true;
        this->planner.AddJob(job.record, this->now);
      }
    }
  }

  /// Returns false if the job is rejected now. Its caller then asks again, at
  /// most four times.
  bool IsAdmitted(SimJob& job) {
    constexpr int kMaxRequests = 5;
    constexpr core::Duration kSummaryInterval = core::Duration::Seconds(1);
    if (!this->admits) {
      return true;
    }
    if (job.requests == kMaxRequests) {
      return false;
    }
    if (!this->room || this->now - this->room_received >= kSummaryInterval) {
      const RoomSummary* summary = this->planner.Room(this->now);
      this->room = summary == nullptr ? std::nullopt : std::optional(*summary);
      this->room_received = this->now;
    }
    const AdmissionDecision decision =
        DecideAdmission(this->room ? &*this->room : nullptr,
                        this->now - this->room_received, job.record);
    ++job.requests;
    if (decision.IsAccepted()) {
      this->result.rejected.erase(job.record.spec.id);
      return true;
    }
    ++this->result.rejections;
    this->result.rejected.insert(job.record.spec.id);
    if (job.requests == 1) {
      job.record.first_attempt_wall_ms = job.record.accepted_wall_ms;
    }
    job.request_ms += decision.retry_after.InMilliseconds();
    return false;
  }

  const StepSpec& StepOf(const SimRun& run) const {
    return run.job->record.spec.steps.front();
  }

  void ChangeSpeeds(std::int64_t t) {
    for (const SpeedChange& change : this->pattern.speed_changes) {
      if (t - kStepMs < change.at_ms && change.at_ms <= t) {
        this->time_factors.at(core::AgentId(
            "w" + std::to_string(1000 + change.worker))) = change.time_factor;
        for (SimRun& run : this->runs) {
          run.speed = this->Speed(run);
        }
      }
    }
  }

  /// Returns the work that a run completes in a millisecond near its data if it
  /// does not wait for other tasks.
  double SpeedAlone(const SimRun& run) const {
    const std::vector<double>& work = run.job->task_work;
    const double task_work =
        work.empty() ? 1.0 : work[static_cast<std::size_t>(run.key.task.index)];
    return 1.0 / (this->time_factors.at(run.agent) * task_work * run.tail);
  }

  /// Returns the speed of a run. A gang has that of its slowest member.
  double Speed(const SimRun& run) const {
    const StepSpec& step = this->StepOf(run);
    std::set<std::string> racks;
    double speed = this->SpeedAlone(run);
    for (const SimRun& other : this->runs) {
      if (other.key.task.job == run.key.task.job &&
          (step.gang || other.key == run.key)) {
        racks.insert(this->reports.at(other.agent).worker->rack.Text());
        speed = std::min(speed, this->SpeedAlone(other));
      }
    }
    const bool away =
        !step.preferred_rack.empty() &&
        (racks.size() > 1 || *racks.begin() != step.preferred_rack);
    const bool split = step.gang && step.same_rack && racks.size() > 1;
    return away || split ? speed / this->pattern.remote_slowdown : speed;
  }

  void EndRun(SimRun& run, RunEndKind kind) {
    AgentReport& report = this->reports.at(run.agent);
    RunEnd end;
    end.number = ++this->last_end[run.agent];
    end.key = run.key;
    end.kind = kind;
    const StepSpec& step = this->StepOf(run);
    const auto step_ms = static_cast<double>(this->pattern.checkpoint_ms);
    double saved = run.restored_ms;
    if (step.checkpoints) {
      saved = kind == RunEndKind::kStopped && this->pattern.saves_on_stop
                  ? run.done_ms
                  : std::floor(run.done_ms / step_ms) * step_ms;
      end.checkpoint = std::to_string(static_cast<std::int64_t>(saved));
    }
    if (kind != RunEndKind::kDone) {
      this->result.lost_core_seconds += std::max(0.0, run.done_ms - saved) /
                                        kMsPerSecond *
                                        CoreEquivalents(this->StepOf(run).need);
    }
    std::erase_if(report.active, [&run](const ActiveRun& active) {
      return active.key == run.key;
    });
    report.ends.push_back(end);
  }

  void Progress() {
    std::map<std::pair<core::JobId, std::int64_t>, RunEndKind> gang_ends;
    for (SimRun& run : this->runs) {
      if (this->now > run.resumes_at) {
        run.done_ms += static_cast<double>(kStepMs) * run.speed;
      }
      const bool stopped =
          run.stops_at >= 0 && this->now.InMilliseconds() >= run.stops_at;
      const bool failed = run.fails_at >= 0 && run.done_ms >= run.fails_at;
      const bool done = run.done_ms >= run.job->work_ms;
      if (!stopped && !failed && !done) {
        continue;
      }
      const RunEndKind kind = stopped  ? RunEndKind::kStopped
                              : failed ? RunEndKind::kFailed
                                       : RunEndKind::kDone;
      this->EndRun(run, kind);
      if (this->StepOf(run).gang) {
        gang_ends.emplace(
            std::make_pair(run.key.task.job, run.key.run),
            kind == RunEndKind::kDone ? kind : RunEndKind::kGangBroken);
      }
      run.job = nullptr;
    }
    std::erase_if(this->runs, [](const SimRun& run) { return !run.job; });
    for (SimRun& run : this->runs) {
      const auto found = gang_ends.find({run.key.task.job, run.key.run});
      if (found != gang_ends.end()) {
        this->EndRun(run, found->second);
        run.job = nullptr;
      }
    }
    std::erase_if(this->runs, [](const SimRun& run) { return !run.job; });
  }

  /// Updates the progress of the runs that a worker reports.
  void ReadProgress(AgentReport& report) {
    for (ActiveRun& active : report.active) {
      for (const SimRun& run : this->runs) {
        if (run.key == active.key) {
          constexpr double kPercent = 100;
          active.percent =
              static_cast<int>(run.done_ms / run.job->work_ms * kPercent);
        }
      }
    }
  }

  void Report() {
    const std::int64_t reports_per_reading =
        std::max<std::int64_t>(this->pattern.progress_interval_ms / kStepMs, 1);
    // The readings of the workers are spread over the interval.
    std::int64_t phase = this->now.InMilliseconds() / kStepMs;
    for (auto& [agent, report] : this->reports) {
      report.progress_age =
          core::Duration::Milliseconds(++phase % reports_per_reading * kStepMs);
      if (report.progress_age == core::Duration()) {
        this->ReadProgress(report);
      }
      ++report.sequence;
      const ReportAnswer answer = this->planner.OnReport(report, this->now);
      report.speed = answer.speed;
      std::erase_if(report.ends, [&answer](const RunEnd& end) {
        return end.number <= answer.acknowledged;
      });
    }
    constexpr std::size_t kMaxRecords = 1000;
    for (const ProgressWrite& write : this->planner.TakeProgressWrites(
             this->now, this->now.InMilliseconds(), kMaxRecords)) {
      this->planner.OnProgressRecorded(write.record.job, write.version);
      if (write.record.outcome != JobOutcome::kOpen) {
        this->outcomes.emplace(write.record.job,
                               std::make_pair(this->now, write.record.outcome));
      }
    }
  }

  void Decide() {
    const auto orders =
        this->planner.Decide(this->now, this->now.InMilliseconds());
    for (const DecisionLogEntry& entry : this->planner.TakeDecisionLog()) {
      this->result.placed_units += entry.event == "unit_placed" ? 1 : 0;
      this->result.preempted_units += entry.event == "unit_preempted" ? 1 : 0;
    }
    for (const auto& [agent, report] : this->reports) {
      const bool is_even = this->planner.Speeds().FactorOf(agent) == 1.0;
      this->result.uneven_factors += is_even ? 0 : 1;
    }
    for (const AgentOrders& each : orders) {
      AgentReport& report = this->reports.at(each.agent);
      report.batch = each.batch.number;
      for (const StartOrder& start : each.batch.starts) {
        this->StartRun(each.agent, report, start);
      }
      for (const RunKey& key : each.batch.stops) {
        for (SimRun& run : this->runs) {
          if (run.key == key && run.stops_at < 0) {
            ++this->result.stops;
            run.stops_at = this->now.InMilliseconds() +
                           static_cast<std::int64_t>(
                               this->Draw() * static_cast<double>(
                                                  this->pattern.stop_grace_ms));
          }
        }
      }
      this->planner.OnOrdersAnswered(each.agent, each.batch.number);
    }
    for (SimRun& run : this->runs) {
      if (run.started == this->now) {
        run.speed = this->Speed(run);
      }
    }
  }

  void StartRun(const core::AgentId& agent,
                AgentReport& report,
                const StartOrder& start) {
    ++this->result.starts;
    SimRun run;
    run.agent = agent;
    run.key = start.key;
    run.job = this->by_id.at(start.key.task.job);
    run.started = this->now;
    if (!start.checkpoint.empty()) {
      run.restored_ms = std::stod(start.checkpoint);
      run.done_ms = run.restored_ms;
      run.resumes_at =
          this->now + core::Duration::Milliseconds(this->pattern.restore_ms);
    }
    if (this->pattern.tail_share > 0 &&
        this->Draw() < this->pattern.tail_share) {
      run.tail = this->pattern.tail_factor;
    }
    const double chance = run.job->poison ? 1.0 : run.job->load->failure_share;
    if (this->Draw() < chance) {
      run.fails_at = this->Draw() * run.job->work_ms;
    }
    if (run.job->started_ms < 0) {
      run.job->started_ms = this->now.InMilliseconds();
    }
    ActiveRun active;
    active.key = start.key;
    active.confirmed = true;
    report.active.push_back(active);
    this->runs.push_back(run);
  }

  static double TotalWork(const SimJob& job) {
    const StepSpec& step = job.record.spec.steps.front();
    return job.work_ms * CoreEquivalents(step.need) * step.count;
  }

  /// Groups the jobs by size, without those whose runs always fail.
  std::map<core::JobId, JobSize> JobSizes() const {
    constexpr std::size_t kTenth = 10;
    std::vector<const SimJob*> by_work;
    for (const SimJob& job : this->jobs) {
      if (!job.poison) {
        by_work.push_back(&job);
      }
    }
    std::stable_sort(by_work.begin(), by_work.end(),
                     [](const SimJob* left, const SimJob* right) {
                       return TotalWork(*left) > TotalWork(*right);
                     });
    std::map<core::JobId, JobSize> sizes;
    for (std::size_t i = 0; i < by_work.size(); ++i) {
      const bool is_largest = i * kTenth < by_work.size();
      const bool is_next = i * kTenth < by_work.size() * 3;
      sizes[by_work[i]->record.spec.id] = is_largest ? JobSize::kLargestTenth
                                          : is_next  ? JobSize::kNextFifth
                                                     : JobSize::kRest;
    }
    return sizes;
  }

  ReplayResult Score(core::TimePoint start) {
    const std::map<core::JobId, JobSize> sizes = this->JobSizes();
    for (const SimJob& job : this->jobs) {
      if (job.poison) {
        continue;
      }
      ClassResult& sum = this->result.classes[job.load->name];
      const StepSpec& step = job.record.spec.steps.front();
      constexpr double kMeanAccelerators = 4.6;
      double mean_weight = CoreEquivalents(job.load->need);
      if (!job.load->accelerators.empty()) {
        mean_weight += kCoresPerAccelerator *
                       (kMeanAccelerators -
                        static_cast<double>(job.load->need.accelerators));
      }
      const double weight = CoreEquivalents(step.need);
      const double relative =
          job.work_ms * weight * step.count /
          (job.load->work_ms * mean_weight * job.load->width_mean);
      const double credit =
          job.load->credit * std::min(4.0, 0.3 + 0.7 * relative);
      ++sum.jobs;
      sum.possible_credit += credit;
      const auto outcomes = this->outcomes.find(job.record.spec.id);
      const double took =
          outcomes == this->outcomes.end() ||
                  outcomes->second.second != JobOutcome::kCompleted
              ? 1e9
              : static_cast<double>(
                    (outcomes->second.first - start).InMilliseconds() -
                    job.arrival_ms);
      const double objective =
          job.load->slack * job.work_ms + job.load->objective_ms;
      constexpr double kLateFactor = 3;
      if (took <= kLateFactor * objective) {
        this->result.served.insert(job.record.spec.id);
      }
      ValueShare value{credit, 0, 1};
      if (took <= objective) {
        ++sum.in_objective;
        value.earned_credit = credit;
      } else if (took <= kLateFactor * objective) {
        ++sum.late;
        value.earned_credit = credit * job.load->late_credit / job.load->credit;
      } else {
        ++sum.unserved;
      }
      sum.earned_credit += value.earned_credit;
      this->result.organisations[job.record.organisation].Add(value);
      this->result.sizes[sizes.at(job.record.spec.id)].Add(value);
      if (job.started_ms < 0) {
        continue;
      }
      const auto waited = static_cast<double>(
          job.started_ms - start.InMilliseconds() - job.arrival_ms);
      sum.wait_ms += waited;
      sum.waits_ms.push_back(waited);
      if (outcomes != this->outcomes.end() &&
          outcomes->second.second == JobOutcome::kCompleted) {
        sum.runs_ms.push_back(took - waited);
      }
    }
    return this->result;
  }

  LoadPattern pattern;
  bool admits;
  std::optional<RoomSummary> room;
  core::TimePoint room_received;
  std::mt19937_64 random;
  Planner planner;
  core::TimePoint now = At(1'000'000);
  std::map<core::AgentId, AgentReport> reports;
  std::map<core::AgentId, double> time_factors;
  std::map<core::AgentId, std::uint64_t> last_end;
  std::vector<SimJob> jobs;
  std::map<core::JobId, SimJob*> by_id;
  std::vector<SimRun> runs;
  std::map<core::JobId, std::pair<core::TimePoint, JobOutcome>> outcomes;
  ReplayResult result;
};

/// Returns the load of the package registry on its present fleet, or on the
/// grown, larger fleet if `grown`. `load_factor` scales the arrival rates.
inline LoadPattern RegistryPattern(bool grown, double load_factor) {
  LoadPattern pattern;
  pattern.workers = grown ? 61 : 11;
  pattern.workers_per_rack = grown ? 7 : 3;
  pattern.capacity = {64000, grown ? 131072 : 262144, 8};
  pattern.stop_grace_ms = grown ? 900 : 200;
  pattern.organisations = grown ? 10 : 4;
  pattern.narrows_gangs = grown;
  LoadClass rebuild;
  rebuild.name = "rebuild";
  rebuild.priority = 1;
  rebuild.max_attempts = 2;
  rebuild.slack = 3.0;
  rebuild.objective_ms = 1000;
  rebuild.jobs_per_second = (grown ? 0.9 : 0.5) * load_factor;
  rebuild.width_mean = grown ? 6.3 : 1.5;
  rebuild.width_max = grown ? 38 : 9;
  rebuild.need = {26000, grown ? 68000 : 110000, 8};
  rebuild.accelerators = {1, 2, 4, 8, 8};
  rebuild.work_ms = 5800;
  rebuild.gang = true;
  rebuild.same_rack_share = 0.6;
  rebuild.checkpoint_share = 0.45;
  rebuild.estimate_error = 0.9;
  rebuild.credit = 3;
  rebuild.late_credit = 0.9;
  rebuild.failure_share = 0.005;
  rebuild.poison_share = 0.03;
  LoadClass certificate;
  certificate.name = "certificate";
  certificate.priority = 0;
  certificate.max_attempts = 3;
  certificate.slack = 1.5;
  certificate.objective_ms = grown ? 300 : 250;
  certificate.jobs_per_second = (grown ? 2.13 : 0.525) * load_factor;
  certificate.width_mean = grown ? 4.7 : 3;
  certificate.width_max = grown ? 28 : 18;
  certificate.need = {7500, grown ? 15000 : 39000, 8};
  certificate.accelerators = {1, 2, 4, 8, 8};
  certificate.work_ms = 2100;
  certificate.work_spread = 0.5;
  certificate.gang = true;
  certificate.same_rack_share = 0.8;
  certificate.estimate_error = 0.9;
  certificate.credit = 4;
  certificate.late_credit = 0.8;
  certificate.failure_share = 0.005;
  LoadClass merge;
  merge.name = "merge";
  merge.priority = 2;
  merge.max_attempts = 4;
  merge.slack = 3.0;
  merge.objective_ms = 3000;
  merge.jobs_per_second = (grown ? 0.449 : 0.242) * load_factor;
  merge.width_mean = grown ? 30 : 9.2;
  merge.width_max = grown ? 180 : 55;
  merge.need = {5600, grown ? 8200 : 23000, 1};
  merge.work_ms = grown ? 6500 : 5200;
  merge.checkpoint_share = 0.45;
  merge.estimate_error = 0.2;
  merge.credit = 1;
  merge.late_credit = 0.3;
  merge.failure_share = 0.05;
  pattern.classes = {rebuild, certificate, merge};
  return pattern;
}

/// Returns the load of the drive service on its large fleet of 160 workers:
/// three swings of demand with a burst of urgent jobs, while wide jobs that
/// take whole workers and narrow ones fill the fleet. `load_factor` scales the
/// arrival rates.
inline LoadPattern DrivePattern(double load_factor) {
  LoadPattern pattern;
  pattern.workers = 160;
  pattern.workers_per_rack = 13;
  pattern.stop_grace_ms = 900;
  pattern.checkpoint_ms = 500;
  pattern.organisations = 24;
  pattern.narrows_gangs = true;
  pattern.demand_period_ms = 17'000;
  LoadClass archive;
  archive.name = "archive";
  archive.priority = 1;
  archive.max_attempts = 3;
  archive.slack = 3.0;
  archive.objective_ms = 1000;
  archive.jobs_per_second = 1.12 * load_factor;
  archive.width_mean = 13;
  archive.width_max = 76;
  archive.need = {26000, 75000, 8};
  archive.accelerators = {1, 2, 4, 8, 8};
  archive.work_ms = 5800;
  archive.gang = true;
  archive.same_rack_share = 0.6;
  archive.checkpoint_share = 0.45;
  archive.estimate_error = 0.2;
  archive.credit = 3;
  archive.late_credit = 0.9;
  archive.failure_share = 0.005;
  archive.poison_share = 0.03;
  LoadClass redact;
  redact.name = "redact";
  redact.priority = 0;
  redact.max_attempts = 4;
  redact.slack = 1.5;
  redact.objective_ms = 250;
  redact.jobs_per_second = 2.87 * load_factor;
  redact.width_mean = 5.3;
  redact.width_max = 32;
  redact.need = {7500, 31000, 8};
  redact.accelerators = {1, 2, 4, 8, 8};
  redact.work_ms = 2100;
  redact.work_spread = 0.5;
  redact.gang = true;
  redact.same_rack_share = 0.8;
  redact.estimate_error = 0.9;
  redact.credit = 4;
  redact.late_credit = 0.8;
  redact.failure_share = 0.005;
  LoadClass preview;
  preview.name = "preview";
  preview.priority = 2;
  preview.max_attempts = 3;
  preview.slack = 3.0;
  preview.objective_ms = 3000;
  preview.jobs_per_second = 0.881 * 1.3 * load_factor;
  preview.width_mean = 38;
  preview.width_max = 230;
  preview.need = {5600, 29000, 1};
  preview.work_ms = 6500;
  preview.checkpoint_share = 0.45;
  preview.estimate_error = 0.2;
  preview.credit = 1;
  preview.late_credit = 0.3;
  preview.failure_share = 0.02;
  preview.poison_share = 0.01;
  pattern.classes = {archive, redact, preview};
  return pattern;
}

/// Sets what the loads of the print bureau and the bookkeeper have in common.
inline void SetUnevenFleet(LoadPattern& pattern) {
  pattern.capacity.memory_mb = 262144;
  pattern.progress_interval_ms = 1000;
  pattern.restore_ms = 600;
  pattern.saves_on_stop = false;
  pattern.organisations = 10;
  pattern.organisation_shares = {6, 4, 3, 1, 1, 1, 1, 1, 1, 1};
  pattern.narrows_gangs = true;
}

/// Returns a class of gangs of 6 tasks on average with a priority of 1.
inline LoadClass OrdinaryGangs(const std::string& name) {
  LoadClass load;
  load.name = name;
  load.priority = 1;
  load.max_attempts = 2;
  load.slack = 3.0;
  load.objective_ms = 1000;
  load.width_mean = 6;
  load.width_max = 39;
  load.accelerators = {1, 2, 4, 8, 8};
  load.sibling_spread = 0.15;
  load.gang = true;
  load.same_rack_share = 0.6;
  load.checkpoint_share = 0.45;
  load.estimate_error = 0.9;
  load.credit = 3;
  load.late_credit = 0.9;
  load.failure_share = 0.005;
  load.poison_share = 0.03;
  return load;
}

/// Returns a class of gangs of 5 tasks on average with a priority of 0.
inline LoadClass UrgentGangs(const std::string& name) {
  LoadClass load;
  load.name = name;
  load.priority = 0;
  load.max_attempts = 3;
  load.slack = 1.5;
  load.width_mean = 5;
  load.width_max = 32;
  load.accelerators = {1, 2, 4, 8, 8};
  load.work_spread = 0.5;
  load.sibling_spread = 0.2;
  load.gang = true;
  load.same_rack_share = 0.8;
  load.estimate_error = 0.9;
  load.credit = 4;
  load.late_credit = 0.8;
  load.failure_share = 0.005;
  return load;
}

/// Returns a class of wide steps of 39 tasks on average with a priority of 2.
inline LoadClass WideBatches(const std::string& name) {
  LoadClass load;
  load.name = name;
  load.priority = 2;
  load.max_attempts = 4;
  load.slack = 3.0;
  load.objective_ms = 3000;
  load.width_mean = 39;
  load.width_max = 230;
  load.sibling_spread = 0.3;
  load.checkpoint_share = 0.45;
  load.estimate_error = 0.2;
  load.credit = 1;
  load.late_credit = 0.3;
  load.failure_share = 0.05;
  return load;
}

/// Steps of a job of `WideBatches`; each is replayed as a job of its own.
inline constexpr double kWideStepsPerJob = 1.3;

/// Returns the load of the print bureau on its 62 workers, a third of which are
/// slower. `load_factor` scales the arrival rates.
inline LoadPattern PrintBureauPattern(double load_factor) {
  LoadPattern pattern;
  pattern.workers = 62;
  pattern.workers_per_rack = 7;
  SetUnevenFleet(pattern);
  pattern.capacity.millicores = 128'000;
  pattern.time_factors = {1.0, 1.0, 1.3};
  pattern.stop_grace_ms = 900;
  pattern.checkpoint_ms = 2000;
  LoadClass slice = OrdinaryGangs("slice-full");
  slice.jobs_per_second = 0.496 * load_factor;
  slice.need = {52000, 140'000, 8};
  slice.work_ms = 11'000;
  LoadClass check = UrgentGangs("check-fit");
  check.jobs_per_second = 1.63 * load_factor;
  check.objective_ms = 300;
  check.need = {15000, 22'000, 8};
  check.work_ms = 2500;
  LoadClass school = WideBatches("school-batch");
  school.jobs_per_second = 0.375 * kWideStepsPerJob * load_factor;
  school.need = {11000, 16'000, 1};
  school.work_ms = 6100;
  pattern.classes = {slice, check, school};
  return pattern;
}

/// Returns the load of the bookkeeper on its 63 workers, a third of which are
/// much slower, and where some runs take seven times as long. `load_factor`
/// scales the arrival rates.
inline LoadPattern BookkeeperPattern(double load_factor) {
  LoadPattern pattern;
  pattern.workers = 63;
  pattern.workers_per_rack = 8;
  SetUnevenFleet(pattern);
  pattern.time_factors = {0.7, 0.7, 1.7};
  pattern.tail_share = 0.03;
  pattern.stop_grace_ms = 200;
  pattern.checkpoint_ms = 1000;
  LoadClass bank = OrdinaryGangs("bank-recon");
  bank.jobs_per_second = 0.817 * load_factor;
  bank.need = {26000, 140'000, 8};
  bank.work_ms = 5800;
  LoadClass invoice = UrgentGangs("einvoice-check");
  invoice.jobs_per_second = 1.39 * load_factor;
  invoice.objective_ms = 250;
  invoice.need = {7500, 31'000, 8};
  invoice.work_ms = 2100;
  LoadClass receipt = WideBatches("receipt-batch");
  receipt.jobs_per_second = 0.403 * kWideStepsPerJob * load_factor;
  receipt.need = {5600, 23'000, 1};
  receipt.work_ms = 5200;
  pattern.classes = {bank, invoice, receipt};
  return pattern;
}

}  // namespace hemlockdoor::batch::testing
