#include "standins/upstream/upstream_standin.h"

#include <QUrlQuery>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <utility>

namespace hemlockdoor::standin {

namespace {

namespace status = wire::http_status;

constexpr int kAnnounceMilliseconds = 1000;
constexpr int kAgentPortPollMilliseconds = 20;
constexpr int kReportRetryMilliseconds = 300;
constexpr int kReverseHoldMilliseconds = 200;
constexpr int kCheckpointMilliseconds = 20;
constexpr std::string_view kTasksPrefix = "/tasks/";

wire::HttpResponse Json(int code, const nlohmann::json& document) {
  wire::HttpResponse response;
  response.status = code;
  response.body = model::DumpJson(document);
  return response;
}

std::uint64_t ToNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

UpstreamStandin::UpstreamStandin(UpstreamOptions standin_options)
    : options(std::move(standin_options)) {}

UpstreamStandin::~UpstreamStandin() {
  if (this->log != nullptr) {
    std::fclose(this->log);
  }
}

core::Expected<std::unique_ptr<UpstreamStandin>> UpstreamStandin::Create(
    UpstreamOptions options) {
  std::unique_ptr<UpstreamStandin> standin(
      new UpstreamStandin(std::move(options)));
  if (!standin->options.log_file.empty()) {
    standin->log = std::fopen(standin->options.log_file.c_str(), "a");
    if (standin->log == nullptr) {
      return core::MakeError(core::ErrorCode::kInvalidArgument,
                             "cannot write the log file",
                             standin->options.log_file);
    }
  }
  wire::HttpServerLimits limits;
  limits.max_body_bytes = 2 * model::kMaxPayloadBytes;
  auto server = wire::HttpServer::Listen(
      "127.0.0.1", standin->options.port, limits,
      [owner = standin.get()](const wire::HttpRequest& request,
                              const wire::HttpResponder& responder) {
        owner->OnRequest(request, responder);
      });
  if (!server) {
    return tl::unexpected<core::Error>(server.error());
  }
  standin->server = std::move(*server);
  QObject::connect(&standin->announce_timer, &QTimer::timeout, standin.get(),
                   [owner = standin.get()] { owner->Announce(); });
  standin->announce_timer.start(kAnnounceMilliseconds);
  standin->AwaitAgentPort();
  return standin;
}

void UpstreamStandin::WriteLine(const char* what,
                                const Key& key,
                                const std::string& detail) {
  if (this->log == nullptr) {
    return;
  }
  std::fprintf(this->log, "%s %s %s %d %lld%s%s\n", what, key.job.c_str(),
               key.attempt.c_str(), key.member,
               static_cast<long long>(core::Clock::WallMilliseconds()),
               detail.empty() ? "" : " ", detail.c_str());
  std::fflush(this->log);
}

void UpstreamStandin::AwaitAgentPort() {
  std::uint16_t& port = this->options.agent.port;
  if (port == 0) {
    std::ifstream(this->options.agent_port_file) >> port;
  }
  if (port == 0) {
    wire::RunLater(this,
                   core::Duration::Milliseconds(kAgentPortPollMilliseconds),
                   [this] { this->AwaitAgentPort(); });
    return;
  }
  this->Announce();
}

void UpstreamStandin::Announce() {
  if (this->faults.freeze || this->on_withdrawn ||
      this->options.agent.port == 0) {
    return;
  }
  wire::HttpCall call;
  call.endpoint = this->options.agent;
  call.method = wire::HttpMethod::kPut;
  call.target = "/upstream/v1/announce";
  nlohmann::json announcement = model::WorkerShapeToJson(this->options.shape);
  announcement["instance"] = this->instance;
  call.body = model::DumpJson(announcement);
  call.timeout = core::Duration::Milliseconds(kAnnounceMilliseconds);
  this->announcements.Send(
      call, [](const core::Expected<wire::HttpResponse>& /*answer*/) {});
}

void UpstreamStandin::Withdraw(std::function<void()> done) {
  this->on_withdrawn = std::move(done);
  wire::HttpCall call;
  call.endpoint = this->options.agent;
  call.method = wire::HttpMethod::kDelete;
  call.target = "/upstream/v1/announce";
  call.timeout = core::Duration::Milliseconds(kAnnounceMilliseconds);
  this->announcements.Send(
      call, [this](const core::Expected<wire::HttpResponse>& /*answer*/) {
        this->CheckWithdrawn();
      });
}

bool UpstreamStandin::HasNoTasks() const {
  return std::all_of(
      this->tasks.begin(), this->tasks.end(),
      [](const auto& row) { return row.second.state == "never_started"; });
}

void UpstreamStandin::CheckWithdrawn() {
  if (this->on_withdrawn && this->HasNoTasks()) {
    wire::RunLater(this, {}, this->on_withdrawn);
  }
}

void UpstreamStandin::OnRequest(const wire::HttpRequest& request,
                                const wire::HttpResponder& responder) {
  const bool is_control = request.path == "/control";
  if (this->faults.freeze && !is_control) {
    this->held_requests.push_back({request, responder});
    return;
  }
  wire::HttpResponse response = this->Serve(request);
  if (is_control) {
    responder.Respond(response);
    return;
  }
  this->Answer(responder, std::move(response));
}

void UpstreamStandin::Answer(const wire::HttpResponder& responder,
                             wire::HttpResponse response) {
  if (this->faults.lose_next_answers > 0) {
    --this->faults.lose_next_answers;
    return;
  }
  if (this->faults.truncate_answers) {
    response.body.resize(response.body.size() / 2);
  }
  if (this->faults.delay_ms > 0) {
    wire::RunLater(this, core::Duration::Milliseconds(this->faults.delay_ms),
                   [responder, response] { responder.Respond(response); });
    return;
  }
  responder.Respond(response);
}

wire::HttpResponse UpstreamStandin::Serve(const wire::HttpRequest& request) {
  const bool posts = request.method == wire::HttpMethod::kPost;
  if (request.path == "/control" && posts) {
    return this->Control(request.body);
  }
  if (request.path == "/tasks") {
    return posts ? this->StartTask(request.body) : this->ListTasks();
  }
  if (request.path.starts_with(kTasksPrefix)) {
    return this->ServeTask(request);
  }
  return wire::MakeProblem(status::kNotFound, "not-found", "unknown path");
}

wire::HttpResponse UpstreamStandin::Control(const std::string& body) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(body);
  if (!doc) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             doc.error().message);
  }
  model::JsonReader reader(*doc, "$");
  UpstreamFaults& now = this->faults;
  now.freeze = reader.OptionalBool("freeze", now.freeze);
  now.fail_all = reader.OptionalBool("fail_all", now.fail_all);
  now.delay_ms =
      static_cast<int>(reader.OptionalInteger("delay_ms", now.delay_ms));
  now.answer_twice = reader.OptionalBool("answer_twice", now.answer_twice);
  now.reverse_order = reader.OptionalBool("reverse_order", now.reverse_order);
  now.truncate_answers =
      reader.OptionalBool("truncate_answers", now.truncate_answers);
  now.lose_next_answers = static_cast<int>(
      reader.OptionalInteger("lose_next_answers", now.lose_next_answers));
  if (const core::Expected<void> read = reader.Finish(); !read) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             read.error().path + ": " + read.error().message);
  }
  if (!now.freeze) {
    for (const Held& held : std::exchange(this->held_requests, {})) {
      this->OnRequest(held.request, held.responder);
    }
    for (const auto& action : std::exchange(this->held_actions, {})) {
      action();
    }
  }
  return Json(status::kOk, nlohmann::json::object());
}

