#include "review/support/deployment.h"

#include <signal.h>
#include <sys/prctl.h>

#include <QCoreApplication>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace hemlockdoor::review {

namespace {

const char* const kService = "drive";
const char* const kHost = "jobs.example";
const char* const kPrefix = "/queue/";
const char* const kKey = "key-of-tenant-a";
constexpr int kAttempts = 5;
constexpr std::int64_t kClientTimeMs = 3000;
constexpr int kStartLimitMs = 20000;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kTooMany = 429;

std::string AddressText(const std::string& address, std::uint16_t port) {
  return address + ":" + std::to_string(port);
}

}  // namespace

Process::Process(std::string process_name,
                 std::string role_name,
                 std::string settings_file,
                 std::string log_file,
                 Record& case_record)
    : name(std::move(process_name)),
      role(std::move(role_name)),
      settings(std::move(settings_file)),
      log(std::move(log_file)),
      record(case_record) {}

Process::~Process() {
  if (this->IsRunning()) {
    this->process.kill();
    this->process.waitForFinished();
  }
}

void Process::Start() {
  // Also if this program is killed itself, no process stays behind.
  this->process.setChildProcessModifier(
      [] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  this->process.setProcessChannelMode(QProcess::MergedChannels);
  this->process.setStandardOutputFile(QString::fromStdString(this->log),
                                      QIODevice::Append);
  this->process.start("target/hemlockdoor",
                      {QString::fromStdString(this->role), "--settings",
                       QString::fromStdString(this->settings)});
  if (!this->process.waitForStarted()) {
    throw std::runtime_error("cannot start target/hemlockdoor");
  }
  this->record.Line("process " + this->name + " started");
}

bool Process::IsRunning() const {
  return this->process.state() != QProcess::NotRunning;
}

void Process::Signal(int number) {
  if (this->IsRunning()) {
    this->record.Line("process " + this->name + " gets signal " +
                      std::to_string(number));
    ::kill(static_cast<pid_t>(this->process.processId()), number);
  }
}

void Process::Restart(QObject* context, int signal, int pause_ms) {
  this->Signal(signal);
  auto* timer = new QTimer(context);
  QObject::connect(timer, &QTimer::timeout, context,
                   [this, context, timer, pause_ms] {
                     if (this->IsRunning()) {
                       return;
                     }
                     timer->stop();
                     timer->deleteLater();
                     this->record.Line("process " + this->name + " has ended");
                     Later(context, pause_ms, [this] { this->Start(); });
                   });
  constexpr int kPollMs = 10;
  timer->start(kPollMs);
}

bool Submission::WasAccepted() const {
  return std::find(this->statuses.begin(), this->statuses.end(), kOk) !=
         this->statuses.end();
}

bool Submission::WasRejected() const {
  return this->finished && !this->statuses.empty() &&
         std::all_of(this->statuses.begin(), this->statuses.end(),
                     [](int status) {
                       return status == kUnavailable || status == kTooMany;
                     });
}

Deployment::Deployment(Shape deployment_shape, const std::string& case_folder)
    : record(case_folder),
      shape(deployment_shape),
      front_port(FreePort()),
      ready_port(FreePort()),
      control_port(FreePort()),
      orders_port(FreePort()),
      app_port(FreePort()),
      entry_metrics_port(FreePort()),
      agent_metrics_port(FreePort()),
      store_port(FreePort()) {
  const std::string store_address = "127.0.3.1";
  this->store =
      std::make_unique<Store>(store_address, this->store_port, this->record);
  nlohmann::json seeds = nlohmann::json::array();
  for (int i = 0; i < std::min(shape.entries, 3); ++i) {
    seeds.push_back(AddressText(this->EntryAddress(static_cast<std::size_t>(i)),
                                this->control_port));
  }
  for (std::size_t i = 0; i < static_cast<std::size_t>(shape.entries); ++i) {
    const std::string name = "edge-" + std::to_string(i + 1);
    const std::string address = this->EntryAddress(i);
    this->entries.push_back(std::make_unique<Process>(
        name, "hosted-entry",
        this->WriteSettings(
            name,
            {{"node", name},
             {"data_centre", "zone-" + std::to_string(i + 1)},
             {"address", address},
             {"caller_endpoint", AddressText(address, this->front_port)},
             {"readiness_endpoint", AddressText(address, this->ready_port)},
             {"internal_endpoint", AddressText(address, this->control_port)},
             {"entries", seeds},
             {"store_endpoint", AddressText(store_address, this->store_port)},
             {"min_store_lease_ms", 1000},
             {"max_worker_lease_ms", 10000},
             {"stop_grace_s", 6},
             {"metrics_port", this->entry_metrics_port}}),
        this->LogFile(name), this->record));
  }
  for (std::size_t i = 0; i < static_cast<std::size_t>(shape.workers); ++i) {
    const std::string name = "side-" + std::to_string(i + 1);
    const std::string address = this->AgentAddress(i);
    this->agents.push_back(std::make_unique<Process>(
        name, "hosted-agent",
        this->WriteSettings(
            name, {{"node", name},
                   {"data_centre", "zone-" + std::to_string(i + 1)},
                   {"address", address},
                   {"announcement_endpoint",
                    AddressText(address, this->control_port)},
                   {"orders_port", this->orders_port},
                   {"worker_endpoint", AddressText(address, this->app_port)},
                   {"service", kService},
                   {"entries", seeds},
                   {"stop_grace_s", 6},
                   {"metrics_port", this->agent_metrics_port}}),
        this->LogFile(name), this->record));
  }
  this->workers.resize(static_cast<std::size_t>(shape.workers));
}

std::string Deployment::EntryAddress(std::size_t index) const {
  return "127.0.1." + std::to_string(index + 1);
}

std::string Deployment::AgentAddress(std::size_t index) const {
  return "127.0.2." + std::to_string(index + 1);
}

std::string Deployment::LogFile(const std::string& name) const {
  return this->folder.filePath(QString::fromStdString(name + ".log"))
      .toStdString();
}

std::string Deployment::WriteSettings(const std::string& name,
                                      const nlohmann::json& settings) const {
  const std::string path =
      this->folder.filePath(QString::fromStdString(name)).toStdString();
  std::ofstream(path) << settings.dump(1);
  return path;
}

void Deployment::Start() {
  const auto queue = [](const char* name, const char* prefix, int priority) {
    return nlohmann::json{
        {"name", name},         {"host", kHost},       {"prefix", prefix},
        {"kind", "unsafe"},     {"timeoutMs", 3000},   {"sloMs", 1000},
        {"priority", priority}, {"service", kService}, {"maxAttempts", 3},
        {"slackFactor", 3.0},   {"public", false}};
  };
  const nlohmann::json service = {{"name", kService},
                                  {"healthPath", "/health"},
                                  {"maxConns", 64},
                                  {"rejectsOverload", false},
                                  {"standby", false}};
  const nlohmann::json tenant = {{"name", "tenant-a"},
                                 {"apiKeys", nlohmann::json::array({kKey})},
                                 {"guaranteed", {{"gpu", 8}}}};
  this->store->Put(
      "op/config",
      nlohmann::json{
          {"version", 1},
          {"routes", nlohmann::json::array({queue("queue", kPrefix, 1)})},
          {"services", nlohmann::json::array({service})},
          {"limits", {{"maxBodyBytes", 262144}}},
          {"tenants", nlohmann::json::array({tenant})}}
          .dump());
  for (const auto& entry : this->entries) {
    entry->Start();
  }
  for (const auto& agent : this->agents) {
    agent->Start();
  }
  Run(1000);
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    this->StartWorker(i, "i-" + std::to_string(i + 1) + "-a");
  }
  const auto all_known = [this] {
    const std::string* members = this->store->Find("hd/members");
    const std::string* owner = this->store->Find("owner");
    if (members == nullptr || owner == nullptr) {
      return false;
    }
    return nlohmann::json::parse(*members).size() == this->workers.size();
  };
  if (!RunUntil(all_known, kStartLimitMs)) {
    throw std::runtime_error("the deployment does not come up");
  }
  Run(2000);
  // The first job shows that all parts work together.
  const std::string probe = "00000000000000ff";
  this->Submit(probe, JobOf("probe", {{"count", this->workers.size()},
                                      {"cpu", 60000},
                                      {"memMb", 1000},
                                      {"estimateMs", 100}}));
  const auto probe_done = [this] {
    return std::count_if(this->history.begin(), this->history.end(),
                         [](const auto& run) { return run->how == "done"; }) >=
           static_cast<std::int64_t>(this->workers.size());
  };
  if (!RunUntil(probe_done, kStartLimitMs)) {
    throw std::runtime_error("the deployment does not run its first job");
  }
  Run(1500);
  this->history.clear();
  this->record.Line("the deployment serves; planner is " +
                    this->Entry(this->Planner()).Name());
}

