// Streaming HTTP client for long-running responses.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/client/http_client.h"

namespace hemlockdoor::wire {

/// One request with an open-ended response body, such as a watch. Each stream
/// has its own QNetworkAccessManager, and so takes none of the six connections
/// that an `HttpClient` has to an endpoint. Use a stream only on the thread
/// that creates it. Destruction closes the connection; no callback runs
/// afterwards.
class HttpStream {
 public:
  /// Receives each part of the response body as it arrives. Bodies of responses
  /// with a status other than 200 are not delivered.
  using OnData = std::function<void(std::string part)>;
  /// Runs once when the stream ends. The error is kTimeout when no response
  /// data arrived within `HttpCall::timeout`, otherwise kUnavailable with the
  /// HTTP status and Qt's reason.
  using OnEnd = std::function<void(core::Error reason)>;

  /// Sends the request. The callbacks run later on this thread and may destroy
  /// the stream. `HttpCall::max_response_bytes` is not applied.
  HttpStream(const HttpCall& call, OnData on_data, OnEnd on_end);
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

 private:
  class Backend;
  Backend* backend;
};

}  // namespace hemlockdoor::wire
