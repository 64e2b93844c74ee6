#include "modules/batch/model/configuration.h"

#include <algorithm>

namespace hemlockdoor::batch {

const QueueConfig* Configuration::FindQueue(const std::string& host,
                                            const std::string& path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : this->queues) {
    const bool matches =
        queue.host == host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr ||
                    queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfig* Configuration::FindQueue(const QueueName& name) const {
  const auto found = std::find_if(
      this->queues.begin(), this->queues.end(),
      [&name](const QueueConfig& queue) { return queue.name == name; });
  return found == this->queues.end() ? nullptr : &*found;
}

const OrganisationConfig* Configuration::FindOrganisation(
    const std::string& api_key) const {
  for (const OrganisationConfig& organisation : this->organisations) {
    const std::vector<std::string>& keys = organisation.api_keys;
    if (std::find(keys.begin(), keys.end(), api_key) != keys.end()) {
      return &organisation;
    }
  }
  return nullptr;
}

const OrganisationConfig* Configuration::FindOrganisation(
    const core::OrganisationId& id) const {
  for (const OrganisationConfig& organisation : this->organisations) {
    if (organisation.id == id) {
      return &organisation;
    }
  }
  return nullptr;
}

}  // namespace hemlockdoor::batch
