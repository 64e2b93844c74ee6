#include "modules/wire/server/http_connection.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "modules/wire/loop/run_later.h"
#include "modules/wire/server/response_compression.h"

namespace hemlockdoor::wire::detail {

namespace {

/// Size of one read into the input buffer. Small, because each waiting
/// connection keeps up to this much unprocessed input in memory.
constexpr std::size_t kReadBytes = 4U * 1024U;
/// Bodies below this size are appended to the head and written together. Larger
/// ones are written separately, which avoids a copy.
constexpr std::size_t kMaxJoinedBytes = 16U * 1024U;
constexpr std::size_t kDiscardBytes = 64U * 1024U;
/// Largest single read into a body, or write of a response.
constexpr std::size_t kTransferBytes = 256U * 1024U;
/// How long a closing connection discards input after the last response.
/// Closing at once would send a TCP reset to a client that is still sending,
/// and the client could lose the response.
constexpr core::Duration kLingerTime = core::Duration::Seconds(2);
/// A body must arrive within the grace time plus its size at the minimum rate,
/// and within the idle timeout.
constexpr core::Duration kBodyGraceTime = core::Duration::Seconds(5);
constexpr std::int64_t kMinBodyBytesPerSecond = 256 * 1024;
/// Requests that one connection may serve before it returns to the event loop,
/// so that a long pipeline does not starve other connections.
constexpr int kMaxRequestsPerTurn = 16;

/// Empties a value and frees its memory. With libstdc++, assigning an empty
/// string would keep the old capacity.
template <typename T>
void Free(T& value) {
  T empty;
  std::swap(value, empty);
}

bool IsSafeField(const HttpHeader& field) {
  return (field.name + field.value).find_first_of("\r\n") == std::string::npos;
}

std::string EncodeHead(const HttpResponse& response, bool keeps_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(
          static_cast<unsigned>(response.status)));
  head.append(reason.data(), reason.size());
  head += "\r\n";
  const auto add = [&head](const std::string& name, const std::string& value) {
    head += name + ": " + value + "\r\n";
  };
  if (response.status != http_status::kNoContent) {
    add("Content-Type", response.content_type);
    add("Content-Length", std::to_string(response.body.size()));
  }
  for (const HttpHeader& field : response.headers.All()) {
    if (IsSafeField(field)) {
      add(field.name, field.value);
    }
  }
  if (!keeps_alive) {
    add("Connection", "close");
  }
  head += "\r\n";
  return head;
}

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<ServerContext> server_context,
                               int connected_descriptor)
    : context(std::move(server_context)),
      socket(connected_descriptor),
      peer_address(this->socket.PeerAddress()) {}

void HttpConnection::SetDeadline(core::Duration length) {
  this->deadline = core::Clock::Now() + length;
}

void HttpConnection::Start() {
  const std::weak_ptr<HttpConnection> weak = this->weak_from_this();
  const auto forward = [weak](void (HttpConnection::*slot)()) {
    return [weak, slot] {
      if (const auto self = weak.lock()) {
        (self.get()->*slot)();
      }
    };
  };
  this->socket.Start(forward(&HttpConnection::OnReadable),
                     forward(&HttpConnection::WriteMore));
  this->BeginNextRequest();
}

void HttpConnection::BeginNextRequest() {
  this->phase = Phase::kReadingHead;
  this->parser.reset();
  Free(this->request);
  this->request_begun = !this->input.empty();
  this->SetDeadline(this->context->limits.idle_timeout);
}

void HttpConnection::OnReadable() {
  if (this->phase == Phase::kLingering) {
    this->Discard();
    return;
  }
  this->Process();
}

void HttpConnection::Process() {
  if (this->processing) {
    return;
  }
  const std::shared_ptr<HttpConnection> self = this->shared_from_this();
  this->processing = true;
  const std::uint64_t turn_end = this->served + kMaxRequestsPerTurn;
  while (this->served < turn_end && this->Step()) {
  }
  this->processing = false;
  if (this->phase != Phase::kClosed && this->served >= turn_end) {
    RunLater(this->socket.Context(), core::Duration(),
             [self] { self->Process(); });
  }
}

