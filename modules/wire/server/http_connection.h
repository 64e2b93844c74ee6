// One connection of the HTTP server.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "modules/core/core.h"
#include "modules/wire/http/http_message.h"
#include "modules/wire/server/byte_budget.h"
#include "modules/wire/server/connected_socket.h"
#include "modules/wire/server/http_server.h"
#include "modules/wire/server/request_parser.h"

namespace hemlockdoor::wire::detail {

class HttpConnection;

/// What the connections of one server share.
struct ServerContext {
  HttpServerLimits limits;
  /// Bodies and responses up to `limits.small_body_bytes`.
  ByteBudget small_bytes;
  ByteBudget request_bytes;
  ByteBudget response_bytes;
  /// True: connections close after the request in progress.
  bool draining = false;
  /// Runs for each complete request.
  std::function<void(HttpRequest, const std::shared_ptr<HttpConnection>&)>
      on_request;
  /// The connection waits for its share of `request_bytes`.
  std::function<void(const std::shared_ptr<HttpConnection>&)> on_wait;
  /// A request or response has ended, so that shares may be free.
  std::function<void()> on_bytes_freed;
  /// The connection is closed; called once.
  std::function<void(const std::shared_ptr<HttpConnection>&)> on_closed;
};

/// Reads requests, one at a time and in order, and writes their responses.
/// What is not read stays in the kernel, so that a client which must wait is
/// slowed down by TCP.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<ServerContext> server_context,
                 int connected_descriptor);

  /// Starts reading.
  void Start();
  /// Answers without reading a request, and closes.
  void Refuse(const RequestRefusal& refusal);
  /// Tries again to get the share that the body waits for; false: wait on.
  bool TryAdmitBody();
  /// Ends the connection if it is over its time.
  void CheckDeadline(core::TimePoint now);
  /// Closes the connection unless a request is in progress.
  void CloseIfIdle();
  /// Closes at once, without the callbacks.
  void Abort();

  /// IP address of the client.
  const std::string& PeerAddress() const { return this->peer_address; }
  /// Number of the request that is with the handler; changes when answered.
  std::uint64_t RequestNumber() const { return this->request_number; }
  /// True while request `number` waits for its answer.
  bool Awaits(std::uint64_t number) const;
  /// Sends the answer; false when it does not fit in the bounds now, and then
  /// `response` is unchanged.
  bool TryAnswer(HttpResponse& response);

 private:
  enum class Phase {
    kReadingHead,
    kWaitingForShare,
    kReadingBody,
    kHandling,
    kWriting,
    kLingering,
    kClosed,
  };

  void OnReadable();
  void Process();
  /// One step of the current phase; false when it needs more input or time.
  bool Step();
  bool StepHead();
  bool StepKnownBody();
  bool StepChunkedBody();
  bool ReadMore(std::size_t max_bytes);
  void BeginBody();
  void AdmitBody(std::size_t bytes);
  bool AcquireShare(std::size_t bytes);
  void StartReadingBody();
  void Dispatch();
  void BeginNextRequest();
  void Send(HttpResponse response, bool keeps_alive);
  void WriteMore();
  bool WriteAll(const std::string& text, std::size_t& offset);
  void FinishResponse();
  void Discard();
  void Close();
  void SetDeadline(core::Duration length);

  std::shared_ptr<ServerContext> context;
  ConnectedSocket socket;
  std::string peer_address;
  Phase phase = Phase::kReadingHead;
  core::TimePoint deadline;
  bool processing = false;
  bool request_begun = false;
  std::uint64_t served = 0;

  std::unique_ptr<RequestParser> parser;
  std::string input;
  HttpRequest request;
  std::size_t body_bytes = 0;
  std::size_t wanted_share = 0;
  bool request_keeps_alive = true;
  std::uint64_t request_number = 0;

  std::string output_head;
  std::size_t head_offset = 0;
  std::string output_body;
  std::size_t body_offset = 0;
  ByteShare output_share;
  bool keeps_alive = true;
};

}  // namespace hemlockdoor::wire::detail
