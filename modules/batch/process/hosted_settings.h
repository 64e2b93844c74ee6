// Settings of the processes that run on a hosting platform.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// What both roles have.
struct HostedCommonSettings {
  /// Unique among the machines.
  std::string node;
  core::DataCentreId data_centre;
  /// IP address of this machine.
  std::string address;
  /// Internal endpoints of some entries, "ADDRESS:PORT"; may be out of date.
  std::vector<std::string> entries;
  /// Port of GET /metrics; 0: none.
  std::uint16_t metrics_port = 0;
  std::string log_level = "info";
  /// Longest time between a stop request and the end of the process.
  core::Duration stop_grace;
};

/// Settings of `hemlockdoor hosted-entry`.
struct HostedEntrySettings {
  HostedCommonSettings common;
  /// "ADDRESS:PORT" for callers, readiness checks and other instances.
  std::string caller_endpoint;
  std::string readiness_endpoint;
  std::string internal_endpoint;
  /// "ADDRESS:PORT" of the platform's store.
  std::string store_endpoint;
  /// Shortest lease the store grants.
  core::Duration min_store_lease;
  /// Longest lease a worker accepts.
  core::Duration max_worker_lease;
};

/// Settings of `hemlockdoor hosted-agent`.
struct HostedAgentSettings {
  HostedCommonSettings common;
  /// Where the worker announces itself.
  std::string announcement_endpoint;
  /// Port on which the planner's orders arrive.
  std::uint16_t orders_port = 0;
  /// "ADDRESS:PORT" of the worker.
  std::string worker_endpoint;
  core::ServiceName service;
};

/// Read and check a file of JSON with comments. Errors name the file, the JSON
/// path and the value; unknown fields are refused with the nearest name.
core::Expected<HostedEntrySettings> LoadHostedEntrySettings(
    const std::string& file);
core::Expected<HostedAgentSettings> LoadHostedAgentSettings(
    const std::string& file);

}  // namespace hemlockdoor::batch
