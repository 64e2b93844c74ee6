#include "modules/decide/scheduler/wait_explainer.h"

namespace hemlockdoor::decide {

namespace {

std::string CountText(std::size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string RequirementText(const model::GangShape& shape) {
  std::string text = "needs " + std::to_string(shape.gang_size) +
                     (shape.gang_size == 1 ? " member" : " members") + " with ";
  text += CountText(static_cast<std::size_t>(shape.accelerators_per_member),
                    "accelerator");
  text += shape.gang_size == 1 ? "" : " each";
  switch (shape.adjacency) {
    case model::Adjacency::kAny:
      return text;
    case model::Adjacency::kWorker:
      return text + ", adjacent on one worker";
    case model::Adjacency::kRack:
      return text + ", adjacent and all in one rack";
    case model::Adjacency::kSpread:
      return text + ", each on a worker of its own";
  }
  return text;
}

}  // namespace

std::optional<WaitReason> WaitExplainer::Explain(const core::JobId& id) const {
  const std::optional<JobHandle> handle = this->state.jobs.Find(id);
  if (!handle) {
    return std::nullopt;
  }
  const JobRecord& job = this->state.jobs.At(*handle);
  if (job.phase == JobPhase::kReclaiming) {
    return WaitReason{
        "a place is held for the job; waits until the jobs running there have "
        "been stopped"};
  }
  if (job.phase != JobPhase::kQueued) {
    return std::nullopt;
  }
  const QueueBucket& bucket =
      this->state.queue.At(this->state.queue.BucketOf(*handle));
  switch (bucket.blocked) {
    case BlockReason::kAcceleratorCap:
    case BlockReason::kSlotCap:
      return WaitReason{this->ExplainCap(job, bucket.blocked)};
    case BlockReason::kNoCapacity:
      return WaitReason{job.shape.accelerators_per_member > 0
                            ? this->ExplainCapacity(*handle)
                            : this->ExplainSlots(job)};
    case BlockReason::kNone:
      break;
  }
  return WaitReason{"waits for the next scheduling pass; " +
                    CountText(this->state.queue.Count() - 1, "other job") +
                    " queued"};
}

std::string WaitExplainer::ExplainCap(const JobRecord& job,
                                      BlockReason reason) const {
  const EntryState& entry = this->state.entries.At(job.entry);
  if (reason == BlockReason::kAcceleratorCap) {
    return "entry " + entry.name.Text() + " uses " +
           std::to_string(entry.used_accelerators) + " of at most " +
           std::to_string(entry.limits.max_accelerators.value_or(0)) +
           " accelerators and the job needs " +
           std::to_string(job.shape.TotalAccelerators());
  }
  return "entry " + entry.name.Text() + " uses " +
         std::to_string(entry.used_slots) + " of at most " +
         std::to_string(entry.limits.max_slots.value_or(0)) +
         " slots and the job needs " + std::to_string(job.shape.gang_size);
}

std::string WaitExplainer::ExplainSlots(const JobRecord& job) const {
  return std::string(
             "no worker that offers the job's service has a free slot for ") +
         (job.lane == Lane::kLong ? "long" : "short") + " jobs" +
         (job.stoppable ? ""
                        : " that must not be stopped, outside of the capacity "
                          "kept for guarantees");
}

std::string WaitExplainer::ExplainCapacity(JobHandle handle) const {
  const JobRecord& job = this->state.jobs.At(handle);
  const int unclaimed =
      this->state.fleet.FreeAccelerators(CapacityView::kUncommitted);
  const int free = this->state.fleet.FreeAccelerators(CapacityView::kIdle);
  std::string text = RequirementText(job.shape) + "; " +
                     CountText(static_cast<std::size_t>(free), "accelerator") +
                     " free on usable workers";
  if (!job.stoppable) {
    text += ", " + std::to_string(free - unclaimed) +
            " of them kept for guarantees or reserved gangs, where jobs that "
            "must not be stopped are not placed";
  }
  if (this->state.GetPolicy().guarantees &&
      this->state.cells.IsCovered(job.entry, job.shape)) {
    text += this->state.cells.FindGuarantee(job.entry, job.shape)
                ? "; the guarantee of its entry cannot be reclaimed now"
                : "; the guarantee of its entry is in use";
  }
  if (job.has_reservation) {
    text +=
        "; a place is reserved for the job and becomes free when the jobs "
        "there end";
  }
  return text;
}

}  // namespace hemlockdoor::decide
