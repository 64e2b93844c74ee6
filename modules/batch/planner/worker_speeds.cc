#include "modules/batch/planner/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace hemlockdoor::batch {

namespace {

/// Standard deviation of the logarithm of the factor of an unknown worker.
constexpr double kPriorDeviation = 0.6;
/// Bounds of the estimated noise between siblings.
constexpr double kMinNoise = 0.05;
constexpr double kMaxNoise = 0.6;
/// Share by which each fit moves the estimated noise to that of its samples.
constexpr double kNoiseAdaptation = 0.2;
/// A sample counts as if it were at most this many standard deviations from the
/// mean (Huber's estimator).
constexpr double kHuberBound = 1.5;
/// Bound of the deviations that make up the spread of the samples of a worker.
constexpr double kSpreadBound = 3.0;
/// Number of alternations between work and speeds in one fit.
constexpr int kSweeps = 3;
/// Number of the latest runs of a worker that are fitted one by one, and the
/// largest weight of the older ones. Together they bound the number of runs
/// after which a gradual change shows.
constexpr std::size_t kRecentSamples = 16;
constexpr double kMaxHistoryWeight = 24;
/// Upper bound of the samples of a worker, in case ends go unnoticed.
constexpr std::size_t kMaxSamples = 256;
/// The newest samples, of these numbers, are compared with the older ones. A
/// difference of so many standard deviations shows a change of speed.
constexpr std::size_t kMinChangeSamples = 4;
constexpr std::size_t kMaxChangeSamples = 12;
constexpr double kChangeDeviations = 3.0;
constexpr double kMinChangeWeight = 2.5;
/// Of the newest samples, at most one in so many may show less than this share
/// of the change. Half of a few samples may be outliers, all of them hardly.
constexpr std::size_t kChangeSamplesPerOutlier = 5;
constexpr double kMinAgreement = 0.4;
/// The pace of a run counts from this progress and time on.
constexpr int kMinPercent = 5;
constexpr core::Duration kMinElapsed = core::Duration::Milliseconds(600);
constexpr int kFullPercent = 100;
/// Precision of the times of starts and of reported progress.
constexpr double kTimeErrorMs = 100;
/// Percentages are rounded down, which makes a uniform error of one point.
constexpr double kMeanPercentError = 0.5;
constexpr double kPercentError = 0.29;
/// A run whose progress stands still for this time, and for several times the
/// time in which it usually gains a point, is stalled.
constexpr core::Duration kStallThreshold = core::Duration::Milliseconds(1500);
constexpr std::int64_t kStallPoints = 4;
/// Factor by which runs far from their input data are slower, and the variance
/// of its logarithm.
constexpr double kRemoteSlowdown = 3;
constexpr double kRemoteVariance = 0.04;
/// Number of samples of a queue from which its average is used, the weight of a
/// new sample, and the least variance of the work of its jobs.
constexpr double kMinQueueSamples = 3;
constexpr double kQueueAverageWeight = 0.1;
constexpr double kMinQueueVariance = 0.1;
/// A gang's time contradicts an estimate if it differs by this many standard
/// deviations of the work of the queue's jobs.
constexpr double kGangDeviations = 2.0;
/// Weight from which a worker counts as known.
constexpr double kKnownWeight = 2;
/// Number of known workers from which the fleet is examined.
constexpr std::size_t kMinKnownWorkers = 6;
/// The median of estimates is off if the fleet has several speeds, since the
/// noise within the middle one is not cut off evenly. The mean of the workers
/// around it, found in this many steps, is not.
constexpr int kCentreSteps = 4;
/// Variance of a median, relative to that of a mean.
constexpr double kMedianVarianceFactor = 1.57;
/// Deviations of a worker count at most this much in the examination whether
/// the fleet is uneven, so that a few odd workers do not decide it.
constexpr double kMaxSquaredDeviation = 9;
constexpr double kEnterUneven = 5;
/// Urgent jobs have objectives of at least this many times their work, so a
/// worker of a smaller factor does not make them late. Workers are measured if
/// at least so many known ones, and this share of them, are as slow as this.
constexpr double kHarmfulFactor = 1.5;
constexpr std::size_t kMinSlowWorkers = 2;
constexpr std::size_t kKnownWorkersPerSlowOne = 8;
constexpr double kLeaveUneven = 2.5;
/// Standard deviations from 1.0 that are needed in a fleet whose workers are
/// known to differ, and in any other. Thousands of workers are examined again
/// and again, so that rarer deviations occur by chance.
constexpr double kUnevenConfidence = 2.5;
constexpr double kEvenConfidence = 4.5;
/// Deviation at which a factor returns to 1.0.
constexpr double kLeaveConfidence = 1.0;
/// A single slow run must not decide, nor two, unless the fleet is known to
/// have slow workers.
constexpr int kMinRuns = 3;
constexpr int kMinRunsWithSlowWorkers = 2;
/// Logarithm of the ratio between two steps of the factor for decisions; a
/// smaller difference does not matter for placement.
constexpr double kLogStep = 0.15;
constexpr double kMinLogFactor = 0.2;
/// A factor moves to another step once the estimate is this many steps away.
constexpr double kStepHysteresis = 0.75;
/// Weight that an estimate keeps when the machine runs another worker.
constexpr double kNewWorkerWeight = 0.25;
/// Number of known machines of a rack or kind that make a prior, the largest
/// spread of their log factors, and the least uncertainty of the prior.
constexpr int kMinPriorMachines = 3;
constexpr double kMaxPriorSpread = 0.15;
constexpr double kMinPriorDeviation = 0.15;

/// A fit costs about 8 us a worker (`worker_speeds_bench`). Large fleets are
/// fitted less often, so that the fits take at most 2% of a core.
constexpr core::Duration kRefreshTimePerWorker = core::Duration::Seconds(1);
constexpr std::int64_t kRefreshWorkers = 2000;

constexpr double Square(double value) {
  return value * value;
}

double LogMilliseconds(core::Duration duration) {
  return std::log(static_cast<double>(
      std::max<std::int64_t>(duration.InMilliseconds(), 1)));
}

/// Variance of the logarithm of a measured time.
double TimeVariance(const RunSample& run) {
  const auto elapsed_ms = static_cast<double>(
      std::max<std::int64_t>(run.elapsed.InMilliseconds(), 1));
  return Square(kTimeErrorMs / elapsed_ms) +
         (run.is_remote ? kRemoteVariance : 0);
}

template <typename Samples>
double TotalWeight(const Samples& samples) {
  double total = 0;
  for (const auto& each : samples) {
    total += each.weight;
  }
  return total;
}

template <typename Samples>
double WeightedMedian(Samples& samples) {
  std::sort(samples.begin(), samples.end(),
            [](const auto& left, const auto& right) {
              return left.value < right.value;
            });
  const double total = TotalWeight(samples);
  double passed = 0;
  for (std::size_t i = 0; i < samples.size(); ++i) {
    passed += samples[i].weight;
    if (passed > total / 2) {
      return samples[i].value;
    }
    if (passed == total / 2 && i + 1 < samples.size()) {
      return (samples[i].value + samples[i + 1].value) / 2;
    }
  }
  return samples.empty() ? 0 : samples.back().value;
}

/// Huber's estimate of the mean, by two steps from the median.
template <typename Samples>
double RobustMean(Samples& samples, double deviation) {
  constexpr int kSteps = 2;
  double mean = WeightedMedian(samples);
  for (int i = 0; i < kSteps; ++i) {
    double sum = 0;
    double total = 0;
    for (const auto& each : samples) {
      const double bound =
          kHuberBound * std::sqrt(Square(deviation) + each.variance);
      sum += each.weight * std::clamp(each.value - mean, -bound, bound);
      total += each.weight;
    }
    mean += total > 0 ? sum / total : 0;
  }
  return mean;
}

}  // namespace

