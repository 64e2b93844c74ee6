// Choice of the connections that the calls of an HttpClient use.
#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <cstdint>
#include <map>

#include "modules/wire/client/http_client.h"

namespace hemlockdoor::wire::detail {

/// Keeps calls away from connections that outlived an earlier call to the same
/// endpoint that timed out. Such a call may leave behind an attempt to connect,
/// which Qt keeps and the kernel repeats at growing intervals, and idle
/// connections may have gone silent together with the one that it used. Qt
/// would let later calls wait for them although the path is back.
///
/// All endpoints share one lasting manager. After a timeout, calls to the
/// endpoint use a trial manager on which no call to it has timed out; each
/// manager has a thread, so all endpoints share one at a time. The
/// first answer returns the endpoint to the lasting manager, to new
/// connections. A trial manager is deleted, and its attempts with it, when it
/// has been replaced and its calls have ended.
class ConnectionPool : public QObject {
 public:
  /// Connections for one call.
  struct Connections {
    QNetworkAccessManager* manager = nullptr;
    /// Requests of different groups share no connections; 0 for the initial
    /// one.
    std::uint64_t group = 0;
    /// Number of the trial manager; 0 for the lasting one.
    std::uint64_t trial = 0;
  };
  enum class CallEnd { kAnswered, kTimedOut };

  ConnectionPool();

  /// Returns connections for a call, which must be released at its end.
  Connections Acquire(const Endpoint& endpoint);
  void Release(const Endpoint& endpoint,
               const Connections& used,
               CallEnd call_end);

 private:
  struct Trial {
    QNetworkAccessManager* manager = nullptr;
    int calls = 0;
  };
  /// State of an endpoint to which a call has timed out.
  struct Suspect {
    /// Number of the group of the lasting manager.
    std::uint64_t group = 0;
    bool is_unreachable = false;
    /// Latest trial manager on which a call has timed out.
    std::uint64_t timed_out_trial = 0;
  };

  QNetworkAccessManager* CreateManager();
  std::uint64_t NewestTrial() const {
    return this->trials.empty() ? 0 : this->trials.rbegin()->first;
  }
  void DeleteUnusedTrials();

  QNetworkAccessManager* lasting;
  std::map<std::uint64_t, Trial> trials;
  std::uint64_t trial_count = 0;
  std::map<Endpoint, Suspect> suspects;
  int unreachable_count = 0;
};

}  // namespace hemlockdoor::wire::detail
