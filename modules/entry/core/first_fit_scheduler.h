// First-fit stand-in with the interface of decide::Scheduler.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "modules/core/core.h"
#include "modules/decide/decide.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// Places jobs in order of arrival on the first worker that fits, without
/// guarantees or limits. Used until decide::Scheduler is available.
class FirstFitScheduler {
 public:
  static core::Expected<FirstFitScheduler> Create(
      const decide::SchedulerOptions& options);
  void UpsertWorker(const decide::WorkerView& worker, core::TimePoint now);
  void RemoveWorker(const core::AgentId& agent, core::TimePoint now);
  core::Expected<void> CheckGuarantees(const model::Catalogue& catalogue) const;
  void ApplyCatalogue(const model::Catalogue& catalogue, core::TimePoint now);
  std::vector<decide::ShortGuarantee> ShortGuarantees() const { return {}; }
  tl::expected<void, decide::RefuseDecision> Submit(
      const model::JobDescription& job,
      core::TimePoint now);
  bool Cancel(const core::JobId& job, core::TimePoint now);
  void Adopt(const decide::RunningJob& job, core::TimePoint now);
  std::vector<decide::Decision> Plan(core::TimePoint now);
  void OnStarted(const core::JobId& job, core::TimePoint now);
  void OnStartRefused(const core::JobId& job,
                      const core::AgentId& agent,
                      core::TimePoint now);
  void OnEnded(const core::JobId& job,
               model::JobOutcome outcome,
               const std::optional<core::AgentId>& failed_on,
               core::TimePoint now);
  std::optional<decide::WaitReason> WhyWaiting(const core::JobId& job) const;
  std::vector<decide::QuarantinedWorker> Quarantined() const { return {}; }
  std::size_t QueuedCount() const { return this->queue.size(); }

 private:
  struct Worker {
    decide::WorkerView view;
    int used_slots = 0;
    model::AcceleratorSet used_accelerators;
  };
  struct Placed {
    model::JobDescription job;
    std::vector<decide::Placement> members;
  };
  std::optional<std::vector<decide::Placement>> Fit(
      const model::JobDescription& job) const;
  void Count(const Placed& placed, int sign);

  std::map<core::AgentId, Worker> workers;
  std::deque<model::JobDescription> queue;
  std::map<core::JobId, Placed> placed;
};

}  // namespace hemlockdoor::entry
