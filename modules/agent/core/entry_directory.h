// Entries this agent knows, and when to announce to each.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::agent {

/// Endpoints of entries, from settings, from entries' answers and from
/// requests. Endpoints outside the settings are forgotten after a long
/// silence.
class EntryDirectory {
 public:
  /// Starts with the endpoints of the settings, which are never forgotten.
  EntryDirectory(const std::vector<std::string>& configured,
                 core::TimePoint now);

  /// Adds an endpoint that was named by an entry or a request.
  void Learn(const std::string& endpoint, core::TimePoint now);
  /// Endpoints whose announcement is due: after a change (at most every
  /// `kMinChangeInterval`), or after the announcement period. One announcement
  /// at a time is outstanding per entry. Marks them as sent.
  std::vector<std::string> TakeDue(core::TimePoint now);
  /// Records an answer, or its absence.
  void EndAnnouncement(const std::string& endpoint,
                       bool answered,
                       core::TimePoint now);
  /// A change worth announcing before the next period; `urgent` changes are
  /// announced without waiting for `kMinChangeInterval`.
  void MarkChanged(bool urgent);
  /// The endpoint for the given try of a delivery: `preferred` first, then the
  /// others in turn, those that answered their last announcement first.
  std::string TargetFor(const std::string& preferred, int failures) const;
  std::size_t Count() const { return this->entries.size(); }

  /// Announcements after ordinary changes are at least so far apart, which
  /// keeps control traffic bounded while short tasks come and go. Entries
  /// learn starts and ends from grants and results meanwhile.
  static constexpr core::Duration kMinChangeInterval =
      core::Duration::Milliseconds(250);
  static constexpr std::size_t kMaxEntries = 64;

 private:
  struct Entry {
    bool configured = false;
    bool outstanding = false;
    bool answering = true;
    bool changed = true;
    bool urgent = true;
    core::TimePoint last_sent;
    core::TimePoint last_answer;
  };

  std::map<std::string, Entry> entries;
};

}  // namespace hemlockdoor::agent
