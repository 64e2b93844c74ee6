// What an entry's state machine wants done, as values.
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

/// Answers a request, once.
struct Answer {
  RequestId request;
  wire::HttpResponse response;
};

/// Sends a small request to a peer.
struct CallPeer {
  CallId call;
  std::string endpoint;
  wire::HttpMethod method = wire::HttpMethod::kPost;
  std::string target;
  std::string body;
  core::Duration timeout;
};

/// Sends work to an agent (`run`, `reserve`) or to the planning owner
/// (`queued`). The payload is put into the document by the sender, so that the
/// state machine never copies it.
struct SendWork {
  CallId call;
  std::string endpoint;
  std::string target;
  /// The document without its payload.
  nlohmann::json document;
  SharedBody payload;
  /// Where in the document the payload goes.
  std::string payload_field = "payload";
  core::Duration timeout;
};

/// Reads one key.
struct ReadKey {
  CallId call;
  std::string key;
};

/// Lists a prefix.
struct ReadPrefix {
  CallId call;
  std::string prefix;
};

/// Runs a transaction.
struct CommitTransaction {
  CallId call;
  store::Transaction transaction;
};

/// Grants a lease.
struct GrantLease {
  CallId call;
  core::Duration ttl;
};

/// Keeps a lease alive.
struct RenewLease {
  CallId call;
  store::LeaseId lease;
};

/// Writes a checked catalogue edit; its end answers the request.
struct WriteCatalogueEdit {
  EditCatalogue edit;
};

/// Tells the catalogue service of a revision that agents know.
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

/// Commands in the order in which they are to be run.
using Commands = std::vector<Command>;

}  // namespace hemlockdoor::entry
