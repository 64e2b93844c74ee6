// The agent role as a running process.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "modules/agent/process/agent_metrics.h"
#include "modules/core/core.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::agent {

/// Runs one agent on four threads that exchange messages through bounded
/// rings: the HTTP server, the state machine, short outgoing calls and bulk
/// outgoing calls.
class AgentProcess {
 public:
  /// Starts the threads and listens on the configured address and port. The
  /// calling thread must run a Qt event loop; `on_stopped` runs there, once,
  /// when a drain (by `BeginDrain` or the internal API) completes or reaches
  /// its timeout. Fails with kInvalidArgument for an invalid setting, and with
  /// kUnavailable when the address and port cannot be listened on.
  static core::Expected<std::unique_ptr<AgentProcess>> Create(
      settings::AgentSettings settings,
      std::function<void()> on_stopped);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  /// Returns the port on which the internal and the upstream API are served.
  std::uint16_t Port() const;
  /// Starts the graceful shutdown and returns once the state machine has
  /// begun to drain; later calls have no effect. Safe from any thread.
  void BeginDrain();
  /// Returns the current metrics. Safe from any thread.
  AgentMetrics Metrics() const;

 private:
  class Threads;
  AgentProcess();
  std::unique_ptr<Threads> threads;
};

}  // namespace hemlockdoor::agent
