// A whole deployment of separate processes on loopback for tests.
#pragma once

#include <QTemporaryDir>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/child_process.h"
#include "tests/support/http.h"
#include "tests/support/relay.h"

namespace hemlockdoor::test_support {

/// Size and catalogue of a deployment.
struct DeploymentOptions {
  int entries = 2;
  int agents = 3;
  int slots = 8;
  int accelerators = 8;
  int workers_per_rack = 3;
  /// Upper bound of a graceful shutdown.
  core::Duration drain_timeout = core::Duration::Seconds(20);
  /// Whole catalogue document; empty: `DefaultCatalogue()`.
  std::string catalogue;
  /// False: no store process is started (it counts as down).
  bool with_store = true;
};

/// One line of an upstream's log: the independent witness of what ran.
struct WitnessRecord {
  std::string event;
  std::string job;
  std::uint64_t attempt = 0;
  int member = 0;
  std::int64_t wall_ms = 0;
  /// Index of the upstream that wrote it.
  int upstream = 0;
};

/// What a caller submits; empty fields are left out.
struct TestJob {
  std::string service = "work";
  std::string job_class = "short";
  /// Behaviour for the upstream stand-in, a JSON text.
  std::string payload = "hello";
  int gang_size = 1;
  int accelerators_per_member = 0;
  std::string adjacency;
  bool repeatable = true;
  bool checkpointable = false;
  bool urgent = false;
  std::int64_t deadline_ms = 0;
  std::int64_t declared_run_ms = 0;
  std::string idempotency_key;
  /// Seconds for `Prefer: wait`; 0: answered at once.
  int wait_seconds = 10;

  std::string ToBody() const;
};

/// An answer to a caller, read.
struct JobAnswer {
  int status = 0;
  std::string id;
  std::string outcome;
  std::string state;
  std::string result;
  std::string error;
  std::string body;
};

/// Starts, stops and breaks the processes of a deployment. Every connection
/// between two processes goes through a relay.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions deployment_options = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Waits until all entries are ready, one owns the planning lease and each
  /// entry knows all agents; fails the test when that takes over 20 s.
  void WaitUntilReady();

  /// Starts (again) one process; a process that runs is killed first.
  void StartStore();
  void StartEntry(int index);
  void StartAgent(int index);
  void StartUpstream(int index);

  /// Ends a process abruptly.
  void KillStore();
  void KillEntry(int index);
  void KillAgent(int index);
  void KillUpstream(int index);

  ChildProcess& Entry(int index) {
    return *this->entries[Index(index)].process;
  }
  ChildProcess& Agent(int index) { return *this->agents[Index(index)].process; }
  ChildProcess& Upstream(int index) {
    return *this->upstreams[Index(index)].process;
  }

  /// Relay in front of an entry (agents and entries reach it through this).
  Relay& EntryRelay(int index) { return *this->entries[Index(index)].relay; }
  /// Relay in front of an agent (entries and agents reach it through this).
  Relay& AgentRelay(int index) { return *this->agents[Index(index)].relay; }
  /// Relay in front of an upstream (its agent reaches it through this).
  Relay& UpstreamRelay(int index) {
    return *this->upstreams[Index(index)].relay;
  }
  /// Relay in front of an agent that its upstream reports through.
  Relay& ReportRelay(int index) { return *this->report_relays[Index(index)]; }
  /// Relay between one entry and the store.
  Relay& StoreRelay(int entry) { return *this->store_relays[Index(entry)]; }
  /// Puts the store into a failure mode: the JSON body of POST /control.
  void ControlStore(const std::string& body);
  /// Puts an upstream into a failure mode: the JSON body of POST /control.
  void ControlUpstream(int index, const std::string& body);
  /// Calls the store has counted, as its JSON text.
  std::string StoreCounts();

  /// Port of an entry for callers and operators, without a relay.
  std::uint16_t EntryPort(int index) const;
  std::uint16_t AgentPort(int index) const;

  /// Submits a job and waits for the answer; a transport error gives status 0.
  JobAnswer Submit(int entry,
                   const TestJob& job,
                   const std::string& token = kNorthToken);
  /// Submits without waiting; `done` runs on the event loop.
  void SubmitAsync(wire::HttpClient& client,
                   int entry,
                   const TestJob& job,
                   std::function<void(JobAnswer)> done,
                   const std::string& token = kNorthToken);
  /// Asks for a job until it has ended; fails the test after `timeout`.
  JobAnswer WaitForEnd(int entry,
                       const std::string& job,
                       core::Duration timeout,
                       const std::string& token = kNorthToken);
  JobAnswer Ask(int entry,
                const std::string& job,
                const std::string& token = kNorthToken);
  JobAnswer Cancel(int entry,
                   const std::string& job,
                   const std::string& token = kNorthToken);
  /// Any operator call.
  core::Expected<wire::HttpResponse> Operate(int entry,
                                             wire::HttpMethod method,
                                             const std::string& target,
                                             const std::string& body = {},
                                             const std::string& if_match = {});

  /// All lines of all upstreams' logs.
  std::vector<WitnessRecord> Witness() const;
  /// Starts of one job that the upstreams logged.
  int StartsOf(const std::string& job) const;
  /// Tasks of one job that run now by the upstreams' logs.
  int RunningNow(const std::string& job) const;
  /// Where the processes log, for failure messages.
  std::string Folder() const { return this->folder.path().toStdString(); }

  static constexpr const char* kNorthToken = "north-token";
  static constexpr const char* kSouthToken = "south-token";
  static constexpr const char* kOperatorToken = "operator-token";
  static constexpr const char* kInternalKey = "test-internal-key";
  /// Organisations north and south, classes short and batch.
  static std::string DefaultCatalogue();
  /// SHA-256 of a token as the catalogue holds it.
  static std::string TokenHash(const std::string& token);

 private:
  struct Role {
    std::unique_ptr<Relay> relay;
    std::unique_ptr<ChildProcess> process;
    std::uint16_t port = 0;
  };
  static std::size_t Index(int index) {
    return static_cast<std::size_t>(index);
  }
  std::string Path(const std::string& name) const;
  void Launch(Role& role,
              const std::string& name,
              const std::string& program,
              const std::vector<std::string>& arguments);
  std::string EntrySettings(int index) const;
  std::string AgentSettings(int index) const;
  bool EntryKnowsAllAgents(int index);
  bool PlanningOwnerExists();

  DeploymentOptions options;
  QTemporaryDir folder;
  Role store;
  std::vector<std::unique_ptr<Relay>> store_relays;
  std::vector<std::unique_ptr<Relay>> report_relays;
  std::vector<Role> entries;
  std::vector<Role> agents;
  std::vector<Role> upstreams;
};

}  // namespace hemlockdoor::test_support
