#include "modules/agent/process/agent_process.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "modules/agent/upstream/upstream_messages.h"
#include "modules/model/model.h"
#include "modules/wire/testing/wait_for.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::agent {

namespace {

using wire::testing::WaitFor;

namespace status = wire::http_status;

constexpr const char* kKey = "test-key";

std::unique_ptr<wire::HttpServer> Serve(wire::HttpServer::Handler handler) {
  auto server =
      wire::HttpServer::Listen("127.0.0.1", 0, {}, std::move(handler));
  BOOST_REQUIRE(server.has_value());
  return std::move(*server);
}

wire::HttpResponse Json(int code, const std::string& body) {
  wire::HttpResponse response;
  response.status = code;
  response.body = body;
  return response;
}

/// An entry that records the announcements and results that it receives.
/// Answers results with 503 while `acknowledges` is false.
struct FakeEntry {
  std::vector<model::Announcement> announcements;
  std::vector<model::ResultNotice> results;
  bool acknowledges = true;
  std::unique_ptr<wire::HttpServer> server =
      Serve([this](const wire::HttpRequest& request,
                   const wire::HttpResponder& responder) {
        responder.Respond(this->Answer(request));
      });

  std::string Endpoint() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  wire::HttpResponse Answer(const wire::HttpRequest& request) {
    if (request.headers.Find("Authorization") != "Bearer test-key") {
      return Json(status::kUnauthorized, "{}");
    }
    if (request.path == "/internal/v1/announce") {
      auto message =
          model::FromText<&model::AnnouncementFromJson>(request.body);
      BOOST_REQUIRE(message.has_value());
      this->announcements.push_back(std::move(*message));
      model::AnnounceReply reply;
      reply.entry = core::EntryId("entry-1");
      reply.entry_endpoints = {this->Endpoint()};
      return Json(status::kOk, model::DumpJson(model::ToJson(reply)));
    }
    auto notice = model::FromText<&model::ResultNoticeFromJson>(request.body);
    BOOST_REQUIRE(notice.has_value());
    this->results.push_back(std::move(*notice));
    return Json(this->acknowledges ? status::kOk : status::kUnavailable, "{}");
  }
};

/// An upstream that records starts and lists every started task as running.
struct FakeUpstream {
  std::vector<nlohmann::json> starts;
  std::unique_ptr<wire::HttpServer> server =
      Serve([this](const wire::HttpRequest& request,
                   const wire::HttpResponder& responder) {
        if (request.method == wire::HttpMethod::kPost) {
          this->starts.push_back(nlohmann::json::parse(request.body));
          responder.Respond(Json(status::kAccepted, "{}"));
          return;
        }
        nlohmann::json list;
        list["tasks"] = nlohmann::json::array();
        for (nlohmann::json task : this->starts) {
          task["state"] = "running";
          list["tasks"].push_back(task);
        }
        responder.Respond(Json(status::kOk, list.dump()));
      });
};

/// An agent with one fake entry and one fake upstream.
struct AgentFixture {
  FakeEntry entry;
  FakeUpstream upstream;
  bool stopped = false;
  wire::HttpClient client;
  std::unique_ptr<AgentProcess> agent;

  AgentFixture() {
    settings::AgentSettings settings;
    settings.id = core::AgentId("agent-1");
    settings.common.internal_key = settings::Secret(kKey);
    settings.entries = {this->entry.Endpoint()};
    settings.upstream =
        "127.0.0.1:" + std::to_string(this->upstream.server->Port());
    auto created =
        AgentProcess::Create(settings, [this] { this->stopped = true; });
    BOOST_REQUIRE(created.has_value());
    this->agent = std::move(*created);
  }

  wire::HttpResponse Send(wire::HttpMethod method,
                          const std::string& target,
                          const std::string& body,
                          const std::string& key = kKey) {
    wire::HttpCall call;
    call.endpoint = {"127.0.0.1", this->agent->Port()};
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers.Add("Authorization", "Bearer " + key);
    std::optional<wire::HttpResponse> response;
    this->client.Send(call, [&](core::Expected<wire::HttpResponse> answer) {
      BOOST_REQUIRE(answer.has_value());
      response = std::move(*answer);
    });
    BOOST_REQUIRE(WaitFor([&] { return response.has_value(); }));
    return *response;
  }

  void AnnounceUpstream() {
    model::WorkerShape shape;
    shape.slots = 8;
    shape.connections = 64;
    shape.accelerators = 8;
    shape.services = {core::ServiceName("echo")};
    const wire::HttpResponse answer =
        this->Send(wire::HttpMethod::kPut, "/upstream/v1/announce",
                   model::DumpJson(model::WorkerShapeToJson(shape)));
    BOOST_TEST(answer.status == status::kOk);
  }

