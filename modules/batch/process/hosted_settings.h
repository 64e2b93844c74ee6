// Settings of the processes that run on a hosting platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/planner/overload_policy.h"
#include "modules/batch/process/configuration_status.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Settings shared by entries and agents.
struct HostedCommonSettings {
  /// Name of this machine, unique among all machines.
  std::string node;
  core::DataCentreId data_centre;
  /// IP address of this machine.
  std::string address;
  /// Internal endpoints of some entries, "ADDRESS:PORT"; may be out of date.
  std::vector<std::string> entries;
  /// Port of GET /metrics; 0: metrics are not served.
  std::uint16_t metrics_port = 0;
  /// debug, info, warn or error.
  std::string log_level = "info";
  /// Longest time between a stop request and the end of the process.
  core::Duration stop_grace;
};

/// Settings of `hemlockdoor hosted-entry`.
struct HostedEntrySettings {
  HostedCommonSettings common;
  /// Address at which callers are served, "ADDRESS:PORT".
  std::string caller_endpoint;
  /// Address of the readiness check, "ADDRESS:PORT".
  std::string readiness_endpoint;
  /// Address for calls of other entries and of agents, "ADDRESS:PORT".
  std::string internal_endpoint;
  /// Address of the platform's store, "ADDRESS:PORT".
  std::string store_endpoint;
  /// Shortest lease that the store grants.
  core::Duration min_store_lease;
  /// Longest lease that a worker accepts.
  core::Duration max_worker_lease;
  /// Longest time from the request to evacuate a data centre until no task is
  /// started there any more. Without it, evacuations are not supported and
  /// their keys are not read.
  std::optional<core::Duration> evacuation_bound;
  /// Ages up to which the configuration decides on callers' requests.
  ConfigurationLimits configuration_limits;
  /// Which work may be preempted when capacity is insufficient.
  OverloadPolicy overload_policy = OverloadPolicy::kPriority;
  /// Time that a task needs to resume from a checkpoint, and longest time that
  /// a stop takes. Without them `PlannerOptions` has assumptions.
  std::optional<core::Duration> restore_time;
  std::optional<core::Duration> stop_time;
  /// Time for which a worker lets a member of a gang wait for the others.
  /// Without it `PlannerOptions` has the shortest usual time.
  std::optional<core::Duration> gang_wait;
};

/// Settings of `hemlockdoor hosted-agent`.
struct HostedAgentSettings {
  HostedCommonSettings common;
  /// Address at which the agent receives announcements of its worker,
  /// "ADDRESS:PORT".
  std::string announcement_endpoint;
  /// Port at which the agent receives the planner's orders.
  std::uint16_t orders_port = 0;
  /// Address of the worker, "ADDRESS:PORT".
  std::string worker_endpoint;
  /// Service that the worker must offer.
  core::ServiceName service;
};

/// Reads and validates a settings file, which is JSON with comments. Errors
/// name the file, the JSON path and the value. Unknown fields are errors; the
/// message suggests the most similar known name.
core::Expected<HostedEntrySettings> LoadHostedEntrySettings(
    const std::string& file);
core::Expected<HostedAgentSettings> LoadHostedAgentSettings(
    const std::string& file);

}  // namespace hemlockdoor::batch
