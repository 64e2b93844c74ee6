// An agent process and an upstream stand-in, with an entry inside the test.
#include <QTemporaryDir>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "modules/model/model.h"
#include "modules/wire/wire.h"
#include "tests/support/child_process.h"
#include "tests/support/relay.h"

namespace hemlockdoor {

namespace {

namespace status = wire::http_status;
using core::Duration;
using model::JobOutcome;
using test_support::ChildProcess;
using test_support::ReadFile;
using test_support::Relay;
using test_support::WaitUntil;

constexpr const char* kKey = "0123456789abcdef0123456789abcdef";
constexpr Duration kPatience = Duration::Seconds(15);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// A sanitizer's own memory is several times that of the program.
constexpr std::int64_t kMaxResident = std::int64_t{512} * 1024 * 1024;
#else
constexpr std::int64_t kMaxResident = std::int64_t{64} * 1024 * 1024;
#endif

/// Runs the two processes. The relays keep their ports when a process is
/// started again.
class Worker {
 public:
  explicit Worker(std::string agent_id = "agent-1") : id(std::move(agent_id)) {
    this->entry_server = ListenAsEntry();
    this->entry_relay.SetTarget(this->entry_server->Port());
    this->WriteSettings();
    this->StartUpstream();
    this->StartAgent();
    BOOST_REQUIRE(this->WaitUntilReady());
  }

  void StartAgent() {
    std::filesystem::remove(this->Path("agent.port"));
    this->agent = std::make_unique<ChildProcess>(
        "hemlockdoor",
        std::vector<std::string>{"agent", "--settings",
                                 this->Path("agent.json")},
        this->Path("agent.log"));
    this->agent_relay.SetTarget(this->WaitForPort("agent.port"));
  }

  void StartUpstream() {
    std::filesystem::remove(this->Path("upstream.port"));
    this->upstream = std::make_unique<ChildProcess>(
        "upstream_standin",
        std::vector<std::string>{"--agent", this->agent_relay.Endpoint(),
                                 "--port-file", this->Path("upstream.port"),
                                 "--log", this->Path("tasks.log")},
        this->Path("upstream.log"));
    this->upstream_port = this->WaitForPort("upstream.port");
    this->upstream_relay.SetTarget(this->upstream_port);
  }

  bool WaitUntilReady() {
    this->last_seen.reset();
    return WaitUntil(
        [this] { return this->last_seen && this->last_seen->free_slots > 0; },
        kPatience);
  }

  std::optional<wire::HttpResponse> Send(std::uint16_t port,
                                         wire::HttpMethod method,
                                         const std::string& target,
                                         const std::string& body = {}) {
    wire::HttpCall call;
    call.endpoint = {"127.0.0.1", port};
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers.Add("Authorization", std::string("Bearer ") + kKey);
    call.single_send = method == wire::HttpMethod::kPost;
    std::optional<core::Expected<wire::HttpResponse>> answer;
    this->client.Send(call, [&](core::Expected<wire::HttpResponse> received) {
      answer = std::move(received);
    });
    WaitUntil([&] { return answer.has_value(); }, kPatience);
    return answer && *answer ? std::optional(**answer) : std::nullopt;
  }

  void Control(const std::string& faults) {
    const auto answer = this->Send(this->upstream_port, wire::HttpMethod::kPost,
                                   "/control", faults);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == status::kOk);
  }

  /// Sends `run` for a single task without accelerators, or with one.
  model::GrantReply Run(const std::string& job,
                        const std::string& payload,
                        bool repeatable = true,
                        int accelerator = -1) {
    const model::Announcement& seen = *this->last_seen;
    model::ReservationRequest request;
    request.reservation = core::ReservationId(job);
    request.incarnation = seen.incarnation;
    request.job.id = core::JobId(job);
    request.job.organisation = core::OrganisationId("north");
    request.job.job_class = core::JobClass("preview");
    request.job.service = core::ServiceName("echo");
    request.job.repeatable = repeatable;
    request.attempt = core::AttemptNumber(1);
    request.payload = payload;
    request.start_not_after = seen.agent_clock + Duration::Seconds(30);
    model::AcceleratorSet accelerators;
    if (accelerator >= 0) {
      accelerators = model::AcceleratorSet(std::uint64_t{1} << accelerator);
      request.job.shape.accelerators_per_member = 1;
    }
    request.members = {
        {seen.agent, seen.incarnation, seen.endpoint, accelerators}};
    request.reply_to = this->entry_relay.Endpoint();
    const auto answer =
        this->Send(this->agent_relay.Port(), wire::HttpMethod::kPost,
                   "/internal/v1/run", model::DumpJson(model::ToJson(request)));
    BOOST_REQUIRE(answer.has_value());
    auto reply = model::FromText<&model::GrantReplyFromJson>(answer->body);
    BOOST_REQUIRE(reply.has_value());
    return *reply;
  }

