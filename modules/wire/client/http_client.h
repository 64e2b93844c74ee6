// HTTP client built on QNetworkAccessManager.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// An IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  /// Parses "ADDRESS:PORT". Fails with kInvalidArgument unless ADDRESS is an
  /// IP address and PORT is between 1 and 65535.
  static core::Expected<Endpoint> Parse(const std::string& text);
  /// Returns "ADDRESS:PORT".
  std::string ToText() const;
  auto operator<=>(const Endpoint&) const = default;
};

/// One request to a peer, and the limits on its exchange.
struct HttpCall {
  Endpoint endpoint;
  HttpMethod method = HttpMethod::kGet;
  /// Path and query.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Limit on the time from the start of the request to the end of the
  /// response. An `HttpStream` applies it to the first data of the response
  /// only.
  core::Duration timeout = core::Duration::Seconds(2);
  /// If longer than `timeout`, `timeout` begins anew whenever data of the
  /// response arrives, and this limits the whole exchange. For responses whose
  /// size the caller does not choose. Ignored by an `HttpStream`.
  core::Duration max_transfer;
  /// When true, the request is sent at most once. By default Qt sends a request
  /// again, whatever its method, when the peer closes the connection before
  /// answering. A request that starts non-repeatable work must set this.
  bool single_send = false;
  /// Limit on the response body. The exchange of a larger response ends with
  /// kTooLarge, so that a peer cannot exhaust the memory of this process. The
  /// default is twice the default limit on request bodies, because escaping a
  /// result as JSON may enlarge it.
  std::size_t max_response_bytes = 16U * 1024U * 1024U;
};

/// Sends requests from the thread that owns the client. Qt runs at most six
/// exchanges with one endpoint at a time, so a long-running call (a watch, a
/// long poll) needs a client of its own. After a call has timed out, later
/// calls to its endpoint use new connections. Peers may compress responses
/// (RFC 9110, section 8.4); callers get them decoded.
class HttpClient {
 public:
  /// Receives the response or an error. A response with any HTTP status counts
  /// as a response. The error codes are:
  /// - kUnavailable: the request certainly did not reach the peer (connection
  ///   refused or host not found, and nothing sent).
  /// - kTimeout: the peer may have received the request (no response within
  ///   `HttpCall::timeout` or `max_transfer`, or connection lost).
  /// - kTooLarge: the response exceeds `HttpCall::max_response_bytes`.
  using Done = std::function<void(core::Expected<HttpResponse>)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts the exchange. `done` runs later on this thread, exactly once,
  /// unless the client is destroyed first.
  void Send(const HttpCall& call, Done done);
  /// Returns the bytes of all request targets, request bodies and response
  /// bodies since construction.
  std::uint64_t BytesMoved() const;

 private:
  class Backend;
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::wire
