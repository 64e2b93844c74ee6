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

/// Passes events to `AgentCore` and its commands to the other duties. When a
/// ring has no room for a call, or too many calls are outstanding, the call
/// counts as not sent: the next tick handles its outcome. All methods must be
/// called on the duty's thread, except `Requests` and `Outcomes`.
class StateDuty {
 public:
  /// Inboxes of the other duties; must outlive this object.
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

  /// Starts the tick timer and handles a first tick at once.
  void Open();
  /// Stops the ticks; later events are ignored.
  void Close();
  /// Starts the drain.
  void Drain() { this->Handle(DrainRequested{}); }
  /// Returns the inbox for received requests. It may be full.
  wire::Inbox<Event>& Requests() { return this->requests; }
  /// Returns the inbox for outcomes of calls. It has room for the outcome of
  /// every outstanding call.
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
  /// Calls that were passed on and whose outcome has not arrived.
  std::size_t outstanding = 0;
  /// Outcomes of calls that were not sent, for the next tick.
  std::vector<Event> unsent_outcomes;
  bool closed = false;
};

}  // namespace hemlockdoor::agent
