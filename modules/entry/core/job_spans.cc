#include "modules/entry/core/job_spans.h"

namespace hemlockdoor::entry {

void JobSpans::OnAccepted(const model::JobDescription& description,
                          const std::string& traceparent) {
  this->job = observe::Span::StartForRequest("entry.job", traceparent);
  this->job->SetAttribute("job", description.id.Text());
  this->job->SetAttribute("organisation", description.organisation.Text());
  this->job->SetAttribute("class", description.job_class.Text());
  this->queue = observe::Span::StartChild("entry.queue", this->job->Context());
}

void JobSpans::OnPlaced(const core::AgentId& agent,
                        core::AttemptNumber number) {
  if (!this->job) {
    return;
  }
  this->queue.reset();
  this->attempt =
      observe::Span::StartChild("entry.attempt", this->job->Context());
  this->attempt->SetAttribute("agent", agent.Text());
  this->attempt->SetAttribute("attempt", std::to_string(number.Number()));
}

void JobSpans::OnRequeued() {
  if (!this->job) {
    return;
  }
  this->attempt.reset();
  this->queue = observe::Span::StartChild("entry.queue", this->job->Context());
}

void JobSpans::OnEnded(model::JobOutcome outcome) {
  this->attempt.reset();
  this->queue.reset();
  if (!this->job) {
    return;
  }
  this->job->SetAttribute("outcome",
                          std::string(model::JobOutcomeName(outcome)));
  if (outcome != model::JobOutcome::kDone) {
    this->job->SetFailed();
  }
  this->job->End();
}

std::string JobSpans::Traceparent() const {
  if (this->attempt) {
    return observe::ToTraceparent(this->attempt->Context());
  }
  return this->job ? observe::ToTraceparent(this->job->Context())
                   : std::string();
}

}  // namespace hemlockdoor::entry