WorkerSpeeds::Machine& WorkerSpeeds::MachineOf(const core::AgentId& agent) {
  const auto [entry, is_new] = this->machines.try_emplace(agent);
  if (is_new) {
    entry->second.log_factor = this->fleet_median;
    entry->second.variance = Square(kPriorDeviation);
  }
  return entry->second;
}

void WorkerSpeeds::OnWorker(const core::AgentId& agent,
                            const WorkerDescription& worker) {
  Machine& machine = this->MachineOf(agent);
  if (machine.worker == worker.identity.id) {
    return;
  }
  const bool is_replaced = !machine.worker.IsEmpty();
  machine.worker = worker.identity.id;
  machine.kind = std::to_string(worker.capacity.millicores) + "/" +
                 std::to_string(worker.capacity.memory_mb) + "/" +
                 std::to_string(worker.capacity.accelerators);
  machine.rack =
      worker.data_centre.Text() + "/" + worker.rack.Text() + "/" + machine.kind;
  if (!is_replaced) {
    return;
  }
  machine.older_runs += static_cast<int>(machine.recent.size());
  machine.recent.clear();
  machine.history = machine.log_factor;
  machine.history_weight = kNewWorkerWeight * machine.weight;
  this->FitMachine(machine);
}

void WorkerSpeeds::Restore(const core::AgentId& agent,
                           const ReportedSpeed& speed) {
  Machine& machine = this->MachineOf(agent);
  if (speed.weight <= 0 || machine.history_weight > 0 ||
      machine.older_runs > 0 || !machine.recent.empty()) {
    return;
  }
  machine.history = this->fleet_median + speed.log_factor;
  machine.history_weight = std::min(speed.weight, kMaxHistoryWeight);
  this->FitMachine(machine);
  this->UpdateStep(agent, machine);
  this->has_new_samples = true;
}

