// The duty that sends an agent's outgoing HTTP requests.
#pragma once

#include <QObject>
#include <memory>
#include <optional>
#include <string>

#include "modules/agent/core/commands.h"
#include "modules/agent/core/events.h"
#include "modules/agent/process/agent_metrics.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// Sends commands as HTTP requests and passes their outcomes on as events. An
/// agent process has two instances on threads of their own: one for short
/// calls, and one for calls that may carry a payload or a result. Each kind of
/// call has its own HTTP client, so that heartbeats never wait behind
/// transfers. At most 13 connections to the upstream are open: 6 for starts, 6
/// for task requests and 1 for listings.
class OutgoingCalls {
 public:
  /// Endpoint of the upstream, and the key for the internal API of entries and
  /// other agents. `process_bytes` bounds the large bodies in flight in the
  /// process; a call that does not fit waits.
  struct Options {
    wire::Endpoint upstream;
    std::string internal_key;
    std::shared_ptr<wire::ByteBudget> process_bytes;
  };

  OutgoingCalls(Options call_options, SharedMetrics& shared_metrics);
  ~OutgoingCalls();
  OutgoingCalls(const OutgoingCalls&) = delete;
  OutgoingCalls& operator=(const OutgoingCalls&) = delete;

  /// Sets the inbox that receives the outcomes. It must have room for the
  /// outcome of every outstanding call.
  void Open(wire::Inbox<Event>& outcome_inbox);
  /// Returns the inbox for commands. Commands that are not calls are ignored.
  wire::Inbox<Command>& Commands() { return this->commands; }
  /// Drops the calls in flight without reporting their outcomes.
  void Close();

  /// Capacity of the command inbox. The state duty keeps no more calls than
  /// this outstanding over both instances.
  static constexpr std::size_t kMaxOutstanding = 512;

 private:
  struct Clients;

  void OnCommand(Command& command);
  void Send(const SendAnnouncement& command);
  void Send(const StartTask& command, wire::ByteShare share);
  void Send(const ListTasks& command);
  void Send(const RequestTask& command, wire::ByteShare share);
  void Send(const DeliverResult& command, wire::ByteShare share);
  void Send(const SendGangMessage& command);
  wire::HttpCall InternalPost(const wire::Endpoint& endpoint,
                              const std::string& target,
                              const nlohmann::json& document) const;
  void Emit(Event event);
  /// Acquires the bytes that `command` needs while it is in flight. Returns
  /// false when they are not free now.
  bool TryAcquireFor(const Command& command, wire::ByteShare& share) const;
  /// Runs a command that has its bytes, or tries again later.
  void Run(const std::shared_ptr<Command>& command);
  /// Logs the first 401 that an entry answers; a wrong internal key would
  /// otherwise be logged with every announcement.
  void LogUnauthorizedOnce(const std::string& endpoint, int status);

  Options options;
  SharedMetrics& metrics;
  wire::Inbox<Command> commands;
  std::unique_ptr<Clients> clients;
  wire::Inbox<Event>* outcomes = nullptr;
  bool unauthorized_logged = false;
  /// Context of the timers of calls that wait for bytes.
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
};

/// Returns the event that reports `command` as not sent; nothing when the
/// command is not a call.
std::optional<Event> OutcomeOfUnsent(const Command& command);

/// Returns true for calls that may carry a payload or a result.
bool IsBulkCall(const Command& command);

}  // namespace hemlockdoor::agent
