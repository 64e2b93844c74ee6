#include "review/support/checks.h"

#include <algorithm>

namespace hemlockdoor::review {

namespace {

bool IsActive(const TaskRun& run) {
  return run.ended_ms < 0;
}

std::string Describe(const TaskRun& run) {
  return run.task + " run " + std::to_string(run.run) + " on " + run.worker +
         " from " + std::to_string(run.begun_ms) + " to " +
         std::to_string(run.ended_ms) + " " + run.how;
}

}  // namespace

bool StandsStill(Deployment& deployment, const std::string& task) {
  constexpr std::int64_t kWindowMs = 3000;
  const auto is_served = [&deployment, &task] {
    return std::any_of(deployment.history.begin(), deployment.history.end(),
                       [&task](const auto& run) {
                         return run->task == task &&
                                (IsActive(*run) || run->how == "done");
                       });
  };
  std::size_t free_workers = 0;
  for (std::size_t i = 0; i < deployment.WorkerCount(); ++i) {
    const Worker& worker = deployment.WorkerAt(i);
    free_workers += worker.IsUp() && worker.RunningCount() == 0 ? 1 : 0;
  }
  const bool has_room = 2 * free_workers > deployment.WorkerCount();
  const bool served = RunUntil(is_served, kWindowMs);
  deployment.record.Line(
      "check: " + task + (served ? " runs or is done" : " stands still") +
      " for 3 s; idle workers " + std::to_string(free_workers) + " of " +
      std::to_string(deployment.WorkerCount()));
  return !served && has_room;
}

int CountTwice(Deployment& deployment) {
  int found = 0;
  const RunHistory& history = deployment.history;
  for (std::size_t i = 0; i < history.size(); ++i) {
    for (std::size_t j = i + 1; j < history.size(); ++j) {
      const TaskRun& first = *history[i];
      const TaskRun& second = *history[j];
      if (first.task != second.task) {
        continue;
      }
      const bool at_once = IsActive(first) || second.begun_ms < first.ended_ms;
      const bool after_done =
          !IsActive(first) && first.how == "done" && first.noted_ms >= 0 &&
          !first.lapsed_before_noted && second.begun_ms >= first.ended_ms;
      if (at_once || after_done) {
        ++found;
        deployment.record.Line(
            std::string("check: TWICE, ") +
            (at_once ? "at the same time: " : "after its end: ") +
            Describe(first) + " and " + Describe(second));
      }
    }
  }
  return found;
}

}  // namespace hemlockdoor::review