  void BecomeReady() {
    this->AnnounceUpstream();
    const bool ready = WaitFor([this] {
      return !this->entry.announcements.empty() &&
             this->entry.announcements.back().free_slots == 8;
    });
    BOOST_REQUIRE(ready);
  }

  model::ReservationRequest Request(const std::string& job) {
    const model::Announcement& seen = this->entry.announcements.back();
    model::ReservationRequest request;
    request.reservation = core::ReservationId(job + "-1");
    request.incarnation = seen.incarnation;
    request.job.id = core::JobId(job);
    request.job.organisation = core::OrganisationId("north");
    request.job.job_class = core::JobClass("preview");
    request.job.service = core::ServiceName("echo");
    request.attempt = core::AttemptNumber(1);
    request.payload = "hello";
    request.start_not_after = seen.agent_clock + core::Duration::Seconds(30);
    request.members = {{seen.agent, seen.incarnation, seen.endpoint, {}}};
    request.reply_to = this->entry.Endpoint();
    return request;
  }

  model::GrantReply Run(const model::ReservationRequest& request) {
    const wire::HttpResponse answer =
        this->Send(wire::HttpMethod::kPost, "/internal/v1/run",
                   model::DumpJson(model::ToJson(request)));
    auto reply = model::FromText<&model::GrantReplyFromJson>(answer.body);
    BOOST_REQUIRE(reply.has_value());
    return *reply;
  }

  void Finish(const std::string& job, const std::string& result) {
    nlohmann::json report;
    report["job"] = job;
    report["attempt"] = "1";
    report["member"] = 0;
    report["state"] = "done";
    report["result"] = result;
    const wire::HttpResponse answer = this->Send(
        wire::HttpMethod::kPost, "/upstream/v1/finished", report.dump());
    BOOST_TEST(answer.status == status::kOk);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AgentProcessTest, AgentFixture)

// Guards against a `run` whose task does not reach the upstream or whose result
// does not reach the entry, and against a drain that loses the result or never
// ends.
BOOST_AUTO_TEST_CASE(RunsATaskDeliversItsResultAndDrains) {
  this->BecomeReady();
  const model::GrantReply reply = this->Run(this->Request("job-1"));
  BOOST_TEST(reply.granted);
  BOOST_TEST(reply.may_have_started);
  BOOST_REQUIRE(WaitFor([this] { return this->upstream.starts.size() == 1; }));
  BOOST_TEST(this->upstream.starts[0]["payload"] == "hello");
  this->agent->BeginDrain();
  BOOST_TEST(this->Send(wire::HttpMethod::kGet, "/readyz", "").status ==
             status::kUnavailable);
  this->Finish("job-1", "world");
  BOOST_REQUIRE(WaitFor([this] { return this->stopped; }));
  BOOST_REQUIRE(this->entry.results.size() == 1);
  BOOST_TEST(this->entry.results[0].body == "world");
  BOOST_TEST((this->entry.results[0].outcome == model::JobOutcome::kDone));
}

// Guards against an internal API that accepts requests with a missing or wrong
// key.
BOOST_AUTO_TEST_CASE(RefusesAWrongKey) {
  const std::string body = "{}";
  for (const std::string key : {"", "test-kez", "test-key-longer"}) {
    BOOST_TEST(
        this->Send(wire::HttpMethod::kPost, "/internal/v1/run", body, key)
            .status == status::kUnauthorized);
  }
  BOOST_TEST(
      this->Send(wire::HttpMethod::kPost, "/internal/v1/run", body).status ==
      status::kBadRequest);
}

// Guards against a result that the agent drops before an entry has acknowledged
// it. The entry answers the first deliveries with 503; the agent must keep the
// result and send it again.
BOOST_AUTO_TEST_CASE(KeepsAResultUntilItIsAcknowledged) {
  this->BecomeReady();
  this->entry.acknowledges = false;
  BOOST_TEST(this->Run(this->Request("job-2")).granted);
  BOOST_REQUIRE(WaitFor([this] { return !this->upstream.starts.empty(); }));
  this->Finish("job-2", "kept");
  BOOST_REQUIRE(WaitFor([this] { return this->entry.results.size() >= 2; }));
  const wire::HttpResponse answer =
      this->Send(wire::HttpMethod::kGet, "/internal/v1/tasks/job-2", "");
  auto held = model::FromText<&model::TaskStatusFromJson>(answer.body);
  BOOST_REQUIRE(held.has_value());
  BOOST_REQUIRE(held->results.size() == 1);
  BOOST_TEST(held->results[0].body == "kept");
  this->entry.acknowledges = true;
  BOOST_REQUIRE(
      WaitFor([this] { return this->agent->Metrics().held_results == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::agent
