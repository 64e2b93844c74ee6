#include "standins/store/standin_server.h"

#include <QDateTime>
#include <QElapsedTimer>
#include <stdexcept>
#include <utility>

#include "modules/wire/loop/run_later.h"

namespace hemlockdoor::standin {

namespace {

constexpr int kLeaseCheckMilliseconds = 50;

std::int64_t NowMilliseconds() {
  QElapsedTimer timer;
  timer.start();
  return timer.msecsSinceReference();
}

std::string Chunk(const std::string& text) {
  return QByteArray::number(static_cast<qulonglong>(text.size()), 16)
             .toStdString() +
         "\r\n" + text + "\r\n";
}

nlohmann::json ChangeToJson(const Change& change) {
  nlohmann::json event = {{"kv", KeyToJson(change.key, change.stored)}};
  if (change.deleted) {
    event["type"] = "DELETE";
  }
  return event;
}

/// Length of the body that the headers announce.
qsizetype ContentLength(const QByteArray& head) {
  const QByteArray name = "\r\ncontent-length:";
  const qsizetype at = head.toLower().indexOf(name);
  if (at < 0) {
    return 0;
  }
  const qsizetype start = at + name.size();
  return head.mid(start, head.indexOf('\r', start) - start)
      .trimmed()
      .toLongLong();
}

}  // namespace

bool StandinServer::Listen(std::uint16_t port) {
  QObject::connect(&this->listener, &QTcpServer::newConnection, &this->listener,
                   [this] { this->OnConnection(); });
  QObject::connect(&this->lease_timer, &QTimer::timeout, &this->listener,
                   [this] {
                     this->space.EndLeases(NowMilliseconds(), false);
                     this->FeedWatchers();
                   });
  this->lease_timer.start(kLeaseCheckMilliseconds);
  return this->listener.listen(QHostAddress::LocalHost, port);
}

void StandinServer::OnConnection() {
  while (QTcpSocket* socket = this->listener.nextPendingConnection()) {
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                     [this, socket] { this->OnReadable(socket); });
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     &QObject::deleteLater);
  }
}

void StandinServer::OnReadable(QTcpSocket* socket) {
  const QByteArray seen = socket->peek(socket->bytesAvailable());
  const qsizetype head_end = seen.indexOf("\r\n\r\n");
  if (head_end < 0) {
    return;
  }
  const QByteArray head = seen.left(head_end + 2);
  const qsizetype body_start = head_end + 4;
  const qsizetype body_size = ContentLength(head);
  if (seen.size() < body_start + body_size) {
    return;
  }
  socket->skip(body_start + body_size);
  const QList<QByteArray> line = head.left(head.indexOf('\r')).split(' ');
  Request request;
  request.method = line.value(0).toStdString();
  request.path = line.value(1).toStdString();
  request.body = seen.mid(body_start, body_size).toStdString();
  this->Serve(socket, request);
}

void StandinServer::Serve(QTcpSocket* socket, const Request& request) {
  if (request.path.starts_with("/control")) {
    this->ServeControl(socket, request);
    return;
  }
  this->Count(request.path);
  wire::RunLater(socket, core::Duration::Milliseconds(this->faults.delay_ms),
                 [this, socket, request] { this->ServeCall(socket, request); });
}

void StandinServer::ServeCall(QTcpSocket* socket, const Request& request) {
  if (this->faults.down) {
    socket->abort();
    return;
  }
  try {
    if (request.path == "/v3/watch") {
      this->OpenWatch(socket, nlohmann::json::parse(request.body));
      return;
    }
    const std::string body = this->Call(request).dump();
    this->FeedWatchers();
    if (request.path == "/v3/kv/txn" && this->faults.lose_next_answers > 0) {
      --this->faults.lose_next_answers;
      socket->abort();
    } else if (this->faults.malformed_next_answers > 0) {
      --this->faults.malformed_next_answers;
      this->Answer(socket, 200, "{\"header\":[[");
    } else if (this->faults.truncate_next_answers > 0) {
      --this->faults.truncate_next_answers;
      socket->write("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
      socket->write(body.data(), static_cast<qint64>(body.size() / 2));
      socket->disconnectFromHost();
    } else {
      this->Answer(socket, 200, body);
    }
  } catch (const std::out_of_range& missing) {
    this->Answer(
        socket, 404,
        nlohmann::json{{"code", 5}, {"message", missing.what()}}.dump());
  } catch (const std::exception& invalid) {
    this->Answer(
        socket, 400,
        nlohmann::json{{"code", 3}, {"message", invalid.what()}}.dump());
  }
}

nlohmann::json StandinServer::Call(const Request& request) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const std::int64_t now = NowMilliseconds();
  if (request.path == "/v3/kv/range") {
    return this->space.Range(body);
  }
  if (request.path == "/v3/kv/txn") {
    return this->space.Transact(body);
  }
  if (request.path == "/v3/lease/grant") {
    return this->space.GrantLease(body, now);
  }
  if (request.path == "/v3/lease/keepalive") {
    return this->space.KeepAlive(body, now);
  }
  throw std::out_of_range("Not Found");
}