Worker& Deployment::StartWorker(std::size_t index, const std::string& id) {
  WorkerOptions options;
  options.id = id;
  options.address = this->AgentAddress(index);
  options.app_port = this->app_port;
  options.control_port = this->control_port;
  options.service = kService;
  options.zone = "zone-" + std::to_string(index + 1);
  options.rack = "r1-1";
  this->workers[index].reset();
  this->workers[index] =
      std::make_unique<Worker>(options, this->record, this->history);
  return *this->workers[index];
}

std::size_t Deployment::Planner() const {
  const std::string* owner = this->store->Find("owner");
  for (std::size_t i = 0; owner != nullptr && i < this->entries.size(); ++i) {
    if (nlohmann::json::parse(*owner)["entry"] == this->entries[i]->Name()) {
      return i;
    }
  }
  throw std::runtime_error("no entry plans");
}

Request Deployment::CallOn(const std::string& method,
                           const std::string& id) const {
  Request call;
  call.method = method;
  call.path = kPrefix + id;
  call.headers["Host"] = kHost;
  call.headers["X-Hemlockdoor-Key"] = kKey;
  call.headers["X-Hemlockdoor-Request-Deadline"] =
      std::to_string(kClientTimeMs);
  return call;
}

std::shared_ptr<Submission> Deployment::Submit(const std::string& id,
                                               const nlohmann::json& body) {
  auto submission = std::make_shared<Submission>();
  submission->id = id;
  this->Attempt(submission, body.dump(), NowMs() + kClientTimeMs,
                this->next_entry++ % this->entries.size());
  return submission;
}

