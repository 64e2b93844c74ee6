// Trace spans of one job in this entry.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "modules/model/model.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::entry {

/// Records the trace spans of a job: "entry.job" from acceptance to end,
/// "entry.queue" for each wait for capacity and "entry.attempt" for each
/// attempt on agents.
class JobSpans {
 public:
  /// Starts the span of the job and the span of its first wait. They belong to
  /// the trace of `traceparent`, or to a new trace when `traceparent` is empty
  /// or malformed.
  void OnAccepted(const model::JobDescription& job,
                  const std::string& traceparent);
  /// Ends the span of the wait and starts the span of an attempt. `agent` is
  /// the agent of the first member.
  void OnPlaced(const core::AgentId& agent, core::AttemptNumber attempt);
  /// Ends the span of the attempt and starts the span of the next wait.
  void OnRequeued();
  /// Ends all spans. Marks the job's span as failed unless the outcome is
  /// `kDone`.
  void OnEnded(model::JobOutcome outcome);
  /// Returns the `traceparent` header value for outgoing requests: it names the
  /// span of the open attempt, or else the span of the job. Empty before
  /// `OnAccepted`.
  std::string Traceparent() const;

 private:
  std::optional<observe::Span> job;
  std::optional<observe::Span> queue;
  std::optional<observe::Span> attempt;
};

}  // namespace hemlockdoor::entry