bool HttpConnection::Step() {
  switch (this->phase) {
    case Phase::kReadingHead:
      return this->StepHead();
    case Phase::kReadingBody:
      return this->parser->IsChunked() ? this->StepChunkedBody()
                                       : this->StepFixedLengthBody();
    case Phase::kHandling:
      // Reading while the handler runs detects a peer that disconnects. Once
      // the input buffer is full, pipelined requests wait in the kernel.
      return this->input.size() < kReadBytes && this->ReadMore(kReadBytes);
    case Phase::kWaitingForShare:
    case Phase::kWriting:
    case Phase::kLingering:
    case Phase::kClosed:
      break;
  }
  return false;
}

/// Reads into the input buffer; returns false when no bytes were available.
/// Closes the connection when the peer has shut down its sending side.
bool HttpConnection::ReadMore(std::size_t max_bytes) {
  const std::size_t before = this->input.size();
  this->input.resize(before + max_bytes);
  const ConnectedSocket::Transfer got =
      this->socket.Read(this->input.data() + before, max_bytes);
  this->input.resize(before + got.bytes);
  if (got.closed) {
    this->Close();
  }
  return got.bytes > 0;
}

bool HttpConnection::StepHead() {
  if (this->input.empty() && !this->ReadMore(kReadBytes)) {
    this->input.shrink_to_fit();
    return false;
  }
  if (!this->request_begun) {
    this->request_begun = true;
    this->SetDeadline(this->context->limits.idle_timeout);
  }
  if (!this->parser) {
    this->parser =
        std::make_unique<RequestParser>(this->context->limits.max_header_bytes,
                                        this->context->limits.max_body_bytes);
  }
  const std::size_t used = this->parser->Put(this->input);
  this->input.erase(0, used);
  if (this->parser->Refusal()) {
    this->Refuse(*this->parser->Refusal());
    return false;
  }
  if (this->parser->IsHeaderDone()) {
    this->BeginBody();
    return true;
  }
  return this->ReadMore(kReadBytes);
}

void HttpConnection::BeginBody() {
  this->request = this->parser->TakeHead();
  this->request.remote_address = this->peer_address;
  this->request_keeps_alive = this->parser->KeepsAlive();
  if (this->parser->IsComplete()) {
    this->Dispatch();
    return;
  }
  // The size of a chunked body is not known yet, so it starts with the share of
  // a small body.
  this->AdmitBody(this->parser->IsChunked()
                      ? this->context->limits.small_body_bytes
                      : this->parser->ContentLength());
}

bool HttpConnection::AcquireShare(std::size_t bytes) {
  const bool is_small = bytes <= this->context->limits.small_body_bytes;
  ByteBudget& budget =
      is_small ? this->context->small_bytes : this->context->request_bytes;
  ByteShare share = budget.TryAcquire(bytes);
  if (share) {
    this->request.body_share = std::move(share);
  }
  return this->request.body_share != nullptr;
}

void HttpConnection::AdmitBody(std::size_t bytes) {
  this->wanted_share_bytes = bytes;
  this->request.body_share.reset();
  if (this->AcquireShare(bytes)) {
    this->StartReadingBody();
    return;
  }
  this->phase = Phase::kWaitingForShare;
  this->SetDeadline(this->context->limits.body_wait_timeout);
  this->context->on_wait(this->shared_from_this());
}

bool HttpConnection::TryAdmitBody() {
  if (this->phase != Phase::kWaitingForShare) {
    return true;
  }
  if (!this->AcquireShare(this->wanted_share_bytes)) {
    return false;
  }
  this->StartReadingBody();
  this->Process();
  return true;
}