WorkerSpeeds::Sample* WorkerSpeeds::FindSample(Machine& machine,
                                               const RunKey& key) {
  const auto group =
      this->groups.find({key.task.job, key.task.occurrence, key.task.step});
  if (group == this->groups.end()) {
    return nullptr;
  }
  const auto found = std::find_if(machine.recent.begin(), machine.recent.end(),
                                  [&key, &group](const Sample& each) {
                                    return each.group == group->second &&
                                           each.run == key.run &&
                                           each.index == key.task.index;
                                  });
  return found == machine.recent.end() ? nullptr : &*found;
}

WorkerSpeeds::Sample& WorkerSpeeds::SampleOf(Machine& machine,
                                             const RunSample& run) {
  if (Sample* known = this->FindSample(machine, run.key)) {
    return *known;
  }
  std::shared_ptr<Group>& group = this->groups[{
      run.key.task.job, run.key.task.occurrence, run.key.task.step}];
  if (!group) {
    group = std::make_shared<Group>();
    group->queue = run.queue;
  }
  Sample sample;
  sample.group = group;
  sample.index = run.key.task.index;
  sample.run = run.key.run;
  machine.recent.push_back(std::move(sample));
  return machine.recent.back();
}

bool WorkerSpeeds::HasStalled(const RunSample& run) {
  return run.percent > 0 && run.percent < kFullPercent &&
         run.still >= kStallThreshold &&
         run.still >= run.elapsed / run.percent * kStallPoints;
}

void WorkerSpeeds::OnProgress(const RunSample& run) {
  if (run.percent < kMinPercent || run.elapsed < kMinElapsed) {
    return;
  }
  Machine& machine = this->MachineOf(run.agent);
  Sample& sample = this->SampleOf(machine, run);
  if (sample.is_retired) {
    return;
  }
  sample.has_stalled = sample.has_stalled || HasStalled(run);
  const double percent = std::min(run.percent + kMeanPercentError,
                                  static_cast<double>(kFullPercent));
  sample.log_time = static_cast<float>(
      LogMilliseconds(run.elapsed) - std::log(percent / kFullPercent) -
      (run.is_remote ? std::log(kRemoteSlowdown) : 0));
  sample.error_variance =
      static_cast<float>(Square(kPercentError / percent) + TimeVariance(run));
  this->FoldOldSamples(machine);
  this->has_new_samples = true;
}

void WorkerSpeeds::OnRunEnded(const RunSample& run) {
  Machine& machine = this->MachineOf(run.agent);
  Sample& sample = this->SampleOf(machine, run);
  if (sample.has_stalled) {
    this->OnRunDiscarded(run.agent, run.key);
    return;
  }
  sample.has_ended = true;
  sample.log_time =
      static_cast<float>(LogMilliseconds(run.elapsed) -
                         (run.is_remote ? std::log(kRemoteSlowdown) : 0));
  sample.error_variance = static_cast<float>(TimeVariance(run));
  // The siblings of a job count as one sample together.
  const double siblings =
      static_cast<double>(std::max<std::size_t>(sample.group->samples, 1));
  this->AddQueueTime(
      run.queue, sample.log_time - (machine.log_factor - this->fleet_median),
      1 / siblings);
  if (sample.is_retired) {
    this->OnRunDiscarded(run.agent, run.key);
  }
  this->FoldOldSamples(machine);
  this->has_new_samples = true;
}

void WorkerSpeeds::OnRunStopped(const core::AgentId& agent, const RunKey& key) {
  const auto found = this->machines.find(agent);
  Sample* sample = found == this->machines.end()
                       ? nullptr
                       : this->FindSample(found->second, key);
  if (sample == nullptr) {
    return;
  }
  if (sample->has_stalled || sample->is_retired) {
    this->OnRunDiscarded(agent, key);
    return;
  }
  sample->has_ended = true;
}

