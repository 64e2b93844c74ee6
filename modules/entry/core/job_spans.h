// The spans of one job on its way through this entry.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "modules/model/model.h"
#include "modules/observe/observe.h"

namespace hemlockdoor::entry {

/// Times a job from acceptance to its end ("entry.job"), each wait for capacity
/// ("entry.queue") and each attempt on agents ("entry.attempt").
class JobSpans {
 public:
  /// Starts the job's span in the caller's trace, or in a new one, and the
  /// first wait.
  void OnAccepted(const model::JobDescription& job,
                  const std::string& traceparent);
  /// Ends the wait and starts the attempt; `agent` is its first member.
  void OnPlaced(const core::AgentId& agent, core::AttemptNumber attempt);
  /// The attempt is over and the job waits again.
  void OnRequeued();
  /// Ends all spans; any outcome but "done" marks the job's span as failed.
  void OnEnded(model::JobOutcome outcome);
  /// The `traceparent` value for the next hop; empty before `OnAccepted`.
  std::string Traceparent() const;

 private:
  std::optional<observe::Span> job;
  std::optional<observe::Span> queue;
  std::optional<observe::Span> attempt;
};

}  // namespace hemlockdoor::entry