void HttpConnection::StartReadingBody() {
  const bool starts = this->phase == Phase::kReadingHead ||
                      (this->phase == Phase::kWaitingForShare &&
                       this->parser->ChunkedBytes() == 0);
  this->phase = Phase::kReadingBody;
  this->body_bytes = this->parser->ContentLength();
  const auto time_for_bytes = core::Duration::Seconds(
      static_cast<std::int64_t>(this->wanted_share_bytes) /
      kMinBodyBytesPerSecond);
  this->SetDeadline(std::min(this->context->limits.idle_timeout,
                             kBodyGraceTime + time_for_bytes));
  if (this->parser->IsChunked()) {
    this->parser->ReserveChunked(this->wanted_share_bytes);
  } else {
    this->request.body.reserve(this->body_bytes);
  }
  if (starts && this->parser->ExpectsContinue()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    this->socket.Write(kContinue.data(), kContinue.size());
  }
}

bool HttpConnection::StepFixedLengthBody() {
  std::string& body = this->request.body;
  const std::size_t offset = body.size();
  const std::size_t missing = this->body_bytes - offset;
  if (!this->input.empty()) {
    const std::size_t count = std::min(missing, this->input.size());
    body.append(this->input, 0, count);
    this->input.erase(0, count);
  } else {
    // Reads directly into the body, so that only the kernel copies the bytes.
    const std::size_t wanted = std::min(missing, kTransferBytes);
    body.resize(offset + wanted);
    const ConnectedSocket::Transfer got =
        this->socket.Read(body.data() + offset, wanted);
    body.resize(offset + got.bytes);
    if (got.closed) {
      this->Close();
    }
    if (got.bytes == 0) {
      return false;
    }
  }
  if (body.size() == this->body_bytes) {
    this->Dispatch();
  }
  return true;
}

bool HttpConnection::StepChunkedBody() {
  const std::size_t used = this->parser->Put(this->input);
  this->input.erase(0, used);
  if (this->parser->Refusal()) {
    this->Refuse(*this->parser->Refusal());
    return false;
  }
  if (this->parser->IsComplete()) {
    this->request.body = this->parser->TakeChunkedBody();
    this->Dispatch();
    return true;
  }
  const bool outgrows_share =
      this->parser->ChunkedBytes() + kReadBytes > this->wanted_share_bytes;
  if (outgrows_share &&
      this->wanted_share_bytes < this->context->limits.max_body_bytes) {
    this->AdmitBody(this->context->limits.max_body_bytes);
    return true;
  }
  return used > 0 || this->ReadMore(kReadBytes);
}

void HttpConnection::Dispatch() {
  this->phase = Phase::kHandling;
  this->parser.reset();
  ++this->request_number;
  this->accepts_deflate = AcceptsDeflate(this->request.headers);
  this->context->on_request(std::move(this->request), this->shared_from_this());
  Free(this->request);
}

bool HttpConnection::Awaits(std::uint64_t number) const {
  return this->phase == Phase::kHandling && this->request_number == number;
}

bool HttpConnection::TryAnswer(HttpResponse& response) {
  if (this->accepts_deflate) {
    if (std::optional<HttpResponse> smaller = Compress(response)) {
      return this->TrySend(*smaller);
    }
  }
  return this->TrySend(response);
}

bool HttpConnection::TrySend(HttpResponse& response) {
  const bool is_small =
      response.body.size() <= this->context->limits.small_body_bytes;
  ByteBudget& budget =
      is_small ? this->context->small_bytes : this->context->response_bytes;
  ByteShare share = budget.TryAcquire(response.body.size());
  if (!share) {
    return false;
  }
  this->output_share = std::move(share);
  this->Send(std::move(response),
             this->request_keeps_alive && !this->context->draining);
  return true;
}

void HttpConnection::Refuse(const RequestRefusal& refusal) {
  HttpResponse response =
      MakeProblem(refusal.status, refusal.type, refusal.detail);
  if (refusal.status == http_status::kUnavailable) {
    response.headers.Add("Retry-After", "1");
  }
  if (refusal.status == http_status::kMethodNotAllowed) {
    response.headers.Add("Allow", "GET, PUT, POST, DELETE");
  }
  this->Send(std::move(response), false);
}