void WorkerSpeeds::OnRunDiscarded(const core::AgentId& agent,
                                  const RunKey& key) {
  const auto found = this->machines.find(agent);
  if (found == this->machines.end()) {
    return;
  }
  if (const Sample* sample = this->FindSample(found->second, key)) {
    std::vector<Sample>& recent = found->second.recent;
    recent.erase(recent.begin() + (sample - recent.data()));
    this->has_new_samples = true;
  }
}

void WorkerSpeeds::OnGangEnded(const GangSample& gang) {
  const double log_time = LogMilliseconds(gang.elapsed) -
                          (gang.is_remote ? std::log(kRemoteSlowdown) : 0);
  std::vector<Machine*> members;
  std::vector<Machine*> unknown;
  double slowest = -std::numeric_limits<double>::infinity();
  for (const core::AgentId& agent : gang.agents) {
    Machine& machine = this->MachineOf(agent);
    members.push_back(&machine);
    if (machine.weight < kKnownWeight) {
      unknown.push_back(&machine);
    } else {
      slowest = std::max(slowest, machine.log_factor);
    }
  }
  const QueueTimes queue = this->queues[gang.queue];
  const double known =
      std::isfinite(slowest) ? slowest - this->fleet_median : 0;
  if (queue.samples < kMinQueueSamples) {
    this->AddQueueTime(gang.queue, log_time - known, 1);
    return;
  }
  // Speed of the slowest member, as far as the work of the job is average.
  const double shown = log_time - queue.mean + this->fleet_median;
  const double bound = kGangDeviations * std::sqrt(queue.variance);
  Sample sample;
  sample.has_ended = true;
  sample.log_time = static_cast<float>(shown);
  sample.error_variance = static_cast<float>(queue.variance);
  const auto add = [this, &sample](Machine& machine) {
    machine.recent.push_back(sample);
    this->FoldOldSamples(machine);
    this->has_new_samples = true;
  };
  if (slowest - shown <= bound) {
    this->AddQueueTime(gang.queue, log_time - known, 1);
  }
  for (Machine* machine : members) {
    if (machine->weight >= kKnownWeight &&
        machine->log_factor - shown > bound) {
      add(*machine);
    }
  }
  const bool only_one_unknown = unknown.size() == 1 && members.size() > 1;
  if (only_one_unknown && shown - slowest > bound) {
    add(*unknown.front());
  }
}

void WorkerSpeeds::OnRunsLost(const core::AgentId& agent) {
  const auto found = this->machines.find(agent);
  if (found != this->machines.end()) {
    std::erase_if(found->second.recent,
                  [](const Sample& each) { return !each.has_ended; });
    this->has_new_samples = true;
  }
}

void WorkerSpeeds::AddQueueTime(const QueueName& queue,
                                double log_time,
                                double weight) {
  QueueTimes& times = this->queues[queue];
  times.samples += weight;
  const double share =
      std::max(kQueueAverageWeight * weight, weight / times.samples);
  const double difference = log_time - times.mean;
  times.mean += share * difference;
  // The first samples tell little about the spread.
  const double spread =
      times.samples <= kMinQueueSamples
          ? Square(kPriorDeviation)
          : std::min(Square(difference), Square(kSpreadBound) * times.variance);
  times.variance = std::max(times.variance + share * (spread - times.variance),
                            kMinQueueVariance);
}

double WorkerSpeeds::ReferenceVariance(const Group& group,
                                       std::size_t own) const {
  double precision = 0;
  if (group.samples > own && group.workers > 1) {
    precision +=
        1 / (Square(this->noise) / static_cast<double>(group.samples - own) +
             group.worker_variance / (group.workers - 1));
  }
  const auto queue = this->queues.find(group.queue);
  if (queue != this->queues.end() &&
      queue->second.samples >= kMinQueueSamples) {
    precision += 1 / queue->second.variance;
  }
  return precision > 0 ? 1 / precision
                       : std::numeric_limits<double>::infinity();
}

