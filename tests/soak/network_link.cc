#include "tests/soak/network_link.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <utility>

namespace hemlockdoor::soak {

namespace {

/// Property of a connection on which nothing is answered any more.
constexpr const char* kIsDead = "dead";
/// Name of the connection to the target, a child of that of the client.
constexpr const char* kTarget = "target";

void Reset(QTcpSocket* socket) {
  const linger option{1, 0};
  ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &option, sizeof(option));
  socket->abort();
}

}  // namespace

NetworkLink::NetworkLink(std::string address, std::uint16_t port)
    : target_address(std::move(address)), target_port(port) {
  this->server.setListenBacklogSize(kBacklog);
  this->server.listen(QHostAddress::LocalHost);
  QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                   [this] { this->Accept(); });
}

std::string NetworkLink::Endpoint() const {
  return "127.0.0.1:" + std::to_string(this->server.serverPort());
}

void NetworkLink::SetState(LinkState new_state) {
  if (this->state == new_state) {
    return;
  }
  const LinkState former = std::exchange(this->state, new_state);
  if (former == LinkState::kCut) {
    this->fillers.clear();
    this->server.resumeAccepting();
  }
  switch (new_state) {
    case LinkState::kOpen:
      for (QTcpSocket* client : this->Clients()) {
        auto* target = client->findChild<QTcpSocket*>(kTarget);
        this->OnClientBytes(client, target);
        this->OnTargetBytes(client, target);
      }
      break;
    case LinkState::kCut:
      this->server.pauseAccepting();
      for (int i = 0; i < 2 * kBacklog; ++i) {
        this->fillers.push_back(std::make_unique<QTcpSocket>());
        this->fillers.back()->connectToHost(QHostAddress::LocalHost,
                                            this->server.serverPort());
      }
      break;
    case LinkState::kMute:
      for (QTcpSocket* client : this->Clients()) {
        client->setProperty(kIsDead, true);
      }
      break;
    case LinkState::kBusy:
    case LinkState::kReset:
      for (QTcpSocket* client : this->Clients()) {
        Reset(client);
      }
      break;
  }
}

std::vector<QTcpSocket*> NetworkLink::Clients() const {
  const auto found = this->server.findChildren<QTcpSocket*>(
      QString(), Qt::FindDirectChildrenOnly);
  return {found.begin(), found.end()};
}

void NetworkLink::Accept() {
  while (QTcpSocket* client = this->server.nextPendingConnection()) {
    if (this->state == LinkState::kReset) {
      Reset(client);
      client->deleteLater();
      continue;
    }
    client->setProperty(kIsDead, this->state == LinkState::kMute);
    client->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    auto* target = new QTcpSocket(client);
    target->setObjectName(kTarget);
    QObject::connect(target, &QTcpSocket::connected, target, [target] {
      target->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    });
    const auto forward = [this, client, target] {
      this->OnClientBytes(client, target);
    };
    QObject::connect(client, &QTcpSocket::readyRead, target, forward);
    QObject::connect(target, &QTcpSocket::connected, client, forward);
    QObject::connect(
        target, &QTcpSocket::readyRead, client,
        [this, client, target] { this->OnTargetBytes(client, target); });
    QObject::connect(target, &QTcpSocket::errorOccurred, client,
                     [client] { client->abort(); });
    QObject::connect(client, &QTcpSocket::disconnected, client,
                     &QObject::deleteLater);
    target->connectToHost(
        QHostAddress(QString::fromStdString(this->target_address)),
        this->target_port);
  }
}

void NetworkLink::OnClientBytes(QTcpSocket* client, QTcpSocket* target) {
  if (!client->isOpen()) {
    return;
  }
  if (client->property(kIsDead).toBool()) {
    client->readAll();
    return;
  }
  if (this->state == LinkState::kBusy && client->bytesAvailable() > 0) {
    client->readAll();
    client->write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}");
  } else if (this->state == LinkState::kOpen &&
             target->state() == QAbstractSocket::ConnectedState) {
    target->write(client->readAll());
  }
}

void NetworkLink::OnTargetBytes(QTcpSocket* client, QTcpSocket* target) {
  if (!client->isOpen() || !target->isOpen()) {
    return;
  }
  if (client->property(kIsDead).toBool()) {
    target->readAll();
  } else if (this->state == LinkState::kOpen && this->bandwidth != nullptr) {
    this->bandwidth->Pass(client, target->readAll());
  } else if (this->state == LinkState::kOpen) {
    client->write(target->readAll());
  }
}

}  // namespace hemlockdoor::soak
