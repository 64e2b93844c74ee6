#include "modules/entry/core/job_table.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::entry {

core::Expected<Job*> JobTable::Add(Job job) {
  if (this->jobs.contains(job.description.id)) {
    return core::MakeError(core::ErrorCode::kConflict, "the job id is in use");
  }
  if (this->OpenCount() >= this->limits.max_open) {
    return core::MakeError(core::ErrorCode::kResourceExhausted,
                           "the entry holds its maximum number of open jobs");
  }
  job.payload_bytes = job.payload ? job.payload->size() : 0;
  const bool fits = this->MakeRoom(job.payload_bytes) &&
                    this->bytes.TryTake(job.payload_bytes);
  if (!fits) {
    return core::MakeError(
        core::ErrorCode::kResourceExhausted,
        "the byte budget for payloads and results is used up");
  }
  const core::JobId id = job.description.id;
  job.spans.OnAccepted(job.description, job.traceparent);
  return &this->jobs.emplace(id, std::move(job)).first->second;
}

Job* JobTable::Find(const core::JobId& id) {
  const auto place = this->jobs.find(id);
  return place == this->jobs.end() ? nullptr : &place->second;
}

bool JobTable::AttachPayload(Job& job, SharedBody payload) {
  this->DropPayload(job);
  const bool fits =
      this->MakeRoom(payload->size()) && this->bytes.TryTake(payload->size());
  if (!fits) {
    return false;
  }
  job.payload_bytes = payload->size();
  job.payload = std::move(payload);
  return true;
}

bool JobTable::AttachResult(Job& job, SharedBody result) {
  this->DropResult(job);
  if (!this->bytes.TryTake(result->size())) {
    return false;
  }
  job.result_bytes = result->size();
  if (job.delivered) {
    this->delivered_bytes += job.result_bytes;
  }
  job.result = std::move(result);
  return true;
}

bool JobTable::MakeRoomForResult(const Job& job, std::size_t result_bytes) {
  return result_bytes <= job.payload_bytes ||
         this->MakeRoom(result_bytes - job.payload_bytes);
}

bool JobTable::MakeRoom(std::size_t wanted_bytes) {
  while (this->bytes.Held() + wanted_bytes > this->limits.max_bytes) {
    Job* oldest = nullptr;
    for (auto& [id, each] : this->jobs) {
      const bool droppable = each.phase == JobPhase::kEnded && each.delivered &&
                             each.result_bytes > 0;
      if (droppable &&
          (oldest == nullptr || each.ended_at < oldest->ended_at)) {
        oldest = &each;
      }
    }
    if (oldest == nullptr) {
      return false;
    }
    this->DropResult(*oldest);
  }
  return true;
}

void JobTable::DropPayload(Job& job) {
  this->bytes.Release(job.payload_bytes);
  job.payload_bytes = 0;
  job.payload.reset();
}

void JobTable::MarkDelivered(Job& job) {
  if (!job.delivered) {
    job.delivered = true;
    this->delivered_bytes += job.result_bytes;
  }
}

void JobTable::DropResult(Job& job) {
  if (job.delivered) {
    this->delivered_bytes -= job.result_bytes;
  }
  this->bytes.Release(job.result_bytes);
  job.result_bytes = 0;
  job.result.reset();
}

void JobTable::MarkEnded(Job& job, core::TimePoint now) {
  HD_ASSERT(job.phase != JobPhase::kEnded);
  job.phase = JobPhase::kEnded;
  job.ended_at = now;
  ++this->ended;
}

void JobTable::Remove(const core::JobId& id) {
  Job* job = this->Find(id);
  if (job == nullptr) {
    return;
  }
  this->DropPayload(*job);
  this->DropResult(*job);
  if (job->phase == JobPhase::kEnded) {
    --this->ended;
  }
  this->jobs.erase(id);
}

std::vector<core::JobId> JobTable::OpenIds() const {
  std::vector<core::JobId> ids;
  for (const auto& [id, job] : this->jobs) {
    if (job.phase != JobPhase::kEnded) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<core::JobId> JobTable::Removable(core::TimePoint limit) const {
  std::vector<const Job*> closed;
  for (const auto& [id, job] : this->jobs) {
    if (job.phase == JobPhase::kEnded) {
      closed.push_back(&job);
    }
  }
  std::sort(closed.begin(), closed.end(), [](const Job* a, const Job* b) {
    return a->ended_at < b->ended_at;
  });
  const std::size_t excess = closed.size() > this->limits.max_ended
                                 ? closed.size() - this->limits.max_ended
                                 : 0;
  std::vector<core::JobId> ids;
  for (std::size_t i = 0; i < closed.size(); ++i) {
    if (i < excess || closed[i]->ended_at < limit) {
      ids.push_back(closed[i]->description.id);
    }
  }
  return ids;
}

}  // namespace hemlockdoor::entry
