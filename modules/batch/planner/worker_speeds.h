// Estimates of how fast each worker runs tasks, compared with the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "modules/batch/model/messages.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Time factor of a worker.
struct SpeedEstimate {
  /// 1.0 is the fleet's median; a worker of factor 2.0 takes twice as long.
  double factor = 1.0;
  /// Standard deviation of the logarithm of `factor`.
  double uncertainty = 0.6;
  /// Number of runs behind the estimate, without those of earlier planners.
  int runs = 0;
};

/// One run of a task, as seen in a report. The caller leaves out runs that
/// started from a checkpoint, that an earlier planner started, or whose step
/// `fills`, since their run times do not show the speed of the worker.
struct RunSample {
  core::AgentId agent;
  RunKey key;
  QueueName queue;
  /// Time since the start of the run.
  core::Duration elapsed;
  /// Progress from 0 to 100 that the run has made in `elapsed`.
  int percent = 0;
  /// Time for which `percent` had not changed.
  core::Duration still;
  /// The run is slowed down by its distance from its input data.
  bool is_remote = false;
};

/// A completed run of a gang. All its tasks progress at the pace of the slowest
/// member.
struct GangSample {
  QueueName queue;
  std::vector<core::AgentId> agents;
  core::Duration elapsed;
  /// The run is slowed down by its distance from its input data, or since it is
  /// spread over several racks.
  bool is_remote = false;
};

/// A worker whose factor for decisions has changed.
struct SpeedChange {
  core::AgentId agent;
  /// Factors for decisions before and after.
  double before = 1.0;
  double after = 1.0;
  SpeedEstimate estimate;
};

/// Estimates the time factor of the worker of each agent, from the times of
/// completed runs and the pace of active ones. The logarithm of each time is
/// modelled as the sum of the work, which the siblings of a run (same job, step
/// and occurrence) share up to noise, and the speed of the worker. Work and
/// speeds are fitted alternately with robust means, so that single outliers
/// have a bounded influence and siblings that are mostly on slow workers are
/// compared rightly. Reads no clock; not thread-safe.
class WorkerSpeeds {
 public:
  /// The agent's worker is described like this. After a change of the worker's
  /// id its earlier estimate counts less.
  void OnWorker(const core::AgentId& agent, const WorkerDescription& worker);
  /// Takes over an estimate that an earlier planner made. Does nothing if this
  /// object has already seen runs of the agent. Applies at once, without
  /// `Refresh`.
  void Restore(const core::AgentId& agent, const ReportedSpeed& speed);
  /// Returns true if the run has made no progress for so long that its pace
  /// says nothing about the worker.
  static bool HasStalled(const RunSample& run);
  /// An active run has made progress. Replaces the sample of the same run; runs
  /// that stall are left out from then on.
  void OnProgress(const RunSample& sample);
  /// A run has completed.
  void OnRunEnded(const RunSample& sample);
  /// The planner had a run stopped. Its pace until then still counts.
  void OnRunStopped(const core::AgentId& agent, const RunKey& key);
  /// A run ended in another way, so it says nothing about the worker.
  void OnRunDiscarded(const core::AgentId& agent, const RunKey& key);
  /// A gang has completed.
  void OnGangEnded(const GangSample& sample);
  /// What became of the active runs of the agent is unknown.
  void OnRunsLost(const core::AgentId& agent);

  /// Brings the estimates up to date with the samples. At most once in
  /// `kRefreshInterval`, and more rarely for fleets of more than 500 workers;
  /// further calls do nothing.
  void Refresh(core::TimePoint now);

  /// Returns the estimate for the agent's worker. A worker without samples gets
  /// the average of its rack or kind if these are uniform, otherwise 1.0.
  SpeedEstimate Of(const core::AgentId& agent) const;
  /// Returns the factor for decisions: exactly 1.0 unless the estimate differs
  /// from 1.0 with confidence, and rounded to steps, so that noise does not
  /// reorder workers.
  double FactorOf(const core::AgentId& agent) const;
  /// Returns the number of runs that the worker of the agent should complete
  /// before its speed is known, including those that are active. Always 0
  /// unless some workers of the fleet are so slow that urgent jobs become late
  /// on them.
  int MissingRuns(const core::AgentId& agent) const;
  /// Returns the largest factor for decisions of all workers.
  double HighestFactor() const { return this->highest_factor; }
  /// Returns the estimate in the form that agents repeat to the next planner;
  /// its weight is 0 if there is none.
  ReportedSpeed ReportedOf(const core::AgentId& agent) const;
  /// Returns the agents whose `FactorOf` has changed since the last call.
  std::vector<SpeedChange> TakeChanges();

  static constexpr core::Duration kRefreshInterval =
      core::Duration::Milliseconds(250);

