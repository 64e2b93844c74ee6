// Incremental parser of HTTP/1.1 requests, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "modules/wire/http/http_message.h"

namespace hemlockdoor::wire {

/// Reason for refusing a request: HTTP status, problem type and detail text.
struct RequestRefusal {
  int status = http_status::kBadRequest;
  std::string type;
  std::string detail;
};

/// Parses one request. Boost.Beast parses the headers and a chunked body. The
/// caller reads a body of known length itself, bypassing this parser.
class RequestParser {
 public:
  RequestParser(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Parses `bytes` and returns how many were consumed. Call again with the
  /// rest and more input. Stops after the headers, and on a refusal.
  std::size_t Put(std::string_view bytes);

  bool IsHeaderDone() const;
  /// Returns true when the request has no body, or its chunked body is
  /// complete.
  bool IsComplete() const;
  const std::optional<RequestRefusal>& Refusal() const { return this->refusal; }

  /// Returns the Content-Length, or 0 without one. Valid after the headers.
  std::size_t ContentLength() const;
  bool IsChunked() const;
  bool KeepsAlive() const;
  bool ExpectsContinue() const;
  /// Returns the request with an empty body. Valid after the headers.
  HttpRequest TakeHead();

  /// Returns the bytes of the chunked body received so far.
  std::size_t ChunkedBytes() const;
  /// Reserves memory for a chunked body, so that the body is not copied while
  /// it grows.
  void ReserveChunked(std::size_t bytes);
  std::string TakeChunkedBody();

 private:
  struct State;
  void CheckHead();
  void Refuse(int status, std::string type, std::string detail);

  std::size_t max_header_bytes;
  std::size_t header_bytes = 0;
  std::optional<RequestRefusal> refusal;
  std::unique_ptr<State> state;
};

}  // namespace hemlockdoor::wire
