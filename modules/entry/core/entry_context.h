// State and outgoing calls shared by the parts of an entry's state machine.
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

/// The scheduler in use.
using PlacementScheduler = decide::Scheduler;

/// Fixed parameters of an entry's state machine.
struct EntryOptions {
  core::EntryId id;
  core::Incarnation incarnation;
  /// Own internal endpoint, "ADDRESS:PORT".
  std::string endpoint;
  /// Internal endpoints of other entries.
  std::vector<std::string> peers;
  core::Duration drain_timeout = core::Duration::Seconds(30);
  std::uint64_t seed = 1;
  JobTableLimits limits;
};

class AttemptRunner;
class CallerService;
class GangCoordinator;
class OperatorService;
class OwnershipService;
class RecordKeeper;

/// Continuations of outgoing calls.
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

/// Where an outgoing call goes.
struct CallTarget {
  std::string endpoint;
  wire::HttpMethod method = wire::HttpMethod::kPost;
  std::string target;
};

/// Longest time of one short call to a peer.
inline constexpr core::Duration kShortCallTimeout =
    core::Duration::Milliseconds(1000);
/// Longest time of one call that carries a payload or a result.
inline constexpr core::Duration kWorkCallTimeout =
    core::Duration::Milliseconds(3000);

/// Added for each MB of it.
inline constexpr core::Duration kWorkCallTimePerMegabyte =
    core::Duration::Milliseconds(500);

/// What the parts of the state machine share. The parts call each other
/// through the pointers, which EntryCore sets.
class EntryContext {
 public:
  EntryContext(const EntryOptions& entry_options, PlacementScheduler initial)
      : options(entry_options),
        jobs(entry_options.limits),
        ownership(entry_options.id, entry_options.endpoint),
        scheduler(std::move(initial)) {}

  EntryOptions options;
  core::TimePoint now;
  core::TimePoint started_at;
  AgentDirectory agents;
  JobTable jobs;
  RetryBudget retries;
  PlanningOwnership ownership;
  PlacementScheduler scheduler;
  std::shared_ptr<const model::Catalogue> catalogue;
  /// Highest catalogue revision that an agent told of.
  core::CatalogueRevision seen_revision;
  bool draining = false;
  /// Something happened that may let a queued job start.
  bool plan_needed = false;
  /// Store calls that durable jobs caused.
  std::uint64_t record_writes = 0;
  std::uint64_t record_reads = 0;

  AttemptRunner* attempts = nullptr;
  CallerService* callers = nullptr;
  GangCoordinator* gangs = nullptr;
  OperatorService* operators = nullptr;
  OwnershipService* owners = nullptr;
  RecordKeeper* records = nullptr;

  core::CatalogueRevision Revision() const {
    return this->catalogue ? this->catalogue->revision
                           : core::CatalogueRevision();
  }
  void Answer(RequestId request, wire::HttpResponse response);
  void AnswerProblem(RequestId request, const Problem& problem);
  void Call(const CallTarget& target, std::string body, OnResponse done);
  void SendWork(const CallTarget& target,
                nlohmann::json document,
                SharedBody payload,
                OnResponse done,
                std::string payload_field = "payload");
  void Read(const std::string& key, OnKey done);
  void List(const std::string& prefix, OnPrefix done);
  void Commit(store::Transaction transaction, OnTransaction done);
  void Grant(core::Duration ttl, OnLease done);
  void Renew(store::LeaseId lease, OnLeaseRenewed done);
  /// Has a checked edit written; its end answers the request.
  void WriteCatalogue(const EditCatalogue& edit);
  /// Tells the catalogue service of a revision that agents know.
  void ReportRevision(core::CatalogueRevision revision);
  /// The drain is complete.
  void RequestStop();
  void Log(observe::LogLevel level,
           std::string message,
           const Job* job = nullptr);

  /// Runs the continuation of a call that ended; unknown calls are ignored.
  void Resume(const CallEnded& event);
  void Resume(const KeyRead& event);
  void Resume(const PrefixRead& event);
  void Resume(const TransactionEnded& event);
  void Resume(const LeaseGranted& event);
  void Resume(const LeaseRenewed& event);
  /// Takes the commands made so far.
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
