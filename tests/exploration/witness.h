// What callers, workers and the store see of one explored run.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/batch/batch.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch::exploration {

/// Judges runs by the rule TWICE: no two runs of a task at the same time on
/// workers that are up, and no start after an end `done` that was or is
/// acknowledged; and by the rule EVACUATED: no start on a worker after the time
/// from which starts are forbidden there.
class Witness {
 public:
  void OnStart(const RunKey& key,
               const WorkerIdentity& worker,
               core::TimePoint now);
  /// The run is over, for whatever reason.
  void OnOver(const RunKey& key, const WorkerIdentity& worker);
  void OnDone(const RunKey& key,
              const WorkerIdentity& worker,
              core::TimePoint now);
  /// A member of a gang has waited for the others in vain.
  void OnAlone(const RunKey& key, core::TimePoint now) {
    this->alone.emplace_back(key, now);
  }
  /// The system has acknowledged the end `done` of the run on the worker, and
  /// the lease has not expired in between. An end of the same run on another
  /// incarnation of the worker is another end.
  void OnDoneAcknowledged(const RunKey& key, const WorkerIdentity& worker);
  /// Starts on the worker later than `from` are violations until `AllowStarts`.
  void ForbidStarts(const WorkerId& worker, core::TimePoint from) {
    this->forbidden_from[worker] = from;
  }
  void AllowStarts(const WorkerId& worker) {
    this->forbidden_from.erase(worker);
  }
  void Note(core::TimePoint now, const std::string& line);

  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  /// Runs that ended because the rest of their gang did not begin, and when.
  const std::vector<std::pair<RunKey, core::TimePoint>>& Alone() const {
    return this->alone;
  }
  const std::vector<std::string>& Story() const { return this->story; }

 private:
  struct TaskHistory {
    std::set<std::pair<std::int64_t, WorkerIdentity>> active;
    std::vector<core::TimePoint> starts;
    std::map<std::pair<std::int64_t, WorkerIdentity>, core::TimePoint> done;
    /// The earliest acknowledged end.
    std::optional<core::TimePoint> finished;
  };

  void CheckFinished(const TaskName& task, const TaskHistory& history);

  std::map<TaskName, TaskHistory> tasks;
  std::map<WorkerId, core::TimePoint> forbidden_from;
  std::vector<std::pair<RunKey, core::TimePoint>> alone;
  std::vector<std::string> violations;
  std::vector<std::string> story;
};

}  // namespace hemlockdoor::batch::exploration
