// The operators' configuration in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// An external service that says which workers may run a step.
struct AdvicePolicy {
  core::Duration decision_time;
  core::Duration time_per_worker;
  /// How long a ticket stays valid.
  core::Duration validity;
};

/// One queue.
struct QueueConfig {
  QueueName name;
  std::string host;
  std::string path_prefix;
  core::ServiceName service;
  int priority = 0;
  int max_attempts = 1;
  double slack_factor = 1.0;
  core::Duration objective;
  core::Duration timeout;
  /// Callers need no key.
  bool is_public = false;
  std::optional<AdvicePolicy> advice;
};

/// One organisation with its keys and guarantee.
struct OrganisationConfig {
  core::OrganisationId id;
  std::vector<std::string> api_keys;
  /// Accelerators that belong to its jobs of priority 0 at all times.
  std::int64_t guaranteed_accelerators = 0;
};

/// A whole configuration; a higher version replaces a lower one.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<OrganisationConfig> organisations;
  std::size_t max_body_bytes = 262144;

  /// The queue whose host matches and whose prefix is the longest that `path`
  /// begins with; nullptr when there is none.
  const QueueConfig* FindQueue(const std::string& host,
                               const std::string& path) const;
  const QueueConfig* FindQueue(const QueueName& name) const;
  /// The organisation that holds `api_key`; nullptr when no one does.
  const OrganisationConfig* FindOrganisation(const std::string& api_key) const;
  const OrganisationConfig* FindOrganisation(
      const core::OrganisationId& id) const;
};

}  // namespace hemlockdoor::batch
