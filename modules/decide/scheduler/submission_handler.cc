#include "modules/decide/scheduler/submission_handler.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

namespace {

constexpr core::Duration kQueueFullRetry = core::Duration::Seconds(5);
constexpr core::Duration kRetryBudgetRetry = core::Duration::Seconds(10);

RefuseDecision Refusal(const model::JobDescription& job,
                       RefusalKind kind,
                       std::string reason,
                       core::Duration retry_after = {}) {
  return {job.id, kind, std::move(reason), retry_after};
}

std::string ShapeText(const model::GangShape& shape) {
  return std::to_string(shape.gang_size) + " members with " +
         std::to_string(shape.accelerators_per_member) +
         " accelerators each (" +
         std::string(model::AdjacencyName(shape.adjacency)) + ")";
}

}  // namespace

SubmissionHandler::Check SubmissionHandler::CheckShape(
    const model::JobDescription& job) const {
  if (job.shape.gang_size < 1 || job.shape.gang_size > model::kMaxGangSize ||
      job.shape.accelerators_per_member < 0 ||
      job.shape.accelerators_per_member > model::kMaxAcceleratorsPerWorker) {
    return Refusal(job, RefusalKind::kNeverRunnable,
                   "the job's shape is out of range: " + ShapeText(job.shape));
  }
  if (!this->state.options.plans_accelerators &&
      (job.shape.accelerators_per_member > 0 || job.shape.gang_size > 1)) {
    return Refusal(job, RefusalKind::kNeverRunnable,
                   "this entry is not the planning owner and places only "
                   "single-member jobs without accelerators");
  }
  return std::nullopt;
}

SubmissionHandler::Check SubmissionHandler::CheckFailureHistory(
    const model::JobDescription& job,
    core::TimePoint now) {
  const AttemptHistory* past = this->state.history.Find(job.id);
  if (past == nullptr || past->failed_on.empty()) {
    return std::nullopt;
  }
  if (JobHistory::IsFaulty(*past, this->state.health)) {
    return Refusal(job, RefusalKind::kFaulty,
                   "the job failed on " +
                       std::to_string(past->failed_on.size()) +
                       " distinct workers and is considered faulty");
  }
  if (this->state.GetPolicy().retry_budget &&
      !this->state.retry_budget.TryTake(
          this->state.fleet.ServiceOf(job.service), now)) {
    return Refusal(
        job, RefusalKind::kShed,
        "the retry budget of service " + job.service.Text() + " is exhausted",
        kRetryBudgetRetry);
  }
  return std::nullopt;
}

SubmissionHandler::Check SubmissionHandler::CheckLimits(
    const model::JobDescription& job,
    const EntryState& entry) const {
  const std::string name = "entry " + entry.name.Text();
  const model::ClassLimits& limits = entry.limits;
  if (limits.max_accelerators &&
      job.shape.TotalAccelerators() > *limits.max_accelerators) {
    return Refusal(job, RefusalKind::kOverLimit,
                   "the job needs " +
                       std::to_string(job.shape.TotalAccelerators()) +
                       " accelerators and " + name + " allows " +
                       std::to_string(*limits.max_accelerators) + " in total");
  }
  if (limits.max_slots && job.shape.gang_size > *limits.max_slots) {
    return Refusal(job, RefusalKind::kOverLimit,
                   "the job needs " + std::to_string(job.shape.gang_size) +
                       " slots and " + name + " allows " +
                       std::to_string(*limits.max_slots) + " in total");
  }
  if (limits.max_queued && entry.queued >= *limits.max_queued) {
    return Refusal(job, RefusalKind::kQueueFull,
                   name + " has " + std::to_string(entry.queued) +
                       " jobs queued, its limit",
                   kQueueFullRetry);
  }
  if (this->state.queue.Count() >= this->state.GetPolicy().max_queued) {
    return Refusal(job, RefusalKind::kQueueFull,
                   "the scheduler's queue is full with " +
                       std::to_string(this->state.queue.Count()) + " jobs",
                   kQueueFullRetry);
  }
  return std::nullopt;
}

SubmissionHandler::Check SubmissionHandler::CheckFeasible(
    const model::JobDescription& job,
    core::TimePoint now) {
  if (!this->state.HasSettled(now) ||
      this->state.feasibility.CouldEverFit(
          job.shape, this->state.fleet.ServiceOf(job.service),
          now - this->state.GetPolicy().absent_memory)) {
    return std::nullopt;
  }
  return Refusal(job, RefusalKind::kNeverRunnable,
                 "no set of workers that offers service " + job.service.Text() +
                     " has room for " + ShapeText(job.shape) +
                     ", even when idle");
}

