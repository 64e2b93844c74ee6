// HTTP server with limits, on Qt's sockets and Boost.Beast's parser.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// Bounds on what a server accepts. With the defaults a process that does
/// nothing else stays under 64 MB resident whatever its clients send.
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
  /// gets 408 and is closed; one that is idle after a response is closed.
  core::Duration idle_timeout = core::Duration::Seconds(60);
  /// Bodies and responses up to this size share `max_small_bytes`.
  std::size_t small_body_bytes = 64U * 1024U;
  std::size_t max_small_bytes = 8U * 1024U * 1024U;
  /// Larger request bodies together, from before they are read until the
  /// handler drops `HttpRequest::body_share`. Never less than one body.
  std::size_t max_request_bytes = 16U * 1024U * 1024U;
  /// Larger response bodies together, until they are written. Never less than
  /// one body.
  std::size_t max_response_bytes = 12U * 1024U * 1024U;
  /// A request whose body waits longer for its share gets 503. It is not read
  /// meanwhile.
  core::Duration body_wait_timeout = core::Duration::Seconds(10);
};

/// Answers one request, once. Copies share the same answer slot. Must be used
/// on the server's thread; an answer to a closed connection is dropped.
class HttpResponder {
 public:
  /// Sends the response; later calls on any copy are ignored. When the
  /// response does not fit in the bounds, the answer is 503 with Retry-After:
  /// use it where the caller can ask again.
  void Respond(HttpResponse response) const;
  /// As `Respond`, but false when the response does not fit in the bounds now:
  /// nothing is sent, `response` is unchanged and another answer is due.
  [[nodiscard]] bool TryRespond(HttpResponse& response) const;
  /// True while the caller's connection is open and unanswered.
  bool IsOpen() const;

 private:
  friend class HttpServer;
  struct State;
  explicit HttpResponder(std::shared_ptr<State> shared_state);
  std::shared_ptr<State> state;
};

/// An HTTP/1.1 server that lives on the thread that creates it. Requests on
/// one connection are handled one after the other, so that pipelined ones are
/// answered in order. A client that ends its side of the connection is taken
/// as gone. The server answers malformed requests with 400, methods other than
/// GET, PUT, POST and DELETE with 405 or 501.
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
  /// Graceful stop: stops accepting, closes idle connections, and closes each
  /// other one after the response to its request in progress. `done` runs once
  /// when no connection is left.
  void Drain(std::function<void()> done);
  /// Open connections now.
  std::size_t ConnectionCount() const;

 private:
  class Backend;
  explicit HttpServer(std::unique_ptr<Backend> server_backend);
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::wire
