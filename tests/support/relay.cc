#include "tests/support/relay.h"

#include "modules/wire/wire.h"

namespace hemlockdoor::test_support {

Relay::Relay() {
  this->server.listen(QHostAddress::LocalHost);
  QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                   [this] { this->Accept(); });
}

std::string Relay::Endpoint() const {
  return "127.0.0.1:" + std::to_string(this->Port());
}

void Relay::Accept() {
  while (QTcpSocket* client = this->server.nextPendingConnection()) {
    if (this->is_cut || this->target_port == 0) {
      client->abort();
      client->deleteLater();
      continue;
    }
    auto* target = new QTcpSocket(client);
    target->setObjectName("target");
    client->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(target, &QTcpSocket::connected, target, [target] {
      target->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    });
    QObject::connect(
        client, &QTcpSocket::readyRead, target,
        [this, client, target] { this->ForwardRequests(client, target); });
    QObject::connect(
        target, &QTcpSocket::connected, client,
        [this, client, target] { this->ForwardRequests(client, target); });
    QObject::connect(
        target, &QTcpSocket::readyRead, client,
        [this, client, target] { this->ForwardAnswers(client, target); });
    QObject::connect(target, &QTcpSocket::disconnected, client,
                     &QTcpSocket::disconnectFromHost);
    QObject::connect(target, &QTcpSocket::errorOccurred, client,
                     [client] { client->abort(); });
    QObject::connect(client, &QTcpSocket::disconnected, client,
                     &QObject::deleteLater);
    target->connectToHost(QHostAddress::LocalHost, this->target_port);
  }
}

void Relay::ForwardRequests(QTcpSocket* client, QTcpSocket* target) {
  const bool connected = target->state() == QAbstractSocket::ConnectedState;
  if (this->hold_requests || !connected || client->bytesAvailable() == 0) {
    return;
  }
  const QByteArray bytes = client->readAll();
  this->bytes_passed += static_cast<std::uint64_t>(bytes.size());
  ++this->requests_passed;
  target->write(bytes);
}

void Relay::ForwardAnswers(QTcpSocket* client, QTcpSocket* target) {
  if (this->hold_answers || target->bytesAvailable() == 0) {
    return;
  }
  const QByteArray bytes = target->readAll();
  if (this->answers_to_lose > 0) {
    --this->answers_to_lose;
    ++this->answers_lost;
    client->abort();
    return;
  }
  this->bytes_passed += static_cast<std::uint64_t>(bytes.size());
  if (this->answer_delay == core::Duration()) {
    client->write(bytes);
    return;
  }
  wire::RunLater(client, this->answer_delay,
                 [client, bytes] { client->write(bytes); });
}

void Relay::PassHeldBytes() {
  for (QTcpSocket* client : this->server.findChildren<QTcpSocket*>(
           QString(), Qt::FindDirectChildrenOnly)) {
    auto* target = client->findChild<QTcpSocket*>("target");
    if (target != nullptr) {
      this->ForwardRequests(client, target);
      this->ForwardAnswers(client, target);
    }
  }
}

void Relay::HoldRequests(bool hold) {
  this->hold_requests = hold;
  this->PassHeldBytes();
}

void Relay::HoldAnswers(bool hold) {
  this->hold_answers = hold;
  this->PassHeldBytes();
}

void Relay::Cut(bool cut) {
  this->is_cut = cut;
  if (!cut) {
    return;
  }
  for (QTcpSocket* client : this->server.findChildren<QTcpSocket*>(
           QString(), Qt::FindDirectChildrenOnly)) {
    client->abort();
  }
}

}  // namespace hemlockdoor::test_support
