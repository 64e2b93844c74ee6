#include "modules/cli/standalone/demo_upstream.h"

#include <QUrlQuery>
#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlockdoor::cli {

namespace {

namespace status = wire::http_status;

constexpr core::Duration kReportRetry = core::Duration::Milliseconds(300);
constexpr std::string_view kTasksPrefix = "/tasks/";
/// Agent and upstream are one process here, so a restart of the upstream alone
/// cannot happen and the instance needs no random part.
constexpr const char* kInstance = "standalone";
constexpr const char* kEcho = "echo";
constexpr const char* kSleep = "sleep";
constexpr int kMaxSleepMs = 3'600'000;
constexpr std::size_t kMaxContextBytes = 4096;

int ToMilliseconds(core::Duration duration) {
  return static_cast<int>(duration.InMilliseconds());
}

wire::HttpResponse Json(int code, const nlohmann::json& document) {
  wire::HttpResponse response;
  response.status = code;
  response.body = model::DumpJson(document);
  return response;
}

wire::HttpResponse NotFound() {
  return wire::MakeProblem(status::kNotFound, "not-found",
                           "no such task or path");
}

/// The run time that a payload of `sleep` asks for; nothing when it is not a
/// number of milliseconds.
std::optional<int> SleepTime(const std::string& payload) {
  int milliseconds = 0;
  const char* last = payload.data() + payload.size();
  const auto [end, failure] =
      std::from_chars(payload.data(), last, milliseconds);
  const bool valid = failure == std::errc() && end == last &&
                     milliseconds >= 0 && milliseconds <= kMaxSleepMs;
  return valid ? std::optional<int>(milliseconds) : std::nullopt;
}

}  // namespace

DemoUpstream::~DemoUpstream() = default;

model::WorkerShape DemoUpstream::Shape() {
  model::WorkerShape shape;
  shape.data_centre = core::DataCentreId("demo");
  shape.rack = core::RackId("rack-1");
  shape.slots = 8;
  shape.connections = 64;
  shape.cores = 4;
  shape.memory_bytes = std::int64_t{1} << 30;
  shape.accelerators = 8;
  shape.accelerators_per_group = 4;
  shape.services = {core::ServiceName(kEcho), core::ServiceName(kSleep)};
  return shape;
}

core::Expected<std::unique_ptr<DemoUpstream>> DemoUpstream::Create() {
  std::unique_ptr<DemoUpstream> upstream(new DemoUpstream);
  wire::HttpServerLimits limits;
  // JSON may double the size of a payload of the largest size.
  limits.max_body_bytes = 2 * model::kMaxPayloadBytes;
  auto listening = wire::HttpServer::Listen(
      "127.0.0.1", 0, limits,
      [owner = upstream.get()](const wire::HttpRequest& request,
                               const wire::HttpResponder& responder) {
        responder.Respond(owner->Serve(request));
      });
  if (!listening) {
    return tl::unexpected<core::Error>(listening.error());
  }
  upstream->server = std::move(*listening);
  return upstream;
}

void DemoUpstream::AnnounceTo(const wire::Endpoint& agent) {
  this->agent_endpoint = agent;
  QObject::connect(&this->announce_timer, &QTimer::timeout, &this->timers,
                   [this] { this->Announce(); });
  this->announce_timer.start(ToMilliseconds(model::kAnnouncePeriod));
  this->Announce();
}

void DemoUpstream::RunAfter(int milliseconds, std::function<void()> action) {
  auto* timer = new QTimer(&this->timers);
  timer->setSingleShot(true);
  QObject::connect(timer, &QTimer::timeout, timer,
                   [timer, run = std::move(action)] {
                     timer->deleteLater();
                     run();
                   });
  timer->start(milliseconds);
}

void DemoUpstream::Announce() {
  wire::HttpCall call;
  call.endpoint = this->agent_endpoint;
  call.method = wire::HttpMethod::kPut;
  call.target = "/upstream/v1/announce";
  nlohmann::json announcement = model::WorkerShapeToJson(Shape());
  announcement["instance"] = kInstance;
  call.body = model::DumpJson(announcement);
  call.timeout = model::kAnnouncePeriod;
  // A lost announcement is made good by the next one.
  this->client.Send(call, [](const core::Expected<wire::HttpResponse>&) {});
}

wire::HttpResponse DemoUpstream::Serve(const wire::HttpRequest& request) {
  if (request.path == "/tasks") {
    return request.method == wire::HttpMethod::kPost
               ? this->StartTask(request.body)
               : this->ListTasks();
  }
  return request.path.starts_with(kTasksPrefix) ? this->ServeTask(request)
                                                : NotFound();
}