void UpstreamStandin::CheckConflicts(const Key& key, const Task& task) {
  int running = 0;
  std::uint64_t used = 0;
  for (const auto& [other, one] : this->tasks) {
    if (one.state == "running") {
      ++running;
      used |= one.accelerators;
    }
  }
  if (running >= this->options.shape.slots) {
    this->WriteLine("conflict", key, "slots");
  }
  if ((used & task.accelerators) != 0) {
    this->WriteLine("conflict", key, "accelerators");
  }
}

wire::HttpResponse UpstreamStandin::StartTask(const std::string& body) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(body);
  if (!doc) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             doc.error().message);
  }
  model::JsonReader reader(*doc, "$");
  const Key key{reader.RequiredString("job"), reader.RequiredString("attempt"),
                static_cast<int>(reader.OptionalInteger("member", 0))};
  Task task;
  task.behaviour = TaskBehaviour::FromPayload(
      reader.OptionalString("payload", {}, model::kMaxPayloadBytes));
  task.organisation = reader.OptionalString("organisation");
  task.context = reader.OptionalString("context", {}, 4096);
  task.accelerators = ToNumber(reader.OptionalString("accelerators", "0"));
  if (const core::Expected<void> read = reader.FinishLenient(); !read) {
    return wire::MakeProblem(status::kBadRequest, "malformed",
                             read.error().path + ": " + read.error().message);
  }
  const auto known = this->tasks.find(key);
  if (known != this->tasks.end()) {
    this->WriteLine("repeat", key, known->second.state);
    return known->second.state == "never_started"
               ? wire::MakeProblem(status::kConflict, "never-started",
                                   "a stop arrived before this start")
               : Json(status::kAccepted, nlohmann::json::object());
  }
  this->CheckConflicts(key, task);
  this->WriteLine("start", key);
  const TaskBehaviour behaviour = task.behaviour;
  this->tasks.emplace(key, std::move(task));
  const bool fails = this->faults.fail_all || !behaviour.fail.empty();
  wire::RunLater(
      this,
      core::Duration::Milliseconds(this->faults.fail_all ? 0
                                                         : behaviour.run_ms),
      [this, key, fails] { this->EndTask(key, fails ? "failed" : "done"); });
  return Json(status::kAccepted, nlohmann::json::object());
}

