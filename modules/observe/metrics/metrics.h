// Metrics of one process, in the Prometheus text format.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::observe {

/// How a job ended.
enum class OutcomeLabel { kDone, kFailed, kNotRun, kCancelled, kUnknown };

/// Why a request or job was refused.
enum class RefusalLabel {
  kInvalid,           ///< Malformed or out of range.
  kUnauthorized,      ///< No valid token.
  kForbidden,         ///< Valid token without the right.
  kTooLarge,          ///< Header, body or payload limit.
  kNeverRunnable,     ///< No possible set of workers fits.
  kOverLimit,         ///< A cap of the catalogue entry.
  kNoEntry,           ///< No catalogue entry covers the class.
  kQueueFull,         ///< Bounded queue or ring is full.
  kDeadline,          ///< Cannot end in time.
  kShed,              ///< Load shedding.
  kFaulty,            ///< Failed on several good workers.
  kStoreUnavailable,  ///< Needs the store, which is down.
  kDraining,          ///< This process is draining.
};

/// How capacity was taken back.
enum class PreemptionLabel { kCheckpoint, kThrottle, kStop };

/// Kind of a call to the store.
enum class StoreCallLabel { kRead, kWrite, kLease, kWatch };

/// End of a call to the store.
enum class StoreResultLabel { kOk, kConflict, kTimeout, kUnavailable };

/// Direction of control traffic.
enum class TrafficLabel { kSent, kReceived };

/// Estimated speed of one worker.
struct WorkerSpeedFigures {
  core::AgentId agent;
  /// Time factor; 1.0 is the fleet's median, and higher is slower.
  double factor = 1.0;
  /// Standard deviation of the logarithm of `factor`.
  double uncertainty = 0;
  /// Number of runs behind the estimate.
  int runs = 0;
};

/// The counters, gauges and histograms of one process. All calls are safe from
/// any thread and cost one lock and one lookup. Organisations and classes that
/// the catalogue does not name count as "other", so callers cannot add series.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Organisations and classes of the catalogue in force. Series of names that
  /// are gone are removed.
  void SetCatalogueNames(const std::set<core::OrganisationId>& organisations,
                         const std::set<core::JobClass>& classes);

  void CountJobEnd(const core::OrganisationId& organisation,
                   const core::JobClass& job_class,
                   OutcomeLabel outcome);
  void SetQueueLength(const core::OrganisationId& organisation,
                      const core::JobClass& job_class,
                      std::size_t jobs);
  /// Time from submission to the start.
  void ObserveWait(const core::JobClass& job_class, core::Duration wait);
  /// Time from submission to the end.
  void ObserveCompletion(const core::JobClass& job_class,
                         core::Duration completion);
  /// Wait of one piece of short work, which is how head-of-line blocking behind
  /// long work shows.
  void ObserveShortWait(core::Duration wait);
  void CountRefusal(RefusalLabel reason);
  void SetReservations(std::size_t reservations);
  void CountPreemption(PreemptionLabel mode);
  /// Gangs of an organisation's guarantees that cannot be placed now.
  void SetGuaranteeShortfall(const core::OrganisationId& organisation,
                             int missing_gangs);
  void SetQuarantinedWorkers(std::size_t workers);
  /// Share of free accelerators that are not in a wholly free block of adjacent
  /// ones, 0 to 1.
  void SetFragmentation(double ratio);
  /// Data centres that are evacuated, the units that still run there, and the
  /// expected time until the last of them ends.
  void SetEvacuation(std::size_t data_centres,
                     std::size_t units,
                     core::Duration until_empty);
  /// Jobs that have nothing running although units are ready, by what they wait
  /// for, and the longest wait while most of the room is free. Replaces the
  /// earlier figures.
  void SetWaitingJobs(const std::map<std::string, std::size_t>& jobs,
                      core::Duration longest_beside_free_room);
  /// A start that an agent refused because its data centre is evacuated.
  void CountStartRefusedEvacuated();
  /// Version of the configuration in use, and how long ago it was certainly the
  /// newest one.
  void SetConfiguration(std::uint64_t version, core::Duration age);
  /// A failed read or watch ("read", "watch") of the configuration.
  void CountConfigurationReadFailure(const std::string& operation);
  /// A run that an agent no longer lists although its worker has not stated its
  /// end.
  void CountRemovedRun(const std::string& reason);
  /// Speeds of the workers that this process plans for; replaces the earlier
  /// ones. Of more than `kMaxWorkerSpeeds` workers, those are exported whose
  /// factors differ most from 1.0.
  void SetWorkerSpeeds(std::vector<WorkerSpeedFigures> workers);
  void CountStoreCall(StoreCallLabel kind, StoreResultLabel result);
  void AddControlBytes(TrafficLabel direction, std::uint64_t bytes);
  void CountDroppedSpans(std::uint64_t spans);

  /// All metrics in the Prometheus text format, with the process's CPU time and
  /// resident memory as of now.
  std::string ToText();
  /// The answer to `GET /metrics`.
  wire::HttpResponse ToResponse();

  /// Most series of one family; further ones count as "other".
  static constexpr std::size_t kMaxSeriesPerFamily = 4096;
  /// Most workers whose speeds are exported, in three series each.
  static constexpr std::size_t kMaxWorkerSpeeds = 1000;

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// The metrics of this process.
Metrics& ProcessMetrics();

}  // namespace hemlockdoor::observe
