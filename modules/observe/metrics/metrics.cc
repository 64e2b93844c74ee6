#include "modules/observe/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

namespace hemlockdoor::observe {

namespace {

using Labels = prometheus::Labels;

constexpr const char* kOther = "other";
constexpr const char* kOrganisation = "organisation";
constexpr const char* kClass = "class";
constexpr const char* kAgent = "agent";
constexpr const char* kReason = "reason";

constexpr std::array<const char*, 5> kOutcomes = {"done", "failed", "not-run",
                                                  "cancelled", "unknown"};
constexpr std::array<const char*, 13> kRefusals = {
    "invalid",        "unauthorized", "forbidden", "too_large",
    "never_runnable", "over_limit",   "no_entry",  "queue_full",
    "deadline",       "shed",         "faulty",    "store_unavailable",
    "draining"};
constexpr std::array<const char*, 3> kPreemptions = {"checkpoint", "throttle",
                                                     "stop"};
constexpr std::array<const char*, 4> kStoreCalls = {"read", "write", "lease",
                                                    "watch"};
constexpr std::array<const char*, 4> kStoreResults = {"ok", "conflict",
                                                      "timeout", "unavailable"};
constexpr std::array<const char*, 2> kDirections = {"sent", "received"};

/// Bounds in seconds. Urgent work must start within 5.7 s; long work runs for
/// hours.
const prometheus::Histogram::BucketBoundaries kWaitBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,    2,
    4,     5.7,  10,    30,   60,  300,  900, 3600, 14400};
const prometheus::Histogram::BucketBoundaries kCompletionBuckets = {
    0.01, 0.05, 0.1, 0.5, 1,    2,    5,     10,
    30,   60,   300, 900, 3600, 7200, 14400, 43200};

template <typename Label, std::size_t kCount>
const char* NameOf(const std::array<const char*, kCount>& names, Label label) {
  const auto index = static_cast<std::size_t>(label);
  HD_ASSERT(index < kCount);
  return names[index];
}

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

/// A family whose series are kept by label values, so that they can be bounded
/// and removed.
template <typename Metric>
class SeriesFamily {
 public:
  using Family = prometheus::Family<Metric>;

  explicit SeriesFamily(Family& registered) : family(registered) {}

  /// The series of `labels`; of `overflow` when there are too many already.
  template <typename... Arguments>
  Metric& Get(const Labels& labels,
              const Labels& overflow,
              const Arguments&... arguments) {
    if (const auto found = this->series.find(labels);
        found != this->series.end()) {
      return *found->second;
    }
    const bool full = this->series.size() >= Metrics::kMaxSeriesPerFamily;
    const Labels& used = full ? overflow : labels;
    Metric& metric = this->family.Add(used, arguments...);
    this->series.emplace(used, &metric);
    return metric;
  }

  /// Removes the series for which `is_gone` holds.
  void RemoveIf(const std::function<bool(const Labels&)>& is_gone) {
    for (auto place = this->series.begin(); place != this->series.end();) {
      if (!is_gone(place->first)) {
        ++place;
        continue;
      }
      this->family.Remove(place->second);
      place = this->series.erase(place);
    }
  }

