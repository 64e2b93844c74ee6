#include "modules/agent/core/entry_directory.h"

#include "modules/model/model.h"

namespace hemlockdoor::agent {

namespace {

/// An entry that is not in the settings is removed when it has answered no
/// announcement for this long.
constexpr core::Duration kLearnedEntryTimeout = core::Duration::Seconds(60);

}  // namespace

EntryDirectory::EntryDirectory(const std::vector<std::string>& configured,
                               core::TimePoint now) {
  for (const std::string& endpoint : configured) {
    Entry entry;
    entry.configured = true;
    entry.last_answer = now;
    this->entries.emplace(endpoint, entry);
  }
}

void EntryDirectory::Learn(const std::string& endpoint, core::TimePoint now) {
  if (endpoint.empty() || this->entries.contains(endpoint) ||
      this->entries.size() >= kMaxEntries) {
    return;
  }
  Entry entry;
  entry.last_answer = now;
  this->entries.emplace(endpoint, entry);
}

std::vector<std::string> EntryDirectory::TakeDue(core::TimePoint now) {
  std::vector<std::string> due;
  std::erase_if(this->entries, [now](const auto& row) {
    const Entry& entry = row.second;
    return !entry.configured && !entry.outstanding &&
           now - entry.last_answer > kLearnedEntryTimeout;
  });
  for (auto& [endpoint, entry] : this->entries) {
    const core::Duration since = now - entry.last_sent;
    const bool is_due = entry.urgent || since >= model::kAnnouncePeriod ||
                        (entry.changed && since >= kMinChangeInterval);
    if (entry.outstanding || !is_due) {
      continue;
    }
    entry.outstanding = true;
    entry.changed = false;
    entry.urgent = false;
    entry.last_sent = now;
    due.push_back(endpoint);
  }
  return due;
}

void EntryDirectory::EndAnnouncement(const std::string& endpoint,
                                     bool answered,
                                     core::TimePoint now) {
  const auto found = this->entries.find(endpoint);
  if (found == this->entries.end()) {
    return;
  }
  found->second.outstanding = false;
  found->second.answering = answered;
  if (answered) {
    found->second.last_answer = now;
  }
}

void EntryDirectory::MarkChanged(bool urgent) {
  for (auto& [endpoint, entry] : this->entries) {
    entry.changed = true;
    // An entry that left its last announcement unanswered is not sent one at
    // each change, only after the usual interval.
    entry.urgent = entry.urgent || (urgent && entry.answering);
  }
}

std::string EntryDirectory::TargetFor(const std::string& preferred,
                                      int failures) const {
  std::vector<std::string> targets = {preferred};
  for (const bool answering : {true, false}) {
    for (const auto& [endpoint, entry] : this->entries) {
      if (entry.answering == answering && endpoint != preferred) {
        targets.push_back(endpoint);
      }
    }
  }
  return targets[static_cast<std::size_t>(failures) % targets.size()];
}

}  // namespace hemlockdoor::agent
