#include "tests/exploration/witness.h"

#include <algorithm>

namespace hemlockdoor::batch::exploration {

void Witness::OnStart(const RunKey& key,
                      const WorkerIdentity& worker,
                      core::TimePoint now) {
  this->Note(now, "run " + std::to_string(key.run) + " of " +
                      key.task.ToText() + " starts on " + worker.id.Text());
  TaskHistory& history = this->tasks[key.task];
  if (!history.active.empty()) {
    this->violations.push_back("TWICE: two runs of " + key.task.ToText() +
                               " at the same time");
  }
  const auto forbidden = this->forbidden_from.find(worker.id);
  if (forbidden != this->forbidden_from.end() && now > forbidden->second) {
    this->violations.push_back(
        "EVACUATED: " + key.task.ToText() + " starts on " + worker.id.Text() +
        " " + std::to_string((now - forbidden->second).InMilliseconds()) +
        " ms too late");
  }
  history.active.emplace(key.run, worker);
  history.starts.push_back(now);
  this->CheckFinished(key.task, history);
}

void Witness::OnOver(const RunKey& key, const WorkerIdentity& worker) {
  this->tasks[key.task].active.erase({key.run, worker});
}

void Witness::OnDone(const RunKey& key,
                     const WorkerIdentity& worker,
                     core::TimePoint now) {
  this->Note(now, "run " + std::to_string(key.run) + " of " +
                      key.task.ToText() + " is done");
  this->tasks[key.task].done.emplace(std::pair(key.run, worker), now);
}

void Witness::OnDoneAcknowledged(const RunKey& key,
                                 const WorkerIdentity& worker) {
  TaskHistory& history = this->tasks[key.task];
  const auto done = history.done.find({key.run, worker});
  if (done != history.done.end() &&
      (!history.finished || done->second < *history.finished)) {
    history.finished = done->second;
    this->CheckFinished(key.task, history);
  }
}

void Witness::Note(core::TimePoint now, const std::string& line) {
  this->story.push_back(std::to_string(now.InMilliseconds()) + ": " + line);
}

void Witness::CheckFinished(const TaskName& task, const TaskHistory& history) {
  const bool started_later =
      history.finished &&
      std::any_of(history.starts.begin(), history.starts.end(),
                  [&history](core::TimePoint start) {
                    return start > *history.finished;
                  });
  if (started_later) {
    this->violations.push_back("TWICE: a start of " + task.ToText() +
                               " after it was done");
  }
}

}  // namespace hemlockdoor::batch::exploration
