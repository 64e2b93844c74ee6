#include "modules/entry/process/entry_process.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QDir>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTemporaryFile>
#include <QTimer>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "modules/model/model.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::entry {

namespace {

constexpr int kWaitMs = 10'000;

bool WaitUntil(const std::function<bool()>& condition) {
  QElapsedTimer timer;
  timer.start();
  while (!condition() && timer.elapsed() < kWaitMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return condition();
}

std::string HashOf(const char* token) {
  return QCryptographicHash::hash(token, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

wire::HttpResponse Reply(int status, const nlohmann::json& document) {
  wire::HttpResponse response;
  response.status = status;
  response.body = model::DumpJson(document);
  return response;
}

/// Announces itself and runs each task at once: the result is the payload.
class EchoAgent {
 public:
  EchoAgent() {
    auto listening =
        wire::HttpServer::Listen("127.0.0.1", 0, {},
                                 [this](const wire::HttpRequest& request,
                                        const wire::HttpResponder& responder) {
                                   this->OnRequest(request, responder);
                                 });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
  }

  void Announce(std::uint16_t entry_port) {
    model::Announcement announcement;
    announcement.agent = core::AgentId("agent-1");
    announcement.incarnation = core::Incarnation(7);
    announcement.endpoint = "127.0.0.1:" + std::to_string(this->server->Port());
    announcement.agent_clock = core::Clock::Now();
    model::WorkerShape shape;
    shape.slots = 8;
    shape.connections = 64;
    shape.services = {core::ServiceName("preview")};
    announcement.shape = shape;
    announcement.free_slots = 8;
    this->Post(entry_port, "/internal/v1/announce",
               model::ToJson(announcement));
  }

  std::atomic<int> runs = 0;
  std::string authorization;

 private:
  void OnRequest(const wire::HttpRequest& request,
                 const wire::HttpResponder& responder) {
    this->authorization = request.headers.Find("Authorization").value_or("");
    model::GrantReply grant;
    grant.incarnation = core::Incarnation(7);
    grant.granted = true;
    responder.Respond(Reply(202, model::ToJson(grant)));
    const auto run =
        model::FromText<&model::ReservationRequestFromJson>(request.body);
    if (request.path != "/internal/v1/run" || !run) {
      return;
    }
    ++this->runs;
    model::ResultNotice notice;
    notice.agent = core::AgentId("agent-1");
    notice.job = run->job.id;
    notice.attempt = run->attempt;
    notice.outcome = model::JobOutcome::kDone;
    notice.body = "echo:" + run->payload;
    const auto entry = wire::Endpoint::Parse(run->reply_to);
    this->Post(entry->port, "/internal/v1/result", model::ToJson(notice));
  }

  void Post(std::uint16_t port,
            const std::string& target,
            const nlohmann::json& document) {
    wire::HttpCall call;
    call.endpoint = {"127.0.0.1", port};
    call.method = wire::HttpMethod::kPost;
    call.target = target;
    call.headers.Add("Authorization", "Bearer internal");
    call.body = model::DumpJson(document);
    this->client.Send(call, [](const auto&) {});
  }

  std::unique_ptr<wire::HttpServer> server;
  wire::HttpClient client;
};

/// A standalone entry with one organisation whose token is "north-token".
struct RunningEntry {
  RunningEntry() {
    BOOST_REQUIRE(this->file.open());
    nlohmann::json catalogue;
    catalogue["entries"]["north"] = {{"owner", "north"},
                                     {"class", "short"},
                                     {"token_sha256", {HashOf("north-token")}},
                                     {"limits", nlohmann::json::object()}};
    this->file.write(QByteArray::fromStdString(catalogue.dump()));
    this->file.flush();
    settings::EntrySettings settings;
    settings.id = core::EntryId("entry-1");
    settings.common.internal_key = settings::Secret("internal");
    settings.initial_catalogue = this->file.fileName().toStdString();
    auto created =
        EntryProcess::Create(settings, [this] { this->stopped = true; });
    BOOST_REQUIRE_MESSAGE(created.has_value(),
                          (created ? "" : created.error().message));
    this->process = std::move(*created);
    BOOST_REQUIRE(WaitUntil([this] {
      const auto ready = this->Call(wire::HttpMethod::kGet, "/readyz", {}, "");
      return ready && ready->status == wire::http_status::kOk;
    }));
  }

  core::Expected<wire::HttpResponse> Call(wire::HttpMethod method,
                                          const std::string& target,
                                          const std::string& body,
                                          const std::string& token) {
    wire::HttpCall call;
    call.endpoint = {"127.0.0.1", this->process->Port()};
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeout = core::Duration::Milliseconds(kWaitMs);
    if (!token.empty()) {
      call.headers.Add("Authorization", "Bearer " + token);
    }
    call.headers.Add("Prefer", "wait=5");
    std::optional<core::Expected<wire::HttpResponse>> answer;
    this->client.Send(call, [&answer](auto received) { answer = received; });
    BOOST_REQUIRE(WaitUntil([&answer] { return answer.has_value(); }));
    return *answer;
  }

  QTemporaryFile file;
  std::atomic<bool> stopped = false;
  std::unique_ptr<EntryProcess> process;
  wire::HttpClient client;
};

constexpr const char* kSubmission =
    R"({"class": "short", "service": "preview", "payload": "page 1"})";

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryProcessTest)

// Guards against a break anywhere on the path from a caller's connection over
// all duty threads to an agent and back.
BOOST_AUTO_TEST_CASE(RunsAShortJobOnAnAgentAndAnswersItsCaller) {
  RunningEntry entry;
  EchoAgent agent;
  agent.Announce(entry.process->Port());
  const auto answer = entry.Call(wire::HttpMethod::kPost, "/v1/jobs",
                                 kSubmission, "north-token");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status == 200);
  const nlohmann::json doc = nlohmann::json::parse(answer->body);
  BOOST_TEST(doc.value("outcome", "") == "done");
  BOOST_TEST(doc.value("result", "") == "echo:page 1");
  BOOST_TEST(agent.runs == 1);
  BOOST_TEST(agent.authorization == "Bearer internal");
  const std::string location = answer->headers.Find("Location").value_or("");
  const auto status =
      entry.Call(wire::HttpMethod::kGet, location, {}, "north-token");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(nlohmann::json::parse(status->body).value("outcome", "") ==
             "done");
  const auto result = entry.Call(wire::HttpMethod::kGet, location + "/result",
                                 {}, "north-token");
  BOOST_TEST(result->body == "echo:page 1");
}

// Guards against requests that reach the state machine without a valid token.
BOOST_AUTO_TEST_CASE(RefusesRequestsWithoutAValidToken) {
  RunningEntry entry;
  struct Case {
    wire::HttpMethod method;
    const char* target;
    const char* token;
    int status;
  };
  const Case cases[] = {
      {wire::HttpMethod::kPost, "/v1/jobs", "", 401},
      {wire::HttpMethod::kPost, "/v1/jobs", "wrong", 401},
      {wire::HttpMethod::kGet, "/v1/workers", "north-token", 403},
      {wire::HttpMethod::kPost, "/internal/v1/announce", "north-token", 401},
      {wire::HttpMethod::kGet, "/livez", "", 200},
      {wire::HttpMethod::kGet, "/readyz", "", 200},
      {wire::HttpMethod::kGet, "/nothing", "", 404},
  };
  for (const Case& each : cases) {
    const auto answer =
        entry.Call(each.method, each.target, kSubmission, each.token);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == each.status, each.target);
  }
}

// Guards against a drain that never ends, or that leaves a queued caller
// without an accurate answer.
BOOST_AUTO_TEST_CASE(DrainEndsAndMakesTheEntryUnready) {
  RunningEntry entry;
  entry.process->BeginDrain();
  const auto ready = entry.Call(wire::HttpMethod::kGet, "/readyz", {}, "");
  BOOST_REQUIRE(ready.has_value());
  BOOST_TEST(ready->status == 503);
  BOOST_TEST(WaitUntil([&entry] { return entry.stopped.load(); }));
  const auto refused = entry.Call(wire::HttpMethod::kPost, "/v1/jobs",
                                  kSubmission, "north-token");
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->status == 503);
  BOOST_TEST(nlohmann::json::parse(refused->body).value("outcome", "") ==
             "not-run");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
