// A stand-in for the service that runs tasks beside an agent.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "modules/model/model.h"
#include "modules/wire/wire.h"
#include "standins/upstream/task_behaviour.h"

namespace hemlockdoor::standin {

/// What the stand-in is told on its command line.
struct UpstreamOptions {
  std::uint16_t port = 0;
  /// Port 0: read from `agent_port_file` once that file exists.
  wire::Endpoint agent;
  /// Lets an upstream start before its agent, whose settings name the
  /// upstream's port.
  std::string agent_port_file;
  model::WorkerShape shape;
  std::string log_file;
};

/// Faults that `POST /control` switches on.
struct UpstreamFaults {
  /// Requests are taken up and nothing else happens until it is false again.
  bool freeze = false;
  /// Every task fails as soon as it starts.
  bool fail_all = false;
  /// Answers leave so much later.
  int delay_ms = 0;
  /// Each `finished` report is sent twice.
  bool answer_twice = false;
  /// `finished` reports are held for a while and sent last first.
  bool reverse_order = false;
  /// Answers are cut in half.
  bool truncate_answers = false;
  /// So many requests take effect but get no answer.
  int lose_next_answers = 0;
};

/// Serves the upstream API. Its log has one line for each start and end of a
/// task and for each start that repeats, exceeds the slots or overlaps in
/// accelerators.
class UpstreamStandin : public QObject {
 public:
  static core::Expected<std::unique_ptr<UpstreamStandin>> Create(
      UpstreamOptions options);
  ~UpstreamStandin() override;
  UpstreamStandin(const UpstreamStandin&) = delete;
  UpstreamStandin& operator=(const UpstreamStandin&) = delete;

  std::uint16_t Port() const { return this->server->Port(); }
  /// Withdraws, and calls `done` when every task has ended and was reported.
  void Withdraw(std::function<void()> done);

 private:
  struct Key {
    std::string job;
    std::string attempt;
    int member = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Task {
    TaskBehaviour behaviour;
    std::string state = "running";
    std::string organisation;
    std::string context;
    std::uint64_t accelerators = 0;
    std::string result;
    std::string error;
  };
  struct Held {
    wire::HttpRequest request;
    wire::HttpResponder responder;
  };

  explicit UpstreamStandin(UpstreamOptions standin_options);
  void OnRequest(const wire::HttpRequest& request,
                 const wire::HttpResponder& responder);
  wire::HttpResponse Serve(const wire::HttpRequest& request);
  wire::HttpResponse Control(const std::string& body);
  wire::HttpResponse StartTask(const std::string& body);
  wire::HttpResponse ListTasks() const;
  wire::HttpResponse ServeTask(const wire::HttpRequest& request);
  wire::HttpResponse Steer(const Key& key, const std::string& action);
  wire::HttpResponse Describe(const Key& key, int status) const;
  void Answer(const wire::HttpResponder& responder,
              wire::HttpResponse response);
  void Announce();
  /// Reads the agent's port; tries again soon while there is none.
  void AwaitAgentPort();
  /// Ends a running task; deferred while frozen.
  void EndTask(const Key& key, const std::string& state);
  void ReportSoon(const Key& key);
  void FlushReports();
  void Report(const Key& key);
  void SendReport(const Key& key, bool counts);
  bool HasNoTasks() const;
  void CheckWithdrawn();
  void CheckConflicts(const Key& key, const Task& task);
  void WriteLine(const char* what,
                 const Key& key,
                 const std::string& detail = {});
  nlohmann::json ToJson(const Key& key, const Task& task, bool whole) const;

  UpstreamOptions options;
  UpstreamFaults faults;
  /// Tells this process from an earlier one at the same address.
  std::string instance = std::to_string(std::random_device()()) + "-" +
                         std::to_string(std::random_device()());
  std::unique_ptr<wire::HttpServer> server;
  wire::HttpClient announcements;
  wire::HttpClient reports;
  QTimer announce_timer;
  std::map<Key, Task> tasks;
  std::vector<Key> waiting_reports;
  std::vector<Held> held_requests;
  std::vector<std::function<void()>> held_actions;
  std::function<void()> on_withdrawn;
  std::FILE* log = nullptr;
};

}  // namespace hemlockdoor::standin
