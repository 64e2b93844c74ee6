// State and outgoing calls that the services of an entry's state machine share.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/decide.h"
#include "modules/entry/api/answers.h"
#include "modules/entry/core/agent_directory.h"
#include "modules/entry/core/commands.h"
#include "modules/entry/core/events.h"
#include "modules/entry/core/job_table.h"
#include "modules/entry/core/planning_ownership.h"
#include "modules/entry/core/retry_budget.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// The scheduler that places this entry's jobs.
using PlacementScheduler = decide::Scheduler;

/// Parameters of an entry's state machine that stay fixed while it runs.
struct EntryOptions {
  core::EntryId id;
  core::Incarnation incarnation;
  /// Internal endpoint of this entry, "ADDRESS:PORT".
  std::string endpoint;
  /// Internal endpoints of the other entries.
  std::vector<std::string> peers;
  /// How long a drain waits for open jobs before the entry stops regardless.
  core::Duration drain_timeout = core::Duration::Seconds(30);
  /// Seed of the scheduler's random choices.
  std::uint64_t seed = 1;
  JobTableLimits limits;
};

class AttemptRunner;
class CallerService;
class GangCoordinator;
class OperatorService;
class OwnershipService;
class RecordService;

/// Continuations of outgoing calls. Each runs once, when its call has ended.
using OnResponse =
    std::function<void(const core::Expected<wire::HttpResponse>&)>;
using OnKey =
    std::function<void(const core::Expected<std::optional<store::KeyValue>>&)>;
using OnPrefix = std::function<void(const core::Expected<store::Listing>&)>;
using OnTransaction =
    std::function<void(const core::Expected<store::TransactionResult>&)>;
using OnLease = std::function<void(const core::Expected<store::LeaseId>&)>;
using OnLeaseRenewed =
    std::function<void(const core::Expected<core::Duration>&)>;

/// Destination of an outgoing HTTP call.
struct CallTarget {
  std::string endpoint;
  wire::HttpMethod method = wire::HttpMethod::kPost;
  std::string target;
};

/// Timeout of a call without a payload to an agent or another entry.
inline constexpr core::Duration kShortCallTimeout =
    core::Duration::Milliseconds(1000);
/// Timeout of a call that carries a payload or a result, without the size-based
/// part.
inline constexpr core::Duration kWorkCallTimeout =
    core::Duration::Milliseconds(3000);
/// Added to `kWorkCallTimeout` for each full MB of the payload or result.
inline constexpr core::Duration kWorkCallTimePerMegabyte =
    core::Duration::Milliseconds(500);

/// State that the services of the state machine share, and the calls they make.
/// The services call each other through the pointers, which EntryCore sets
/// before the first event. Calls only append commands; the caller of the state
/// machine runs the commands after each event.
class EntryContext {
 public:
  EntryContext(const EntryOptions& entry_options, PlacementScheduler initial)
      : options(entry_options),
        jobs(entry_options.limits),
        ownership(entry_options.id, entry_options.endpoint),
        scheduler(std::move(initial)) {}

  EntryOptions options;
  /// Time of the event that is being handled.
  core::TimePoint now;
  /// Time of the first event.
  core::TimePoint started_at;
  AgentDirectory agents;
  JobTable jobs;
  RetryBudget retries;
  PlanningOwnership ownership;
  PlacementScheduler scheduler;
  std::shared_ptr<const model::Catalogue> catalogue;
  /// Highest catalogue revision that an agent has reported.
  core::CatalogueRevision seen_revision;
  bool draining = false;
  /// Set by any change that may allow a queued job to start. The scheduler then
  /// runs at the end of the present event.
  bool plan_needed = false;
  /// Store writes and reads made for durable jobs.
  std::uint64_t record_writes = 0;
  std::uint64_t record_reads = 0;

  AttemptRunner* attempts = nullptr;
  CallerService* callers = nullptr;
  GangCoordinator* gangs = nullptr;
  OperatorService* operators = nullptr;
  OwnershipService* owners = nullptr;
  RecordService* records = nullptr;

  /// Revision of the catalogue in use; zero before a catalogue is loaded.
  core::CatalogueRevision Revision() const {
    return this->catalogue ? this->catalogue->revision
                           : core::CatalogueRevision();
  }
  void Answer(RequestId request, wire::HttpResponse response);
  void AnswerProblem(RequestId request, const Problem& problem);
  /// Sends a request with the timeout `kShortCallTimeout`.
  void Call(const CallTarget& target, std::string body, OnResponse done);
  /// Sends `document` by POST with `payload` in its field `payload_field`. The
  /// timeout grows with the payload.
  void SendWork(const CallTarget& target,
                nlohmann::json document,
                SharedBody payload,
                OnResponse done,
                std::string payload_field = "payload");
  void Read(const std::string& key, OnKey done);
  void List(const std::string& prefix, OnPrefix done);
  void Commit(store::Transaction transaction, OnTransaction done);
  /// Requests a new store lease.
  void Grant(core::Duration ttl, OnLease done);
  /// Renews a store lease; `done` receives its remaining lifetime.
  void Renew(store::LeaseId lease, OnLeaseRenewed done);
  /// Writes a validated edit. The request is answered when the write ends.
  void WriteCatalogue(const EditCatalogue& edit);
  /// Informs the catalogue service of a revision that an agent has announced.
  void ReportRevision(core::CatalogueRevision revision);
  /// Reports that the drain is complete, so that the process may exit.
  void RequestStop();
  /// Writes a log record, with the ids of `job` and its organisation if given.
  void Log(observe::LogLevel level,
           std::string message,
           const Job* job = nullptr);

  /// Runs the continuation of a call that ended. Unknown calls are ignored.
  void Resume(const CallEnded& event);
  void Resume(const KeyRead& event);
  void Resume(const PrefixRead& event);
  void Resume(const TransactionEnded& event);
  void Resume(const LeaseGranted& event);
  void Resume(const LeaseRenewed& event);
  /// Returns the pending commands and clears them.
  Commands TakeCommands();

 private:
  CallId NextCall();

  Commands commands;
  std::uint64_t last_call = 0;
  std::unordered_map<CallId, OnResponse> responses;
  std::unordered_map<CallId, OnKey> keys;
  std::unordered_map<CallId, OnPrefix> prefixes;
  std::unordered_map<CallId, OnTransaction> transactions;
  std::unordered_map<CallId, OnLease> leases;
  std::unordered_map<CallId, OnLeaseRenewed> renewals;
};

}  // namespace hemlockdoor::entry
