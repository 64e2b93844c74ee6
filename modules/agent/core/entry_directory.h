// Entries that this agent knows, and when an announcement to each is due.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::agent {

/// Endpoints of entries, from the settings and from entries' answers to
/// announcements. Endpoints outside the settings are removed when they answer
/// no announcement for a while.
class EntryDirectory {
 public:
  /// Starts with the endpoints of the settings, which are never removed.
  EntryDirectory(const std::vector<std::string>& configured,
                 core::TimePoint now);

  /// Adds an endpoint that an entry named, unless it is known or `kMaxEntries`
  /// are known.
  void Learn(const std::string& endpoint, core::TimePoint now);
  /// Returns the endpoints whose announcement is due and marks them as sent. An
  /// announcement is due at once after an urgent change, `kMinChangeInterval`
  /// after the previous one when something changed, else every
  /// `model::kAnnouncePeriod`. At most one announcement per entry is in flight.
  std::vector<std::string> TakeDue(core::TimePoint now);
  /// Ends the announcement in flight to an entry, with or without an answer.
  void EndAnnouncement(const std::string& endpoint,
                       bool answered,
                       core::TimePoint now);
  /// Records a change that is announced before the next period. An `urgent`
  /// change does not wait for `kMinChangeInterval`, except at entries that did
  /// not answer their last announcement.
  void MarkChanged(bool urgent);
  /// Returns the endpoint for the next try of a delivery that failed `failures`
  /// times: `preferred` first, then the others in turn, beginning with those
  /// that answered their last announcement, then `preferred` again.
  std::string TargetFor(const std::string& preferred, int failures) const;
  std::size_t Count() const { return this->entries.size(); }

  /// Least time between announcements of changes that are not urgent, which
  /// bounds control traffic while many short tasks start and end. In between,
  /// entries learn of starts and ends from grants and results.
  static constexpr core::Duration kMinChangeInterval =
      core::Duration::Milliseconds(250);
  static constexpr std::size_t kMaxEntries = 64;

 private:
  struct Entry {
    bool configured = false;
    /// An announcement is in flight.
    bool outstanding = false;
    /// Answered the last announcement that has ended.
    bool answering = true;
    bool changed = true;
    bool urgent = true;
    core::TimePoint last_sent;
    core::TimePoint last_answer;
  };

  std::map<std::string, Entry> entries;
};

}  // namespace hemlockdoor::agent