std::vector<WorkerSpeeds::FittedSample> WorkerSpeeds::FittedSamples(
    const Machine& machine) const {
  std::vector<FittedSample> fitted;
  fitted.reserve(machine.recent.size() + 2);
  const double variance = Square(this->noise);
  for (const Sample& sample : machine.recent) {
    if (sample.group && sample.IsFitted()) {
      Group& group = *sample.group;
      group.own_samples = group.own_machine == &machine ? group.own_samples : 0;
      group.own_machine = &machine;
      ++group.own_samples;
    }
  }
  for (const Sample& sample : machine.recent) {
    if (!sample.IsFitted()) {
      continue;
    }
    if (!sample.group) {
      fitted.push_back({sample.log_time,
                        variance / (variance + sample.error_variance),
                        sample.error_variance});
      continue;
    }
    if (sample.group->samples == 0) {
      // Its work has not been fitted yet.
      fitted.push_back({0, 0, 0});
      continue;
    }
    // The error of the work is common to all samples of the group.
    const std::size_t own = sample.group->own_samples;
    const double common =
        this->ReferenceVariance(*sample.group, own) * static_cast<double>(own);
    fitted.push_back({sample.log_time - sample.group->work,
                      variance / (variance + sample.error_variance + common),
                      sample.error_variance});
  }
  return fitted;
}

void WorkerSpeeds::RetireOldest(Machine& machine) {
  const auto oldest =
      std::find_if(machine.recent.begin(), machine.recent.end(),
                   [](const Sample& each) { return each.IsFitted(); });
  ++machine.older_runs;
  if (oldest->has_ended) {
    machine.recent.erase(oldest);
  } else {
    oldest->is_retired = true;
  }
}

void WorkerSpeeds::FoldOldSamples(Machine& machine) {
  auto fitted_count = static_cast<std::size_t>(
      std::count_if(machine.recent.begin(), machine.recent.end(),
                    [](const Sample& each) { return each.IsFitted(); }));
  while (fitted_count > kRecentSamples) {
    const FittedSample sample = this->FittedSamples(machine).front();
    const double bound = kHuberBound * this->noise;
    const double difference =
        std::clamp(sample.value - machine.log_factor, -bound, bound) +
        machine.log_factor - machine.history;
    // Each run ages the earlier ones, so that their weight stays bounded.
    const double total =
        machine.history_weight * (1 - 1 / kMaxHistoryWeight) + sample.weight;
    machine.history += total > 0 ? difference * sample.weight / total : 0;
    machine.history_weight = total;
    RetireOldest(machine);
    --fitted_count;
  }
  // Ends may go unnoticed.
  if (machine.recent.size() > kMaxSamples) {
    machine.recent.erase(machine.recent.begin());
  }
}

bool WorkerSpeeds::HaveChanged(const Machine& machine,
                               const std::vector<FittedSample>& fitted,
                               std::size_t count) const {
  const auto split = fitted.end() - static_cast<std::ptrdiff_t>(count);
  std::vector<FittedSample> newer(split, fitted.end());
  std::vector<FittedSample> older(fitted.begin(), split);
  older.push_back({machine.history, machine.history_weight, 0});
  const double newer_weight = TotalWeight(newer);
  const double older_weight = TotalWeight(older);
  if (newer_weight < kMinChangeWeight || older_weight < kMinChangeWeight) {
    return false;
  }
  const double deviation =
      this->noise *
      std::sqrt(kMedianVarianceFactor / newer_weight + 1 / older_weight);
  const double before = RobustMean(older, this->noise);
  const double change = WeightedMedian(newer) - before;
  if (std::abs(change) <= kChangeDeviations * deviation) {
    return false;
  }
  const auto agreeing = std::count_if(
      newer.begin(), newer.end(), [before, change](const FittedSample& each) {
        return (each.value - before) / change > kMinAgreement;
      });
  return static_cast<std::size_t>(agreeing) >=
         count - count / kChangeSamplesPerOutlier;
}

void WorkerSpeeds::ForgetBeforeChange(Machine& machine) {
  if (machine.recent.size() < kMinChangeSamples) {
    return;
  }
  const std::vector<FittedSample> fitted = this->FittedSamples(machine);
  for (std::size_t count = kMinChangeSamples;
       count <= std::min(kMaxChangeSamples, fitted.size()); count += 2) {
    if (!this->HaveChanged(machine, fitted, count)) {
      continue;
    }
    for (std::size_t i = count; i < fitted.size(); ++i) {
      RetireOldest(machine);
    }
    machine.history_weight = 0;
    return;
  }
}

void WorkerSpeeds::FitGroups() {
  for (const auto& [agent, machine] : this->machines) {
    for (const Sample& sample : machine.recent) {
      if (!sample.group || !sample.IsFitted()) {
        continue;
      }
      Group& group = *sample.group;
      if (group.reduced.empty()) {
        group.reduced.reserve(group.samples + 1);
      }
      group.reduced.push_back(
          {sample.log_time - machine.log_factor,
           Square(this->noise) / (Square(this->noise) + sample.error_variance),
           sample.error_variance});
      if (group.last_seen != &machine) {
        group.last_seen = &machine;
        ++group.seen_workers;
        group.seen_variance += machine.variance;
      }
    }
  }
  for (auto& [key, group] : this->groups) {
    this->FitGroup(*group);
    // Thousands of groups are kept, so that their buffers would add up.
    group->reduced = {};
    group->seen_workers = 0;
    group->seen_variance = 0;
    group->last_seen = nullptr;
  }
}

