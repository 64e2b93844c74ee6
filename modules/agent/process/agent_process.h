// The agent role as a running process.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "modules/agent/process/agent_metrics.h"
#include "modules/core/core.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::agent {

/// Runs one agent: an HTTP server, the state machine, short outgoing calls and
/// bulk outgoing calls on a thread each, joined by bounded rings.
class AgentProcess {
 public:
  /// Listens and starts. `on_stopped` runs once, after `BeginDrain` (or a
  /// drain by the internal API) when the last work has ended or the drain
  /// timeout has passed, on the thread that calls this, which must run a Qt
  /// event loop. Fails with kInvalidArgument for a wrong setting and
  /// kUnavailable when the port is taken.
  static core::Expected<std::unique_ptr<AgentProcess>> Create(
      settings::AgentSettings settings,
      std::function<void()> on_stopped);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  /// The port of the internal and upstream API.
  std::uint16_t Port() const;
  /// Starts the graceful shutdown; later calls do nothing. Safe from any
  /// thread.
  void BeginDrain();
  /// Figures for metrics. Safe from any thread.
  AgentMetrics Metrics() const;

 private:
  class Threads;
  AgentProcess();
  std::unique_ptr<Threads> threads;
};

}  // namespace hemlockdoor::agent