void Deployment::Attempt(const std::shared_ptr<Submission>& submission,
                         const std::string& body,
                         std::int64_t deadline_ms,
                         std::size_t entry) {
  Request call = this->CallOn("POST", submission->id);
  call.body = body;
  this->record.Line("client sends job " + submission->id + " to " +
                    this->entries[entry]->Name());
  SendCall(this, this->EntryAddress(entry), this->front_port, call,
           static_cast<int>(deadline_ms - NowMs()),
           [this, submission, body, deadline_ms, entry](
               int status, const std::string& text) {
             submission->statuses.push_back(status);
             this->record.Line("client gets " + std::to_string(status) + " " +
                               text + " for job " + submission->id);
             constexpr int kPauseMs = 500;
             const bool again = status != kOk &&
                                submission->statuses.size() < kAttempts &&
                                NowMs() + kPauseMs < deadline_ms;
             if (!again) {
               submission->finished = true;
               return;
             }
             Later(this, kPauseMs,
                   [this, submission, body, deadline_ms, entry] {
                     this->Attempt(submission, body, deadline_ms,
                                   (entry + 1) % this->entries.size());
                   });
           });
}

std::string Deployment::StateOf(const std::string& id, std::size_t entry) {
  std::string state;
  SendCall(this, this->EntryAddress(entry), this->front_port,
           this->CallOn("GET", id), kClientTimeMs,
           [&state](int status, const std::string& body) {
             state =
                 status == kOk
                     ? nlohmann::json::parse(body)["state"].get<std::string>()
                     : std::to_string(status);
           });
  RunUntil([&state] { return !state.empty(); }, 2 * kClientTimeMs);
  this->record.Line("client asks for job " + id + ": " + state);
  return state;
}

int Deployment::Cancel(const std::string& id, std::size_t entry) {
  int result = -1;
  SendCall(this, this->EntryAddress(entry), this->front_port,
           this->CallOn("DELETE", id), kClientTimeMs,
           [&result](int status, const std::string&) { result = status; });
  RunUntil([&result] { return result >= 0; }, 2 * kClientTimeMs);
  this->record.Line("client cancels job " + id + ": " + std::to_string(result));
  return result;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int RunCase(int argc,
            char** argv,
            const std::function<bool(const std::string& folder)>& body) {
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  QCoreApplication application(argc, argv);
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " FOLDER\n";
    return kCouldNotRun;
  }
  try {
    const bool held = body(argv[1]);
    std::cout << (held ? "the rule held" : "the rule was broken") << std::endl;
    return held ? kHeld : kBroken;
  } catch (const std::exception& failure) {
    std::cerr << "the case could not run: " << failure.what() << std::endl;
    return kCouldNotRun;
  }
}

nlohmann::json JobOf(const std::string& spec, nlohmann::json step) {
  return {{"spec", spec}, {"steps", nlohmann::json::array({std::move(step)})}};
}

}  // namespace hemlockdoor::review
