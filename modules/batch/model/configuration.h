// Configuration by the operators: queues, organisations and limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Parameters of an external service that decides which workers may run a step,
/// and that issues a ticket for its decision.
struct AdvicePolicy {
  /// Time that the service takes for one decision.
  core::Duration decision_time;
  /// Additional time for each worker under consideration.
  core::Duration time_per_worker;
  /// Validity period of a ticket.
  core::Duration validity;
};

/// A queue to which callers submit jobs. A request is matched by its host and
/// the longest path prefix.
struct QueueConfig {
  QueueName name;
  std::string host;
  std::string path_prefix;
  core::ServiceName service;
  /// 0 is the most urgent; higher numbers are less urgent.
  int priority = 0;
  /// Failed runs of a task after which its job fails.
  int max_attempts = 1;
  /// Both parts of the completion time objective; see JobRecord.
  double slack_factor = 1.0;
  core::Duration objective;
  core::Duration timeout;
  /// Requests are accepted without an API key.
  bool is_public = false;
  std::optional<AdvicePolicy> advice;
};

/// An organisation with its API keys and its capacity guarantee.
struct OrganisationConfig {
  core::OrganisationId id;
  std::vector<std::string> api_keys;
  /// Number of accelerators that its jobs of priority 0 may claim at any time,
  /// by preemption if necessary.
  std::int64_t guaranteed_accelerators = 0;
};

/// A complete configuration. A higher version replaces a lower one.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<OrganisationConfig> organisations;
  std::size_t max_body_bytes = 262144;

  /// Returns the queue of `host` with the longest prefix of `path`, or nullptr
  /// if no queue matches.
  const QueueConfig* FindQueue(const std::string& host,
                               const std::string& path) const;
  /// Returns the queue called `name`, or nullptr.
  const QueueConfig* FindQueue(const QueueName& name) const;
  /// Returns the organisation that owns `api_key`, or nullptr.
  const OrganisationConfig* FindOrganisation(const std::string& api_key) const;
  /// Returns the organisation with this id, or nullptr.
  const OrganisationConfig* FindOrganisation(
      const core::OrganisationId& id) const;
};

}  // namespace hemlockdoor::batch
