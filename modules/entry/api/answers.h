// Builds HTTP responses to callers and operators.
#pragma once

#include <optional>
#include <string>

#include "modules/core/core.h"
#include "modules/decide/decide.h"
#include "modules/entry/core/job_table.h"
#include "modules/model/model.h"
#include "modules/wire/http/http_message.h"

namespace hemlockdoor::entry {

/// An RFC 9457 problem as this entry sends it.
struct Problem {
  int status = 0;
  /// Last part of the problem type.
  std::string type;
  /// What happened and what the caller may do next.
  std::string detail;
  /// Sent as `Retry-After`, rounded up to seconds. Zero is not sent, except
  /// that 429 and 503 always carry at least one second.
  core::Duration retry_after;
  /// The outcome of the job, when this response states one.
  std::optional<model::JobOutcome> outcome;
  core::JobId job;
};

wire::HttpResponse MakeProblemResponse(const Problem& problem);

/// The JSON document of a job, without its result: one `outcome` or one
/// `state`.
nlohmann::json JobToDocument(const Job& job);

/// Builds the response to a caller that waits for a job or queries it.
/// `accepted`: the request submitted the job (202 while it has not ended).
wire::HttpResponse MakeJobResponse(const Job& job, bool accepted);

/// A response with a JSON document.
wire::HttpResponse MakeJsonResponse(int status, const nlohmann::json& document);

/// The status, type and advice for a job that the scheduler refused.
Problem ProblemOfRefusal(const decide::RefuseDecision& refusal);

}  // namespace hemlockdoor::entry
