#include "modules/entry/core/entry_metrics.h"

#include <array>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "modules/observe/observe.h"

namespace hemlockdoor::entry {

namespace {

observe::OutcomeLabel LabelOf(model::JobOutcome outcome) {
  switch (outcome) {
    case model::JobOutcome::kDone:
      return observe::OutcomeLabel::kDone;
    case model::JobOutcome::kFailed:
      return observe::OutcomeLabel::kFailed;
    case model::JobOutcome::kNotRun:
      return observe::OutcomeLabel::kNotRun;
    case model::JobOutcome::kCancelled:
      return observe::OutcomeLabel::kCancelled;
    case model::JobOutcome::kUnknown:
      break;
  }
  return observe::OutcomeLabel::kUnknown;
}

struct NamedRefusal {
  std::string_view problem_type;
  observe::RefusalLabel label;
};

/// Labels for the problem types of `ProblemOfRefusal`.
constexpr std::array<NamedRefusal, 7> kRefusals = {{
    {"never-runnable", observe::RefusalLabel::kNeverRunnable},
    {"over-limit", observe::RefusalLabel::kOverLimit},
    {"no-catalogue-entry", observe::RefusalLabel::kNoEntry},
    {"queue-full", observe::RefusalLabel::kQueueFull},
    {"deadline", observe::RefusalLabel::kDeadline},
    {"shed", observe::RefusalLabel::kShed},
    {"faulty-job", observe::RefusalLabel::kFaulty},
}};

void PublishQueues(const EntryContext& context) {
  std::map<std::pair<core::OrganisationId, core::JobClass>, std::size_t> queued;
  if (context.catalogue) {
    for (const auto& [name, entry] : context.catalogue->entries) {
      queued[{entry.owner, entry.job_class}] = 0;
    }
  }
  for (const auto& [id, job] : context.jobs.All()) {
    if (job.phase == JobPhase::kQueued) {
      ++queued[{job.description.organisation, job.description.job_class}];
    }
  }
  for (const auto& [key, count] : queued) {
    observe::ProcessMetrics().SetQueueLength(key.first, key.second, count);
  }
}

void PublishShortfall(const EntryContext& context) {
  std::map<core::OrganisationId, int> missing;
  if (!context.catalogue) {
    return;
  }
  for (const auto& [name, entry] : context.catalogue->entries) {
    missing[entry.owner] += 0;
  }
  for (const decide::UnmetGuarantee& guarantee :
       context.scheduler.UnmetGuarantees()) {
    const auto entry = context.catalogue->entries.find(guarantee.entry);
    if (entry != context.catalogue->entries.end()) {
      missing[entry->second.owner] += guarantee.missing_gangs;
    }
  }
  for (const auto& [organisation, gangs] : missing) {
    observe::ProcessMetrics().SetGuaranteeShortfall(organisation, gangs);
  }
}

}  // namespace

void CountJobStart(const Job& job, core::TimePoint now) {
  const core::Duration wait = now - job.submitted_at;
  observe::ProcessMetrics().ObserveWait(job.description.job_class, wait);
  if (job.description.shape.TotalAccelerators() == 0) {
    observe::ProcessMetrics().ObserveShortWait(wait);
  }
}

void CountJobEnd(const Job& job, core::TimePoint now) {
  observe::Metrics& metrics = observe::ProcessMetrics();
  metrics.CountJobEnd(
      job.description.organisation, job.description.job_class,
      LabelOf(job.outcome.value_or(model::JobOutcome::kUnknown)));
  for (const NamedRefusal& row : kRefusals) {
    if (row.problem_type == job.problem_type) {
      metrics.CountRefusal(row.label);
    }
  }
  if (job.may_have_run) {
    metrics.ObserveCompletion(job.description.job_class,
                              now - job.submitted_at);
  }
}

void PublishCatalogueNames(const model::Catalogue& catalogue) {
  std::set<core::OrganisationId> organisations;
  std::set<core::JobClass> classes;
  for (const auto& [name, entry] : catalogue.entries) {
    organisations.insert(entry.owner);
    classes.insert(entry.job_class);
  }
  observe::ProcessMetrics().SetCatalogueNames(organisations, classes);
}

void PublishGauges(const EntryContext& context) {
  std::size_t reservations = 0;
  for (const auto& [id, job] : context.jobs.All()) {
    const bool holds = job.attempt && job.phase != JobPhase::kEnded;
    reservations += holds ? job.attempt->members.size() : 0;
  }
  observe::Metrics& metrics = observe::ProcessMetrics();
  metrics.SetReservations(reservations);
  metrics.SetQuarantinedWorkers(context.scheduler.Quarantined().size());
  metrics.SetFragmentation(FragmentationRatio(context.agents));
  PublishQueues(context);
  PublishShortfall(context);
}

double FragmentationRatio(const AgentDirectory& agents) {
  int free = 0;
  int in_whole_blocks = 0;
  for (const auto& [id, known] : agents.All()) {
    if (!known.last_announcement.shape ||
        known.last_announcement.shape->accelerators == 0) {
      continue;
    }
    const model::WorkerShape& shape = *known.last_announcement.shape;
    const int block = shape.accelerators_per_group > 0
                          ? shape.accelerators_per_group
                          : shape.accelerators;
    free += known.last_announcement.free_accelerators.Count();
    for (int first = 0; first + block <= shape.accelerators; first += block) {
      const model::AcceleratorSet adjacent =
          model::AcceleratorSet::First(first + block)
              .Without(model::AcceleratorSet::First(first));
      in_whole_blocks +=
          known.last_announcement.free_accelerators.Contains(adjacent) ? block
                                                                       : 0;
    }
  }
  return free == 0 ? 0.0
                   : static_cast<double>(free - in_whole_blocks) /
                         static_cast<double>(free);
}

}  // namespace hemlockdoor::entry