 private:
  /// Siblings: the tasks of one step and occurrence of a job.
  using GroupKey = std::tuple<core::JobId, int, int>;
  /// Logarithm of the run times of a queue, normalised to factor 1.0.
  struct QueueTimes {
    /// Number of jobs behind the average.
    double samples = 0;
    double mean = 0;
    double variance = 0;
  };
  /// A sample of the speed of a worker, or of the work of a group.
  struct FittedSample {
    double value = 0;
    double weight = 0;
    /// Variance in addition to the noise between siblings.
    double variance = 0;
  };
  struct Group {
    QueueName queue;
    /// Estimated logarithm of the run time on a worker of log factor 0, and the
    /// number of samples that it is based on.
    double work = 0;
    std::size_t samples = 0;
    /// Number of different workers among these samples.
    int workers = 0;
    /// Mean squared uncertainty of the speeds of these workers.
    double worker_variance = 0;
    /// Samples of the current fit, reduced by the speed of their workers.
    std::vector<FittedSample> reduced;
    int seen_workers = 0;
    double seen_variance = 0;
    const void* last_seen = nullptr;
    /// The machine that was looked at last, and the number of its samples.
    const void* own_machine = nullptr;
    std::size_t own_samples = 0;
  };
  struct Sample {
    std::shared_ptr<Group> group;
    std::int64_t run = 0;
    int index = 0;
    float log_time = 0;
    /// Variance of `log_time` by the precision of the measurement.
    float error_variance = 0;
    bool has_ended = false;
    /// The run has stalled and is left out.
    bool has_stalled = false;
    /// The run is still active, but its sample is part of the history. Runs are
    /// retired in the order of their starts, active or not, since the active
    /// ones alone would contain too many that take unusually long.
    bool is_retired = false;

    bool IsFitted() const { return !this->has_stalled && !this->is_retired; }
  };
  struct Machine {
    WorkerId worker;
    /// Machines of the same kind have the same capacity.
    std::string kind;
    std::string rack;
    /// Samples of the latest runs, oldest first, and of all active ones.
    std::vector<Sample> recent;
    /// Mean of older samples, relative to the same zero as `log_factor`, and
    /// its weight in runs.
    double history = 0;
    double history_weight = 0;
    int older_runs = 0;
    /// Result of the fit. Its zero is arbitrary; `fleet_median` is the factor
    /// 1.0.
    double log_factor = 0;
    double weight = 0;
    double variance = 0;
    int runs = 0;
    /// Steps of the factor for decisions.
    int step = 0;
  };
  /// Mean and spread of the known machines of one rack or kind.
  struct Prior {
    int machines = 0;
    double mean = 0;
    double squares = 0;
  };

  Machine& MachineOf(const core::AgentId& agent);
  Sample* FindSample(Machine& machine, const RunKey& key);
  Sample& SampleOf(Machine& machine, const RunSample& run);
  void AddQueueTime(const QueueName& queue, double log_time, double weight);
  /// Takes the oldest sample out of the fit.
  static void RetireOldest(Machine& machine);
  /// Moves the oldest samples beyond the limit into the history.
  void FoldOldSamples(Machine& machine);
  /// Returns true if the newest `count` samples show another speed than those
  /// before.
  bool HaveChanged(const Machine& machine,
                   const std::vector<FittedSample>& fitted,
                   std::size_t count) const;
  /// Forgets samples from before a change of the worker's speed.
  void ForgetBeforeChange(Machine& machine);
  void FitGroups();
  void FitGroup(Group& group) const;
  void FitMachine(Machine& machine);
  /// Returns the variance of the group's work as a reference for `own` samples
  /// on one machine.
  double ReferenceVariance(const Group& group, std::size_t own) const;
  std::vector<FittedSample> FittedSamples(const Machine& machine) const;
  void UpdateNoise();
  void UpdateFleetMedian();
  void UpdatePriors();
  void UpdateSteps();
  void UpdateStep(const core::AgentId& agent, Machine& machine);
  /// Returns the number of standard deviations from 1.0 that make a difference
  /// certain enough.
  double RequiredConfidence() const;
  /// Returns the number of runs without which a factor stays 1.0.
  int RequiredRuns() const;
  SpeedEstimate EstimateOf(const Machine& machine) const;
  SpeedEstimate PriorOf(const Machine& machine) const;

  std::map<core::AgentId, Machine> machines;
  std::map<GroupKey, std::shared_ptr<Group>> groups;
  std::map<QueueName, QueueTimes> queues;
  std::map<std::string, Prior> rack_priors;
  std::map<std::string, Prior> kind_priors;
  std::map<core::AgentId, SpeedChange> changes;
  /// Standard deviation of the logarithm of the times of siblings.
  double noise = 0.3;
  double fleet_median = 0;
  double median_variance = 0;
  /// The workers differ by more than noise explains.
  bool is_uneven = false;
  /// Some are so slow that urgent jobs become late on them, so that the others
  /// should be measured.
  bool has_slow_workers = false;
  /// Factor of workers whose speed is not known: the mean of those that are.
  double unknown_factor = 1.0;
  /// See `HighestFactor`.
  double highest_factor = 1.0;
  bool has_new_samples = false;
  core::TimePoint next_refresh;
};

}  // namespace hemlockdoor::batch
