// Exchange of the operators' configuration between entries.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/model/operator_snapshot.h"
#include "modules/core/core.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::batch {

/// What an entry knows, and what it does with what others know.
struct ExchangeHandlers {
  std::function<const OperatorSnapshot&()> snapshot;
  /// Upper bound on the time since all changes were known, from any source, and
  /// from the store alone.
  std::function<core::Duration(core::TimePoint now)> age;
  std::function<core::Duration(core::TimePoint now)> age_at_store;
  /// Takes the answer of a peer to a call that was sent at `sent_at`.
  std::function<void(const SnapshotAnswer& answer, core::TimePoint sent_at)>
      on_answer;
};

/// Keeps an entry up to date that the store does not answer, or answers late.
/// An entry that learns of a change tells its peers, and a peer that is behind
/// fetches the content, from one entry at a time: it may be large and the link
/// slow, and copies would delay each other. An entry that the store has not
/// confirmed for `kMaxStoreAge` asks its peers by itself until the store does.
/// (Anti-entropy and rumour mongering; Demers et al., PODC 1987.)
///
/// Peers are those of the settings and entries that have called this one: the
/// settings name only a few, all of which the store may turn away.
class ConfigurationExchange {
 public:
  using PeerList = std::function<std::vector<std::string>()>;

  /// `own_endpoint` is where this entry answers peers, and `peer_list` returns
  /// the internal endpoints of other entries.
  ConfigurationExchange(std::string own_endpoint,
                        PeerList peer_list,
                        ExchangeHandlers exchange_handlers);

  /// Tells the peers of a change. Calls shortly after each other are combined.
  void NotifyPeers();
  /// Returns the internal endpoints of entries that have called in the last ten
  /// minutes.
  std::vector<std::string> Callers() const;
  /// Answers a peer. Returns false, without an answer, for other requests.
  bool HandlePeer(const wire::HttpRequest& request,
                  const wire::HttpResponder& responder);

 private:
  /// Longer than the store takes to confirm that nothing has changed.
  static constexpr core::Duration kMaxStoreAge =
      core::Duration::Milliseconds(1400);
  static constexpr core::Duration kPeriod = core::Duration::Milliseconds(250);
  /// While no peer knows more, only each fourth period is used, so that an
  /// outage of the store for all entries does not load those that all know.
  static constexpr int kIdlePeriods = 4;
  /// Peers know more while they confirm the configuration up to this age, which
  /// includes that of their own knowledge.
  static constexpr core::Duration kMaxPeerAge = kMaxStoreAge * 2;
  static constexpr core::Duration kNotifyDelay =
      core::Duration::Milliseconds(20);
  static constexpr core::Duration kTimeout = core::Duration::Milliseconds(500);
  /// Limit on a transfer of content that keeps arriving.
  static constexpr core::Duration kMaxTransfer =
      core::Duration::Milliseconds(5000);
  /// Most peers that are asked or told at once.
  static constexpr std::size_t kMaxPeersAtOnce = 4;
  /// A peer that has called counts for this long.
  static constexpr core::Duration kCallerLifetime =
      core::Duration::Seconds(600);
  /// Most peers that have called and are remembered.
  static constexpr std::size_t kMaxCallers = 64;

  void OnTick(core::TimePoint now);
  /// Returns the peers of the settings, and then those that have called.
  std::vector<std::string> AllPeers() const;
  /// Asks up to `kMaxPeersAtOnce` peers.
  void AskSeveral();
  /// Tells a peer what this entry knows and asks what it knows, and fetches the
  /// content if the peer knows more.
  void Ask(const std::string& peer);
  /// Fetches the content from a peer that knows more. While another transfer
  /// runs, the peer is asked again at its end.
  void Fetch(const std::string& peer);
  /// Sends a request; `on_end` runs at the end of the call, before its answer
  /// is used.
  void Send(const std::string& peer,
            bool accepts_content,
            std::function<void()> on_end);
  void OnAnswer(const std::string& peer,
                const std::string& text,
                core::TimePoint sent_at);
  /// Returns whether the sender of the summary knows changes that this entry
  /// does not know.
  bool KnowsMore(const SnapshotSummary& summary) const;
  void RememberCaller(const std::string& caller, core::TimePoint now);
  SnapshotSummary Summary() const;

  std::string endpoint;
  PeerList peers;
  ExchangeHandlers handlers;
  wire::HttpClient client;
  std::set<std::string> asked_peers;
  /// A transfer of content runs.
  bool is_fetching = false;
  /// A peer that was found to know more during the transfer; or empty.
  std::string newer_peer;
  /// Entries that have called, with the time of their latest call.
  std::map<std::string, core::TimePoint> callers;
  std::size_t next_peer = 0;
  /// Periods since the store has not confirmed the configuration for too long;
  /// 0 while it does.
  int periods_without_store = 0;
  bool is_notification_due = false;
  QObject context;
  QTimer timer;
};

}  // namespace hemlockdoor::batch
