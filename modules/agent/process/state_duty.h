// The duty that runs an agent's state machine.
#pragma once

#include <QTimer>
#include <memory>
#include <vector>

#include "modules/agent/core/agent_core.h"
#include "modules/agent/process/agent_metrics.h"
#include "modules/agent/process/outgoing_calls.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// Feeds events to `AgentCore` and passes its commands to the other duties. A
/// call that finds no room in a ring counts as not sent, and its outcome is
/// handled with the next tick.
class StateDuty {
 public:
  /// Inboxes of the other duties.
  struct Inboxes {
    wire::Inbox<Command>& answers;
    wire::Inbox<Command>& short_calls;
    wire::Inbox<Command>& bulk_calls;
  };

  StateDuty(const AgentCoreOptions& options,
            Inboxes duty_inboxes,
            SharedMetrics& shared_metrics);
  StateDuty(const StateDuty&) = delete;
  StateDuty& operator=(const StateDuty&) = delete;

  /// Starts the ticks.
  void Open();
  void Close();
  /// Starts the drain.
  void Drain() { this->Handle(DrainRequested{}); }
  /// Requests; may be full.
  wire::Inbox<Event>& Requests() { return this->requests; }
  /// Outcomes of calls; has room for every outstanding call.
  wire::Inbox<Event>& Outcomes() { return this->outcomes; }

 private:
  void Handle(Event event);
  void OnOutcome(Event event);
  void OnTick();
  void Dispatch(Command command);
  void DispatchCall(Command command);

  SharedMetrics& metrics;
  Inboxes inboxes;
  AgentCore core;
  wire::Inbox<Event> requests;
  wire::Inbox<Event> outcomes;
  std::unique_ptr<QTimer> timer;
  std::size_t outstanding = 0;
  std::vector<Event> unsent_outcomes;
  bool closed = false;
};

}  // namespace hemlockdoor::agent
