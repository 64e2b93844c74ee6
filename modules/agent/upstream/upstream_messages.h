// Messages of the upstream API, as the agent reads and writes them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// State of a task as its upstream states it.
enum class UpstreamTaskState {
  kRunning,
  kDone,
  kFailed,
  kStopped,       ///< Ended by `stop`.
  kCheckpointed,  ///< Ended at a checkpoint.
  kNeverStarted,  ///< Refused for ever: `stop` arrived before any start.
};

/// What the agent needs to know of a task to look after it. The upstream
/// stores it with the task and lists it, so that a restarted agent can adopt
/// the task.
struct TaskContext {
  core::OrganisationId organisation;
  core::JobClass job_class;
  bool repeatable = true;
  int gang_size = 1;
  model::AcceleratorSet accelerators;
  /// Internal endpoint of the entry that wants the result.
  std::string reply_to;
  /// Stopped after this time; zero: no limit.
  core::Duration max_run;
};

/// A task as the upstream reports it.
struct UpstreamTask {
  TaskKey key;
  UpstreamTaskState state = UpstreamTaskState::kRunning;
  /// Result of kDone, error text of kFailed.
  std::string body;
  /// Text of `TaskContextToText`; only in listings.
  std::string context = {};
  /// The upstream's process that answers, as in its announcement.
  std::string instance = {};
};

/// A start as it goes to the upstream.
struct UpstreamStart {
  TaskKey key;
  std::string payload;
  core::ServiceName service;
  std::string traceparent;
  TaskContext context;
};

std::string_view UpstreamTaskStateName(UpstreamTaskState state);

/// Writes the context as one text; reads it back, kInvalidArgument when it is
/// not a context.
std::string TaskContextToText(const TaskContext& context);
core::Expected<TaskContext> TaskContextFromText(const std::string& text);

/// Body of `POST /tasks`.
std::string UpstreamStartToText(const UpstreamStart& start);
/// Reads the body of `finished` and of `GET /tasks/JOB`.
core::Expected<UpstreamTask> UpstreamTaskFromText(std::string text);
/// Reads the body of `GET /tasks`.
core::Expected<std::vector<UpstreamTask>> UpstreamListFromText(
    const std::string& text);

}  // namespace hemlockdoor::agent
