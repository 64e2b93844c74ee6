// Prints what entry, agent and store spend per agent, task, queued job and
// edit: one JSON object a line. docs/CAPACITY.md holds the fitted slopes.
#include <QTimer>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/model/model.h"
#include "tests/support/deployment.h"

namespace hemlockdoor::test_support {

namespace {

using nlohmann::json;

constexpr core::Duration kWarmUp = core::Duration::Seconds(3);
constexpr core::Duration kSample = core::Duration::Seconds(8);

void WaitFor(core::Duration time) {
  WaitUntil([] { return false; }, time);
}

void Print(const json& row) {
  std::puts(row.dump().c_str());
  std::fflush(stdout);
}

/// Announces a number of workers to an entry, as their agents would.
class Announcers {
 public:
  Announcers(std::string entry_endpoint, int agent_count, int task_count)
      : agents(agent_count), tasks_per_agent(task_count) {
    this->endpoint = *wire::Endpoint::Parse(entry_endpoint);
    // One client opens at most six connections to one endpoint.
    constexpr int kAgentsPerClient = 6;
    for (int i = 0; i < agent_count; i += kAgentsPerClient) {
      this->clients.push_back(std::make_unique<wire::HttpClient>());
    }
    this->timer.setInterval(
        static_cast<int>(model::kAnnouncePeriod.InMilliseconds()));
    QObject::connect(&this->timer, &QTimer::timeout, &this->timer,
                     [this] { this->AnnounceAll(); });
    this->timer.start();
    this->AnnounceAll();
  }

  int answered = 0;
  std::size_t message_bytes = 0;

 private:
  void AnnounceAll() {
    for (int i = 0; i < this->agents; ++i) {
      wire::HttpCall call = MakeCall(
          this->endpoint.port, wire::HttpMethod::kPost, "/internal/v1/announce",
          model::DumpJson(model::ToJson(this->MakeAnnouncement(i))),
          Deployment::kInternalKey);
      this->message_bytes = call.body.size();
      const std::size_t client =
          static_cast<std::size_t>(i) % this->clients.size();
      this->clients[client]->Send(
          call, [this](const core::Expected<wire::HttpResponse>& answer) {
            this->answered += answer && answer->status == 200 ? 1 : 0;
          });
    }
  }

  model::Announcement MakeAnnouncement(int index) const {
    model::Announcement message;
    message.agent = core::AgentId("fake" + std::to_string(index));
    message.incarnation = core::Incarnation(7);
    message.endpoint = "127.0.0.1:9";
    message.agent_clock = core::Clock::Now();
    model::WorkerShape shape;
    shape.data_centre = core::DataCentreId("dc1");
    shape.rack = core::RackId("rack" + std::to_string(index / 3));
    shape.slots = 16;
    shape.connections = 64;
    shape.cores = 64;
    shape.memory_bytes = std::int64_t{256} << 30;
    shape.accelerators = 3;
    shape.services = {core::ServiceName("work")};
    message.shape = shape;
    message.free_slots = shape.slots - this->tasks_per_agent;
    for (int task = 0; task < this->tasks_per_agent; ++task) {
      model::RunningTask running;
      running.job = core::JobId("0123456789abcdef0123456789abcd" +
                                std::to_string(index * 16 + task));
      running.attempt = core::AttemptNumber(1);
      running.organisation = core::OrganisationId("north");
      running.job_class = core::JobClass("batch");
      message.running.push_back(running);
    }
    return message;
  }

