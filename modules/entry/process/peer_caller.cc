#include "modules/entry/process/peer_caller.h"

#include <utility>

#include "modules/entry/api/large_text.h"

namespace hemlockdoor::entry {

namespace {

/// Delay before a call whose payload has no room in the budget is tried again.
constexpr core::Duration kBudgetRetryDelay = core::Duration::Milliseconds(5);

/// Returns the size of a large payload, or 0 for a call without one.
std::size_t LargeBytesOf(const PeerCaller::Message& message) {
  const auto* work = std::get_if<SendWork>(&message);
  const std::size_t bytes =
      work != nullptr && work->payload ? work->payload->size() : 0;
  return bytes >= kMinLargeBytes ? bytes : 0;
}

CallId IdOf(const PeerCaller::Message& message) {
  return std::visit([](const auto& each) { return each.call; }, message);
}

core::Duration TimeoutOf(const PeerCaller::Message& message) {
  return std::visit([](const auto& each) { return each.timeout; }, message);
}

std::string BodyOf(const PeerCaller::Message& message) {
  if (const auto* call = std::get_if<CallPeer>(&message)) {
    return call->body;
  }
  const auto& work = std::get<SendWork>(message);
  const std::string none;
  const std::string& payload = work.payload ? *work.payload : none;
  return DumpWithText(work.document, work.payload_field, payload);
}

}  // namespace

void PeerCaller::Send(Message message) {
  this->queue.push_back({std::move(message), core::Clock::Now()});
  this->StartNext();
}

void PeerCaller::StartNext() {
  while (!this->queue.empty() && this->in_flight < this->max_in_flight) {
    const std::size_t bytes = LargeBytesOf(this->queue.front().message);
    wire::ByteShare share =
        bytes > 0 ? this->process_bytes->TryAcquire(bytes) : nullptr;
    const bool waits = bytes > 0 && !share &&
                       core::Clock::Now() - this->queue.front().queued_at <
                           TimeoutOf(this->queue.front().message);
    if (waits) {
      this->RetryLater();
      return;
    }
    const QueuedMessage next = std::move(this->queue.front());
    this->queue.pop_front();
    if (core::Clock::Now() - next.queued_at >= TimeoutOf(next.message)) {
      this->on_ended(CallEnded{
          IdOf(next.message),
          core::MakeError(core::ErrorCode::kResourceExhausted,
                          "the call was queued for longer than its timeout "
                          "and was not sent")});
      continue;
    }
    this->Start(next.message, std::move(share));
  }
}

void PeerCaller::RetryLater() {
  if (this->retry_pending) {
    return;
  }
  this->retry_pending = true;
  wire::RunLater(&this->context, kBudgetRetryDelay, [this] {
    this->retry_pending = false;
    this->StartNext();
  });
}

void PeerCaller::Start(const Message& message, wire::ByteShare share) {
  const CallId id = IdOf(message);
  wire::HttpCall call;
  std::string endpoint;
  if (const auto* plain = std::get_if<CallPeer>(&message)) {
    endpoint = plain->endpoint;
    call.method = plain->method;
    call.target = plain->target;
  } else {
    const auto& work = std::get<SendWork>(message);
    endpoint = work.endpoint;
    call.method = wire::HttpMethod::kPost;
    call.target = work.target;
    call.single_send = true;
  }
  const core::Expected<wire::Endpoint> parsed = wire::Endpoint::Parse(endpoint);
  if (!parsed) {
    this->on_ended(CallEnded{
        id, core::MakeError(core::ErrorCode::kUnavailable,
                            "not an endpoint: \"" + endpoint + "\"")});
    return;
  }
  call.endpoint = *parsed;
  call.timeout = TimeoutOf(message);
  call.headers.Add("Authorization", "Bearer " + this->internal_key);
  call.headers.Add("Content-Type", "application/json");
  call.body = BodyOf(message);
  ++this->in_flight;
  this->client.Send(std::move(call),
                    [this, id, held = std::move(share)](
                        core::Expected<wire::HttpResponse> response) mutable {
                      held.reset();
                      --this->in_flight;
                      this->on_ended(CallEnded{id, std::move(response)});
                      this->StartNext();
                    });
}

}  // namespace hemlockdoor::entry
