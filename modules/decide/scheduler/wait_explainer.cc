#include "modules/decide/scheduler/wait_explainer.h"

namespace hemlockdoor::decide {

namespace {

std::string Count(std::size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string Needs(const model::GangShape& shape) {
  std::string text = "needs " + std::to_string(shape.gang_size) +
                     (shape.gang_size == 1 ? " member" : " members") + " with ";
  text += Count(static_cast<std::size_t>(shape.accelerators_per_member),
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
        "has a place; waits for the work that borrows it to be stopped"};
  }
  if (job.phase != JobPhase::kQueued) {
    return std::nullopt;
  }
  const QueueBucket& bucket =
      this->state.queue.At(this->state.queue.BucketOf(*handle));
  switch (bucket.blocked) {
    case BlockReason::kAcceleratorCap:
    case BlockReason::kSlotCap:
      return WaitReason{this->ForCap(job, bucket.blocked)};
    case BlockReason::kNoCapacity:
      return WaitReason{job.shape.accelerators_per_member > 0
                            ? this->ForCapacity(*handle)
                            : this->ForSlots(job)};
    case BlockReason::kNone:
      break;
  }
  return WaitReason{"waits for the next decision; " +
                    Count(this->state.queue.Count() - 1, "other job") +
                    " queued"};
}

std::string WaitExplainer::ForCap(const JobRecord& job,
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

std::string WaitExplainer::ForSlots(const JobRecord& job) const {
  return std::string("no worker that offers its service has a free slot for ") +
         (job.lane == Lane::kLong ? "long" : "short") + " work" +
         (job.stoppable ? ""
                        : " that must not be stopped, outside of guarantees");
}

std::string WaitExplainer::ForCapacity(JobHandle handle) const {
  const JobRecord& job = this->state.jobs.At(handle);
  const int unclaimed =
      this->state.fleet.FreeAccelerators(CapacityView::kUncommitted);
  const int free = this->state.fleet.FreeAccelerators(CapacityView::kIdle);
  std::string text = Needs(job.shape) + "; " +
                     Count(static_cast<std::size_t>(free), "accelerator") +
                     " free on usable workers";
  if (!job.stoppable) {
    text += ", " + std::to_string(free - unclaimed) +
            " of them kept for guarantees or reserved gangs, where work that "
            "must not be stopped is not placed";
  }
  if (this->state.Rules().guarantees &&
      this->state.cells.IsCovered(job.entry, job.shape)) {
    text += this->state.cells.FindGuarantee(job.entry, job.shape)
                ? "; its guarantee cannot be reclaimed now"
                : "; the guarantee of its entry is in use";
  }
  if (job.reserved) {
    text += "; a place is reserved for it and becomes free as work there ends";
  }
  return text;
}

}  // namespace hemlockdoor::decide
