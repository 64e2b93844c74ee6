#include "modules/agent/process/request_router.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace hemlockdoor::agent {

namespace {

namespace status = wire::http_status;

constexpr std::string_view kInternalPrefix = "/internal/v1/";
constexpr std::string_view kUpstreamPrefix = "/upstream/v1/";
constexpr std::string_view kTasksPrefix = "/internal/v1/tasks/";

using Reader = RouteResult (*)(std::string body, CallId call);

struct PostRoute {
  std::string_view path;
  Reader read;
};

wire::HttpResponse BadRequest(const core::Error& error) {
  const std::string prefix = error.path.empty() ? "" : error.path + ": ";
  return wire::MakeProblem(status::kBadRequest, "malformed",
                           prefix + error.message);
}

/// Reads a message with `FromJson` and returns an event of type `E`, whose
/// second field is the message.
template <typename E, auto FromJson>
RouteResult ReadMessage(std::string body, CallId call) {
  const core::Expected<nlohmann::json> doc =
      model::ParseJson(std::exchange(body, {}));
  if (!doc) {
    return BadRequest(doc.error());
  }
  auto message = FromJson(*doc);
  if (!message) {
    return BadRequest(message.error());
  }
  return Event(E{call, std::move(*message)});
}

template <GangMessageKind kind>
RouteResult ReadGangMessage(std::string body, CallId call) {
  auto message = model::FromText<&model::GangMessageFromJson>(body);
  if (!message) {
    return BadRequest(message.error());
  }
  return Event(GangMessageReceived{call, kind, std::move(*message)});
}

RouteResult ReadRevision(std::string body, CallId call) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(body);
  if (!doc) {
    return BadRequest(doc.error());
  }
  model::JsonReader reader(*doc, "$");
  RevisionRequested event;
  event.call = call;
  event.epoch = core::SchedulingEpoch(reader.RequiredCounter("epoch"));
  event.revision = core::CatalogueRevision(reader.RequiredCounter("revision"));
  if (const core::Expected<void> read = reader.FinishLenient(); !read) {
    return BadRequest(read.error());
  }
  return Event(event);
}

RouteResult ReadDrain(std::string /*body*/, CallId call) {
  return Event(DrainRequested{call});
}

RouteResult ReadFinished(std::string body, CallId call) {
  core::Expected<UpstreamTask> task = UpstreamTaskFromText(std::move(body));
  if (!task) {
    return BadRequest(task.error());
  }
  if (task->state == UpstreamTaskState::kRunning) {
    return BadRequest(core::Error{core::ErrorCode::kInvalidArgument,
                                  "a finished task must not have the state "
                                  "\"running\"",
                                  "$.state"});
  }
  return Event(TaskFinished{call, std::move(*task)});
}

RouteResult ReadAnnounce(std::string body, CallId call) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(body);
  if (!doc) {
    return BadRequest(doc.error());
  }
  core::Expected<model::WorkerShape> shape =
      model::WorkerShapeFromJson(*doc, "$");
  if (!shape) {
    return BadRequest(shape.error());
  }
  model::JsonReader reader(*doc, "$");
  std::string instance = reader.OptionalString("instance");
  if (core::Expected<void> read = reader.FinishLenient(); !read) {
    return BadRequest(read.error());
  }
  return Event(UpstreamAnnounced{call, std::move(*shape), std::move(instance)});
}

constexpr std::array<PostRoute, 14> kInternalPosts = {{
    {"run", &ReadMessage<RunRequested, &model::ReservationRequestFromJson>},
    {"reserve",
     &ReadMessage<ReserveRequested, &model::ReservationRequestFromJson>},
    {"commit", &ReadMessage<CommitRequested, &model::AttemptReferenceFromJson>},
    {"release",
     &ReadMessage<ReleaseRequested, &model::AttemptReferenceFromJson>},
    {"cancel", &ReadMessage<CancelRequested, &model::AttemptReferenceFromJson>},
    {"preempt", &ReadMessage<PreemptRequested, &model::PreemptRequestFromJson>},
    {"ack", &ReadMessage<AckRequested, &model::AttemptReferenceFromJson>},
    {"revision", &ReadRevision},
    {"drain", &ReadDrain},
    {"gang/confirm", &ReadGangMessage<GangMessageKind::kConfirm>},
    {"gang/start", &ReadGangMessage<GangMessageKind::kStart>},
    {"gang/renew", &ReadGangMessage<GangMessageKind::kRenew>},
    {"gang/stop", &ReadGangMessage<GangMessageKind::kStop>},
    {"gang/ask", &ReadGangMessage<GangMessageKind::kAsk>},
}};

wire::HttpResponse NotFound() {
  return wire::MakeProblem(status::kNotFound, "not-found",
                           "the agent does not serve this path or method");
}

