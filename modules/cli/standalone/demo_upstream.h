// The built-in upstream of `standalone`: a service that echoes its payload.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "modules/core/core.h"
#include "modules/model/model.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

/// Serves the upstream API (docs/design.md, 4.4) on loopback with two services:
/// `echo` returns the payload at once, `sleep` takes the payload as
/// milliseconds to run. Made for a first try and as an example of the contract.
class DemoUpstream {
 public:
  /// Listens on a port that the kernel chooses.
  static core::Expected<std::unique_ptr<DemoUpstream>> Create();
  ~DemoUpstream();
  DemoUpstream(const DemoUpstream&) = delete;
  DemoUpstream& operator=(const DemoUpstream&) = delete;

  /// The port of the upstream API.
  std::uint16_t Port() const { return this->server->Port(); }
  /// Announces the worker to its agent, now and each second.
  void AnnounceTo(const wire::Endpoint& agent);
  /// What the worker has.
  static model::WorkerShape Shape();

 private:
  /// One member of one attempt.
  struct TaskKey {
    std::string job;
    std::uint64_t attempt = 0;
    int member = 0;
    auto operator<=>(const TaskKey&) const = default;
  };
  struct Task {
    std::string state = "running";
    std::string payload;
    /// What the agent stores with the task, to adopt it after a restart.
    std::string context;
    std::string error;
  };

  DemoUpstream() = default;
  wire::HttpResponse Serve(const wire::HttpRequest& request);
  wire::HttpResponse StartTask(const std::string& body);
  wire::HttpResponse ServeTask(const wire::HttpRequest& request);
  wire::HttpResponse StopTask(const TaskKey& key);
  wire::HttpResponse ListTasks() const;
  void Announce();
  /// Runs `action` once after `milliseconds`, unless this object is gone.
  void RunAfter(int milliseconds, std::function<void()> action);
  void EndTask(const TaskKey& key, const std::string& state);
  void Report(const TaskKey& key);
  static nlohmann::json Describe(const TaskKey& key, const Task& task);

  std::unique_ptr<wire::HttpServer> server;
  wire::HttpClient client;
  wire::Endpoint agent_endpoint;
  std::map<TaskKey, Task> tasks;
  QTimer announce_timer;
  /// Owner of the timers of running tasks; ends them with this object.
  QObject timers;
};

}  // namespace hemlockdoor::cli
