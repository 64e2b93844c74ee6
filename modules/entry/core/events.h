// What happens to an entry, as values.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/catalogue/catalogue_service.h"
#include "modules/model/model.h"
#include "modules/store/store.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::entry {

namespace detail {
struct RequestTag {};
struct CallTag {};
}  // namespace detail

/// A received HTTP request that waits for its answer.
using RequestId = core::StrongNumber<detail::RequestTag>;
/// An outgoing HTTP call or store call that waits for its end.
using CallId = core::StrongNumber<detail::CallTag>;
/// A payload or result; shared so that no step copies it.
using SharedBody = std::shared_ptr<const std::string>;

/// A caller submits a job.
struct SubmitJob {
  RequestId request;
  /// Organisation and id are filled in by the state machine.
  model::JobDescription description;
  SharedBody payload;
  core::OrganisationId organisation;
  std::optional<std::string> idempotency_key;
  /// Hash of the body, to detect a reused key.
  std::string body_hash;
  /// How long the caller waits for the end; zero: answer 202 at once. Nothing:
  /// the caller did not say; short work waits, long work does not.
  std::optional<core::Duration> wait;
  std::string traceparent;
};

/// What a caller or another entry wants to know of a job.
enum class JobQueryKind { kStatus, kResult };

/// Asks for a job. `from_peer`: asked by another entry, which has looked at
/// the agents and the store itself.
struct QueryJob {
  RequestId request;
  core::OrganisationId organisation;
  core::JobId job;
  JobQueryKind kind = JobQueryKind::kStatus;
  bool from_peer = false;
};

/// Asks for all jobs of an organisation that this entry holds.
struct ListJobs {
  RequestId request;
  core::OrganisationId organisation;
};

/// Cancels a job.
struct CancelJob {
  RequestId request;
  core::OrganisationId organisation;
  core::JobId job;
  bool from_peer = false;
};

/// The connection of a request was closed before its answer.
struct ClientDisconnected {
  RequestId request;
};

/// An agent announced itself.
struct AgentAnnounced {
  RequestId request;
  model::Announcement announcement;
};

/// An agent delivers the end of an attempt.
struct ResultDelivered {
  RequestId request;
  /// Without its body, which is large at times.
  model::ResultNotice notice;
  SharedBody body;
};

/// Another entry hands a job to the planning owner.
struct JobHandedOver {
  RequestId request;
  model::JobDescription description;
  SharedBody payload;
  /// Internal endpoint of the entry that holds the caller.
  std::string reply_to;
  std::string body_hash;
  /// Version of the job's store record; 0: it has none.
  store::ModRevision record_revision;
  bool payload_stored = false;
  std::string traceparent;
};

/// An outgoing HTTP call ended.
struct CallEnded {
  CallId call;
  core::Expected<wire::HttpResponse> response;
};

/// A store read ended.
struct KeyRead {
  CallId call;
  core::Expected<std::optional<store::KeyValue>> item;
};

/// A store listing ended.
struct PrefixRead {
  CallId call;
  core::Expected<store::Listing> listing;
};

/// A store transaction ended.
struct TransactionEnded {
  CallId call;
  core::Expected<store::TransactionResult> outcome;
};

/// The store granted a lease.
struct LeaseGranted {
  CallId call;
  core::Expected<store::LeaseId> lease;
};

/// The store kept a lease alive, or not.
struct LeaseRenewed {
  CallId call;
  core::Expected<core::Duration> time_left;
};

/// A catalogue is in force from now on.
struct CatalogueChanged {
  std::shared_ptr<const model::Catalogue> catalogue;
};

/// What an operator asks this entry.
enum class OperatorQueryKind { kWorkers, kReservations, kQuarantine };

/// An operator's read request.
struct OperatorQuery {
  RequestId request;
  OperatorQueryKind kind = OperatorQueryKind::kWorkers;
};

/// An operator reads the catalogue, or one entry.
struct ReadCatalogue {
  RequestId request;
  std::optional<core::CatalogueEntryName> name;
};

/// An operator edits the catalogue, or has an edit checked.
struct EditCatalogue {
  RequestId request;
  CatalogueChange change;
  /// Revision that the operator has read.
  core::CatalogueRevision if_match;
  bool check_only = false;
};

/// An operator drains one worker.
struct DrainWorker {
  RequestId request;
  core::AgentId agent;
};

/// The entry shall stop gracefully; `request` when an operator asked for it.
struct DrainRequested {
  std::optional<RequestId> request;
};

/// Time went on; sent each `kTickPeriod`.
struct Tick {};

using Event = std::variant<SubmitJob,
                           QueryJob,
                           ListJobs,
                           CancelJob,
                           ClientDisconnected,
                           AgentAnnounced,
                           ResultDelivered,
                           JobHandedOver,
                           CallEnded,
                           KeyRead,
                           PrefixRead,
                           TransactionEnded,
                           LeaseGranted,
                           LeaseRenewed,
                           CatalogueChanged,
                           OperatorQuery,
                           ReadCatalogue,
                           EditCatalogue,
                           DrainWorker,
                           DrainRequested,
                           Tick>;

/// Longest time between two `Tick` events.
inline constexpr core::Duration kTickPeriod = core::Duration::Milliseconds(50);

}  // namespace hemlockdoor::entry
