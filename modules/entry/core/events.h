// Events: the inputs of an entry's state machine, as values.
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

/// Identifies a received HTTP request until it is answered.
using RequestId = core::StrongNumber<detail::RequestTag>;
/// Identifies an outgoing HTTP call or store call until it ends.
using CallId = core::StrongNumber<detail::CallTag>;
/// A payload or result, shared between threads and steps to avoid copies.
using SharedBody = std::shared_ptr<const std::string>;

/// A caller submits a job.
struct SubmitJob {
  RequestId request;
  /// The state machine sets the organisation and the job id.
  model::JobDescription description;
  SharedBody payload;
  core::OrganisationId organisation;
  std::optional<std::string> idempotency_key;
  /// Hash of the request body. Detects an idempotency key that is reused with a
  /// different body.
  std::string body_hash;
  /// How long the caller waits for the job to end; zero: the entry answers 202
  /// at once. Without a value the entry decides: it waits for short jobs only.
  std::optional<core::Duration> wait;
  std::string traceparent;
};

/// Whether a query asks for the status of a job or for its result.
enum class JobQueryKind { kStatus, kResult };

/// A caller or another entry queries a job.
struct QueryJob {
  RequestId request;
  core::OrganisationId organisation;
  core::JobId job;
  JobQueryKind kind = JobQueryKind::kStatus;
  /// The query comes from another entry, which searches the agents and the
  /// store itself; this entry then looks the job up only in its own job table.
  bool from_peer = false;
};

/// A caller lists the jobs of its organisation that this entry holds.
struct ListJobs {
  RequestId request;
  core::OrganisationId organisation;
};

/// A caller or another entry cancels a job.
struct CancelJob {
  RequestId request;
  core::OrganisationId organisation;
  core::JobId job;
  bool from_peer = false;
};

/// The client closed the connection of a request before the request was
/// answered.
struct ClientDisconnected {
  RequestId request;
};

/// An agent sent its periodic announcement.
struct AgentAnnounced {
  RequestId request;
  model::Announcement announcement;
};

/// An agent or another entry reports the end of an attempt.
struct ResultDelivered {
  RequestId request;
  /// The notice with an empty `body`; the body can be large and is in `body`
  /// below.
  model::ResultNotice notice;
  SharedBody body;
};

/// Another entry hands a job over to this entry as the planning owner.
struct JobHandedOver {
  RequestId request;
  model::JobDescription description;
  SharedBody payload;
  /// Internal endpoint of the entry that accepted the job from the caller.
  std::string reply_to;
  std::string body_hash;
  /// Version of the job's store record; 0 when the job has no record.
  store::ModRevision record_revision;
  /// True when the store contains the payload.
  bool payload_stored = false;
  std::string traceparent;
};

/// An outgoing HTTP call ended.
struct CallEnded {
  CallId call;
  core::Expected<wire::HttpResponse> response;
};

/// `ReadKey` ended.
struct KeyRead {
  CallId call;
  core::Expected<std::optional<store::KeyValue>> item;
};

/// `ReadPrefix` ended.
struct PrefixRead {
  CallId call;
  core::Expected<store::Listing> listing;
};

/// `CommitTransaction` ended.
struct TransactionEnded {
  CallId call;
  core::Expected<store::TransactionResult> outcome;
};

/// `GrantLease` ended.
struct LeaseGranted {
  CallId call;
  core::Expected<store::LeaseId> lease;
};

/// `RenewLease` ended. On success `time_left` is the remaining lifetime of the
/// lease.
struct LeaseRenewed {
  CallId call;
  core::Expected<core::Duration> time_left;
};

/// A new revision of the catalogue takes effect.
struct CatalogueChanged {
  std::shared_ptr<const model::Catalogue> catalogue;
};

/// Which list an operator requests.
enum class OperatorQueryKind { kWorkers, kReservations, kQuarantine };

/// An operator requests a list from this entry.
struct OperatorQuery {
  RequestId request;
  OperatorQueryKind kind = OperatorQueryKind::kWorkers;
};

/// An operator reads the catalogue, or the one entry called `name`.
struct ReadCatalogue {
  RequestId request;
  std::optional<core::CatalogueEntryName> name;
};

/// An operator edits the catalogue, or, with `check_only`, validates an edit
/// without applying it.
struct EditCatalogue {
  RequestId request;
  CatalogueChange change;
  /// Catalogue revision that the edit is based on.
  core::CatalogueRevision if_match;
  bool check_only = false;
};

/// An operator drains one worker.
struct DrainWorker {
  RequestId request;
  core::AgentId agent;
};

/// The entry is to drain and stop. `request` is set when an operator asked for
/// it, and empty when the process was told to stop.
struct DrainRequested {
  std::optional<RequestId> request;
};

/// The periodic timer fired; sent every `kTickPeriod`.
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

/// Period of `Tick` events.
inline constexpr core::Duration kTickPeriod = core::Duration::Milliseconds(50);

}  // namespace hemlockdoor::entry
