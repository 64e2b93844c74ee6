#include "modules/agent/process/outgoing_calls.h"

#include <QByteArray>
#include <QUrl>
#include <string_view>
#include <utility>

#include "modules/observe/observe.h"

namespace hemlockdoor::agent {

namespace {

namespace status = wire::http_status;

constexpr core::Duration kControlTimeout = core::Duration::Milliseconds(1000);
constexpr core::Duration kStartTimeout = core::Duration::Seconds(2);
constexpr core::Duration kTaskTimeout = core::Duration::Seconds(2);
/// Enough to send a result of 8 MB between regions.
constexpr core::Duration kDeliveryTimeout = core::Duration::Seconds(10);
/// Payloads and results of at least this size count against the byte budget.
constexpr std::size_t kMinLargeBytes = 64U * 1024U;
/// Copies of a payload or result that sending it needs at most.
constexpr std::size_t kSendCopies = 2;
/// Bytes that a query of a task counts for. Its answer may carry a result of
/// the largest size, and reading it needs a further copy. Several such answers
/// at once, after reports that were postponed for lack of room, took an agent
/// to 95 MB.
constexpr std::size_t kQueryBytes = 2 * model::kMaxPayloadBytes;
constexpr core::Duration kBudgetRetryDelay = core::Duration::Milliseconds(5);

std::string_view GangTarget(GangMessageKind kind) {
  switch (kind) {
    case GangMessageKind::kConfirm:
      return "/internal/v1/gang/confirm";
    case GangMessageKind::kStart:
      return "/internal/v1/gang/start";
    case GangMessageKind::kRenew:
      return "/internal/v1/gang/renew";
    case GangMessageKind::kStop:
      return "/internal/v1/gang/stop";
    case GangMessageKind::kAsk:
      break;
  }
  return "/internal/v1/gang/ask";
}

std::string TaskTarget(const TaskKey& key, TaskRequestKind kind) {
  std::string target = "/tasks/" + QUrl::toPercentEncoding(
                                       QString::fromStdString(key.job.Text()))
                                       .toStdString();
  switch (kind) {
    case TaskRequestKind::kQuery:
      break;
    case TaskRequestKind::kCheckpoint:
      target += "/checkpoint";
      break;
    case TaskRequestKind::kThrottle:
      target += "/throttle";
      break;
    case TaskRequestKind::kStop:
      target += "/stop";
      break;
  }
  return target + "?attempt=" + std::to_string(key.attempt.Number()) +
         "&member=" + std::to_string(key.member);
}

/// Reads the upstream's answer to a start. By the upstream API, 202 accepts the
/// start, and 4xx or 503 refuses it. With any other answer, or none, the task
/// may or may not be running.
StartAnswered ReadStartAnswer(
    TaskKey key,
    const core::Expected<wire::HttpResponse>& answer) {
  StartAnswered event;
  event.key = std::move(key);
  if (!answer) {
    event.detail = answer.error().message;
    return event;
  }
  const int code = answer->status;
  const bool client_error =
      code >= status::kBadRequest && code < status::kInternalError;
  if (code == status::kAccepted) {
    event.outcome = StartOutcome::kAccepted;
  } else if (client_error || code == status::kUnavailable) {
    event.outcome = StartOutcome::kRefused;
    event.detail =
        "upstream refused the start with HTTP status " + std::to_string(code);
  }
  return event;
}

TaskReported ReadTaskAnswer(const RequestTask& request,
                            core::Expected<wire::HttpResponse> answer) {
  TaskReported event;
  event.key = request.key;
  event.kind = request.kind;
  if (!answer) {
    return event;
  }
  if (answer->status == status::kNotFound) {
    event.outcome = ReportOutcome::kNotKnown;
    return event;
  }
  const bool ok =
      answer->status == status::kOk || answer->status == status::kAccepted;
  core::Expected<UpstreamTask> task =
      UpstreamTaskFromText(std::move(answer->body));
  // An answer that describes another task is not usable.
  if (ok && task && task->key == request.key) {
    event.outcome = ReportOutcome::kReported;
    event.task = std::move(*task);
  }
  return event;
}

/// Appends `body`, escaped as the content of a JSON string.
void AppendEscaped(std::string& text, std::string_view body) {
  constexpr char kFirstPrintable = 0x20;
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibble = 0xf;
  for (const char byte : body) {
    const auto value = static_cast<unsigned char>(byte);
    if (byte == '"' || byte == '\\') {
      text += '\\';
      text += byte;
    } else if (value < kFirstPrintable) {
      text += "\\u00";
      text += kHexDigits[value >> kNibbleBits];
      text += kHexDigits[value & kNibble];
    } else {
      text += byte;
    }
  }
}

/// Writes a result notice as JSON. Makes only one copy of its body, which may
/// be 8 MB. The body was read from a JSON document and so is valid UTF-8.
std::string NoticeToText(const model::ResultNotice& notice) {
  constexpr std::string_view kEmptyBody = R"("body":"")";
  const model::ResultNotice without_body{
      notice.agent,   notice.job, notice.attempt,  notice.member,
      notice.outcome, {},         notice.run_time, notice.cause};
  const std::string envelope = model::DumpJson(model::ToJson(without_body));
  // Quotation marks inside values are escaped, so the first match is the field.
  const std::size_t field = envelope.find(kEmptyBody);
  HD_ASSERT(field != std::string::npos);
  const std::size_t start = field + kEmptyBody.size() - 1;
  constexpr std::size_t kEscapeReserveDivisor = 16;
  std::string text;
  text.reserve(envelope.size() + notice.body.size() +
               notice.body.size() / kEscapeReserveDivisor);
  text.append(envelope, 0, start);
  AppendEscaped(text, notice.body);
  text.append(envelope, start);
  return text;
}

}  // namespace

struct OutgoingCalls::Clients {
  wire::HttpClient announcements;
  wire::HttpClient gangs;
  wire::HttpClient listings;
  wire::HttpClient starts;
  wire::HttpClient tasks;
  wire::HttpClient deliveries;
};

OutgoingCalls::OutgoingCalls(Options call_options,
                             SharedMetrics& shared_metrics)
    : options(std::move(call_options)),
      metrics(shared_metrics),
      commands(kMaxOutstanding,
               [this](Command command) { this->OnCommand(command); }),
      clients(std::make_unique<Clients>()) {}

OutgoingCalls::~OutgoingCalls() = default;

void OutgoingCalls::Open(wire::Inbox<Event>& outcome_inbox) {
  this->outcomes = &outcome_inbox;
}

void OutgoingCalls::Close() {
  this->outcomes = nullptr;
  this->context.reset();
  this->clients.reset();
}

void OutgoingCalls::Emit(Event event) {
  if (this->outcomes != nullptr) {
    const bool pushed = this->outcomes->TryPush(std::move(event));
    HD_ASSERT(pushed);
  }
}

void OutgoingCalls::OnCommand(Command& command) {
  if (this->clients == nullptr) {
    return;
  }
  this->Run(std::make_shared<Command>(std::move(command)));
}

bool OutgoingCalls::TryAcquireFor(const Command& command,
                                  wire::ByteShare& share) const {
  std::size_t bytes = 0;
  if (const auto* start = std::get_if<StartTask>(&command)) {
    bytes = kSendCopies * start->start.payload.size();
  } else if (const auto* result = std::get_if<DeliverResult>(&command)) {
    bytes = kSendCopies * result->notice->body.size();
  } else if (const auto* request = std::get_if<RequestTask>(&command)) {
    bytes = request->kind == TaskRequestKind::kQuery ? kQueryBytes : 0;
  }
  if (bytes < kMinLargeBytes) {
    return true;
  }
  share = this->options.process_bytes->TryAcquire(bytes);
  return share != nullptr;
}

void OutgoingCalls::Run(const std::shared_ptr<Command>& command) {
  if (this->clients == nullptr) {
    return;
  }
  // A start past its latest start time is not sent and needs no bytes.
  const auto* start = std::get_if<StartTask>(command.get());
  const bool expired =
      start != nullptr && core::Clock::Now() > start->not_after;
  wire::ByteShare share;
  if (!expired && !this->TryAcquireFor(*command, share)) {
    wire::RunLater(this->context.get(), kBudgetRetryDelay,
                   [this, command] { this->Run(command); });
    return;
  }
  std::visit(
      [this, &share](const auto& one) {
        if constexpr (requires { this->Send(one, share); }) {
          this->Send(one, std::move(share));
        } else if constexpr (requires { this->Send(one); }) {
          this->Send(one);
        }
      },
      *command);
}

wire::HttpCall OutgoingCalls::InternalPost(
    const wire::Endpoint& endpoint,
    const std::string& target,
    const nlohmann::json& document) const {
  wire::HttpCall call;
  call.endpoint = endpoint;
  call.method = wire::HttpMethod::kPost;
  call.target = target;
  wire::AddBearer(call.headers, this->options.internal_key);
  call.body = model::DumpJson(document);
  call.timeout = kControlTimeout;
  return call;
}

void OutgoingCalls::LogUnauthorizedOnce(const std::string& endpoint,
                                        int status) {
  if (status == status::kUnauthorized && !this->unauthorized_logged) {
    this->unauthorized_logged = true;
    observe::Log(observe::LogLevel::kError,
                 "entry " + endpoint +
                     " refused this agent's internal key with HTTP status 401");
  }
}

void OutgoingCalls::Send(const SendAnnouncement& command) {
  const core::Expected<wire::Endpoint> endpoint =
      wire::Endpoint::Parse(command.endpoint);
  if (!endpoint) {
    this->Emit(AnnounceAnswered{command.endpoint, std::nullopt});
    return;
  }
  const wire::HttpCall call = this->InternalPost(
      *endpoint, "/internal/v1/announce", model::ToJson(command.message));
  this->metrics.control_bytes += call.target.size() + call.body.size();
  this->clients->announcements.Send(
      call, [this, name = command.endpoint](
                const core::Expected<wire::HttpResponse>& answer) {
        AnnounceAnswered event{name, std::nullopt};
        if (answer) {
          this->metrics.control_bytes += answer->body.size();
          this->LogUnauthorizedOnce(name, answer->status);
        }
        if (answer && answer->status == status::kOk) {
          auto reply =
              model::FromText<&model::AnnounceReplyFromJson>(answer->body);
          if (reply) {
            event.reply = std::move(*reply);
          }
        }
        this->Emit(std::move(event));
      });
}

void OutgoingCalls::Send(const StartTask& command, wire::ByteShare share) {
  if (core::Clock::Now() > command.not_after) {
    this->Emit(
        StartAnswered{command.start.key, StartOutcome::kNotSent,
                      "the start was not sent before its latest start time"});
    return;
  }
  wire::HttpCall call;
  call.endpoint = this->options.upstream;
  call.method = wire::HttpMethod::kPost;
  call.target = "/tasks";
  call.body = UpstreamStartToText(command.start);
  call.timeout = kStartTimeout;
  call.single_send = true;
  this->metrics.payload_bytes += call.target.size() + call.body.size();
  this->clients->starts.Send(
      std::move(call), [this, key = command.start.key, held = std::move(share)](
                           const core::Expected<wire::HttpResponse>& answer) {
        this->Emit(ReadStartAnswer(key, answer));
      });
}

void OutgoingCalls::Send(const ListTasks& command) {
  wire::HttpCall call;
  call.endpoint = this->options.upstream;
  call.target = "/tasks";
  call.timeout = kControlTimeout;
  this->metrics.control_bytes += call.target.size();
  this->clients->listings.Send(
      call, [this, asked_at = command.asked_at](
                const core::Expected<wire::HttpResponse>& answer) {
        TasksListed event{asked_at, std::nullopt};
        if (answer) {
          this->metrics.control_bytes += answer->body.size();
        }
        if (answer && answer->status == status::kOk) {
          core::Expected<std::vector<UpstreamTask>> tasks =
              UpstreamListFromText(answer->body);
          if (tasks) {
            event.tasks = std::move(*tasks);
          }
        }
        this->Emit(std::move(event));
      });
}

void OutgoingCalls::Send(const RequestTask& command, wire::ByteShare share) {
  wire::HttpCall call;
  call.endpoint = this->options.upstream;
  call.method = command.kind == TaskRequestKind::kQuery
                    ? wire::HttpMethod::kGet
                    : wire::HttpMethod::kPost;
  call.target = TaskTarget(command.key, command.kind);
  call.timeout = kTaskTimeout;
  this->metrics.payload_bytes += call.target.size();
  this->clients->tasks.Send(
      call, [this, command, held = std::move(share)](
                core::Expected<wire::HttpResponse> answer) {
        this->metrics.payload_bytes += answer ? answer->body.size() : 0;
        this->Emit(ReadTaskAnswer(command, std::move(answer)));
      });
}

void OutgoingCalls::Send(const DeliverResult& command, wire::ByteShare share) {
  const model::ResultNotice& notice = *command.notice;
  const TaskKey key{notice.job, notice.attempt, notice.member};
  const core::Expected<wire::Endpoint> endpoint =
      wire::Endpoint::Parse(command.endpoint);
  if (!endpoint) {
    this->Emit(ResultDelivered{key, false});
    return;
  }
  wire::HttpCall call =
      this->InternalPost(*endpoint, "/internal/v1/result", {});
  call.body = NoticeToText(notice);
  call.timeout = kDeliveryTimeout;
  this->metrics.payload_bytes += call.target.size() + call.body.size();
  this->clients->deliveries.Send(std::move(call), [this, key,
                                                   held = std::move(share)](
                                                      const core::Expected<
                                                          wire::HttpResponse>&
                                                          answer) {
    this->Emit(ResultDelivered{key, answer && answer->status == status::kOk});
  });
}

void OutgoingCalls::Send(const SendGangMessage& command) {
  GangMessageAnswered event;
  event.kind = command.kind;
  event.attempt = {command.message.job, command.message.attempt};
  event.receiver = command.receiver;
  event.sent_at = command.sent_at;
  const core::Expected<wire::Endpoint> endpoint =
      wire::Endpoint::Parse(command.endpoint);
  if (!endpoint) {
    this->Emit(std::move(event));
    return;
  }
  const wire::HttpCall call =
      this->InternalPost(*endpoint, std::string(GangTarget(command.kind)),
                         model::ToJson(command.message));
  this->metrics.control_bytes += call.target.size() + call.body.size();
  this->clients->gangs.Send(
      call, [this, answered = std::move(event)](
                const core::Expected<wire::HttpResponse>& answer) mutable {
        if (answer) {
          this->metrics.control_bytes += answer->body.size();
          auto reply = model::FromText<&model::GangReplyFromJson>(answer->body);
          if (reply) {
            answered.reply = std::move(*reply);
          }
        }
        this->Emit(std::move(answered));
      });
}

std::optional<Event> OutcomeOfUnsent(const Command& command) {
  if (const auto* one = std::get_if<SendAnnouncement>(&command)) {
    return AnnounceAnswered{one->endpoint, std::nullopt};
  }
  if (const auto* one = std::get_if<StartTask>(&command)) {
    return StartAnswered{one->start.key, StartOutcome::kNotSent,
                         "too many outgoing calls outstanding"};
  }
  if (const auto* one = std::get_if<ListTasks>(&command)) {
    return TasksListed{one->asked_at, std::nullopt};
  }
  if (const auto* one = std::get_if<RequestTask>(&command)) {
    return TaskReported{one->key, one->kind, ReportOutcome::kNoAnswer, {}};
  }
  if (const auto* one = std::get_if<DeliverResult>(&command)) {
    return ResultDelivered{
        {one->notice->job, one->notice->attempt, one->notice->member}, false};
  }
  if (const auto* one = std::get_if<SendGangMessage>(&command)) {
    return GangMessageAnswered{one->kind,
                               {one->message.job, one->message.attempt},
                               one->receiver,
                               one->sent_at,
                               std::nullopt};
  }
  return std::nullopt;
}

bool IsBulkCall(const Command& command) {
  return std::holds_alternative<StartTask>(command) ||
         std::holds_alternative<RequestTask>(command) ||
         std::holds_alternative<DeliverResult>(command);
}

}  // namespace hemlockdoor::agent