void HttpConnection::Send(HttpResponse response, bool keeps_connection) {
  this->phase = Phase::kWriting;
  Free(this->request);
  this->keeps_alive = keeps_connection;
  this->output_head = EncodeHead(response, keeps_connection);
  this->output_body = std::move(response.body);
  this->head_offset = 0;
  this->body_offset = 0;
  if (response.status == http_status::kNoContent) {
    this->output_body.clear();
  }
  if (this->output_body.size() < kMaxJoinedBytes) {
    this->output_head += this->output_body;
    this->output_body.clear();
  }
  this->WriteMore();
}

/// Writes `text` from `offset` on. Returns false when the kernel accepts no
/// more for now, or when the connection has closed.
bool HttpConnection::WriteAll(const std::string& text, std::size_t& offset) {
  while (offset < text.size()) {
    const std::size_t count = std::min(kTransferBytes, text.size() - offset);
    const ConnectedSocket::Transfer put =
        this->socket.Write(text.data() + offset, count);
    offset += put.bytes;
    if (put.closed) {
      this->Close();
      return false;
    }
    if (put.bytes < count) {
      return false;
    }
  }
  return true;
}

void HttpConnection::WriteMore() {
  if (this->phase != Phase::kWriting) {
    return;
  }
  this->SetDeadline(this->context->limits.idle_timeout);
  if (this->WriteAll(this->output_head, this->head_offset) &&
      this->WriteAll(this->output_body, this->body_offset)) {
    this->FinishResponse();
  }
}

void HttpConnection::FinishResponse() {
  ++this->served;
  Free(this->output_body);
  this->output_head.clear();
  this->output_share.reset();
  if (!this->keeps_alive) {
    this->phase = Phase::kLingering;
    this->SetDeadline(kLingerTime);
    this->socket.ShutDownWriting();
    this->Discard();
  } else {
    this->BeginNextRequest();
    if (this->context->draining && this->input.empty()) {
      this->Close();
    }
  }
  this->context->on_bytes_freed();
  // Process() returns at once if it is already running: its loop then continues
  // with the next pipelined request, without recursion for each one.
  this->Process();
}

void HttpConnection::Discard() {
  char ignored[kDiscardBytes];
  ConnectedSocket::Transfer got;
  do {
    got = this->socket.Read(ignored, sizeof(ignored));
  } while (got.bytes > 0);
  if (got.closed) {
    this->Close();
  }
}

void HttpConnection::CheckDeadline(core::TimePoint now) {
  if (now < this->deadline) {
    return;
  }
  switch (this->phase) {
    case Phase::kReadingHead:
      if (!this->request_begun && this->served > 0) {
        this->Close();
        return;
      }
      [[fallthrough]];
    case Phase::kReadingBody:
      this->Refuse(
          {http_status::kRequestTimeout, "request-timeout",
           "the request did not arrive completely within the time limit; "
           "send it again on a new connection"});
      return;
    case Phase::kWaitingForShare:
      this->Refuse(
          {http_status::kUnavailable, "busy",
           "no buffer space for the request body became free within " +
               std::to_string(
                   this->context->limits.body_wait_timeout.InMilliseconds()) +
               " ms; try again later"});
      return;
    case Phase::kWriting:
    case Phase::kLingering:
      this->Close();
      return;
    case Phase::kHandling:
    case Phase::kClosed:
      return;
  }
}

void HttpConnection::CloseIfIdle() {
  if (this->phase == Phase::kReadingHead && !this->request_begun) {
    this->Close();
  }
}

void HttpConnection::Abort() {
  this->phase = Phase::kClosed;
  this->socket.Close();
}

void HttpConnection::Close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  const std::shared_ptr<HttpConnection> self = this->shared_from_this();
  this->Abort();
  Free(this->request);
  Free(this->output_body);
  this->output_share.reset();
  this->context->on_closed(self);
}

}  // namespace hemlockdoor::wire::detail
