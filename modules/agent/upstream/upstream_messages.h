// Messages between an agent and its upstream, and their JSON form.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// State of a task as reported by the upstream.
enum class UpstreamTaskState {
  kRunning,
  kDone,
  kFailed,
  kStopped,       ///< Ended by `stop`.
  kCheckpointed,  ///< Ended at a checkpoint.
  kNeverStarted,  ///< `stop` arrived first; later starts are refused.
};

/// Data that an agent needs to supervise a task. The upstream stores the
/// context with the task and returns it in listings, so that a restarted agent
/// can adopt the task.
struct TaskContext {
  core::OrganisationId organisation;
  core::JobClass job_class;
  bool repeatable = true;
  int gang_size = 1;
  model::AcceleratorSet accelerators;
  /// Internal endpoint of the entry that receives the result.
  std::string reply_to;
  /// The task is stopped after this run time; zero: no limit.
  core::Duration max_run;
};

/// A task as the upstream reports it.
struct UpstreamTask {
  TaskKey key;
  UpstreamTaskState state = UpstreamTaskState::kRunning;
  /// The result when the state is kDone, the error text when it is kFailed.
  std::string body;
  /// The context as written by `TaskContextToText`; set in listings only.
  std::string context = {};
  /// Instance id of the upstream process that answers, as in its announcement;
  /// empty when the upstream sends none.
  std::string instance = {};
};

/// Request to start one task on the upstream.
struct UpstreamStart {
  TaskKey key;
  std::string payload;
  core::ServiceName service;
  std::string traceparent;
  TaskContext context;
};

/// Returns the name of the state in messages.
std::string_view UpstreamTaskStateName(UpstreamTaskState state);

/// Writes the context as JSON text.
std::string TaskContextToText(const TaskContext& context);
/// Reads the text of `TaskContextToText`; fails when it is not valid.
core::Expected<TaskContext> TaskContextFromText(const std::string& text);

/// Writes the body of `POST /tasks`.
std::string UpstreamStartToText(const UpstreamStart& start);
/// Reads the body of `finished` and of `GET /tasks/JOB`.
core::Expected<UpstreamTask> UpstreamTaskFromText(std::string text);
/// Reads the body of `GET /tasks`.
core::Expected<std::vector<UpstreamTask>> UpstreamListFromText(
    const std::string& text);

}  // namespace hemlockdoor::agent
