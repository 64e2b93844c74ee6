// Commands: the side effects that an entry's state machine requests, as values.
// The process runs them and reports their results as events.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "modules/core/core.h"
#include "modules/entry/core/events.h"
#include "modules/model/model.h"
#include "modules/observe/observe.h"
#include "modules/store/store.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::entry {

/// Answers an HTTP request. Each request is answered at most once.
struct Answer {
  RequestId request;
  wire::HttpResponse response;
};

/// Sends a request with a small body to an agent or another entry. Ends with
/// `CallEnded`.
struct CallPeer {
  CallId call;
  std::string endpoint;
  wire::HttpMethod method = wire::HttpMethod::kPost;
  std::string target;
  std::string body;
  core::Duration timeout;
};

/// Sends a job to an agent (`run`, `reserve`) or to the planning owner
/// (`queued`). The sending thread inserts the payload into the document, so
/// that the state machine never copies the payload. Ends with `CallEnded`.
struct SendWork {
  CallId call;
  std::string endpoint;
  std::string target;
  /// The JSON body without the payload.
  nlohmann::json document;
  SharedBody payload;
  /// Name of the field of `document` that receives the payload.
  std::string payload_field = "payload";
  core::Duration timeout;
};

/// Reads one key of the store. Ends with `KeyRead`.
struct ReadKey {
  CallId call;
  std::string key;
};

/// Lists the keys of the store with a prefix. Ends with `PrefixRead`.
struct ReadPrefix {
  CallId call;
  std::string prefix;
};

/// Runs a store transaction. Ends with `TransactionEnded`.
struct CommitTransaction {
  CallId call;
  store::Transaction transaction;
};

/// Requests a new lease from the store. Ends with `LeaseGranted`.
struct GrantLease {
  CallId call;
  core::Duration ttl;
};

/// Renews a lease of the store. Ends with `LeaseRenewed`.
struct RenewLease {
  CallId call;
  store::LeaseId lease;
};

/// Writes a validated catalogue edit. The request is answered when the write
/// ends; the state machine receives no event.
struct WriteCatalogueEdit {
  EditCatalogue edit;
};

/// Informs the catalogue service that an agent has announced this catalogue
/// revision.
struct NoteRevision {
  core::CatalogueRevision revision;
};

/// Writes a log record.
struct WriteLog {
  observe::LogLevel level = observe::LogLevel::kInfo;
  std::string message;
  observe::LogContext context;
};

/// The drain is complete; the process may exit.
struct Stop {};

using Command = std::variant<Answer,
                             CallPeer,
                             SendWork,
                             ReadKey,
                             ReadPrefix,
                             CommitTransaction,
                             GrantLease,
                             RenewLease,
                             WriteCatalogueEdit,
                             NoteRevision,
                             WriteLog,
                             Stop>;

/// Commands, to be run in this order.
using Commands = std::vector<Command>;

}  // namespace hemlockdoor::entry
