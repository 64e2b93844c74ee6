// HTTP client on Qt's network access.
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

  /// Parses "ADDRESS:PORT"; kInvalidArgument when it is not that.
  static core::Expected<Endpoint> Parse(const std::string& text);
  /// "ADDRESS:PORT".
  std::string ToText() const;
  auto operator<=>(const Endpoint&) const = default;
};

/// One request to a peer.
struct HttpCall {
  Endpoint endpoint;
  HttpMethod method = HttpMethod::kGet;
  /// Path and query.
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// The whole exchange must end within this time.
  core::Duration timeout = core::Duration::Seconds(2);
  /// When true the request is put on the wire at most once. Qt otherwise sends
  /// a request again, whatever its method, when the peer closes the connection
  /// before it answers; a start of non-repeatable work must not be repeated.
  bool single_send = false;
  /// Above this the exchange ends with kTooLarge, so that a peer cannot fill
  /// the memory of this process. Twice the largest body, since a result may
  /// grow when it is escaped as JSON.
  std::size_t max_response_bytes = 16U * 1024U * 1024U;
};

/// Sends requests from the thread that owns it. At most six exchanges run at
/// once to one endpoint, so a call that waits (a watch, a long poll) needs a
/// client of its own.
class HttpClient {
 public:
  /// Receives the response, or an error: kUnavailable when the request provably
  /// never reached the peer (connection refused and nothing sent), kTimeout
  /// when it may have (no answer in time, connection lost), kTooLarge when the
  /// response is larger than the call accepts. Any HTTP status is a response,
  /// not an error.
  using Done = std::function<void(core::Expected<HttpResponse>)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts the exchange; `done` runs later on this thread, exactly once,
  /// unless the client is destroyed first.
  void Send(const HttpCall& call, Done done);
  /// Bytes sent and received in bodies and targets since construction.
  std::uint64_t BytesMoved() const;

 private:
  class Backend;
  std::unique_ptr<Backend> backend;
};

}  // namespace hemlockdoor::wire