void StandinServer::OpenWatch(QTcpSocket* socket,
                              const nlohmann::json& request) {
  const nlohmann::json& create = request.at("create_request");
  Watcher watcher;
  watcher.socket = socket;
  watcher.first = FromBase64(create.at("key"));
  watcher.end = create.contains("range_end")
                    ? FromBase64(create.at("range_end"))
                    : std::string();
  watcher.next = NumberOf(create, "start_revision");
  nlohmann::json result = {{"header", this->space.Header()}, {"created", true}};
  socket->write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const auto send = [socket](const nlohmann::json& message) {
    const nlohmann::json outer = {{"result", message}};
    socket->write(QByteArray::fromStdString(Chunk(outer.dump() + "\n")));
  };
  send(result);
  if (watcher.next == 0) {
    watcher.next = this->space.Revision() + 1;
  }
  if (watcher.next <= this->space.CompactRevision()) {
    result.erase("created");
    result["canceled"] = true;
    result["compact_revision"] =
        std::to_string(this->space.CompactRevision() + 1);
    send(result);
    return;
  }
  this->watchers.push_back(std::move(watcher));
  this->FeedWatchers();
}

void StandinServer::FeedWatchers() {
  std::erase_if(this->watchers, [](const Watcher& watcher) {
    return watcher.socket.isNull() ||
           watcher.socket->state() != QAbstractSocket::ConnectedState;
  });
  for (Watcher& watcher : this->watchers) {
    const std::vector<Change> changes =
        this->space.ChangesSince(watcher.next, watcher.first, watcher.end);
    watcher.next = std::max(watcher.next, this->space.Revision() + 1);
    if (changes.empty()) {
      continue;
    }
    nlohmann::json events = nlohmann::json::array();
    for (const Change& change : changes) {
      events.push_back(ChangeToJson(change));
    }
    const nlohmann::json message = {
        {"result", {{"header", this->space.Header()}, {"events", events}}}};
    watcher.socket->write(
        QByteArray::fromStdString(Chunk(message.dump() + "\n")));
  }
}

void StandinServer::CloseWatchers() {
  for (const Watcher& watcher : this->watchers) {
    if (!watcher.socket.isNull()) {
      watcher.socket->abort();
    }
  }
  this->watchers.clear();
}

void StandinServer::ServeControl(QTcpSocket* socket, const Request& request) {
  if (request.path == "/control/counts" && request.method == "GET") {
    this->Answer(socket, 200, this->counts.dump());
    return;
  }
  if (request.path != "/control" || request.method != "POST") {
    this->Answer(socket, 404, "{}");
    return;
  }
  const nlohmann::json order =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    this->Answer(socket, 400, "{}");
    return;
  }
  StandinFaults& now = this->faults;
  now.down = order.value("down", now.down);
  now.delay_ms = order.value("delay_ms", now.delay_ms);
  now.lose_next_answers =
      order.value("lose_next_answers", now.lose_next_answers);
  now.malformed_next_answers =
      order.value("malformed_next_answers", now.malformed_next_answers);
  now.truncate_next_answers =
      order.value("truncate_next_answers", now.truncate_next_answers);
  if (order.value("lapse_leases", false)) {
    this->space.EndLeases(NowMilliseconds(), true);
    this->FeedWatchers();
  }
  if (order.value("compact", false)) {
    this->space.Compact();
  }
  if (now.down || order.value("close_watches", false)) {
    this->CloseWatchers();
  }
  this->Answer(socket, 200, "{}");
}

void StandinServer::Answer(QTcpSocket* socket, int status, std::string body) {
  const std::string head = "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
  socket->write(QByteArray::fromStdString(head + body));
}

void StandinServer::Count(const std::string& path) {
  const std::string kind = path.substr(path.rfind('/') + 1);
  if (this->counts.contains(kind)) {
    this->counts[kind] = this->counts[kind].get<int>() + 1;
  }
}

}  // namespace hemlockdoor::standin