wire::HttpResponse DemoUpstream::StartTask(const std::string& body) {
  const core::Expected<nlohmann::json> document =
      model::ParseJson(body, {.max_bytes = 2 * model::kMaxPayloadBytes});
  if (!document) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             document.error().message);
  }
  model::JsonReader reader(*document, "$");
  TaskKey key;
  key.job = reader.RequiredString("job");
  key.attempt = reader.RequiredCounter("attempt");
  key.member = static_cast<int>(reader.OptionalInteger("member", 0));
  const std::string service = reader.RequiredString("service");
  Task task;
  task.payload = reader.OptionalString("payload", {}, model::kMaxPayloadBytes);
  task.context = reader.OptionalString("context", {}, kMaxContextBytes);
  if (const core::Expected<void> read = reader.FinishLenient(); !read) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             read.error().path + ": " + read.error().message);
  }
  if (const auto known = this->tasks.find(key); known != this->tasks.end()) {
    return known->second.state == "never_started"
               ? wire::MakeProblem(status::kConflict, "never-started",
                                   "a stop arrived before this start")
               : Json(status::kAccepted, nlohmann::json::object());
  }
  const std::optional<int> run_ms =
      service == kSleep ? SleepTime(task.payload) : 0;
  task.error = run_ms ? "" : "the payload is not a number of milliseconds";
  this->tasks.emplace(key, std::move(task));
  this->RunAfter(run_ms.value_or(0), [this, key, run_ms] {
    this->EndTask(key, run_ms ? "done" : "failed");
  });
  return Json(status::kAccepted, nlohmann::json::object());
}

wire::HttpResponse DemoUpstream::ServeTask(const wire::HttpRequest& request) {
  const QUrlQuery query(QString::fromStdString(request.query));
  TaskKey key;
  key.job = request.path.substr(kTasksPrefix.size());
  key.attempt = query.queryItemValue("attempt").toULongLong();
  key.member = query.queryItemValue("member").toInt();
  if (request.method != wire::HttpMethod::kPost) {
    const auto found = this->tasks.find(key);
    return found == this->tasks.end()
               ? NotFound()
               : Json(status::kOk, Describe(key, found->second));
  }
  const std::size_t slash = key.job.rfind('/');
  if (slash == std::string::npos) {
    return NotFound();
  }
  const std::string action = key.job.substr(slash + 1);
  key.job.resize(slash);
  if (action == "stop") {
    return this->StopTask(key);
  }
  // Neither service has progress to save, so a checkpoint is not offered; the
  // scheduler stops the task when its grace is over.
  const auto found = this->tasks.find(key);
  return found == this->tasks.end()
             ? NotFound()
             : Json(status::kAccepted, Describe(key, found->second));
}

wire::HttpResponse DemoUpstream::StopTask(const TaskKey& key) {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    // From now on a start of this task is refused, even one under way.
    Task refused;
    refused.state = "never_started";
    this->tasks.emplace(key, refused);
    return Json(status::kOk, Describe(key, refused));
  }
  this->EndTask(key, "stopped");
  return Json(status::kAccepted, Describe(key, found->second));
}

wire::HttpResponse DemoUpstream::ListTasks() const {
  nlohmann::json document;
  document["tasks"] = nlohmann::json::array();
  for (const auto& [key, task] : this->tasks) {
    if (task.state != "never_started") {
      nlohmann::json row = Describe(key, task);
      row.erase("result");
      document["tasks"].push_back(std::move(row));
    }
  }
  return Json(status::kOk, document);
}

void DemoUpstream::EndTask(const TaskKey& key, const std::string& state) {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end() || found->second.state != "running") {
    return;
  }
  found->second.state = state;
  this->Report(key);
}

void DemoUpstream::Report(const TaskKey& key) {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    return;
  }
  wire::HttpCall call;
  call.endpoint = this->agent_endpoint;
  call.method = wire::HttpMethod::kPost;
  call.target = "/upstream/v1/finished";
  call.body = model::DumpJson(Describe(key, found->second));
  this->client.Send(
      call, [this, key](const core::Expected<wire::HttpResponse>& answer) {
        if (answer && answer->status == status::kOk) {
          this->tasks.erase(key);
          return;
        }
        this->RunAfter(ToMilliseconds(kReportRetry),
                       [this, key] { this->Report(key); });
      });
}

nlohmann::json DemoUpstream::Describe(const TaskKey& key, const Task& task) {
  nlohmann::json document;
  document["instance"] = kInstance;
  document["job"] = key.job;
  document["attempt"] = std::to_string(key.attempt);
  document["member"] = key.member;
  document["state"] = task.state;
  document["context"] = task.context;
  document["result"] = task.state == "done" ? task.payload : std::string();
  document["error"] = task.error;
  return document;
}

}  // namespace hemlockdoor::cli