  /// Reserves one member of a gang on this agent; true when granted.
  bool Reserve(const std::string& job,
               const std::string& payload,
               const std::vector<model::GangMember>& members,
               int member) {
    model::ReservationRequest request;
    request.reservation = core::ReservationId(job + std::to_string(member));
    request.incarnation = this->last_seen->incarnation;
    request.job.id = core::JobId(job);
    request.job.organisation = core::OrganisationId("north");
    request.job.job_class = core::JobClass("batch");
    request.job.service = core::ServiceName("echo");
    request.job.shape.gang_size = static_cast<int>(members.size());
    request.job.shape.accelerators_per_member = 1;
    request.attempt = core::AttemptNumber(1);
    request.payload = payload;
    request.start_not_after =
        this->last_seen->agent_clock + Duration::Seconds(30);
    request.member = member;
    request.members = members;
    request.reply_to = this->entry_relay.Endpoint();
    return this->Grants("reserve", model::ToJson(request));
  }

  bool Commit(const std::string& job) {
    model::AttemptReference reference;
    reference.job = core::JobId(job);
    reference.attempt = core::AttemptNumber(1);
    reference.incarnation = this->last_seen->incarnation;
    return this->Grants("commit", model::ToJson(reference));
  }

  bool Grants(const std::string& call, const nlohmann::json& document) {
    const auto answer =
        this->Send(this->agent_relay.Port(), wire::HttpMethod::kPost,
                   "/internal/v1/" + call, model::DumpJson(document));
    BOOST_REQUIRE(answer.has_value());
    auto reply = model::FromText<&model::GrantReplyFromJson>(answer->body);
    BOOST_REQUIRE(reply.has_value());
    return reply->granted;
  }

  bool WaitForResults(std::size_t count) {
    return WaitUntil([this, count] { return this->results.size() >= count; },
                     kPatience);
  }

  /// Lines of the stand-in's log with this word, by job.
  std::map<std::string, int> LogLines(const std::string& word) {
    std::map<std::string, int> lines;
    std::istringstream log(ReadFile(this->Path("tasks.log")));
    for (std::string line; std::getline(log, line);) {
      std::istringstream words(line);
      std::string what;
      std::string job;
      words >> what >> job;
      if (what == word) {
        ++lines[job];
      }
    }
    return lines;
  }

  /// Checks results against the stand-in's log, the independent witness.
  void CheckAgainstLog() {
    const std::map<std::string, int> starts = this->LogLines("start");
    for (const auto& [job, count] : starts) {
      BOOST_TEST(count == 1, job << " was started " << count << " times");
    }
    BOOST_TEST(this->LogLines("conflict").empty());
    for (const auto& [job, notice] : this->results) {
      if (notice.outcome == JobOutcome::kNotRun) {
        BOOST_TEST(!starts.contains(job), job << " ran, reported as not run");
      }
      if (notice.outcome == JobOutcome::kDone) {
        BOOST_TEST(starts.contains(job), job << " done without a start");
        BOOST_TEST(notice.body == "result of " + job);
      }
    }
  }

  std::string Path(const std::string& name) const {
    return this->folder.filePath(QString::fromStdString(name)).toStdString();
  }

  std::string id;
  QTemporaryDir folder;
  wire::HttpClient client;
  std::unique_ptr<wire::HttpServer> entry_server;
  Relay entry_relay;
  Relay agent_relay;
  Relay upstream_relay;
  std::uint16_t upstream_port = 0;
  std::unique_ptr<ChildProcess> agent;
  std::unique_ptr<ChildProcess> upstream;
  std::optional<model::Announcement> last_seen;
  std::map<std::string, model::ResultNotice> results;
  int repeated_results = 0;

