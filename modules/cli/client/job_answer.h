// What an entry says about a job.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "modules/model/model.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::cli {

/// A job as an answer describes it: an outcome, or a state, or neither when the
/// request itself was refused.
struct JobAnswer {
  std::string id;
  std::optional<model::JobOutcome> outcome;
  std::string state;
  std::optional<std::string> result;
  std::string error;
  bool durable = true;
  /// The whole answer.
  nlohmann::json document;
};

/// Reads an answer; kInternal when it is not a JSON object.
core::Expected<JobAnswer> ReadJobAnswer(const wire::HttpResponse& response);

}  // namespace hemlockdoor::cli