void WorkerSpeeds::FitGroup(Group& group) const {
  // Once samples are folded into the history, the work is as well known as it
  // can be.
  if (group.reduced.empty() || group.reduced.size() < group.samples) {
    return;
  }
  group.samples = group.reduced.size();
  group.workers = group.seen_workers;
  group.worker_variance = group.seen_variance / group.seen_workers;
  const auto queue = this->queues.find(group.queue);
  if (queue != this->queues.end() &&
      queue->second.samples >= kMinQueueSamples) {
    group.reduced.push_back({queue->second.mean - this->fleet_median,
                             Square(this->noise) / queue->second.variance,
                             queue->second.variance});
  }
  group.work = RobustMean(group.reduced, this->noise);
}

void WorkerSpeeds::FitMachine(Machine& machine) {
  std::vector<FittedSample> fitted = this->FittedSamples(machine);
  machine.runs = machine.older_runs + static_cast<int>(fitted.size());
  double weight = TotalWeight(fitted);
  const SpeedEstimate prior = this->PriorOf(machine);
  const double prior_weight = Square(this->noise) / Square(prior.uncertainty);
  const std::size_t samples = fitted.size();
  fitted.push_back({machine.history, machine.history_weight, 0});
  fitted.push_back(
      {this->fleet_median + std::log(prior.factor), prior_weight, 0});
  weight += machine.history_weight;
  const double mean = RobustMean(fitted, this->noise);
  double spread = 0;
  double spread_weight = 0;
  for (const FittedSample& each : fitted) {
    spread +=
        each.weight * std::min(Square(each.value - mean),
                               Square(kSpreadBound) * Square(this->noise));
    spread_weight += each.weight;
  }
  machine.log_factor = mean;
  machine.weight = weight;
  const double noise_variance = Square(this->noise);
  const double sample_variance =
      samples > 0 && spread_weight > 0
          ? std::max(noise_variance, spread / spread_weight)
          : noise_variance;
  machine.variance = sample_variance / (weight + prior_weight);
}

void WorkerSpeeds::UpdateNoise() {
  std::vector<double> residuals;
  std::size_t parameters = 0;
  for (const auto& [agent, machine] : this->machines) {
    if (machine.weight < kKnownWeight || machine.recent.empty()) {
      continue;
    }
    ++parameters;
    for (const Sample& sample : machine.recent) {
      if (sample.group && sample.IsFitted() && sample.group->workers > 1) {
        residuals.push_back(std::abs(sample.log_time - sample.group->work -
                                     machine.log_factor));
      }
    }
  }
  for (const auto& [key, group] : this->groups) {
    parameters += group->workers > 1 ? 1 : 0;
  }
  constexpr std::size_t kMinResiduals = 30;
  if (residuals.size() < kMinResiduals || residuals.size() <= 2 * parameters) {
    return;
  }
  const auto middle =
      residuals.begin() + static_cast<std::ptrdiff_t>(residuals.size() / 2);
  std::nth_element(residuals.begin(), middle, residuals.end());
  // Standard deviation of a normal distribution with this median deviation,
  // corrected for the fitted parameters.
  constexpr double kMedianToDeviation = 1.4826;
  const auto count = static_cast<double>(residuals.size());
  const double found =
      kMedianToDeviation * *middle *
      std::sqrt(count / (count - static_cast<double>(parameters)));
  this->noise =
      std::clamp(this->noise + kNoiseAdaptation * (found - this->noise),
                 kMinNoise, kMaxNoise);
}