 private:
  Family& family;
  std::map<Labels, Metric*> series;
};

using CounterFamily = SeriesFamily<prometheus::Counter>;
using GaugeFamily = SeriesFamily<prometheus::Gauge>;
using HistogramFamily = SeriesFamily<prometheus::Histogram>;

prometheus::Family<prometheus::Counter>& Counter(prometheus::Registry& registry,
                                                 const char* name,
                                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& Gauge(prometheus::Registry& registry,
                                             const char* name,
                                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>&
Histogram(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

/// User and system time of this process, in seconds.
double CpuSeconds() {
  constexpr double kMicrosecondsPerSecond = 1e6;
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory of this process; the second field of statm, in pages.
double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

struct Metrics::State {
  std::mutex mutex;
  prometheus::Registry registry;
  std::set<core::OrganisationId> organisations;
  std::set<core::JobClass> classes;

  CounterFamily jobs{
      Counter(registry,
              "hemlockdoor_jobs_total",
              "Jobs ended, by organisation, class and outcome.")};
  GaugeFamily queue{Gauge(registry,
                          "hemlockdoor_queue_jobs",
                          "Jobs queued now, by organisation and class.")};
  HistogramFamily wait{Histogram(registry,
                                 "hemlockdoor_job_wait_seconds",
                                 "Time from submission to start, by class.")};
  HistogramFamily completion{
      Histogram(registry,
                "hemlockdoor_job_completion_seconds",
                "Time from submission to end, by class.")};
  HistogramFamily short_wait{
      Histogram(registry,
                "hemlockdoor_short_job_wait_seconds",
                "Wait of work without accelerators; rises when it is blocked "
                "behind long work.")};
  CounterFamily refusals{Counter(registry,
                                 "hemlockdoor_refusals_total",
                                 "Requests and jobs refused, by reason.")};
  GaugeFamily reservations{
      Gauge(registry, "hemlockdoor_reservations", "Reservations held now.")};
  CounterFamily preemptions{
      Counter(registry,
              "hemlockdoor_preemptions_total",
              "Jobs whose capacity was taken back, by mode.")};
  GaugeFamily shortfall{
      Gauge(registry,
            "hemlockdoor_guarantee_shortfall_gangs",
            "Guaranteed gangs that cannot be placed now, by organisation.")};
  GaugeFamily quarantined{Gauge(registry,
                                "hemlockdoor_quarantined_workers",
                                "Workers in quarantine now.")};
  GaugeFamily fragmentation{
      Gauge(registry,
            "hemlockdoor_free_accelerator_fragmentation_ratio",
            "Share of free accelerators that are not in a wholly free block of "
            "adjacent ones.")};
  GaugeFamily evacuated_data_centres{
      Gauge(registry,
            "hemlockdoor_evacuated_data_centres",
            "Data centres that are evacuated now, as far as this process "
            "knows.")};
  GaugeFamily evacuated_units{
      Gauge(registry,
            "hemlockdoor_evacuated_units",
            "Units that still run in evacuated data centres; 0 except on the "
            "planner.")};
  GaugeFamily evacuation_remaining{
      Gauge(registry,
            "hemlockdoor_evacuation_remaining_seconds",
            "Expected time until the evacuated data centres are empty, without "
            "long-running tasks; 0 except on the planner.")};
  CounterFamily evacuated_refusals{
      Counter(registry,
              "hemlockdoor_starts_refused_evacuated_total",
              "Starts that this agent refused because its data centre is "
              "evacuated.")};
  CounterFamily removed_runs{
      Counter(registry,
              "hemlockdoor_runs_removed_total",
              "Runs that this agent no longer lists although its worker has "
              "not stated their end, by reason.")};
  GaugeFamily configuration_version{
      Gauge(registry,
            "hemlockdoor_configuration_version",
            "Version of the configuration that this process uses; 0 before "
            "the first one.")};
  GaugeFamily configuration_age{
      Gauge(registry,
            "hemlockdoor_configuration_age_seconds",
            "Time since the configuration in use was certainly the newest "
            "one.")};
  CounterFamily configuration_failures{
      Counter(registry,
              "hemlockdoor_configuration_read_failures_total",
              "Reads and watches of the configuration that failed, by "
              "operation.")};
  GaugeFamily waiting_jobs{
      Gauge(registry,
            "hemlockdoor_waiting_jobs",
            "Jobs that have had nothing running for a second or longer "
            "although units are ready, by reason; none except on the "
            "planner.")};
  GaugeFamily longest_idle_wait{
      Gauge(registry,
            "hemlockdoor_longest_wait_beside_free_room_seconds",
            "Longest wait of a job that has nothing running although units are "
            "ready and at most half of the room is in use.")};
  GaugeFamily worker_factor{
      Gauge(registry,
            "hemlockdoor_worker_time_factor",
            "Estimated time factor of a worker; 1 is the fleet's median, and "
            "higher is slower.")};
  GaugeFamily worker_uncertainty{
      Gauge(registry,
            "hemlockdoor_worker_time_factor_uncertainty",
            "Standard deviation of the logarithm of the time factor.")};
  GaugeFamily worker_runs{
      Gauge(registry,
            "hemlockdoor_worker_time_factor_runs",
            "Runs behind the estimated time factor of a worker.")};
  CounterFamily store_calls{Counter(registry,
                                    "hemlockdoor_store_calls_total",
                                    "Calls to the store, by kind and result.")};
  CounterFamily control_bytes{
      Counter(registry,
              "hemlockdoor_control_bytes_total",
              "Bytes of control traffic, by direction.")};
  CounterFamily spans_dropped{
      Counter(registry,
              "hemlockdoor_trace_spans_dropped_total",
              "Spans that were not delivered to the collector.")};
  prometheus::Gauge& resident_bytes =
      Gauge(registry,
            "hemlockdoor_process_resident_memory_bytes",
            "Resident memory of this process.")
          .Add({});
  prometheus::Counter& cpu_seconds =
      Counter(registry,
              "hemlockdoor_process_cpu_seconds_total",
              "User and system time of this process.")
          .Add({});

  std::string Known(const core::OrganisationId& organisation) const {
    return this->organisations.count(organisation) > 0 ? organisation.Text()
                                                       : kOther;
  }
  std::string Known(const core::JobClass& job_class) const {
    return this->classes.count(job_class) > 0 ? job_class.Text() : kOther;
  }
  /// True when a label holds a name that the catalogue no longer has.
  bool IsGone(const Labels& labels) const {
    const auto organisation = labels.find(kOrganisation);
    const auto job_class = labels.find(kClass);
    const bool organisation_gone =
        organisation != labels.end() && organisation->second != kOther &&
        this->organisations.count(core::OrganisationId(organisation->second)) ==
            0;
    const bool class_gone =
        job_class != labels.end() && job_class->second != kOther &&
        this->classes.count(core::JobClass(job_class->second)) == 0;
    return organisation_gone || class_gone;
  }
};

Metrics::Metrics() : state(std::make_unique<State>()) {
  // Series that exist from the start let alerts tell "none" from "not there".
  this->state->spans_dropped.Get({}, {});
  this->state->reservations.Get({}, {});
  this->state->quarantined.Get({}, {});
  for (const char* reason : kRefusals) {
    this->state->refusals.Get({{kReason, reason}}, {});
  }
}

Metrics::~Metrics() = default;

void Metrics::SetCatalogueNames(
    const std::set<core::OrganisationId>& organisations,
    const std::set<core::JobClass>& classes) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->organisations = organisations;
  this->state->classes = classes;
  const auto is_gone = [this](const Labels& labels) {
    return this->state->IsGone(labels);
  };
  this->state->jobs.RemoveIf(is_gone);
  this->state->queue.RemoveIf(is_gone);
  this->state->wait.RemoveIf(is_gone);
  this->state->completion.RemoveIf(is_gone);
  this->state->shortfall.RemoveIf(is_gone);
}

void Metrics::CountJobEnd(const core::OrganisationId& organisation,
                          const core::JobClass& job_class,
                          OutcomeLabel outcome) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  const std::string name = NameOf(kOutcomes, outcome);
  this->state->jobs
      .Get({{kOrganisation, this->state->Known(organisation)},
            {kClass, this->state->Known(job_class)},
            {"outcome", name}},
           {{kOrganisation, kOther}, {kClass, kOther}, {"outcome", name}})
      .Increment();
}

void Metrics::SetQueueLength(const core::OrganisationId& organisation,
                             const core::JobClass& job_class,
                             std::size_t jobs) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->queue
      .Get({{kOrganisation, this->state->Known(organisation)},
            {kClass, this->state->Known(job_class)}},
           {{kOrganisation, kOther}, {kClass, kOther}})
      .Set(static_cast<double>(jobs));
}

void Metrics::ObserveWait(const core::JobClass& job_class,
                          core::Duration wait) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->wait
      .Get({{kClass, this->state->Known(job_class)}}, {{kClass, kOther}},
           kWaitBuckets)
      .Observe(Seconds(wait));
}

void Metrics::ObserveCompletion(const core::JobClass& job_class,
                                core::Duration completion) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->completion
      .Get({{kClass, this->state->Known(job_class)}}, {{kClass, kOther}},
           kCompletionBuckets)
      .Observe(Seconds(completion));
}

