// HTTP server with limits, on Qt's HTTP server.
#pragma once

#include <QHostAddress>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// Bounds on what a server accepts.
struct HttpServerLimits {
  /// Largest body; above it the answer is 413.
  std::size_t max_body_bytes = 8U * 1024U * 1024U;
  /// Largest request line and headers; above it the answer is 431.
  std::size_t max_header_bytes = 16U * 1024U;
  /// Connections in all; above it the answer is 503.
  std::size_t max_connections = 1024;
  /// Connections from one address; above it the answer is 503.
  std::size_t max_connections_per_client = 512;
  /// A connection that sends nothing, or an unfinished request, for so long
  /// gets 408 and is closed.
  core::Duration idle_timeout = core::Duration::Seconds(60);
};

/// Answers one request, once. Copies share the same answer slot. Must be used
/// on the server's thread; an answer to a closed connection is dropped.
class HttpResponder {
 public:
  /// Sends the response; later calls on any copy are ignored.
  void Respond(const HttpResponse& response) const;
  /// True while the caller's connection is open and unanswered.
  bool IsOpen() const;

 private:
  friend class HttpServer;
  struct State;
  explicit HttpResponder(std::shared_ptr<State> shared_state);
  std::shared_ptr<State> state;
};

/// An HTTP/1.1 server that lives on the thread that creates it.
class HttpServer {
 public:
  /// Called on the server's thread for each complete request.
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// Listens on `address` and `port` (0: the kernel chooses). Fails with
  /// kUnavailable when the port is taken.
  static core::Expected<std::unique_ptr<HttpServer>> Listen(
      const std::string& address,
      std::uint16_t port,
      HttpServerLimits limits,
      Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port it listens on.
  std::uint16_t Port() const;
  /// Stops accepting connections; open ones go on.
  void StopListening();
  /// Open connections now.
  std::size_t ConnectionCount() const;

 private:
  class Backend;
  explicit HttpServer(std::unique_ptr<Backend> server_backend);
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::wire