SubmissionHandler::Check SubmissionHandler::CheckDeadline(
    const model::JobDescription& job,
    const EntryState& entry) {
  if (!job.deadline || !this->state.GetPolicy().shedding ||
      job.shape.accelerators_per_member > 0) {
    return std::nullopt;
  }
  const ServiceIndex service = this->state.fleet.ServiceOf(job.service);
  const RunTimeGroupIndex group = this->state.run_times.GroupOf(
      {entry.organisation, service, job.job_class});
  if (this->state.run_times.LaneOf(group, job.declared_run) == Lane::kLong) {
    return std::nullopt;
  }
  const double weight = this->state.fair_share.Weight(entry.organisation);
  const double active =
      std::max(weight, this->state.fair_share.ActiveWeight(Lane::kShort));
  AdmissionRequest request;
  request.organisation = entry.organisation;
  request.deadline = *job.deadline;
  request.expected_run =
      this->state.run_times.ExpectedRunTime(group, job.declared_run);
  request.slots = this->state.fleet.ShortSlots(service);
  request.share = this->state.GetPolicy().fair_share ? weight / active : 1.0;
  const std::optional<core::Duration> retry_after =
      this->state.admission.Refuse(request);
  if (!retry_after) {
    return std::nullopt;
  }
  return Refusal(
      job, RefusalKind::kShed,
      "the job would wait past its deadline: the jobs queued for its "
      "organisation take about " +
          std::to_string(
              this->state.admission.ExpectedWait(request).InMilliseconds()) +
          " ms at its share of the slots",
      *retry_after);
}

JobHandle SubmissionHandler::MakeRecord(
    const model::JobDescription& description,
    core::TimePoint now) {
  const EntryIndex entry_index = this->state.entries.IndexOf(
      description.organisation, description.job_class);
  const JobHandle handle = this->state.jobs.Add(description.id);
  JobRecord& job = this->state.jobs.At(handle);
  job.entry = entry_index;
  job.organisation = this->state.entries.At(entry_index).organisation;
  job.service = this->state.fleet.ServiceOf(description.service);
  job.run_time_group = this->state.run_times.GroupOf(
      {job.organisation, job.service, description.job_class});
  job.shape = description.shape;
  job.expected_run = this->state.run_times.ExpectedRunTime(
      job.run_time_group, description.declared_run);
  job.lane = this->state.run_times.LaneOf(job.run_time_group,
                                          description.declared_run);
  // A job that must not be repeated is not stopped: its outcome would be
  // unknown.
  job.stoppable = description.repeatable;
  job.checkpointable = description.checkpointable;
  job.urgent = description.urgent;
  const AttemptHistory* past = this->state.history.Find(description.id);
  job.preemptions = static_cast<std::uint16_t>(
      past == nullptr ? 0 : std::min(past->preemptions, 1000));
  job.sequence = this->state.next_sequence++;
  job.submitted = now;
  if (description.deadline) {
    job.expires = now + *description.deadline;
  }
  return handle;
}

tl::expected<void, RefuseDecision> SubmissionHandler::Submit(
    const model::JobDescription& job,
    core::TimePoint now) {
  if (const std::optional<JobHandle> known = this->state.jobs.Find(job.id)) {
    if (this->state.jobs.At(*known).phase != JobPhase::kGrantTimedOut) {
      return {};
    }
    this->lifecycle.Remove(*known, now);
  }
  if (Check shape = this->CheckShape(job)) {
    return tl::unexpected<RefuseDecision>(std::move(*shape));
  }
  const EntryIndex index =
      this->state.entries.IndexOf(job.organisation, job.job_class);
  const EntryState& entry = this->state.entries.At(index);
  if (!entry.present) {
    return tl::unexpected<RefuseDecision>(
        Refusal(job, RefusalKind::kNoEntry,
                "no catalogue entry covers class " + job.job_class.Text() +
                    " of organisation " + job.organisation.Text()));
  }
  Check refusal = this->CheckLimits(job, entry);
  refusal = refusal ? refusal : this->CheckFeasible(job, now);
  refusal = refusal ? refusal : this->CheckDeadline(job, entry);
  refusal = refusal ? refusal : this->CheckFailureHistory(job, now);
  if (refusal) {
    return tl::unexpected<RefuseDecision>(std::move(*refusal));
  }
  const JobHandle handle = this->MakeRecord(job, now);
  this->lifecycle.Enqueue(handle);
  if (job.deadline) {
    this->state.AddTimer(handle, now + *job.deadline, TimerKind::kExpiry);
  }
  return {};
}

}  // namespace hemlockdoor::decide
