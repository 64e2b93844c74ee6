#include "modules/agent/process/http_frontend.h"

#include <utility>

#include "modules/observe/observe.h"

namespace hemlockdoor::agent {

namespace {

/// Largest number of requests that wait for the state machine, and so of the
/// answers in its ring (besides `Stop`).
constexpr std::size_t kMaxPending = 512;
/// Time allowed for the last responses to reach their callers before the
/// process ends.
constexpr core::Duration kFlushTime = core::Duration::Milliseconds(100);
/// Room for a payload of 8 MB with its JSON envelope.
constexpr std::size_t kMaxRequestBytes = 9U * 1024U * 1024U;

/// Bodies of at least this size count against the byte budget when parsed.
constexpr std::size_t kMinLargeBytes = 64U * 1024U;
/// Bytes that parsing a body takes beyond the body, per byte of it: the buffer
/// of the JSON lexer, and its previous buffer or the parsed string.
constexpr std::size_t kParseFactor = 2;

wire::HttpResponse OverloadedResponse() {
  wire::HttpResponse response =
      wire::MakeProblem(wire::http_status::kUnavailable, "overloaded",
                        "the agent is overloaded and did not process the "
                        "request; send it again later");
  response.headers.Add("Retry-After", "1");
  return response;
}

}  // namespace

HttpFrontend::HttpFrontend(const Options& options,
                           SharedMetrics& shared_metrics)
    : metrics(shared_metrics),
      process_bytes(options.process_bytes),
      router(options.internal_key, options.upstream_address),
      answers(kMaxPending + 1,
              [this](const Command& command) { this->OnCommand(command); }) {}

core::Expected<std::unique_ptr<HttpFrontend>> HttpFrontend::Listen(
    const Options& options,
    SharedMetrics& metrics) {
  std::unique_ptr<HttpFrontend> frontend(new HttpFrontend(options, metrics));
  wire::HttpServerLimits limits;
  limits.max_body_bytes = kMaxRequestBytes;
  // Bounds memory: only one large body is read at a time; others wait unread.
  limits.max_request_bytes = kMaxRequestBytes;
  limits.max_response_bytes = kMaxRequestBytes;
  limits.process_bytes = options.process_bytes;
  auto server = wire::HttpServer::Listen(
      options.address, options.port, limits,
      [owner = frontend.get()](wire::HttpRequest request,
                               const wire::HttpResponder& responder) {
        owner->OnRequest(std::move(request), responder);
      });
  if (!server) {
    return tl::unexpected<core::Error>(server.error());
  }
  frontend->server = std::move(*server);
  frontend->port = frontend->server->Port();
  return frontend;
}

void HttpFrontend::Open(wire::Inbox<Event>& event_inbox) {
  this->events = &event_inbox;
}

void HttpFrontend::SetStopped(std::function<void()> stopped_callback) {
  this->on_stopped = std::move(stopped_callback);
}

void HttpFrontend::Close() {
  this->events = nullptr;
  this->pending.clear();
  this->server.reset();
  this->context.reset();
}

wire::HttpResponse HttpFrontend::ProbeResponse(bool ok) const {
  wire::HttpResponse response;
  response.status =
      ok ? wire::http_status::kOk : wire::http_status::kUnavailable;
  response.content_type = "text/plain";
  response.body = ok ? "ok\n" : "not ready\n";
  return response;
}

void HttpFrontend::Respond(const wire::HttpResponder& responder,
                           const wire::HttpResponse& response) {
  this->metrics.control_bytes += response.body.size();
  responder.Respond(response);
}

void HttpFrontend::OnRequest(wire::HttpRequest request,
                             const wire::HttpResponder& responder) {
  if (request.path == "/livez") {
    this->Respond(responder, this->ProbeResponse(true));
    return;
  }
  if (request.path == "/readyz") {
    this->Respond(responder, this->ProbeResponse(this->metrics.ready.load()));
    return;
  }
  if (request.path == "/metrics" && request.method == wire::HttpMethod::kGet) {
    this->Respond(responder, observe::ProcessMetrics().ToResponse());
    return;
  }
  const CallId call = this->next_call++;
  const std::size_t request_bytes = request.path.size() + request.body.size();
  wire::ByteShare parsing;
  if (request.body.size() >= kMinLargeBytes) {
    parsing =
        this->process_bytes->TryAcquire(kParseFactor * request.body.size());
    if (!parsing) {
      ++this->metrics.shed;
      this->Respond(responder, OverloadedResponse());
      return;
    }
  }
  RouteResult routed = this->router.Route(request, call);
  if (const auto* answer = std::get_if<wire::HttpResponse>(&routed)) {
    this->Respond(responder, *answer);
    return;
  }
  auto& event = std::get<Event>(routed);
  const bool carries_payload =
      std::holds_alternative<RunRequested>(event) ||
      std::holds_alternative<ReserveRequested>(event) ||
      std::holds_alternative<TaskFinished>(event);
  (carries_payload ? this->metrics.payload_bytes
                   : this->metrics.control_bytes) += request_bytes;
  const bool is_run = std::holds_alternative<RunRequested>(event);
  if (this->events == nullptr || this->pending.size() >= kMaxPending) {
    ++this->metrics.shed;
    this->Respond(responder, OverloadedResponse());
    return;
  }
  parsing.reset();
  this->pending.emplace(
      call, Pending{responder, is_run, std::move(request.body_share)});
  if (!this->events->TryPush(std::move(event))) {
    ++this->metrics.shed;
    this->pending.erase(call);
    this->Respond(responder, OverloadedResponse());
  }
}

void HttpFrontend::OnCommand(const Command& command) {
  if (this->server == nullptr) {
    return;
  }
  if (std::holds_alternative<Stop>(command)) {
    this->server->StopListening();
    wire::RunLater(this->context.get(), kFlushTime, this->on_stopped);
    return;
  }
  const std::optional<CallId> call = CallOf(command);
  const auto found = call ? this->pending.find(*call) : this->pending.end();
  if (found == this->pending.end()) {
    return;
  }
  const Pending answered = found->second;
  this->pending.erase(found);
  this->Respond(answered.responder, *ResponseOf(command, answered.is_run));
}

}  // namespace hemlockdoor::agent
