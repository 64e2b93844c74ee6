#include "modules/batch/planner/admission.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "modules/batch/planner/caller_cost.h"

namespace hemlockdoor::batch {

namespace {

/// Time for which the fleet must have been known before a job is rejected. A
/// machine that restarts with its agent has reported again by then.
constexpr core::Duration kFleetKnown = core::Duration::Seconds(10);
constexpr core::Duration kMinRetryAfter = core::Duration::Seconds(1);
constexpr core::Duration kMaxRetryAfter = core::Duration::Seconds(3);
constexpr double kMsPerSecond = 1000.0;

bool IsExempt(const RoomSummary& summary, const JobRecord& job) {
  const bool is_guaranteed =
      job.priority == 0 && !summary.beyond_guarantee.contains(job.organisation);
  return is_guaranteed || job.spec.occurrences > 0 ||
         std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

/// Returns how many tasks of the step a worker of this shape holds.
std::int64_t TasksPerWorker(const WorkerShape& shape, const StepSpec& step) {
  const Resources need = CountedNeed(step);
  std::int64_t tasks =
      step.max_per_worker > 0 ? step.max_per_worker : kMaxTasksPerJob;
  const auto limit = [&tasks](std::int64_t capacity, std::int64_t needed) {
    if (needed > 0) {
      tasks = std::min(tasks, capacity / needed);
    }
  };
  limit(shape.capacity.millicores, need.millicores);
  limit(shape.capacity.memory_mb, need.memory_mb);
  limit(shape.capacity.accelerators, need.accelerators);
  return tasks;
}

/// Returns why the fleet could never hold the step, or kAccepted.
AdmissionReason Feasibility(const RoomSummary& summary,
                            const core::ServiceName& service,
                            const StepSpec& step) {
  bool has_service = false;
  std::int64_t most = 0;
  std::int64_t total = 0;
  for (const WorkerShape& shape : summary.shapes) {
    if (shape.service != service) {
      continue;
    }
    has_service = true;
    const std::int64_t tasks = TasksPerWorker(shape, step);
    most = std::max(most, tasks);
    total += tasks * std::min(shape.workers, kMaxTasksPerJob);
  }
  if (!has_service) {
    return AdmissionReason::kAccepted;
  }
  if (!step.required_label.empty() &&
      !summary.labels.contains(step.required_label)) {
    return AdmissionReason::kNoSuchLabel;
  }
  if (most == 0) {
    return AdmissionReason::kTaskTooLarge;
  }
  return step.gang && total < step.count ? AdmissionReason::kGangTooLarge
                                         : AdmissionReason::kAccepted;
}

AdmissionReason Feasibility(const RoomSummary& summary, const JobRecord& job) {
  if (!summary.is_complete || summary.whole_fleet_known < kFleetKnown) {
    return AdmissionReason::kAccepted;
  }
  for (const StepSpec& step : job.spec.steps) {
    const AdmissionReason reason = Feasibility(summary, job.service, step);
    if (reason != AdmissionReason::kAccepted) {
      return reason;
    }
  }
  return AdmissionReason::kAccepted;
}

/// Returns the time in which the work ahead of the priority is done at `rate`
/// core-equivalents per second.
core::Duration TimeToDrain(const RoomSummary& summary,
                           int priority,
                           double rate) {
  double ahead = 0;
  for (const PriorityRoom& room : summary.priorities) {
    if (room.priority <= priority) {
      ahead += room.backlog;
    }
  }
  // Far beyond all objectives; a longer time need not be told apart.
  constexpr double kMaxMs = 1e9;
  const double drain_ms =
      rate > 0 ? ahead / rate * kMsPerSecond : (ahead > 0 ? kMaxMs : 0);
  return core::Duration::Milliseconds(
      static_cast<std::int64_t>(std::min(drain_ms, kMaxMs)));
}

double MeasuredRate(const RoomSummary& summary) {
  double rate = 0;
  for (const PriorityRoom& room : summary.priorities) {
    rate += room.drain_rate;
  }
  return rate;
}

core::Duration Scaled(core::Duration duration, double share) {
  return core::Duration::Milliseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.InMilliseconds()) * share));
}

