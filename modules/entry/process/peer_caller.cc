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

void PeerCaller::Take(Message message) {
  this->waiting.push_back({std::move(message), core::Clock::Now()});
  this->StartNext();
}

void PeerCaller::StartNext() {
  while (!this->waiting.empty() && this->in_progress < this->max_in_progress) {
    const Waiting next = std::move(this->waiting.front());
    this->waiting.pop_front();
    if (core::Clock::Now() - next.since >= TimeoutOf(next.message)) {
      this->on_ended(CallEnded{
          IdOf(next.message),
          core::MakeError(core::ErrorCode::kResourceExhausted,
                          "the call waited too long and was not sent")});
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
  ++this->in_progress;
  this->client.Send(call,
                    [this, id](core::Expected<wire::HttpResponse> response) {
                      --this->in_progress;
                      this->on_ended(CallEnded{id, std::move(response)});
                      this->StartNext();
                    });
}

}  // namespace hemlockdoor::entry
