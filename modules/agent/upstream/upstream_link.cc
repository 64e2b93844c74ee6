#include "modules/agent/upstream/upstream_link.h"

namespace hemlockdoor::agent {

namespace {

constexpr int kFailuresUntilUnreconciled = 2;

}  // namespace

void UpstreamLink::OnAnnounced(const model::WorkerShape& announced,
                               const std::string& announced_instance,
                               core::TimePoint now) {
  this->shape = announced;
  this->instance = announced_instance;
  this->announced_at = now;
  this->last_contact = now;
  this->withdrawn = false;
}

void UpstreamLink::OnWithdrawn(core::TimePoint now) {
  this->withdrawn = true;
  this->last_contact = now;
}

void UpstreamLink::OnCall(bool answered, core::TimePoint now) {
  if (answered) {
    this->failures = 0;
    this->last_contact = now;
    return;
  }
  ++this->failures;
  if (this->failures >= kFailuresUntilUnreconciled) {
    this->reconciled = false;
  }
}

void UpstreamLink::SetReconciled(bool is_reconciled) {
  this->reconciled = is_reconciled;
  this->was_reconciled = this->was_reconciled || is_reconciled;
}

bool UpstreamLink::IsAnnounced(core::TimePoint now) const {
  return this->shape.has_value() && !this->withdrawn &&
         now - this->announced_at <= kUpstreamLease;
}

bool UpstreamLink::IsReady(core::TimePoint now) const {
  return this->reconciled && this->IsAnnounced(now);
}

bool UpstreamLink::IsLost(core::TimePoint now) const {
  return now - this->last_contact > kUpstreamLease;
}

}  // namespace hemlockdoor::agent