void WorkerSpeeds::UpdateFleetMedian() {
  std::vector<double> known;
  for (const auto& [agent, machine] : this->machines) {
    if (machine.weight >= 1) {
      known.push_back(machine.log_factor);
    }
  }
  if (known.empty()) {
    return;
  }
  std::sort(known.begin(), known.end());
  const auto count = static_cast<double>(known.size());
  double centre = known[known.size() / 2];
  for (int i = 0; i < kCentreSteps; ++i) {
    double sum = 0;
    int near = 0;
    for (const double each : known) {
      if (std::abs(each - centre) <= kMinLogFactor) {
        sum += each;
        ++near;
      }
    }
    centre = near > 0 ? sum / near : centre;
  }
  this->fleet_median = centre;
  // The median of a sample from the fleet differs from that of the fleet.
  constexpr double kQuartilesToDeviation = 1.35;
  const double spread =
      (known[known.size() * 3 / 4] - known[known.size() / 4]) /
      kQuartilesToDeviation;
  const double unknown_share =
      1 - count / static_cast<double>(this->machines.size());
  this->median_variance =
      kMedianVarianceFactor * Square(spread) * unknown_share / count;
}

void WorkerSpeeds::UpdatePriors() {
  this->rack_priors.clear();
  this->kind_priors.clear();
  const auto add = [](Prior& prior, double value) {
    ++prior.machines;
    prior.mean += value;
    prior.squares += Square(value);
  };
  for (const auto& [agent, machine] : this->machines) {
    if (machine.weight >= kKnownWeight) {
      const double value = machine.log_factor - this->fleet_median;
      add(this->rack_priors[machine.rack], value);
      add(this->kind_priors[machine.kind], value);
    }
  }
}

SpeedEstimate WorkerSpeeds::PriorOf(const Machine& machine) const {
  const auto uniform =
      [](const std::map<std::string, Prior>& priors,
         const std::string& name) -> std::optional<SpeedEstimate> {
    const auto found = priors.find(name);
    if (found == priors.end() || found->second.machines < kMinPriorMachines) {
      return std::nullopt;
    }
    const double mean = found->second.mean / found->second.machines;
    const double spread = std::sqrt(std::max(
        found->second.squares / found->second.machines - Square(mean), 0.0));
    if (spread > kMaxPriorSpread) {
      return std::nullopt;
    }
    return SpeedEstimate{std::exp(mean),
                         std::max(2 * spread, kMinPriorDeviation), 0};
  };
  if (const auto rack = uniform(this->rack_priors, machine.rack)) {
    return *rack;
  }
  if (const auto kind = uniform(this->kind_priors, machine.kind)) {
    return *kind;
  }
  return SpeedEstimate{1.0, kPriorDeviation, 0};
}

double WorkerSpeeds::RequiredConfidence() const {
  return this->is_uneven ? kUnevenConfidence : kEvenConfidence;
}

int WorkerSpeeds::RequiredRuns() const {
  return this->is_uneven && this->has_slow_workers ? kMinRunsWithSlowWorkers
                                                   : kMinRuns;
}

SpeedEstimate WorkerSpeeds::EstimateOf(const Machine& machine) const {
  if (machine.weight <= 0) {
    return this->PriorOf(machine);
  }
  return {std::exp(machine.log_factor - this->fleet_median),
          std::min(std::sqrt(machine.variance + this->median_variance),
                   kPriorDeviation),
          machine.runs};
}

void WorkerSpeeds::UpdateSteps() {
  double sum = 0;
  std::size_t known = 0;
  std::size_t slow = 0;
  for (const auto& [agent, machine] : this->machines) {
    if (machine.weight >= kKnownWeight) {
      ++known;
      const double value = machine.log_factor - this->fleet_median;
      slow +=
          value >= std::log(kHarmfulFactor) &&
                  value >= kUnevenConfidence * std::sqrt(machine.variance +
                                                         this->median_variance)
              ? 1
              : 0;
      sum += std::min(Square(machine.log_factor - this->fleet_median) /
                          (machine.variance + this->median_variance),
                      kMaxSquaredDeviation);
    }
  }
  const auto count = static_cast<double>(known);
  if (known >= kMinKnownWorkers) {
    const double bound = this->is_uneven ? kLeaveUneven : kEnterUneven;
    this->is_uneven = sum / count > 1 + bound * std::sqrt(2 / count);
  }
  this->has_slow_workers =
      slow >= kMinSlowWorkers && slow * kKnownWorkersPerSlowOne >= known;
  int highest = 0;
  int steps = 0;
  for (auto& [agent, machine] : this->machines) {
    this->UpdateStep(agent, machine);
    highest = std::max(highest, machine.step);
    steps += machine.step;
  }
  this->highest_factor = std::exp(highest * kLogStep);
  const double mean_step = known == 0 ? 0 : std::max(steps / count, 0.0);
  this->unknown_factor =
      this->is_uneven && this->has_slow_workers
          ? std::exp(static_cast<double>(std::lround(mean_step)) * kLogStep)
          : 1.0;
}

