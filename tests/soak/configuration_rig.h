// Real entries whose paths to the store and to each other can fail, an operator
// who changes the configuration, and callers who find out which version each
// entry uses.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "review/support/deployment.h"
#include "tests/soak/lasting_caller.h"
#include "tests/soak/network_link.h"
#include "tests/soak/play_folder.h"

namespace hemlockdoor::soak {

/// Each version adds a route and a key, and drops those of four versions ago.
/// Callers ask each entry for them several times a second. The rig notes each
/// answer that only an older version allows although a newer one had been
/// acknowledged for longer than `kBoundMs` when the request was sent.
class ConfigurationRig : public QObject {
 public:
  /// Bound of the entries' default settings.
  static constexpr std::int64_t kBoundMs = 2000;
  /// Further time for which an entry that cannot confirm its configuration may
  /// accept a withdrawn key, in the entries' default settings.
  static constexpr std::int64_t kGraceMs = 5000;

  explicit ConfigurationRig(int entry_count);

  /// Starts the processes and the callers.
  void Start();
  int EntryCount() const { return this->entry_count; }
  review::Process& Entry(int index) {
    return this->deployment.Entry(static_cast<std::size_t>(index));
  }
  int PlannerIndex() const {
    return static_cast<int>(this->deployment.Planner());
  }
  /// The link from an entry to the store.
  NetworkLink& StoreLink(int entry) { return *this->store_links.at(entry); }
  /// Sets all links of an entry: to the store, to other entries and from them.
  void SetAllLinks(int entry, LinkState state);
  /// Opens all links.
  void OpenAllLinks();
  /// Limits what an entry receives from the store and the entries together.
  void LimitBandwidth(int entry, std::int64_t bytes_per_second);
  /// Sets the number of further routes of the versions to come.
  void SetFurtherRoutes(int count) { this->further_routes = count; }
  /// Writes the next version as the operator.
  void ChangeConfiguration();
  std::uint64_t NewestVersion() const { return this->version; }

  /// Runs until all entries have shown that they use the newest version; false
  /// if they do not within `limit_ms`.
  bool AwaitNewestVersion(std::int64_t limit_ms);

  /// What was noted; empty if no answer was wrong.
  std::string Violations() const { return this->violations; }
  /// Lets the folder with the logs stay, and returns it.
  std::string KeepLogs();

 private:
  /// What a caller asks, and which answer only an older version gives.
  struct Probe {
    std::string name;
    std::string path;
    std::string key;
    int older_status;
    /// 0 if no status shows that the version is in use.
    int newer_status;
  };

  std::string Configuration() const;
  void AskAll();
  /// Asks on a connection of its own, or on the one that lasts.
  void Ask(int entry,
           const Probe& probe,
           std::uint64_t probed_version,
           bool on_lasting_connection = false);
  /// Notes an answer that only an older version allows.
  void Judge(int entry,
             const Probe& probe,
             std::uint64_t probed_version,
             std::int64_t sent_ms,
             const std::string& answer,
             int status);
  /// Newest version that was acknowledged more than `length_ms` ago; 0 if none.
  std::uint64_t VersionOlderThan(std::int64_t length_ms) const;

  int entry_count;
  PlayFolder folder;
  review::Deployment deployment;
  std::map<int, std::unique_ptr<LinkBandwidth>> bandwidths;
  std::map<int, std::unique_ptr<NetworkLink>> store_links;
  /// By the entries from and to which they lead.
  std::map<std::pair<int, int>, std::unique_ptr<NetworkLink>> peer_links;
  /// Address and port of each entry for callers.
  std::vector<std::pair<std::string, std::uint16_t>> callers;
  std::map<int, std::unique_ptr<LastingCaller>> lasting_callers;
  std::uint64_t version = 1;
  int further_routes = 0;
  /// When each version was acknowledged.
  std::map<std::uint64_t, std::int64_t> acknowledged_ms;
  std::map<int, std::uint64_t> seen_versions;
  std::string violations;
  QTimer timer;
};

}  // namespace hemlockdoor::soak