void Metrics::ObserveShortWait(core::Duration wait) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->short_wait.Get({}, {}, kWaitBuckets).Observe(Seconds(wait));
}

void Metrics::CountRefusal(RefusalLabel reason) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->refusals.Get({{kReason, NameOf(kRefusals, reason)}}, {})
      .Increment();
}

void Metrics::SetReservations(std::size_t reservations) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->reservations.Get({}, {}).Set(static_cast<double>(reservations));
}

void Metrics::CountPreemption(PreemptionLabel mode) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->preemptions.Get({{"mode", NameOf(kPreemptions, mode)}}, {})
      .Increment();
}

void Metrics::SetGuaranteeShortfall(const core::OrganisationId& organisation,
                                    int missing_gangs) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->shortfall
      .Get({{kOrganisation, this->state->Known(organisation)}},
           {{kOrganisation, kOther}})
      .Set(missing_gangs);
}

void Metrics::SetQuarantinedWorkers(std::size_t workers) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->quarantined.Get({}, {}).Set(static_cast<double>(workers));
}

void Metrics::SetFragmentation(double ratio) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->fragmentation.Get({}, {}).Set(ratio);
}

void Metrics::SetEvacuation(std::size_t data_centres,
                            std::size_t units,
                            core::Duration until_empty) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->evacuated_data_centres.Get({}, {}).Set(
      static_cast<double>(data_centres));
  this->state->evacuated_units.Get({}, {}).Set(static_cast<double>(units));
  this->state->evacuation_remaining.Get({}, {}).Set(Seconds(until_empty));
}

