#include "tests/support/deployment.h"

#include <QCryptographicHash>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace hemlockdoor::test_support {

namespace {

using nlohmann::json;
using wire::HttpMethod;

constexpr core::Duration kStartTimeout = core::Duration::Seconds(20);
constexpr const char* kKeyVariable = "HEMLOCKDOOR_TEST_KEY";

/// False also outside of test cases.
bool TestCaseFailed() {
  namespace framework = boost::unit_test::framework;
  const auto id = framework::current_test_case_id();
  return id != boost::unit_test::INV_TEST_UNIT_ID &&
         !boost::unit_test::results_collector.results(id).passed();
}

JobAnswer ReadAnswer(const core::Expected<wire::HttpResponse>& response) {
  JobAnswer answer;
  if (!response) {
    answer.error = response.error().message;
    return answer;
  }
  answer.status = response->status;
  answer.body = response->body;
  const json document = json::parse(response->body, nullptr, false);
  if (document.is_object()) {
    answer.id = document.value("id", "");
    answer.outcome = document.value("outcome", "");
    answer.state = document.value("state", "");
    answer.result = document.value("result", "");
    answer.error = document.value("error", "");
  }
  return answer;
}

wire::HttpCall SubmitCall(std::uint16_t port,
                          const TestJob& job,
                          const std::string& token) {
  wire::HttpCall call =
      MakeCall(port, HttpMethod::kPost, "/v1/jobs", job.ToBody(), token);
  if (job.wait_seconds > 0) {
    call.headers.Add("Prefer", "wait=" + std::to_string(job.wait_seconds));
    call.timeout = core::Duration::Seconds(job.wait_seconds + 10);
  } else {
    call.headers.Add("Prefer", "respond-async");
  }
  if (!job.idempotency_key.empty()) {
    call.headers.Add("Idempotency-Key", job.idempotency_key);
  }
  return call;
}

std::int64_t ToNumber(const std::string& text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::string TestJob::ToBody() const {
  json body = {{"class", this->job_class},
               {"service", this->service},
               {"payload", this->payload},
               {"gang_size", this->gang_size},
               {"accelerators_per_member", this->accelerators_per_member},
               {"repeatable", this->repeatable},
               {"checkpointable", this->checkpointable},
               {"urgent", this->urgent},
               {"declared_run_ms", this->declared_run_ms}};
  if (!this->adjacency.empty()) {
    body["adjacency"] = this->adjacency;
  }
  if (this->deadline_ms > 0) {
    body["deadline_ms"] = this->deadline_ms;
  }
  return body.dump();
}

std::string Deployment::TokenHash(const std::string& token) {
  return QCryptographicHash::hash(QByteArray::fromStdString(token),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

std::string Deployment::DefaultCatalogue() {
  json document;
  for (const std::string organisation : {"north", "south"}) {
    for (const std::string job_class : {"short", "batch"}) {
      json& entry = document["entries"][organisation + "-" + job_class];
      entry["owner"] = organisation;
      entry["class"] = job_class;
      entry["token_sha256"] = {TokenHash(organisation + "-token")};
      entry["limits"]["priority"] = job_class == "short" ? 10 : 5;
    }
  }
  document["operators"]["token_sha256"] = {TokenHash(kOperatorToken)};
  return document.dump();
}

Deployment::Deployment(DeploymentOptions deployment_options)
    : options(std::move(deployment_options)) {
  qputenv(kKeyVariable, kInternalKey);
  if (this->options.catalogue.empty()) {
    this->options.catalogue = DefaultCatalogue();
  }
  WriteFile(this->Path("catalogue.json"), this->options.catalogue);
  for (int i = 0; i < this->options.entries; ++i) {
    this->store_relays.push_back(std::make_unique<Relay>());
    this->entries.emplace_back().relay = std::make_unique<Relay>();
  }
  for (int i = 0; i < this->options.agents; ++i) {
    this->report_relays.push_back(std::make_unique<Relay>());
    this->agents.emplace_back().relay = std::make_unique<Relay>();
    this->upstreams.emplace_back().relay = std::make_unique<Relay>();
  }
  if (this->options.with_store) {
    this->StartStore();
  }
  for (int i = 0; i < this->options.entries; ++i) {
    this->StartEntry(i);
  }
  for (int i = 0; i < this->options.agents; ++i) {
    this->StartAgent(i);
    this->StartUpstream(i);
  }
}

Deployment::~Deployment() {
  // The sanitizers report only from processes that end by themselves.
  for (std::vector<Role>* roles :
       {&this->entries, &this->agents, &this->upstreams}) {
    for (Role& role : *roles) {
      if (role.process != nullptr) {
        role.process->Kill();
      }
    }
  }
  if (TestCaseFailed()) {
    this->folder.setAutoRemove(false);
    std::cerr << "the processes' logs are kept in " << this->Folder() << "\n";
  }
}

std::string Deployment::Path(const std::string& name) const {
  return this->folder.filePath(QString::fromStdString(name)).toStdString();
}

void Deployment::Launch(Role& role,
                        const std::string& name,
                        const std::string& program,
                        const std::vector<std::string>& arguments) {
  const std::string port_file = this->Path(name + ".port");
  role.process.reset();
  std::remove(port_file.c_str());
  role.process = std::make_unique<ChildProcess>(program, arguments,
                                                this->Path(name + ".log"));
  const bool listens =
      WaitUntil([&port_file] { return ToNumber(ReadFile(port_file)) > 0; },
                kStartTimeout);
  BOOST_REQUIRE_MESSAGE(listens, name + " does not listen: " +
                                     ReadFile(this->Path(name + ".log")));
  role.port = static_cast<std::uint16_t>(ToNumber(ReadFile(port_file)));
  if (role.relay != nullptr) {
    role.relay->SetTarget(role.port);
  }
}

void Deployment::StartStore() {
  this->Launch(this->store, "store", "store_standin",
               {"--port", "0", "--port-file", this->Path("store.port")});
  for (const auto& relay : this->store_relays) {
    relay->SetTarget(this->store.port);
  }
}

std::string Deployment::EntrySettings(int index) const {
  const std::string name = "entry" + std::to_string(index);
  json peers = json::array();
  for (int i = 0; i < this->options.entries; ++i) {
    if (i != index) {
      peers.push_back(this->entries[Index(i)].relay->Endpoint());
    }
  }
  const json document = {
      {"id", name},
      {"data_centre", "dc1"},
      {"port_file", this->Path(name + ".port")},
      {"advertised_endpoint", this->entries[Index(index)].relay->Endpoint()},
      {"internal_key_env", kKeyVariable},
      {"store", this->store_relays[Index(index)]->Endpoint()},
      {"peers", peers},
      {"drain_timeout_ms", this->options.drain_timeout.InMilliseconds()},
      {"initial_catalogue", this->Path("catalogue.json")}};
  return document.dump();
}

std::string Deployment::AgentSettings(int index) const {
  const std::string name = "agent" + std::to_string(index);
  json entry_endpoints = json::array();
  for (const Role& entry : this->entries) {
    entry_endpoints.push_back(entry.relay->Endpoint());
  }
  const json document = {
      {"id", name},
      {"data_centre", "dc1"},
      {"port_file", this->Path(name + ".port")},
      {"advertised_endpoint", this->agents[Index(index)].relay->Endpoint()},
      {"internal_key_env", kKeyVariable},
      {"entries", entry_endpoints},
      {"drain_timeout_ms", this->options.drain_timeout.InMilliseconds()},
      {"upstream", this->upstreams[Index(index)].relay->Endpoint()}};
  return document.dump();
}

void Deployment::StartEntry(int index) {
  const std::string name = "entry" + std::to_string(index);
  const std::string file = this->Path(name + ".json");
  WriteFile(file, this->EntrySettings(index));
  this->Launch(this->entries[Index(index)], name, "hemlockdoor",
               {"entry", "--settings", file});
}

void Deployment::StartAgent(int index) {
  const std::string name = "agent" + std::to_string(index);
  const std::string file = this->Path(name + ".json");
  WriteFile(file, this->AgentSettings(index));
  this->Launch(this->agents[Index(index)], name, "hemlockdoor",
               {"agent", "--settings", file});
  this->report_relays[Index(index)]->SetTarget(this->AgentPort(index));
}

void Deployment::StartUpstream(int index) {
  const std::string name = "upstream" + std::to_string(index);
  const int rack = index / this->options.workers_per_rack;
  this->Launch(this->upstreams[Index(index)], name, "upstream_standin",
               {"--port",         "0",
                "--port-file",    this->Path(name + ".port"),
                "--agent",        this->report_relays[Index(index)]->Endpoint(),
                "--slots",        std::to_string(this->options.slots),
                "--connections",  "64",
                "--accelerators", std::to_string(this->options.accelerators),
                "--data-centre",  "dc1",
                "--rack",         "rack" + std::to_string(rack),
                "--services",     "work",
                "--log",          this->Path(name + ".witness")});
}

void Deployment::KillStore() {
  this->store.process->Kill();
}

void Deployment::KillEntry(int index) {
  this->Entry(index).Kill();
}

void Deployment::KillAgent(int index) {
  this->Agent(index).Kill();
}

void Deployment::KillUpstream(int index) {
  this->Upstream(index).Kill();
}

std::uint16_t Deployment::EntryPort(int index) const {
  return this->entries[Index(index)].port;
}

std::uint16_t Deployment::AgentPort(int index) const {
  return this->agents[Index(index)].port;
}

bool Deployment::EntryKnowsAllAgents(int index) {
  const auto response = this->Operate(index, HttpMethod::kGet, "/v1/workers");
  if (!response || response->status != wire::http_status::kOk) {
    return false;
  }
  const json document = json::parse(response->body, nullptr, false);
  if (!document.is_object() || !document.contains("workers")) {
    return false;
  }
  int usable = 0;
  for (const json& worker : document["workers"]) {
    const bool has_shape =
        worker.contains("shape") && worker.value("placeable", false);
    usable += has_shape ? 1 : 0;
  }
  return usable == this->options.agents;
}

bool Deployment::PlanningOwnerExists() {
  for (int i = 0; i < this->options.entries; ++i) {
    const auto response =
        this->Operate(i, HttpMethod::kGet, "/v1/reservations");
    if (response &&
        response->body.find("\"planning_owner\":true") != std::string::npos) {
      return true;
    }
  }
  return false;
}

void Deployment::WaitUntilReady() {
  const bool ready = WaitUntil(
      [this] {
        for (int i = 0; i < this->options.entries; ++i) {
          if (!this->EntryKnowsAllAgents(i)) {
            return false;
          }
        }
        return !this->options.with_store || this->PlanningOwnerExists();
      },
      kStartTimeout);
  std::string logs;
  for (const std::string name : {"entry0", "entry1", "agent0"}) {
    logs += "\n" + name + ": " + ReadFile(this->Path(name + ".log"));
  }
  const auto workers =
      this->Operate(this->options.entries - 1, HttpMethod::kGet, "/v1/workers");
  BOOST_REQUIRE_MESSAGE(
      ready, "deployment is not ready: " +
                 (workers ? workers->body : workers.error().message) + logs);
}

void Deployment::ControlStore(const std::string& body) {
  const auto response = Exchange(
      MakeCall(this->store.port, HttpMethod::kPost, "/control", body, ""));
  BOOST_REQUIRE(response.has_value());
}

void Deployment::ControlUpstream(int index, const std::string& body) {
  const auto response =
      Exchange(MakeCall(this->upstreams[Index(index)].port, HttpMethod::kPost,
                        "/control", body, ""));
  BOOST_REQUIRE(response.has_value());
}

std::string Deployment::StoreCounts() {
  const auto response = Exchange(
      MakeCall(this->store.port, HttpMethod::kGet, "/control/counts", "", ""));
  return response ? response->body : std::string();
}

JobAnswer Deployment::Submit(int entry,
                             const TestJob& job,
                             const std::string& token) {
  return ReadAnswer(Exchange(SubmitCall(this->EntryPort(entry), job, token)));
}

void Deployment::SubmitAsync(wire::HttpClient& client,
                             int entry,
                             const TestJob& job,
                             std::function<void(JobAnswer)> done,
                             const std::string& token) {
  client.Send(SubmitCall(this->EntryPort(entry), job, token),
              [callback = std::move(done)](
                  core::Expected<wire::HttpResponse> response) {
                callback(ReadAnswer(response));
              });
}

JobAnswer Deployment::Ask(int entry,
                          const std::string& job,
                          const std::string& token) {
  return ReadAnswer(Exchange(MakeCall(this->EntryPort(entry), HttpMethod::kGet,
                                      "/v1/jobs/" + job, "", token)));
}

JobAnswer Deployment::Cancel(int entry,
                             const std::string& job,
                             const std::string& token) {
  return ReadAnswer(
      Exchange(MakeCall(this->EntryPort(entry), HttpMethod::kDelete,
                        "/v1/jobs/" + job, "", token)));
}

JobAnswer Deployment::WaitForEnd(int entry,
                                 const std::string& job,
                                 core::Duration timeout,
                                 const std::string& token) {
  JobAnswer answer;
  const bool ended = WaitUntil(
      [&] {
        answer = this->Ask(entry, job, token);
        return !answer.outcome.empty();
      },
      timeout);
  BOOST_REQUIRE_MESSAGE(ended, "job " + job + " has not ended: " + answer.body);
  return answer;
}

core::Expected<wire::HttpResponse> Deployment::Operate(
    int entry,
    HttpMethod method,
    const std::string& target,
    const std::string& body,
    const std::string& if_match) {
  wire::HttpCall call =
      MakeCall(this->EntryPort(entry), method, target, body, kOperatorToken);
  if (!if_match.empty()) {
    call.headers.Add("If-Match", if_match);
  }
  return Exchange(call);
}

std::vector<WitnessRecord> Deployment::Witness() const {
  std::vector<WitnessRecord> records;
  for (int i = 0; i < this->options.agents; ++i) {
    std::istringstream lines(
        ReadFile(this->Path("upstream" + std::to_string(i) + ".witness")));
    std::string line;
    while (std::getline(lines, line)) {
      WitnessRecord record;
      std::istringstream fields(line);
      fields >> record.event >> record.job >> record.attempt >> record.member >>
          record.wall_ms;
      record.upstream = i;
      records.push_back(record);
    }
  }
  return records;
}

int Deployment::StartsOf(const std::string& job) const {
  int starts = 0;
  for (const WitnessRecord& record : this->Witness()) {
    starts += record.event == "start" && record.job == job ? 1 : 0;
  }
  return starts;
}

int Deployment::RunningNow(const std::string& job) const {
  int running = 0;
  for (const WitnessRecord& record : this->Witness()) {
    if (record.job == job) {
      running += record.event == "start" ? 1 : 0;
      running -= record.event == "end" ? 1 : 0;
    }
  }
  return running;
}

}  // namespace hemlockdoor::test_support
