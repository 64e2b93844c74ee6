// The duty that serves an agent's HTTP API.
#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "modules/agent/process/agent_metrics.h"
#include "modules/agent/process/request_router.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

/// Serves HTTP requests on its own thread: turns each into an event for the
/// state duty, and sends the response when the state duty returns an answer
/// command. Never blocks. All methods must be called on that thread, except
/// `Answers` and `Port`.
class HttpFrontend {
 public:
  /// Address and port to listen on, the key that callers of the internal API
  /// must present, and the address from which the upstream may call.
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    std::string internal_key;
    std::string upstream_address;
    /// Bounds the large bodies in flight in the process.
    std::shared_ptr<wire::ByteBudget> process_bytes;
  };

  /// Starts to listen; fails with kUnavailable when the address and port
  /// cannot be listened on.
  static core::Expected<std::unique_ptr<HttpFrontend>> Listen(
      const Options& options,
      SharedMetrics& metrics);
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Sets the inbox that receives the events. Until then, requests that need
  /// the state duty are answered 503.
  void Open(wire::Inbox<Event>& event_inbox);
  /// Returns the inbox for answer commands. On `Stop`, the frontend stops
  /// listening, allows 100 ms for the last responses to be sent, and then
  /// calls the callback of `SetStopped`.
  wire::Inbox<Command>& Answers() { return this->answers; }
  /// Sets the callback for `Stop`; must be called before the first `Stop`.
  void SetStopped(std::function<void()> stopped_callback);
  std::uint16_t Port() const { return this->port; }
  /// Drops the pending requests and closes the server.
  void Close();

 private:
  /// A request that waits for the answer of the state duty.
  struct Pending {
    wire::HttpResponder responder;
    bool is_run = false;
    /// Share of the request's body, which the state duty may still hold.
    wire::ByteShare body_share;
  };

  HttpFrontend(const Options& options, SharedMetrics& shared_metrics);
  void OnRequest(wire::HttpRequest request,
                 const wire::HttpResponder& responder);
  void OnCommand(const Command& command);
  void Respond(const wire::HttpResponder& responder,
               const wire::HttpResponse& response);
  /// Returns the response to `/livez` and `/readyz`: 200 or 503.
  wire::HttpResponse ProbeResponse(bool ok) const;

  SharedMetrics& metrics;
  std::shared_ptr<wire::ByteBudget> process_bytes;
  RequestRouter router;
  wire::Inbox<Command> answers;
  std::unique_ptr<wire::HttpServer> server;
  std::uint16_t port = 0;
  wire::Inbox<Event>* events = nullptr;
  std::map<CallId, Pending> pending;
  CallId next_call = 1;
  std::function<void()> on_stopped;
  /// Context of the timer that calls `on_stopped` after a drain; destroying it
  /// cancels the timer.
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
};

}  // namespace hemlockdoor::agent
