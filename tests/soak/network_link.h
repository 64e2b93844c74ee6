// TCP link between two processes under test whose path can fail.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/soak/link_bandwidth.h"

namespace hemlockdoor::soak {

/// What a link does with connections and requests.
enum class LinkState {
  kOpen,
  /// A silent partition: nothing passes on open connections, and attempts to
  /// connect hang. Bytes that were held up pass when the link opens again.
  kCut,
  /// Connections are accepted, and requests on them never get an answer.
  kMute,
  /// Each request is answered with 503.
  kBusy,
  /// Connections are reset.
  kReset,
};

/// Listens on a loopback port and forwards connections to a target. Belongs to
/// one Qt event loop.
class NetworkLink {
 public:
  NetworkLink(std::string target_address, std::uint16_t target_port);
  NetworkLink(const NetworkLink&) = delete;
  NetworkLink& operator=(const NetworkLink&) = delete;

  /// "127.0.0.1:PORT" of this link.
  std::string Endpoint() const;
  void SetState(LinkState new_state);
  LinkState State() const { return this->state; }
  /// From now on what the target sends passes through `shared`, which must
  /// outlive this link.
  void SetBandwidth(LinkBandwidth& shared) { this->bandwidth = &shared; }

 private:
  /// Connections that the listener keeps waiting; further attempts hang.
  static constexpr int kBacklog = 16;

  void Accept();
  void OnClientBytes(QTcpSocket* client, QTcpSocket* target);
  void OnTargetBytes(QTcpSocket* client, QTcpSocket* target);
  std::vector<QTcpSocket*> Clients() const;

  std::string target_address;
  std::uint16_t target_port;
  LinkState state = LinkState::kOpen;
  /// nullptr while the bandwidth is not limited.
  LinkBandwidth* bandwidth = nullptr;
  QTcpServer server;
  /// Connections that fill the listener's queue while the link is cut.
  std::vector<std::unique_ptr<QTcpSocket>> fillers;
};

}  // namespace hemlockdoor::soak