  int agents;
  int tasks_per_agent;
  wire::Endpoint endpoint;
  std::vector<std::unique_ptr<wire::HttpClient>> clients;
  QTimer timer;
};

/// Processor time and bytes over one sample period.
struct Sample {
  ProcessUsage before;
  std::uint64_t bytes_before = 0;
};

void PrintSample(json row,
                 const Sample& sample,
                 std::int64_t process_id,
                 std::uint64_t bytes_after) {
  const ProcessUsage after = ReadUsage(process_id);
  const double seconds = static_cast<double>(kSample.InMilliseconds()) / 1000.0;
  row["cpu_ms_per_s"] =
      static_cast<double>(after.cpu_ms - sample.before.cpu_ms) / seconds;
  row["resident_bytes"] = after.resident_bytes;
  row["bytes_per_s"] =
      static_cast<double>(bytes_after - sample.bytes_before) / seconds;
  Print(row);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CapacitySlopes)

BOOST_AUTO_TEST_CASE(EntryPerAgentAndTask) {
  for (const int tasks : {0, 8}) {
    for (const int agents : {10, 50, 100, 200}) {
      DeploymentOptions options;
      options.entries = 1;
      options.agents = 0;
      Deployment deployment(options);
      deployment.WaitUntilReady();
      Relay& relay = deployment.EntryRelay(0);
      Announcers announcers(relay.Endpoint(), agents, tasks);
      WaitFor(kWarmUp);
      const Sample sample = {ReadUsage(deployment.Entry(0).Id()),
                             relay.BytesPassed()};
      const int answered_before = announcers.answered;
      WaitFor(kSample);
      json row = {{"role", "entry"},
                  {"agents", agents},
                  {"tasks_per_agent", tasks},
                  {"announcement_bytes", announcers.message_bytes},
                  {"announcements", announcers.answered - answered_before}};
      PrintSample(row, sample, deployment.Entry(0).Id(), relay.BytesPassed());
    }
  }
}

BOOST_AUTO_TEST_CASE(AgentPerTask) {
  for (const int tasks : {0, 4, 8}) {
    DeploymentOptions options;
    options.entries = 1;
    options.agents = 1;
    Deployment deployment(options);
    deployment.WaitUntilReady();
    for (int i = 0; i < tasks; ++i) {
      TestJob job;
      job.payload = R"({"run_ms":60000})";
      job.job_class = "batch";
      job.accelerators_per_member = 1;
      job.wait_seconds = 0;
      deployment.Submit(0, job);
    }
    WaitFor(kWarmUp);
    const auto bytes = [&] {
      return deployment.EntryRelay(0).BytesPassed() +
             deployment.AgentRelay(0).BytesPassed() +
             deployment.UpstreamRelay(0).BytesPassed() +
             deployment.ReportRelay(0).BytesPassed();
    };
    const Sample sample = {ReadUsage(deployment.Agent(0).Id()), bytes()};
    WaitFor(kSample);
    PrintSample({{"role", "agent"}, {"tasks", tasks}}, sample,
                deployment.Agent(0).Id(), bytes());
  }
}

BOOST_AUTO_TEST_CASE(EntryPerQueuedJob) {
  DeploymentOptions options;
  options.entries = 1;
  options.agents = 1;
  Deployment deployment(options);
  deployment.WaitUntilReady();
  int queued = 0;
  for (const int target : {0, 200, 400, 800}) {
    for (; queued < target; ++queued) {
      TestJob job;
      job.payload = R"({"run_ms":600000})";
      job.job_class = "batch";
      job.accelerators_per_member = 8;
      job.wait_seconds = 0;
      job.idempotency_key = "queued-" + std::to_string(queued);
      deployment.Submit(0, job);
    }
    WaitFor(kWarmUp);
    const Sample sample = {ReadUsage(deployment.Entry(0).Id()),
                           deployment.StoreRelay(0).BytesPassed()};
    WaitFor(kSample);
    PrintSample({{"role", "entry"},
                 {"queued", queued},
                 {"store", deployment.StoreCounts()}},
                sample, deployment.Entry(0).Id(),
                deployment.StoreRelay(0).BytesPassed());
  }
}

BOOST_AUTO_TEST_CASE(StoreAndEntryPerEdit) {
  DeploymentOptions options;
  options.agents = 1;
  Deployment deployment(options);
  deployment.WaitUntilReady();
  WaitFor(kWarmUp);
  for (const int edits : {0, 40}) {
    const std::string counts_before = deployment.StoreCounts();
    const Sample sample = {ReadUsage(deployment.Entry(1).Id()),
                           deployment.StoreRelay(1).BytesPassed()};
    for (int i = 0; i < edits; ++i) {
      const auto seen = deployment.Operate(0, wire::HttpMethod::kGet,
                                           "/v1/catalogue/north-short");
      BOOST_REQUIRE(seen.has_value());
      json document = json::parse(seen->body);
      document["limits"]["priority"] = i;
      deployment.Operate(0, wire::HttpMethod::kPut, "/v1/catalogue/north-short",
                         document.dump(),
                         seen->headers.Find("ETag").value_or(""));
    }
    WaitFor(kSample);
    PrintSample({{"role", "other entry"},
                 {"edits", edits},
                 {"store_before", counts_before},
                 {"store_after", deployment.StoreCounts()}},
                sample, deployment.Entry(1).Id(),
                deployment.StoreRelay(1).BytesPassed());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::test_support
