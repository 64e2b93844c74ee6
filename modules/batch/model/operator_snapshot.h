// What an entry knows of the operators' keys, which entries pass on to each
// other.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/core.h"
#include "modules/store/store.h"

namespace hemlockdoor::batch {

/// The operators' keys as of one version of the store. A snapshot of a later
/// version replaces an earlier one, also if it has fewer keys.
class OperatorSnapshot {
 public:
  /// Version at which each key was last written. Two snapshots with the same
  /// versions have the same content.
  using KeyVersions = std::map<std::string, store::ModRevision>;

  OperatorSnapshot() = default;
  explicit OperatorSnapshot(const store::Listing& listing);

  /// Store version up to which all changes are included; 0 if nothing was read.
  store::ModRevision Revision() const { return this->revision; }
  KeyVersions Versions() const;
  /// Returns the content as if it had been listed from the store.
  store::Listing ToListing() const;

  /// Takes a change. Ignores one that is already included. Returns whether the
  /// snapshot changed.
  bool OnEvent(const store::WatchEvent& event);
  /// Takes a snapshot of a later version; ignores an earlier one. Returns
  /// whether the content changed.
  bool OnSnapshot(const OperatorSnapshot& other);

 private:
  std::map<std::string, store::KeyValue> items;
  store::ModRevision revision;
};

/// What one entry tells another: up to which store version it knows the
/// operators' keys, and how long ago it last learned that nothing is newer.
struct SnapshotSummary {
  /// Internal endpoint of the sender, "ADDRESS:PORT".
  std::string endpoint;
  store::ModRevision revision;
  /// Upper bound on the time since all changes were known.
  core::Duration age;
  OperatorSnapshot::KeyVersions versions;
};

/// A question of one entry to another.
struct SnapshotRequest {
  SnapshotSummary summary;
  /// The answer may contain content. Entries of an earlier version do not state
  /// it and mean that it may.
  bool accepts_content = true;
};

/// An answer to a request. The content is absent if the asker's content is the
/// same or of a later version, or if the asker does not accept any.
struct SnapshotAnswer {
  SnapshotSummary summary;
  std::optional<OperatorSnapshot> content;
};

std::string ToText(const SnapshotRequest& request);
core::Expected<SnapshotRequest> SnapshotRequestFromText(
    const std::string& text);
std::string ToText(const SnapshotAnswer& answer);
core::Expected<SnapshotAnswer> SnapshotAnswerFromText(const std::string& text);

}  // namespace hemlockdoor::batch
