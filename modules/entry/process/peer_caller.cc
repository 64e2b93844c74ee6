#include "modules/entry/process/peer_caller.h"

#include <utility>

#include "modules/entry/api/large_text.h"

namespace hemlockdoor::entry {

namespace {

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
  return DumpWithText(work.document, work.payload_field,
                      work.payload ? *work.payload : std::string());
}

}  // namespace

void PeerCaller::Send(Message message) {
  this->queue.push_back({std::move(message), core::Clock::Now()});
  this->StartNext();
}

void PeerCaller::StartNext() {
  while (!this->queue.empty() && this->in_flight < this->max_in_flight) {
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
    this->Start(next.message);
  }
}

void PeerCaller::Start(const Message& message) {
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
  this->client.Send(call,
                    [this, id](core::Expected<wire::HttpResponse> response) {
                      --this->in_flight;
                      this->on_ended(CallEnded{id, std::move(response)});
                      this->StartNext();
                    });
}

}  // namespace hemlockdoor::entry
