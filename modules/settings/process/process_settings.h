// Typed settings of entry and agent processes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::settings {

/// Text that is never printed.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string secret_text) : text(std::move(secret_text)) {}
  /// The secret itself, for comparison and for sending to peers.
  const std::string& Reveal() const { return this->text; }
  bool IsEmpty() const { return this->text.empty(); }

 private:
  std::string text;
};

/// How records are logged.
struct LogSettings {
  /// "debug", "info", "warn" or "error".
  std::string level = "info";
  /// True: one JSON object a line; false: plain text.
  bool json = false;
};

/// Where spans go; no endpoint: no export.
struct TraceSettings {
  /// "ADDRESS:PORT" of an OTLP/HTTP collector.
  std::optional<std::string> collector;
};

/// What entry and agent share.
struct CommonSettings {
  core::DataCentreId data_centre;
  /// IP address the process listens on, and tells its peers.
  std::string address = "127.0.0.1";
  /// Port; 0: the kernel chooses.
  std::uint16_t port = 0;
  /// "ADDRESS:PORT" told to peers, where it differs from `address` and `port`
  /// (behind a forwarder); empty: the listening address.
  std::string advertised_endpoint;
  /// When set, the process writes its port there after it listens.
  std::string port_file;
  /// Shared by all processes of one deployment.
  Secret internal_key;
  /// Longest time a graceful shutdown waits for work in progress.
  core::Duration drain_timeout = core::Duration::Seconds(30);
  LogSettings logs;
  TraceSettings traces;
};

/// Settings of `hemlockdoor entry`.
struct EntrySettings {
  core::EntryId id;
  CommonSettings common;
  /// "ADDRESS:PORT" of the store's gateway; empty: in-memory (standalone).
  std::string store;
  /// Internal endpoints of other entries, "ADDRESS:PORT".
  std::vector<std::string> peers;
  /// Tried when the store has no catalogue yet: a file to load once.
  std::string initial_catalogue;
};

/// Settings of `hemlockdoor agent`.
struct AgentSettings {
  core::AgentId id;
  CommonSettings common;
  /// "ADDRESS:PORT" of entries, or of the balancer in front of them.
  std::vector<std::string> entries;
  /// "ADDRESS:PORT" of the upstream beside this agent. The upstream announces
  /// its shape to the agent.
  std::string upstream;
  /// Bound on the results kept for acknowledgement; the upstream keeps what
  /// does not fit. With more, a few results of 8 MB take an agent above 64 MB.
  std::int64_t max_held_result_bytes = std::int64_t{12} * 1024 * 1024;
};

}  // namespace hemlockdoor::settings
