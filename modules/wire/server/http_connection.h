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

/// State that all connections of a server share.
struct ServerContext {
  HttpServerLimits limits;
  /// Budget for request and response bodies up to `limits.small_body_bytes`.
  ByteBudget small_bytes;
  /// Budget for larger request bodies.
  ByteBudget request_bytes;
  /// Budget for larger response bodies.
  ByteBudget response_bytes;
  /// When true, each connection closes after the request in progress.
  bool draining = false;
  /// Runs when a request is complete.
  std::function<void(HttpRequest, const std::shared_ptr<HttpConnection>&)>
      on_request;
  /// Runs when a connection starts to wait for a share for its request body.
  std::function<void(const std::shared_ptr<HttpConnection>&)> on_wait;
  /// Runs after a response is written, when its share has been returned.
  std::function<void()> on_bytes_freed;
  /// Runs once, when a connection has closed.
  std::function<void(const std::shared_ptr<HttpConnection>&)> on_closed;
};

/// Reads requests, one at a time and in order, and writes their responses.
/// Unread input stays in the kernel, so that TCP flow control slows down a
/// client whose request has to wait.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::shared_ptr<ServerContext> server_context,
                 int connected_descriptor);

  /// Starts reading.
  void Start();
  /// Sends an error response without reading further, then closes.
  void Refuse(const RequestRefusal& refusal);
  /// Tries to acquire the share that the request body is waiting for. Returns
  /// false if the body still has to wait.
  bool TryAdmitBody();
  /// Closes or refuses the connection if the deadline of its phase has passed.
  void CheckDeadline(core::TimePoint now);
  /// Closes the connection unless a request is in progress.
  void CloseIfIdle();
  /// Closes immediately, without running `on_closed`.
  void Abort();

  /// Returns the IP address of the client.
  const std::string& PeerAddress() const { return this->peer_address; }
  /// Returns the number of the latest request passed to the handler. Numbers
  /// start at 1 for each connection.
  std::uint64_t RequestNumber() const { return this->request_number; }
  /// Returns true while request `number` is with the handler and unanswered.
  bool Awaits(std::uint64_t number) const;
  /// Sends the response to the current request. Returns false and leaves
  /// `response` unchanged if its body does not fit into the byte budget now.
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
  /// Runs one step of the current phase. Returns false when the connection has
  /// to wait for input, for a share or for the handler.
  bool Step();
  bool StepHead();
  bool StepFixedLengthBody();
  bool StepChunkedBody();
  bool ReadMore(std::size_t max_bytes);
  void BeginBody();
  void AdmitBody(std::size_t bytes);
  bool AcquireShare(std::size_t bytes);
  void StartReadingBody();
  void Dispatch();
  void BeginNextRequest();
  bool TrySend(HttpResponse& response);
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
  std::size_t wanted_share_bytes = 0;
  bool request_keeps_alive = true;
  bool accepts_deflate = false;
  std::uint64_t request_number = 0;

  std::string output_head;
  std::size_t head_offset = 0;
  std::string output_body;
  std::size_t body_offset = 0;
  ByteShare output_share;
  bool keeps_alive = true;
};

}  // namespace hemlockdoor::wire::detail
