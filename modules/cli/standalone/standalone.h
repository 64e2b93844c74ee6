// Entry, agent and a demo upstream in one process, without a store.
#pragma once

#include <QTemporaryDir>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "modules/agent/agent.h"
#include "modules/cli/standalone/demo_upstream.h"
#include "modules/core/core.h"
#include "modules/entry/entry.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

/// Settings of `hemlockdoor standalone`.
struct StandaloneSettings {
  core::EntryId id = core::EntryId("standalone");
  settings::CommonSettings common;
  /// Catalogue to start with; empty: the demo catalogue.
  std::string catalogue_file;
};

/// The whole path from caller to upstream, for a first try. Nothing outlives
/// the process.
class Standalone {
 public:
  /// Starts everything on loopback. `on_stopped` runs once on the calling
  /// thread, which must run a Qt event loop, when a drain is complete.
  static core::Expected<std::unique_ptr<Standalone>> Create(
      StandaloneSettings settings,
      std::function<void()> on_stopped);
  ~Standalone();
  Standalone(const Standalone&) = delete;
  Standalone& operator=(const Standalone&) = delete;

  /// The port of the caller and operator API.
  std::uint16_t Port() const { return this->entry->Port(); }
  /// Drains the entry, then the agent.
  void BeginDrain() { this->entry->BeginDrain(); }

  /// Tokens of the demo catalogue, new at each start; empty with a catalogue
  /// of the user's own.
  const std::string& CallerToken() const { return this->caller_token; }
  const std::string& OperatorToken() const { return this->operator_token; }

 private:
  Standalone() = default;
  core::Expected<void> WriteDemoCatalogue();
  core::Expected<void> StartEntry(const StandaloneSettings& settings);
  core::Expected<void> StartAgent();
  std::string EntryEndpoint() const;

  QTemporaryDir folder;
  std::string catalogue_file;
  std::string caller_token;
  std::string operator_token;
  settings::CommonSettings common;
  std::function<void()> stopped;
  /// Started from the entry's thread; its time-out drains the agent on this
  /// one.
  QTimer agent_drain;
  std::unique_ptr<DemoUpstream> upstream;
  std::unique_ptr<agent::AgentProcess> agent;
  std::unique_ptr<entry::EntryProcess> entry;
};

/// The text that tells a person what to try.
std::string StandaloneGreeting(const Standalone& standalone);

}  // namespace hemlockdoor::cli