 private:
  std::unique_ptr<wire::HttpServer> ListenAsEntry() {
    auto server = wire::HttpServer::Listen(
        "127.0.0.1", 0, {},
        [this](const wire::HttpRequest& request,
               const wire::HttpResponder& responder) {
          responder.Respond(this->AnswerAsEntry(request));
        });
    BOOST_REQUIRE(server.has_value());
    return std::move(*server);
  }

  wire::HttpResponse AnswerAsEntry(const wire::HttpRequest& request) {
    wire::HttpResponse response;
    if (request.path == "/internal/v1/result") {
      auto notice = model::FromText<&model::ResultNoticeFromJson>(request.body);
      BOOST_REQUIRE(notice.has_value());
      const std::string job = notice->job.Text();
      const bool is_new = this->results.emplace(job, *notice).second;
      this->repeated_results += is_new ? 0 : 1;
      return response;
    }
    auto message = model::FromText<&model::AnnouncementFromJson>(request.body);
    BOOST_REQUIRE(message.has_value());
    this->last_seen = std::move(*message);
    model::AnnounceReply reply;
    reply.entry = core::EntryId("entry-1");
    reply.entry_endpoints = {this->entry_relay.Endpoint()};
    response.body = model::DumpJson(model::ToJson(reply));
    return response;
  }

  void WriteSettings() {
    test_support::WriteFile(this->Path("key"), kKey);
    nlohmann::json settings;
    settings["id"] = this->id;
    settings["data_centre"] = "dc1";
    settings["internal_key_file"] = this->Path("key");
    settings["port_file"] = this->Path("agent.port");
    settings["advertised_endpoint"] = this->agent_relay.Endpoint();
    settings["entries"] = {this->entry_relay.Endpoint()};
    settings["upstream"] = this->upstream_relay.Endpoint();
    test_support::WriteFile(this->Path("agent.json"), settings.dump());
  }

