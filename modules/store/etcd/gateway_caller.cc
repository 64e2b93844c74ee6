#include "modules/store/etcd/gateway_caller.h"

#include <utility>

#include "modules/model/json/json_reader.h"
#include "modules/store/etcd/etcd_codec.h"
#include "modules/wire/loop/run_later.h"

namespace hemlockdoor::store::etcd {

namespace {

/// A listing may have many values of up to 1 MB each, in base64. The bound
/// keeps the whole process under its limit of 64 MB.
constexpr model::JsonLimits kAnswerLimits = {.max_bytes = 16U * 1024U * 1024U,
                                             .max_depth = 16,
                                             .allow_comments = false};

/// Returns the error for an answer with a status other than 200.
core::Error ErrorFromStatus(const wire::HttpResponse& response) {
  const std::string message = "store answered " +
                              std::to_string(response.status) + ": " +
                              DecodeErrorMessage(response.body);
  switch (response.status) {
    case wire::http_status::kTooManyRequests:
      return {core::ErrorCode::kUnavailable, message, ""};
    case wire::http_status::kNotFound:
      return {core::ErrorCode::kNotFound, message, ""};
    case wire::http_status::kUnauthorized:
      return {core::ErrorCode::kUnauthorized, message, ""};
    case wire::http_status::kForbidden:
      return {core::ErrorCode::kForbidden, message, ""};
    case wire::http_status::kBadRequest:
      return {core::ErrorCode::kInvalidArgument, message, ""};
    default:
      // etcd also answers 503 for a proposal that timed out and may still be
      // applied, so a 5xx status does not prove that a write had no effect.
      return {core::ErrorCode::kTimeout, message, ""};
  }
}

bool IsTransient(core::ErrorCode code) {
  return code == core::ErrorCode::kUnavailable ||
         code == core::ErrorCode::kTimeout;
}

}  // namespace

GatewayCaller::GatewayCaller(const EtcdOptions& caller_options)
    : options(caller_options),
      breaker(caller_options.failures_to_open,
              Backoff(caller_options.first_backoff,
                      caller_options.longest_backoff,
                      caller_options.seed)),
      next_seed(caller_options.seed) {}

void GatewayCaller::Start(GatewayCall call, CallDone done) {
  auto pending = std::make_shared<PendingCall>(
      PendingCall{std::move(call), std::move(done), this->options.max_attempts,
                  core::TimePoint(),
                  Backoff(this->options.first_backoff,
                          this->options.longest_backoff, ++this->next_seed)});
  this->Enqueue(std::move(pending));
}

void GatewayCaller::Enqueue(PendingCallPointer pending) {
  if (this->queue.size() >= this->options.max_calls_waiting) {
    this->FailLater(
        pending, {core::ErrorCode::kUnavailable,
                  "store call not sent: " + std::to_string(this->queue.size()) +
                      " calls are already in the queue",
                  ""});
    return;
  }
  pending->queue_deadline = core::Clock::Now() + this->options.call_timeout;
  this->queue.push_back(std::move(pending));
  this->SendQueuedCalls();
}

void GatewayCaller::SendQueuedCalls() {
  while (!this->queue.empty() &&
         this->in_progress < this->options.max_calls_in_progress) {
    const PendingCallPointer pending = std::move(this->queue.front());
    this->queue.pop_front();
    const core::TimePoint now = core::Clock::Now();
    if (now > pending->queue_deadline) {
      this->FailLater(
          pending,
          {core::ErrorCode::kUnavailable,
           "store call not sent: it waited more than " +
               std::to_string(this->options.call_timeout.InMilliseconds()) +
               " ms in the queue",
           ""});
    } else if (!this->breaker.TryAcquire(now)) {
      this->FailLater(
          pending,
          {core::ErrorCode::kUnavailable,
           "store call not sent: the store has failed repeatedly and the "
           "circuit breaker is open",
           ""});
    } else {
      this->Send(pending);
    }
  }
}

void GatewayCaller::Send(const PendingCallPointer& pending) {
  ++this->in_progress;
  --pending->attempts_left;
  this->Count(pending->call.kind);
  wire::HttpCall http;
  http.endpoint = this->options.endpoint;
  http.method = wire::HttpMethod::kPost;
  http.target = pending->call.target;
  http.body = pending->call.body;
  http.timeout = this->options.call_timeout;
  http.single_send = pending->call.kind == CallKind::kWrite;
  http.max_response_bytes = kAnswerLimits.max_bytes;
  this->client.Send(http, [this, pending](auto response) {
    this->OnResponse(pending, std::move(response));
  });
}

void GatewayCaller::OnResponse(const PendingCallPointer& pending,
                               core::Expected<wire::HttpResponse> response) {
  --this->in_progress;
  const bool store_answered =
      response && response->status < wire::http_status::kInternalError;
  if (store_answered) {
    this->breaker.OnSuccess();
  } else {
    this->breaker.OnFailure(core::Clock::Now());
  }
  const bool too_large =
      !response && response.error().code == core::ErrorCode::kTooLarge;
  if (too_large && pending->call.kind == CallKind::kWrite) {
    // The write may have taken effect although its answer exceeds the bound.
    this->RetryOrFail(
        pending, {core::ErrorCode::kTimeout, response.error().message, ""});
  } else if (!response) {
    this->RetryOrFail(pending, response.error());
  } else if (response->status != wire::http_status::kOk) {
    this->RetryOrFail(pending, ErrorFromStatus(*response));
  } else {
    core::Expected<nlohmann::json> answer =
        model::ParseJson(response->body, kAnswerLimits);
    if (answer && pending->call.is_valid(*answer)) {
      pending->done(std::move(answer));
    } else {
      // The call may have taken effect although its answer is malformed.
      this->RetryOrFail(
          pending,
          {core::ErrorCode::kTimeout,
           "store gave a malformed answer to " + pending->call.target, ""});
    }
  }
  this->SendQueuedCalls();
}

void GatewayCaller::RetryOrFail(const PendingCallPointer& pending,
                                core::Error error) {
  const bool repeatable = pending->call.kind != CallKind::kWrite ||
                          error.code == core::ErrorCode::kUnavailable;
  if (IsTransient(error.code) && repeatable && pending->attempts_left > 0) {
    wire::RunLater(&this->context, pending->backoff.Next(),
                   [this, pending] { this->Enqueue(pending); });
    return;
  }
  if (pending->call.kind == CallKind::kRead && IsTransient(error.code)) {
    error.code = core::ErrorCode::kUnavailable;
  }
  pending->done(tl::unexpected<core::Error>(std::move(error)));
}

void GatewayCaller::FailLater(const PendingCallPointer& pending,
                              core::Error error) {
  wire::RunLater(&this->context, core::Duration(),
                 [pending, failure = std::move(error)] {
                   pending->done(tl::unexpected<core::Error>(failure));
                 });
}

void GatewayCaller::Count(CallKind kind) {
  switch (kind) {
    case CallKind::kRead:
      ++this->counts.reads;
      return;
    case CallKind::kWrite:
      ++this->counts.writes;
      return;
    case CallKind::kLease:
      ++this->counts.lease_calls;
      return;
  }
}

}  // namespace hemlockdoor::store::etcd
