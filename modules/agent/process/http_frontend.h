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

/// Serves requests on its own thread: reads them, passes events to the state
/// duty, and sends the answers that come back. Never waits.
class HttpFrontend {
 public:
  /// Where to listen and whom to trust.
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    std::string internal_key;
    std::string upstream_address;
  };

  /// Listens; fails with kUnavailable when the port is taken.
  static core::Expected<std::unique_ptr<HttpFrontend>> Listen(
      const Options& options,
      SharedMetrics& metrics);
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Starts to pass events; before that, requests are answered 503.
  void Open(wire::Inbox<Event>& event_inbox);
  /// Takes answer commands; after `Stop` it stops listening, gives the last
  /// answers time to leave, and calls `stopped_callback`.
  wire::Inbox<Command>& Answers() { return this->answers; }
  void SetStopped(std::function<void()> stopped_callback);
  std::uint16_t Port() const { return this->port; }
  void Close();

 private:
  struct Pending {
    wire::HttpResponder responder;
    bool is_run = false;
  };

  HttpFrontend(const Options& options, SharedMetrics& shared_metrics);
  void OnRequest(wire::HttpRequest request,
                 const wire::HttpResponder& responder);
  void OnCommand(const Command& command);
  void Respond(const wire::HttpResponder& responder,
               const wire::HttpResponse& response);
  wire::HttpResponse ProbeResponse(bool good) const;

  SharedMetrics& metrics;
  RequestRouter router;
  wire::Inbox<Command> answers;
  std::unique_ptr<wire::HttpServer> server;
  std::uint16_t port = 0;
  wire::Inbox<Event>* events = nullptr;
  std::map<CallId, Pending> pending;
  CallId next_call = 1;
  std::function<void()> on_stopped;
  /// Owns the timer that ends the process after a drain.
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
};

}  // namespace hemlockdoor::agent
