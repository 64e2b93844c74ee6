// HTTP server with resource limits, built on the Qt event loop and the parser
// of Boost.Beast.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/http/http_message.h"
#include "modules/wire/server/byte_budget.h"

namespace hemlockdoor::wire {

/// Resource limits of a server. With the defaults, a process that does nothing
/// else stays below 64 MB of resident memory whatever its clients send.
struct HttpServerLimits {
  /// Largest request body; a larger one gets 413.
  std::size_t max_body_bytes = 8U * 1024U * 1024U;
  /// Largest request line and headers together; larger ones get 431.
  std::size_t max_header_bytes = 16U * 1024U;
  /// Total open connections; further ones get 503 or are closed.
  std::size_t max_connections = 1024;
  /// Open connections from one IP address; further ones get 503 or are closed.
  std::size_t max_connections_per_client = 512;
  /// A connection that has sent no request, or an incomplete one, within this
  /// time gets 408 and is closed. A connection that stays idle this long after
  /// a response is closed without an answer.
  core::Duration idle_timeout = core::Duration::Seconds(60);
  /// Request and response bodies up to this size are counted against
  /// `max_small_bytes`.
  std::size_t small_body_bytes = 64U * 1024U;
  std::size_t max_small_bytes = 8U * 1024U * 1024U;
  /// Limit on the total of all larger request bodies. A body counts from before
  /// the server reads it until the handler drops `HttpRequest::body_share`. The
  /// server uses at least `max_body_bytes`.
  std::size_t max_request_bytes = 16U * 1024U * 1024U;
  /// Limit on the total of all larger response bodies that are not yet written.
  /// The server uses at least `max_body_bytes`.
  std::size_t max_response_bytes = 12U * 1024U * 1024U;
  /// Budget that the server shares with other parts of the process, or null.
  /// Larger request bodies count against it as well as `max_request_bytes`. It
  /// must have room for `max_body_bytes`.
  std::shared_ptr<ByteBudget> process_bytes;
  /// A request whose body waits longer than this for its share of the byte
  /// budget gets 503. The server does not read the body while it waits.
  core::Duration body_wait_timeout = core::Duration::Seconds(10);
};

/// Sends the response to one request. The first response through any copy
/// counts. Use only on the server's thread. A response to a closed connection
/// is discarded.
class HttpResponder {
 public:
  /// Sends the response; later calls on any copy are ignored. If the response
  /// does not fit into the byte budget now, the client gets 503 with
  /// Retry-After instead. Use this where the client can repeat the request.
  void Respond(HttpResponse response) const;
  /// Like `Respond`, but if the response does not fit into the byte budget now,
  /// the client gets it without its body instead. Use this where a 503 would
  /// say that the request had no effect.
  void RespondWithStatus(HttpResponse response) const;
  /// Like `Respond`, but returns false if the response does not fit into the
  /// byte budget now. Nothing is sent then, `response` is unchanged, and the
  /// caller still has to answer the request.
  [[nodiscard]] bool TryRespond(HttpResponse& response) const;
  /// Returns true while the client is connected and the request unanswered.
  bool IsOpen() const;

 private:
  friend class HttpServer;
  struct State;
  explicit HttpResponder(std::shared_ptr<State> shared_state);
  std::shared_ptr<State> state;
};

/// An HTTP/1.1 server on the thread that creates it. Requests on one connection
/// are handled one after the other, so that pipelined requests are answered in
/// order. A client that shuts down its sending side counts as disconnected. The
/// server answers malformed requests with 400, other standard methods than GET,
/// PUT, POST and DELETE with 405, and unknown methods with 501.
class HttpServer {
 public:
  /// Called on the server's thread for each complete request.
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// Listens on `address` and `port`; with port 0 the kernel chooses a free
  /// port. Fails with kUnavailable if the server cannot listen there, for
  /// example because another process uses the port.
  static core::Expected<std::unique_ptr<HttpServer>> Listen(
      const std::string& address,
      std::uint16_t port,
      HttpServerLimits limits,
      Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the port on which the server listens.
  std::uint16_t Port() const;
  /// Stops accepting connections. Open connections continue.
  void StopListening();
  /// Starts a graceful shutdown: stops accepting, closes idle connections, and
  /// closes each other connection after the response to its request in
  /// progress. `done` runs once, when no connection is open.
  void Drain(std::function<void()> done);
  /// Returns the number of open connections, without those being refused.
  std::size_t ConnectionCount() const;

 private:
  class Backend;
  explicit HttpServer(std::unique_ptr<Backend> server_backend);
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::wire
