// Figures that an agent process publishes.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include "modules/agent/core/agent_core.h"

namespace hemlockdoor::agent {

/// A snapshot of an agent's figures.
struct AgentMetrics {
  AgentCounters counters;
  std::size_t tasks = 0;
  std::size_t held_results = 0;
  std::int64_t held_result_bytes = 0;
  /// Bytes of targets, bodies and answers of announcements, gang messages,
  /// listings and received control requests; payloads and results excluded.
  std::uint64_t control_bytes = 0;
  /// As above, of starts, results and task reports.
  std::uint64_t payload_bytes = 0;
  /// Requests that were shed because a ring was full.
  std::uint64_t shed = 0;
};

/// Shared by the duties of one process; safe from any thread.
class SharedMetrics {
 public:
  std::atomic<std::uint64_t> control_bytes = 0;
  std::atomic<std::uint64_t> payload_bytes = 0;
  std::atomic<std::uint64_t> shed = 0;
  std::atomic<bool> ready = false;

  /// Takes over the figures of the state machine.
  void Publish(const AgentCore& state, bool is_ready) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->snapshot.counters = state.Counters();
    this->snapshot.tasks = state.TaskCount();
    this->snapshot.held_results = state.HeldResultCount();
    this->snapshot.held_result_bytes = state.HeldResultBytes();
    this->ready.store(is_ready);
  }

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