void WorkerSpeeds::UpdateStep(const core::AgentId& agent, Machine& machine) {
  const SpeedEstimate estimate = this->EstimateOf(machine);
  const double value = std::log(estimate.factor);
  const double deviations = std::abs(value) / estimate.uncertainty;
  // Estimates from an earlier planner or from the rack have no runs.
  const bool has_enough_runs =
      machine.runs == 0 || machine.runs >= this->RequiredRuns();
  int step = machine.step;
  const int nearest = static_cast<int>(std::lround(value / kLogStep));
  if (step == 0) {
    const bool differs = has_enough_runs && std::abs(value) >= kMinLogFactor &&
                         deviations >= this->RequiredConfidence();
    step = differs ? nearest : 0;
  } else if (std::abs(value) < kMinLogFactor / 2 ||
             deviations < kLeaveConfidence) {
    step = 0;
  } else if (std::abs(value / kLogStep - step) > kStepHysteresis) {
    step = nearest;
  }
  if (step == machine.step) {
    return;
  }
  const double before = std::exp(machine.step * kLogStep);
  const double after = std::exp(step * kLogStep);
  machine.step = step;
  SpeedChange& change =
      this->changes.try_emplace(agent, SpeedChange{agent, before, after, {}})
          .first->second;
  change.after = after;
  change.estimate = estimate;
}

void WorkerSpeeds::Refresh(core::TimePoint now) {
  if (!this->has_new_samples || now < this->next_refresh) {
    return;
  }
  this->has_new_samples = false;
  this->next_refresh =
      now + std::max(kRefreshInterval,
                     kRefreshTimePerWorker *
                         static_cast<std::int64_t>(this->machines.size()) /
                         kRefreshWorkers);
  for (auto& [agent, machine] : this->machines) {
    this->ForgetBeforeChange(machine);
  }
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    this->FitGroups();
    for (auto& [agent, machine] : this->machines) {
      if (!machine.recent.empty()) {
        this->FitMachine(machine);
      }
    }
  }
  this->UpdateNoise();
  this->UpdateFleetMedian();
  this->UpdatePriors();
  this->UpdateSteps();
  std::erase_if(this->groups, [](const auto& entry) {
    return entry.second.use_count() == 1;
  });
}

SpeedEstimate WorkerSpeeds::Of(const core::AgentId& agent) const {
  const auto found = this->machines.find(agent);
  return found == this->machines.end() ? SpeedEstimate()
                                       : this->EstimateOf(found->second);
}

double WorkerSpeeds::FactorOf(const core::AgentId& agent) const {
  const auto found = this->machines.find(agent);
  if (found == this->machines.end()) {
    return this->unknown_factor;
  }
  const Machine& machine = found->second;
  if (machine.step == 0) {
    return machine.weight < kKnownWeight ? this->unknown_factor : 1.0;
  }
  return std::exp(machine.step * kLogStep);
}

int WorkerSpeeds::MissingRuns(const core::AgentId& agent) const {
  if (!this->has_slow_workers) {
    return 0;
  }
  const auto found = this->machines.find(agent);
  if (found == this->machines.end()) {
    return this->RequiredRuns();
  }
  const Machine& machine = found->second;
  // Active runs may end without a result, so their samples do not count yet.
  const auto completed =
      machine.older_runs +
      std::count_if(machine.recent.begin(), machine.recent.end(),
                    [](const Sample& each) { return each.has_ended; });
  const bool is_known = machine.step != 0 ||
                        completed >= this->RequiredRuns() ||
                        machine.history_weight >= kKnownWeight;
  return is_known ? 0 : this->RequiredRuns() - static_cast<int>(completed);
}

ReportedSpeed WorkerSpeeds::ReportedOf(const core::AgentId& agent) const {
  const auto found = this->machines.find(agent);
  if (found == this->machines.end() || found->second.weight <= 0) {
    return {};
  }
  // Fewer digits make the messages shorter.
  constexpr double kLogFactorDigits = 1000;
  constexpr double kWeightDigits = 10;
  const double log_factor = found->second.log_factor - this->fleet_median;
  return {std::round(log_factor * kLogFactorDigits) / kLogFactorDigits,
          std::round(found->second.weight * kWeightDigits) / kWeightDigits};
}

std::vector<SpeedChange> WorkerSpeeds::TakeChanges() {
  std::vector<SpeedChange> taken;
  for (auto& [agent, change] : this->changes) {
    if (change.before != change.after) {
      taken.push_back(change);
    }
  }
  this->changes.clear();
  return taken;
}

}  // namespace hemlockdoor::batch
