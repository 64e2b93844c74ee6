// Long HTTP response that is delivered while it arrives.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/client/http_client.h"

namespace hemlockdoor::wire {

/// One request whose response body does not end by itself, such as a watch.
/// Uses a network access manager of its own, so that it never takes one of the
/// six connections of an `HttpClient`. Lives on the thread that opens it;
/// destruction closes the connection and no callback runs afterwards.
class HttpStream {
 public:
  /// Receives each part of the body of a response with status 200.
  using OnData = std::function<void(std::string part)>;
  /// Runs once when the stream ends: kTimeout when no response headers came
  /// within the call's timeout, else kUnavailable with the reason.
  using OnEnd = std::function<void(core::Error reason)>;

  /// Sends the request. Callbacks run later, and may destroy the stream.
  HttpStream(const HttpCall& call, OnData on_data, OnEnd on_end);
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

 private:
  class Backend;
  Backend* backend;
};

}  // namespace hemlockdoor::wire
