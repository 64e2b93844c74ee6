// Metrics of an agent process.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include "modules/agent/core/agent_core.h"

namespace hemlockdoor::agent {

/// A snapshot of an agent's metrics.
struct AgentMetrics {
  AgentCounters counters;
  std::size_t tasks = 0;
  std::size_t held_results = 0;
  std::int64_t held_result_bytes = 0;
  /// Bytes of paths and bodies of control traffic: announcements, gang
  /// messages and task listings with their responses, received requests that
  /// carry neither a payload nor a result, and all responses of this agent.
  std::uint64_t control_bytes = 0;
  /// Bytes of paths and bodies of payload traffic: sent starts, sent results,
  /// requests about single tasks with their responses, and received `run`,
  /// `reserve` and `finished` requests.
  std::uint64_t payload_bytes = 0;
  /// Requests answered 503 because too many were pending, the ring to the
  /// state machine was full, or this agent was starting or closing.
  std::uint64_t shed = 0;
};

/// Metrics that the duties of one process share. Methods and counters may be
/// used from any thread.
class SharedMetrics {
 public:
  std::atomic<std::uint64_t> control_bytes = 0;
  std::atomic<std::uint64_t> payload_bytes = 0;
  std::atomic<std::uint64_t> shed = 0;
  std::atomic<bool> ready = false;

  /// Updates the snapshot from the state machine, and the readiness.
  void Publish(const AgentCore& state, bool is_ready) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->snapshot.counters = state.Counters();
    this->snapshot.tasks = state.TaskCount();
    this->snapshot.held_results = state.HeldResultCount();
    this->snapshot.held_result_bytes = state.HeldResultBytes();
    this->ready.store(is_ready);
  }

  /// Returns the latest snapshot with the current counters.
  AgentMetrics Read() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    AgentMetrics metrics = this->snapshot;
    metrics.control_bytes = this->control_bytes.load();
    metrics.payload_bytes = this->payload_bytes.load();
    metrics.shed = this->shed.load();
    return metrics;
  }

 private:
  mutable std::mutex mutex;
  AgentMetrics snapshot;
};

}  // namespace hemlockdoor::agent
