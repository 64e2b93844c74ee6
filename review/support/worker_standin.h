// Stand-in of a worker beside an agent.
#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "review/support/http.h"
#include "review/support/record.h"

namespace hemlockdoor::review {

/// One run that a worker has begun.
struct TaskRun {
  std::string worker;
  std::string task;
  std::int64_t run = 0;
  std::int64_t begun_ms = 0;
  /// Negative while it runs.
  std::int64_t ended_ms = -1;
  std::string how;
  /// Number of its end at the worker, and when `ackCursor` reached it; negative
  /// while it has not.
  std::int64_t end_number = 0;
  std::int64_t noted_ms = -1;
  /// The lease of the worker lapsed between the two.
  bool lapsed_before_noted = false;
};

/// All runs of a case, in the order of their begin.
using RunHistory = std::vector<std::shared_ptr<TaskRun>>;

/// How a worker treats one start.
struct StartFate {
  /// Without an answer, and carried out after this time; negative: at once.
  int late_ms = -1;
};

/// Fixed parameters of a worker.
struct WorkerOptions {
  std::string id;
  std::string address;
  std::uint16_t app_port = 0;
  std::uint16_t control_port = 0;
  std::string service;
  std::string zone;
  std::string rack;
  std::int64_t cpu = 64000;
};

/// Runs tasks under a lease and tells its agent of itself, by the pages'
/// sections on running tasks and on discovery.
class Worker : public QObject {
 public:
  Worker(WorkerOptions worker_options,
         Record& case_record,
         RunHistory& run_history);

  /// Ends everything and closes all connections, as at a crash. The worker
  /// does not come back.
  void Crash();
  /// From now on the worker's machine is silent: connections hang, nothing
  /// runs, nothing is announced. It does not come back.
  void GoDark();
  /// Leaves in order: signs off and ends.
  void Leave();
  bool IsUp() const { return this->up; }
  const std::string& Id() const { return this->options.id; }
  std::size_t RunningCount() const { return this->running.size(); }
  /// Largest number of ends that waited for their acknowledgement.
  std::size_t MostOpenEnds() const { return this->most_open_ends; }

  /// Length of a run in milliseconds.
  std::function<int(const std::string& task, std::int64_t run)> length;
  /// How a run ends after its length; the default is `done`.
  std::function<std::string(const std::string& task, std::int64_t run)> end_of;
  /// The fate of a start.
  std::function<StartFate(const std::string& task, std::int64_t run)> fate;

 private:
  struct Answer {
    int status = 200;
    nlohmann::json body;
  };
  struct Hold {
    Reply reply;
    std::int64_t end_ms = 0;
  };

  std::int64_t ClockMs() const { return NowMs() - this->born_at + 1000; }
  void Handle(const Request& request, const Reply& reply);
  Answer Start(const nlohmann::json& call);
  Answer Stop(const nlohmann::json& call);
  void HoldCall(const nlohmann::json& call, const Reply& reply);
  Answer Refusal(const std::string& reason) const;
  nlohmann::json Listing() const;
  bool AcceptsFence(const nlohmann::json& call);
  void Extend(const nlohmann::json& call);
  void End(const std::string& task, std::int64_t run, const std::string& how);
  void EndAll(const std::string& how);
  void Tick();
  void Announce();

  WorkerOptions options;
  Record& record;
  RunHistory& history;
  std::int64_t born_at = 0;
  std::int64_t born_wall_ms = 0;
  bool up = true;
  std::int64_t sequence = 0;
  std::int64_t fence = 0;
  std::int64_t lease_end_ms = 0;
  std::size_t most_open_ends = 0;
  std::int64_t last_end = 0;
  std::map<std::pair<std::string, std::int64_t>, std::shared_ptr<TaskRun>>
      running;
  /// Ends that are not acknowledged, by number.
  std::map<std::int64_t, std::shared_ptr<TaskRun>> ends;
  /// Highest run of each task that was stopped or has ended here.
  std::map<std::string, std::int64_t> closed_runs;
  std::vector<Hold> holds;
  QTimer tick_timer;
  QTimer announce_timer;
  std::unique_ptr<Listener> listener;
};

}  // namespace hemlockdoor::review