  std::uint16_t WaitForPort(const std::string& name) {
    BOOST_REQUIRE(WaitUntil([&] { return !ReadFile(this->Path(name)).empty(); },
                            kPatience));
    return static_cast<std::uint16_t>(std::stoi(ReadFile(this->Path(name))));
  }
};

std::string Payload(const std::string& job, int run_ms) {
  nlohmann::json payload;
  payload["run_ms"] = run_ms;
  payload["result"] = "result of " + job;
  return payload.dump();
}

struct FaultRow {
  const char* name;
  const char* faults;
  /// Outcome of every job; nothing: any truthful one.
  std::optional<JobOutcome> outcome;
};

const std::vector<FaultRow> kFaults = {
    {"none", "{}", JobOutcome::kDone},
    {"reports twice", R"({"answer_twice":true})", JobOutcome::kDone},
    {"reports in reverse", R"({"reverse_order":true})", JobOutcome::kDone},
    {"slow", R"({"delay_ms":300})", JobOutcome::kDone},
    {"loses answers", R"({"lose_next_answers":4})", JobOutcome::kDone},
    {"truncates answers", R"({"truncate_answers":true})", JobOutcome::kDone},
    {"fails everything", R"({"fail_all":true})", JobOutcome::kFailed},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentUpstreamTest)

// Guards against lost, doubled or crossed results and against second starts
// when the upstream misbehaves.
BOOST_AUTO_TEST_CASE(MisbehavingUpstream) {
  for (const FaultRow& row : kFaults) {
    BOOST_TEST_CONTEXT(row.name) {
      Worker worker;
      worker.Control(row.faults);
      for (int index = 0; index < 6; ++index) {
        const std::string job = "job-" + std::to_string(index);
        BOOST_TEST(
            worker.Run(job, Payload(job, 40), /*repeatable=*/false).granted);
      }
      BOOST_TEST(worker.WaitForResults(6));
      for (const auto& [job, notice] : worker.results) {
        BOOST_TEST((notice.outcome == row.outcome),
                   job << " ended " << model::JobOutcomeName(notice.outcome));
      }
      BOOST_TEST(worker.repeated_results == 0);
      worker.CheckAgainstLog();
    }
  }
}

// Guards against work that is lost, repeated or granted beside the old tasks
// when the agent is killed and started again.
BOOST_AUTO_TEST_CASE(KilledAgentIsSucceeded) {
  Worker worker;
  for (int index = 0; index < 3; ++index) {
    const std::string job = "job-" + std::to_string(index);
    BOOST_TEST(worker.Run(job, Payload(job, 1500 + 500 * index), false, index)
                   .granted);
  }
  BOOST_REQUIRE(WaitUntil([&] { return worker.LogLines("start").size() == 3; },
                          kPatience));
  worker.agent->Kill();
  worker.StartAgent();
  BOOST_REQUIRE(worker.WaitUntilReady());
  BOOST_TEST(worker.last_seen->running.size() == 3U);
  BOOST_TEST(!worker.Run("clash", Payload("clash", 10), false, 0).granted);
  BOOST_TEST(worker.WaitForResults(3));
  for (const auto& [job, notice] : worker.results) {
    BOOST_TEST((notice.outcome == JobOutcome::kDone));
  }
  worker.CheckAgainstLog();
}

// Guards against a frozen upstream whose tasks are reported wrongly, or go on
// beside new work after it thaws.
BOOST_AUTO_TEST_CASE(FrozenUpstream) {
  Worker worker;
  BOOST_TEST(worker.Run("once", Payload("once", 60'000), false, 0).granted);
  BOOST_TEST(worker.Run("again", Payload("again", 60'000), true, 1).granted);
  BOOST_REQUIRE(WaitUntil([&] { return worker.LogLines("start").size() == 2; },
                          kPatience));
  worker.Control(R"({"freeze":true})");
  BOOST_REQUIRE(worker.WaitForResults(2));
  BOOST_TEST((worker.results["once"].outcome == JobOutcome::kUnknown));
  BOOST_TEST((worker.results["again"].outcome == JobOutcome::kFailed));
  const model::GrantReply refused = worker.Run("frozen", "x");
  BOOST_TEST((refused.refusal == model::RefusalReason::kNotReady));
  worker.Control(R"({"freeze":false})");
  BOOST_REQUIRE(worker.WaitUntilReady());
  BOOST_TEST(worker.LogLines("end").size() == 2U);
  BOOST_TEST(worker.Run("new", Payload("new", 10), false, 0).granted);
  BOOST_TEST(worker.WaitForResults(3));
  worker.CheckAgainstLog();
}

// Guards against a planned stop that loses a result or does not end, of the
// agent and of the upstream.
BOOST_AUTO_TEST_CASE(PlannedStopsLoseNothing) {
  Worker worker;
  BOOST_TEST(worker.Run("job", Payload("job", 700), false).granted);
  worker.agent->Terminate();
  BOOST_REQUIRE(
      WaitUntil([&] { return worker.last_seen->draining; }, kPatience));
  BOOST_TEST(
      (worker.Run("late", "x").refusal == model::RefusalReason::kDraining));
  BOOST_TEST(worker.WaitForResults(1));
  BOOST_TEST((worker.results["job"].outcome == JobOutcome::kDone));
  BOOST_TEST((worker.agent->WaitForExit(kPatience) == 0));
  worker.StartAgent();
  BOOST_REQUIRE(worker.WaitUntilReady());
  const std::size_t starts_before = worker.LogLines("start").size();
  BOOST_TEST(worker.Run("last", Payload("last", 700), false).granted);
  // A grant precedes the start; an upstream that withdraws in between refuses
  // the start, which is no cut.
  BOOST_REQUIRE(
      WaitUntil([&] { return worker.LogLines("start").size() > starts_before; },
                kPatience));
  worker.upstream->Terminate();
  BOOST_REQUIRE(WaitUntil([&] { return !worker.last_seen->shape; }, kPatience));
  BOOST_TEST(
      (worker.Run("later", "x").refusal == model::RefusalReason::kNotReady));
  BOOST_TEST(worker.WaitForResults(2));
  BOOST_TEST((worker.results["last"].outcome == JobOutcome::kDone));
  BOOST_TEST((worker.upstream->WaitForExit(kPatience) == 0));
  worker.CheckAgainstLog();
}

// Guards against a gang over several processes that does not start whole, or
// that goes on after its lead was killed.
BOOST_AUTO_TEST_CASE(GangOverThreeAgents) {
  Worker first("agent-1");
  Worker second("agent-2");
  Worker third("agent-3");
  const std::vector<Worker*> workers = {&first, &second, &third};
  for (const bool kills_lead : {false, true}) {
    const std::string job = kills_lead ? "killed" : "whole";
    std::vector<model::GangMember> members;
    for (Worker* worker : workers) {
      const model::Announcement& seen = *worker->last_seen;
      members.push_back({seen.agent, seen.incarnation, seen.endpoint,
                         model::AcceleratorSet(1)});
    }
    const std::string payload = Payload(job, kills_lead ? 60'000 : 300);
    for (int member = 0; member < 3; ++member) {
      BOOST_TEST(workers[member]->Reserve(job, payload, members, member));
    }
    BOOST_TEST(first.Commit(job));
    for (Worker* worker : workers) {
      BOOST_TEST(WaitUntil(
          [&] { return worker->LogLines("start").contains(job); }, kPatience));
    }
    if (!kills_lead) {
      for (Worker* worker : workers) {
        BOOST_TEST(WaitUntil([&] { return worker->results.contains(job); },
                             kPatience));
        BOOST_TEST((worker->results[job].outcome == JobOutcome::kDone));
        BOOST_TEST(worker->WaitUntilReady());
      }
      continue;
    }
    first.agent->Kill();
    for (Worker* worker : {&second, &third}) {
      BOOST_TEST(
          WaitUntil([&] { return worker->LogLines("end").contains(job); },
                    Duration::Seconds(6)));
      BOOST_TEST(
          WaitUntil([&] { return worker->results.contains(job); }, kPatience));
      BOOST_TEST(
          (worker->results[job].cause == model::ResultCause::kGangStopped));
    }
    first.StartAgent();
    BOOST_TEST(first.WaitUntilReady());
    BOOST_TEST(first.LogLines("end").contains(job));
  }
  for (Worker* worker : workers) {
    worker->CheckAgainstLog();
  }
}

// Guards against results that are lost or blow up the agent's memory when
// many large ones end at once. Prints the peak.
BOOST_AUTO_TEST_CASE(LargeResultsStayWithinMemory) {
  Worker worker;
  std::int64_t peak = 0;
  for (int index = 0; index < 6; ++index) {
    const std::string job = "job-" + std::to_string(index);
    BOOST_TEST(
        worker.Run(job, R"({"run_ms":200,"result_bytes":8000000})", false)
            .granted);
  }
  BOOST_TEST(WaitUntil(
      [&] {
        peak = std::max(
            peak, test_support::ReadUsage(worker.agent->Id()).resident_bytes);
        return worker.results.size() == 6;
      },
      Duration::Seconds(60)));
  for (const auto& [job, notice] : worker.results) {
    BOOST_TEST((notice.outcome == JobOutcome::kDone));
    BOOST_TEST(notice.body.size() == 8'000'000U);
  }
  BOOST_TEST_MESSAGE("6 results of 8 MB at once: peak " << peak / 1024
                                                        << " KB resident");
  BOOST_TEST(peak < kMaxResident);
}

// Guards against an agent that needs more than its share of a node (2.8% of a
// core, 64 MB, 21 KB/s): idle, and with 8 tasks. Prints the figures.
BOOST_AUTO_TEST_CASE(OverheadStaysWithinItsBudget) {
  constexpr std::uint64_t kMaxBytesPerSecond = 21'000;
  constexpr int kSeconds = 5;
  Worker worker;
  for (const int tasks : {0, 8}) {
    for (int index = 0; index < tasks; ++index) {
      const std::string job = "job-" + std::to_string(index);
      BOOST_TEST(worker.Run(job, Payload(job, 60'000), true, index).granted);
    }
    const auto bytes = [&worker] {
      return worker.entry_relay.BytesPassed() +
             worker.upstream_relay.BytesPassed() +
             worker.agent_relay.BytesPassed();
    };
    WaitUntil([] { return false; }, Duration::Seconds(1));
    const std::uint64_t bytes_before = bytes();
    const test_support::ProcessUsage before =
        test_support::ReadUsage(worker.agent->Id());
    WaitUntil([] { return false; }, Duration::Seconds(kSeconds));
    const test_support::ProcessUsage after =
        test_support::ReadUsage(worker.agent->Id());
    const std::uint64_t rate = (bytes() - bytes_before) / kSeconds;
    BOOST_TEST_MESSAGE("agent with " << tasks << " tasks, 1 entry: " << rate
                                     << " bytes/s with upstream traffic, "
                                     << (after.cpu_ms - before.cpu_ms) * 100.0 /
                                            (kSeconds * 1000)
                                     << "% of a core, "
                                     << after.resident_bytes / 1024
                                     << " KB resident");
    BOOST_TEST(rate < kMaxBytesPerSecond);
    BOOST_TEST(after.resident_bytes < kMaxResident);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor
