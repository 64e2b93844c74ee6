#include "modules/decide/scheduler/job_table.h"

namespace hemlockdoor::decide {

JobHandle JobTable::Add(const core::JobId& id) {
  JobHandle handle = 0;
  if (this->unused.empty()) {
    handle = static_cast<JobHandle>(this->records.size());
    this->records.emplace_back();
  } else {
    handle = this->unused.back();
    this->unused.pop_back();
  }
  const bool inserted = this->by_id.emplace(id, handle).second;
  HD_ASSERT(inserted);
  this->records[handle].id = id;
  return handle;
}

void JobTable::Remove(JobHandle job) {
  JobRecord& record = this->records[job];
  this->by_id.erase(record.id);
  const std::uint32_t generation = record.generation + 1;
  record = JobRecord();
  record.generation = generation;
  this->unused.push_back(job);
}

std::optional<JobHandle> JobTable::Find(const core::JobId& id) const {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace hemlockdoor::decide