void Metrics::SetWaitingJobs(const std::map<std::string, std::size_t>& jobs,
                             core::Duration longest_beside_free_room) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->waiting_jobs.RemoveIf([&jobs](const Labels& labels) {
    return !jobs.contains(labels.at(kReason));
  });
  for (const auto& [reason, count] : jobs) {
    this->state->waiting_jobs.Get({{kReason, reason}}, {})
        .Set(static_cast<double>(count));
  }
  this->state->longest_idle_wait.Get({}, {}).Set(
      Seconds(longest_beside_free_room));
}

void Metrics::CountStartRefusedEvacuated() {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->evacuated_refusals.Get({}, {}).Increment();
}

void Metrics::SetConfiguration(std::uint64_t version, core::Duration age) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->configuration_version.Get({}, {}).Set(
      static_cast<double>(version));
  this->state->configuration_age.Get({}, {}).Set(Seconds(age));
}

void Metrics::CountConfigurationReadFailure(const std::string& operation) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->configuration_failures.Get({{"operation", operation}}, {})
      .Increment();
}

void Metrics::CountRemovedRun(const std::string& reason) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->removed_runs.Get({{kReason, reason}}, {}).Increment();
}

void Metrics::SetWorkerSpeeds(std::vector<WorkerSpeedFigures> workers) {
  if (workers.size() > kMaxWorkerSpeeds) {
    const auto distance = [](const WorkerSpeedFigures& worker) {
      return std::abs(std::log(worker.factor));
    };
    std::nth_element(
        workers.begin(),
        workers.begin() + static_cast<std::ptrdiff_t>(kMaxWorkerSpeeds),
        workers.end(),
        [&distance](const WorkerSpeedFigures& left,
                    const WorkerSpeedFigures& right) {
          return distance(left) > distance(right);
        });
    workers.resize(kMaxWorkerSpeeds);
  }
  std::set<std::string> exported;
  for (const WorkerSpeedFigures& worker : workers) {
    exported.insert(worker.agent.Text());
  }
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  // Gone workers make room before new ones are added.
  for (GaugeFamily* family :
       {&this->state->worker_factor, &this->state->worker_uncertainty,
        &this->state->worker_runs}) {
    family->RemoveIf([&exported](const Labels& labels) {
      return !exported.contains(labels.at(kAgent));
    });
  }
  for (const WorkerSpeedFigures& worker : workers) {
    const Labels labels = {{kAgent, worker.agent.Text()}};
    this->state->worker_factor.Get(labels, {}).Set(worker.factor);
    this->state->worker_uncertainty.Get(labels, {}).Set(worker.uncertainty);
    this->state->worker_runs.Get(labels, {}).Set(worker.runs);
  }
}

void Metrics::CountStoreCall(StoreCallLabel kind, StoreResultLabel result) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->store_calls
      .Get({{"kind", NameOf(kStoreCalls, kind)},
            {"result", NameOf(kStoreResults, result)}},
           {})
      .Increment();
}

void Metrics::AddControlBytes(TrafficLabel direction, std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->control_bytes
      .Get({{"direction", NameOf(kDirections, direction)}}, {})
      .Increment(static_cast<double>(bytes));
}

void Metrics::CountDroppedSpans(std::uint64_t spans) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->spans_dropped.Get({}, {}).Increment(static_cast<double>(spans));
}

std::string Metrics::ToText() {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->resident_bytes.Set(ResidentBytes());
  const double counted = this->state->cpu_seconds.Value();
  this->state->cpu_seconds.Increment(CpuSeconds() - counted);
  return prometheus::TextSerializer().Serialize(
      this->state->registry.Collect());
}

wire::HttpResponse Metrics::ToResponse() {
  wire::HttpResponse response;
  response.content_type = "text/plain; version=0.0.4; charset=utf-8";
  response.body = this->ToText();
  return response;
}

Metrics& ProcessMetrics() {
  static Metrics metrics;
  return metrics;
}

}  // namespace hemlockdoor::observe