/// Returns a job with the steps of the record, but one task each and without
/// its payload, since the value of a job at its end does not depend on these.
Job ShapeOf(const JobRecord& record) {
  JobRecord shape;
  shape.spec.steps = record.spec.steps;
  for (StepSpec& step : shape.spec.steps) {
    step.count = 1;
  }
  shape.priority = record.priority;
  shape.slack_factor = record.slack_factor;
  shape.objective = record.objective;
  return Job::Create(std::move(shape), nullptr);
}

/// Returns true if the job is of no value to its caller when its first step
/// starts at `start` and each task runs for `run`.
bool IsWithoutValue(const Job& job, core::TimePoint start, core::Duration run) {
  return CallerCost().WorthAt(job, run, start + CriticalPath(job, run)) <= 0;
}

/// Sets the decision to kTooLate if the job has no value at its earliest end.
void CheckLateness(const RoomSummary& summary,
                   const JobRecord& record,
                   AdmissionDecision& decision) {
  const auto average = summary.run_times.find(record.queue);
  if (summary.capacity_known < kFleetKnown || summary.capacity <= 0 ||
      average == summary.run_times.end()) {
    return;
  }
  const double rate = std::max(summary.capacity, MeasuredRate(summary));
  const Job job = ShapeOf(record);
  const core::TimePoint start = job.accepted + record.AgeWhenAccepted() +
                                TimeToDrain(summary, record.priority, rate);
  const core::Duration low = Scaled(average->second, kLowRunTimeShare);
  const core::Duration high = Scaled(average->second, kHighRunTimeShare);
  // The end and the objective are linear in the run time, so what holds at both
  // bounds holds in between.
  if (IsWithoutValue(job, start, low) && IsWithoutValue(job, start, high)) {
    decision.reason = AdmissionReason::kTooLate;
    decision.expected = start + CriticalPath(job, low) - job.accepted;
    decision.objective =
        Scaled(CriticalPath(job, high), record.slack_factor) + record.objective;
  }
}

}  // namespace

AdmissionDecision DecideAdmission(const RoomSummary* summary,
                                  core::Duration summary_age,
                                  const JobRecord& job) {
  AdmissionDecision decision;
  decision.summary_age = summary_age;
  if (summary == nullptr || summary_age > kMaxSummaryAge ||
      IsExempt(*summary, job)) {
    return decision;
  }
  decision.reason = Feasibility(*summary, job);
  if (decision.IsAccepted()) {
    CheckLateness(*summary, job, decision);
  }
  decision.retry_after = SpreadRetryAfter(
      TimeToDrain(*summary, job.priority, MeasuredRate(*summary)), job.spec.id);
  return decision;
}

std::string NameOf(AdmissionReason reason) {
  switch (reason) {
    case AdmissionReason::kAccepted:
      break;
    case AdmissionReason::kTooLate:
      return "overloaded: the job would end too late to be of value";
    case AdmissionReason::kTaskTooLarge:
      return "no worker can hold a task of this size";
    case AdmissionReason::kNoSuchLabel:
      return "no worker has the required label";
    case AdmissionReason::kGangTooLarge:
      return "the workers together cannot hold the gang";
  }
  return "accepted";
}

core::Duration SpreadRetryAfter(core::Duration base, const core::JobId& job) {
  constexpr std::int64_t kMsPerWholeSecond = 1000;
  constexpr std::uint64_t kChoices = 2;
  const core::Duration lowest = std::clamp(
      base - kMinRetryAfter, kMinRetryAfter, kMaxRetryAfter - kMinRetryAfter);
  const std::string& text = job.Text();
  const auto choice = static_cast<std::int64_t>(
      XXH3_64bits(text.data(), text.size()) % kChoices);
  return core::Duration::Seconds(lowest.InMilliseconds() / kMsPerWholeSecond +
                                 choice);
}

}  // namespace hemlockdoor::batch
