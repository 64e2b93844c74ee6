// How recent the configuration of an entry is, for decisions, logs and metrics.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::batch {

/// Describes the configuration that an entry uses.
struct ConfigurationStatus {
  /// 0 before the first configuration.
  std::uint64_t version = 0;
  /// Upper bound on the time since this version was the newest one.
  core::Duration age;
  /// Where this version came from.
  std::string source = "none";
};

/// Ages up to which the configuration decides on a request. Beyond them the
/// caller is asked to come back, since the answer may be wrong.
struct ConfigurationLimits {
  /// For refusing a request whose route or key is not known.
  core::Duration refusal = core::Duration::Seconds(2);
  /// For serving a request, whose route or key may have been withdrawn. Longer,
  /// since the operators cannot change the configuration either while the store
  /// is down.
  core::Duration acceptance = core::Duration::Seconds(7);
};

/// Returns the log fields that tell which configuration led to a decision.
inline std::vector<observe::LogField> LogFieldsOf(
    const ConfigurationStatus& status) {
  return {{"configuration_version", std::to_string(status.version)},
          {"configuration_age_ms", std::to_string(status.age.InMilliseconds())},
          {"configuration_source", status.source}};
}

}  // namespace hemlockdoor::batch