void UpstreamStandin::EndTask(const Key& key, const std::string& state) {
  if (this->faults.freeze) {
    this->held_actions.emplace_back(
        [this, key, state] { this->EndTask(key, state); });
    return;
  }
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end() || found->second.state != "running") {
    return;
  }
  Task& task = found->second;
  task.state = state;
  if (state == "done") {
    task.result = task.behaviour.result;
  } else if (state == "failed") {
    task.error = task.behaviour.fail.empty() ? "told to fail everything"
                                             : task.behaviour.fail;
  }
  this->WriteLine("end", key, state);
  this->ReportSoon(key);
}

void UpstreamStandin::ReportSoon(const Key& key) {
  if (!this->faults.reverse_order) {
    this->Report(key);
    return;
  }
  if (this->waiting_reports.empty()) {
    wire::RunLater(this, core::Duration::Milliseconds(kReverseHoldMilliseconds),
                   [this] { this->FlushReports(); });
  }
  this->waiting_reports.push_back(key);
}

void UpstreamStandin::FlushReports() {
  const std::vector<Key> keys = std::exchange(this->waiting_reports, {});
  for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
    this->Report(*key);
  }
}

void UpstreamStandin::Report(const Key& key) {
  if (this->faults.freeze) {
    this->held_actions.emplace_back([this, key] { this->Report(key); });
    return;
  }
  if (this->faults.answer_twice) {
    this->SendReport(key, /*counts=*/false);
  }
  this->SendReport(key, /*counts=*/true);
}

void UpstreamStandin::SendReport(const Key& key, bool counts) {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    return;
  }
  wire::HttpCall call;
  call.endpoint = this->options.agent;
  call.method = wire::HttpMethod::kPost;
  call.target = "/upstream/v1/finished";
  call.body = model::DumpJson(ToJson(key, found->second, /*whole=*/true));
  this->reports.Send(
      call,
      [this, key, counts](const core::Expected<wire::HttpResponse>& answer) {
        if (!counts) {
          return;
        }
        if (answer && answer->status == status::kOk) {
          this->tasks.erase(key);
          this->CheckWithdrawn();
          return;
        }
        wire::RunLater(this,
                       core::Duration::Milliseconds(kReportRetryMilliseconds),
                       [this, key] { this->Report(key); });
      });
}

nlohmann::json UpstreamStandin::ToJson(const Key& key,
                                       const Task& task,
                                       bool whole) const {
  nlohmann::json doc;
  doc["instance"] = this->instance;
  doc["job"] = key.job;
  doc["attempt"] = key.attempt;
  doc["member"] = key.member;
  doc["state"] = task.state;
  doc["organisation"] = task.organisation;
  if (whole) {
    doc["result"] = task.result;
    doc["error"] = task.error;
  } else {
    doc["context"] = task.context;
  }
  return doc;
}

wire::HttpResponse UpstreamStandin::ListTasks() const {
  nlohmann::json doc;
  doc["tasks"] = nlohmann::json::array();
  for (const auto& [key, task] : this->tasks) {
    if (task.state != "never_started") {
      doc["tasks"].push_back(ToJson(key, task, /*whole=*/false));
    }
  }
  return Json(status::kOk, doc);
}

wire::HttpResponse UpstreamStandin::Describe(const Key& key, int code) const {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    return wire::MakeProblem(status::kNotFound, "not-found", "unknown task");
  }
  return Json(code, ToJson(key, found->second, /*whole=*/true));
}

wire::HttpResponse UpstreamStandin::ServeTask(
    const wire::HttpRequest& request) {
  std::string job = request.path.substr(kTasksPrefix.size());
  std::string action;
  if (const std::size_t slash = job.rfind('/');
      request.method == wire::HttpMethod::kPost && slash != std::string::npos) {
    action = job.substr(slash + 1);
    job.resize(slash);
  }
  const QUrlQuery query(QString::fromStdString(request.query));
  const Key key{job, query.queryItemValue("attempt").toStdString(),
                query.queryItemValue("member").toInt()};
  return action.empty() ? this->Describe(key, status::kOk)
                        : this->Steer(key, action);
}

wire::HttpResponse UpstreamStandin::Steer(const Key& key,
                                          const std::string& action) {
  const auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    if (action != "stop") {
      return wire::MakeProblem(status::kNotFound, "not-found", "unknown task");
    }
    // From now on a start of this task is refused.
    Task refused;
    refused.state = "never_started";
    this->tasks.emplace(key, std::move(refused));
    return this->Describe(key, status::kOk);
  }
  const TaskBehaviour& behaviour = found->second.behaviour;
  if (action == "stop" && !behaviour.ignore_stop) {
    this->EndTask(key, "stopped");
  } else if (action == "checkpoint" && !behaviour.ignore_checkpoint) {
    wire::RunLater(this, core::Duration::Milliseconds(kCheckpointMilliseconds),
                   [this, key] { this->EndTask(key, "checkpointed"); });
  }
  return this->Describe(key, status::kAccepted);
}

}  // namespace hemlockdoor::standin