RouteResult RouteInternal(wire::HttpRequest& request, CallId call) {
  if (request.method == wire::HttpMethod::kGet &&
      request.path.starts_with(kTasksPrefix)) {
    return Event(TasksQueried{
        call, core::JobId(request.path.substr(kTasksPrefix.size()))});
  }
  if (request.method != wire::HttpMethod::kPost) {
    return NotFound();
  }
  const std::string_view name =
      std::string_view(request.path).substr(kInternalPrefix.size());
  for (const PostRoute& route : kInternalPosts) {
    if (route.path == name) {
      return route.read(std::move(request.body), call);
    }
  }
  return NotFound();
}

RouteResult RouteUpstream(wire::HttpRequest& request, CallId call) {
  const std::string_view name =
      std::string_view(request.path).substr(kUpstreamPrefix.size());
  if (name == "announce" && request.method == wire::HttpMethod::kPut) {
    return ReadAnnounce(std::move(request.body), call);
  }
  if (name == "announce" && request.method == wire::HttpMethod::kDelete) {
    return Event(UpstreamWithdrawn{call});
  }
  if (name == "finished" && request.method == wire::HttpMethod::kPost) {
    return ReadFinished(std::move(request.body), call);
  }
  return NotFound();
}

wire::HttpResponse JsonResponse(int code, const nlohmann::json& document) {
  wire::HttpResponse response;
  response.status = code;
  response.body = model::DumpJson(document);
  return response;
}

wire::HttpResponse ToResponse(const AnswerGrant& answer, bool is_run) {
  const int granted = is_run ? status::kAccepted : status::kOk;
  return JsonResponse(answer.reply.granted ? granted : status::kConflict,
                      model::ToJson(answer.reply));
}

wire::HttpResponse ToResponse(const AnswerGang& answer, bool /*is_run*/) {
  return JsonResponse(answer.reply.granted ? status::kOk : status::kConflict,
                      model::ToJson(answer.reply));
}

wire::HttpResponse ToResponse(const AnswerStatus& answer, bool /*is_run*/) {
  const bool known = !answer.status.running.empty() ||
                     !answer.status.results.empty() ||
                     answer.status.reserved > 0;
  return JsonResponse(known ? status::kOk : status::kNotFound,
                      model::ToJson(answer.status));
}

wire::HttpResponse ToResponse(const AnswerPlain& answer, bool /*is_run*/) {
  if (answer.kind == AnswerPlain::Kind::kRetryLater) {
    wire::HttpResponse response = wire::MakeProblem(
        status::kUnavailable, "retry-later",
        "the agent cannot accept the report now; keep it and send it again "
        "after Retry-After seconds");
    response.headers.Add("Retry-After", "1");
    return response;
  }
  return JsonResponse(status::kOk, nlohmann::json::object());
}

template <typename T>
concept HasCall = requires(const T& command) {
  command.call;
};

}  // namespace

RequestRouter::RequestRouter(std::string internal_key,
                             std::string upstream_address)
    : key(std::move(internal_key)), upstream(std::move(upstream_address)) {}

bool RequestRouter::IsFromUpstream(const wire::HttpRequest& request) const {
  constexpr std::string_view kIpv4MappedPrefix = "::ffff:";
  std::string_view address = request.remote_address;
  if (address.starts_with(kIpv4MappedPrefix)) {
    address.remove_prefix(kIpv4MappedPrefix.size());
  }
  return address == this->upstream;
}

RouteResult RequestRouter::Route(wire::HttpRequest& request,
                                 CallId call) const {
  if (request.path.starts_with(kInternalPrefix)) {
    if (!wire::HasBearer(request.headers, this->key)) {
      return wire::MakeProblem(status::kUnauthorized, "unauthorized",
                               "the internal API requires the deployment's "
                               "internal key as a bearer token");
    }
    return RouteInternal(request, call);
  }
  if (request.path.starts_with(kUpstreamPrefix)) {
    if (!this->IsFromUpstream(request)) {
      return wire::MakeProblem(status::kForbidden, "forbidden",
                               "only this agent's upstream may call this API");
    }
    return RouteUpstream(request, call);
  }
  return NotFound();
}

std::optional<wire::HttpResponse> ResponseOf(const Command& command,
                                             bool is_run) {
  return std::visit(
      [is_run](const auto& one) -> std::optional<wire::HttpResponse> {
        if constexpr (HasCall<std::decay_t<decltype(one)>>) {
          return ToResponse(one, is_run);
        } else {
          return std::nullopt;
        }
      },
      command);
}

std::optional<CallId> CallOf(const Command& command) {
  return std::visit(
      [](const auto& one) -> std::optional<CallId> {
        if constexpr (HasCall<std::decay_t<decltype(one)>>) {
          return one.call;
        } else {
          return std::nullopt;
        }
      },
      command);
}

}  // namespace hemlockdoor::agent
