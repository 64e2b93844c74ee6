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

/// Why a request is refused: the status and text of its answer.
struct RequestRefusal {
  int status = http_status::kBadRequest;
  std::string type;
  std::string detail;
};

/// Parses one request. Headers and chunked bodies go through Boost.Beast's
/// parser; the owner reads a body of known length itself.
class RequestParser {
 public:
  RequestParser(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Takes bytes; returns how many it used. Call again with the rest and more
  /// bytes. Stops after the headers.
  std::size_t Put(std::string_view bytes);

  bool IsHeaderDone() const;
  /// The whole chunked body was taken, or there is none.
  bool IsComplete() const;
  const std::optional<RequestRefusal>& Refusal() const { return this->refusal; }

  /// After the headers: length of a body that is not chunked.
  std::size_t ContentLength() const;
  bool IsChunked() const;
  bool KeepsAlive() const;
  bool ExpectsContinue() const;
  /// After the headers: the request with an empty body.
  HttpRequest TakeHead();

  /// Bytes of the chunked body so far.
  std::size_t ChunkedBytes() const;
  /// Makes room for a chunked body, so that it is not copied while it grows.
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
