// The duty that sends an agent's HTTP requests.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/agent/process/agent_metrics.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// Sends commands as HTTP requests and passes their outcomes on as events. A
/// process runs two of them on threads of their own: one for short calls and
/// one for calls that may carry a payload or a result. Kinds of call do not
/// share a client, so heartbeats never wait behind transfers, and at most 13
/// connections are open to the upstream (starts 6, task requests 6, one
/// listing).
class OutgoingCalls {
 public:
  /// Whom to call, and with which key.
  struct Options {
    wire::Endpoint upstream;
    std::string internal_key;
  };

  OutgoingCalls(Options call_options, SharedMetrics& shared_metrics);
  ~OutgoingCalls();
  OutgoingCalls(const OutgoingCalls&) = delete;
  OutgoingCalls& operator=(const OutgoingCalls&) = delete;

  /// Sets where outcomes go; its ring has room for every outstanding call.
  void Open(wire::Inbox<Event>& outcome_inbox);
  wire::Inbox<Command>& Commands() { return this->commands; }
  void Close();

  /// Commands that may wait; the state duty keeps no more calls outstanding.
  static constexpr std::size_t kMaxOutstanding = 512;

 private:
  struct Clients;

  void OnCommand(Command& command);
  void Send(const SendAnnouncement& command);
  void Send(const StartTask& command);
  void Send(const ListTasks& command);
  void Send(const RequestTask& command);
  void Send(const DeliverResult& command);
  void Send(const SendGangMessage& command);
  wire::HttpCall InternalPost(const wire::Endpoint& endpoint,
                              const std::string& target,
                              const nlohmann::json& document) const;
  void Emit(Event event);
  void LogUnauthorizedOnce(const std::string& endpoint, int status);

  Options options;
  SharedMetrics& metrics;
  wire::Inbox<Command> commands;
  std::unique_ptr<Clients> clients;
  wire::Inbox<Event>* outcomes = nullptr;
  bool unauthorized_logged = false;
};

/// The outcome of a call that was not sent; nothing for other commands.
std::optional<Event> OutcomeOfUnsent(const Command& command);

/// True for calls that may carry a payload or a result.
bool IsBulkCall(const Command& command);

}  // namespace hemlockdoor::agent
