// What a command line asks for, as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::cli {

/// `entry --settings FILE`.
struct EntryCommand {
  std::string settings_file;
};

/// `agent --settings FILE`.
struct AgentCommand {
  std::string settings_file;
};

/// `hosted-entry --settings FILE`.
struct HostedEntryCommand {
  std::string settings_file;
};

/// `hosted-agent --settings FILE`.
struct HostedAgentCommand {
  std::string settings_file;
};

/// `standalone`.
struct StandaloneCommand {
  /// Port of the entry; 0: the kernel chooses.
  std::uint16_t port = 0;
  /// Catalogue to start with; empty: the demo catalogue.
  std::string catalogue_file;
  /// Where the entry's port is written; empty: nowhere.
  std::string port_file;
};

/// `check FILE`: settings or a catalogue.
struct CheckCommand {
  std::string file;
};

/// `plan`: the decision code offline.
struct PlanCommand {
  std::string workers_file;
  std::string catalogue_file;
  std::string jobs_file;
  bool json = false;
};

/// What every command that calls an entry has.
struct ClientOptions {
  /// Entries as "ADDRESS:PORT", tried in turn.
  std::vector<std::string> entries;
  /// File with the bearer token; empty: the environment variable is used.
  std::string token_file;
  /// Longest time one call may take.
  core::Duration timeout = core::Duration::Seconds(10);
  bool json = false;
};

/// `submit`.
struct SubmitCommand {
  ClientOptions client;
  model::JobDescription description;
  /// File with the payload, "-" for standard input; empty: no payload.
  std::string payload_file;
  std::string idempotency_key;
  /// How long to wait for the end; zero: only until the job is accepted.
  core::Duration wait;
};

/// `status [JOB]`.
struct StatusCommand {
  ClientOptions client;
  std::string job;
};

/// `cancel JOB`.
struct CancelCommand {
  ClientOptions client;
  std::string job;
};

enum class CatalogueAction { kGet, kPut, kEdit, kDelete, kCheck };

/// `catalogue get|put|edit|delete|check`.
struct CatalogueCommand {
  ClientOptions client;
  CatalogueAction action = CatalogueAction::kGet;
  /// Entry name; empty: the whole catalogue.
  std::string name;
  std::string file;
  /// Revision the edit is based on; empty: the newest one.
  std::string if_match;
};

/// `drain worker ID` or `drain entry`.
struct DrainCommand {
  ClientOptions client;
  /// The worker; nothing: the entry itself.
  std::optional<std::string> worker;
};

/// `explain --file JOB` or `explain --job ID`.
struct ExplainCommand {
  /// Internal endpoint of an entry, "ADDRESS:PORT".
  std::string entry;
  /// Description of a job; empty if `job` is set.
  std::string file;
  std::string job;
  core::Duration timeout = core::Duration::Seconds(10);
  bool json = false;
};

/// `--help` and `--version`: print and end.
struct ShowTextCommand {
  std::string text;
};

using Command = std::variant<EntryCommand,
                             AgentCommand,
                             HostedEntryCommand,
                             HostedAgentCommand,
                             StandaloneCommand,
                             CheckCommand,
                             PlanCommand,
                             SubmitCommand,
                             StatusCommand,
                             CancelCommand,
                             CatalogueCommand,
                             DrainCommand,
                             ExplainCommand,
                             ShowTextCommand>;

}  // namespace hemlockdoor::cli
