#include "modules/wire/server/http_server.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <utility>

namespace hemlockdoor::wire {

namespace {

HttpMethod ToMethod(QHttpServerRequest::Method method) {
  switch (method) {
    case QHttpServerRequest::Method::Get:
      return HttpMethod::kGet;
    case QHttpServerRequest::Method::Put:
      return HttpMethod::kPut;
    case QHttpServerRequest::Method::Post:
      return HttpMethod::kPost;
    case QHttpServerRequest::Method::Delete:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kOther;
  }
}

HttpRequest ToRequest(const QHttpServerRequest& source) {
  HttpRequest request;
  request.method = ToMethod(source.method());
  request.path = source.url().path().toStdString();
  request.query = source.url().query().toStdString();
  for (const auto& [name, value] : source.headers()) {
    request.headers.Add(name.toStdString(), value.toStdString());
  }
  request.body = source.body().toStdString();
  request.remote_address = source.remoteAddress().toString().toStdString();
  return request;
}

/// Accepts connections within the limits. Counts the unread bytes of each
/// socket before the HTTP server sees them, since that server takes a body of
/// any size whole.
class LimitedTcpServer : public QTcpServer {
 public:
  explicit LimitedTcpServer(HttpServerLimits server_limits)
      : limits(server_limits) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    if (!socket->setSocketDescriptor(descriptor)) {
      delete socket;
      return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const std::size_t max_request_bytes =
        this->limits.max_body_bytes + this->limits.max_header_bytes;
    QObject::connect(socket, &QTcpSocket::readyRead, socket,
                     [socket, max_request_bytes] {
                       RefuseWhenTooLarge(socket, max_request_bytes);
                     });
    QObject::connect(socket, &QTcpSocket::disconnected, socket,
                     &QObject::deleteLater);
    this->addPendingConnection(socket);
    Q_EMIT this->newConnection();
  }

 private:
  static void RefuseWhenTooLarge(QTcpSocket* socket, std::size_t max_bytes) {
    if (static_cast<std::size_t>(socket->bytesAvailable()) <= max_bytes) {
      return;
    }
    socket->disconnect(SIGNAL(readyRead()));
    socket->write(
        "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n");
    socket->disconnectFromHost();
  }

  HttpServerLimits limits;
};

}  // namespace

struct HttpResponder::State {
  QPointer<QTcpSocket> socket;
  QHttpServerResponder responder;
  bool answered = false;
};

HttpResponder::HttpResponder(std::shared_ptr<State> shared_state)
    : state(std::move(shared_state)) {}

bool HttpResponder::IsOpen() const {
  return !this->state->answered && !this->state->socket.isNull() &&
         this->state->socket->state() == QAbstractSocket::ConnectedState;
}

void HttpResponder::Respond(const HttpResponse& response) const {
  if (!this->IsOpen()) {
    return;
  }
  this->state->answered = true;
  QHttpServerResponder& out = this->state->responder;
  out.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(response.status));
  out.writeHeader("Content-Type",
                  QByteArray::fromStdString(response.content_type));
  out.writeHeader("Content-Length",
                  QByteArray::number(qulonglong{response.body.size()}));
  for (const HttpHeader& field : response.headers.All()) {
    out.writeHeader(QByteArray::fromStdString(field.name),
                    QByteArray::fromStdString(field.value));
  }
  out.writeBody(response.body.data(),
                static_cast<qint64>(response.body.size()));
}

class HttpServer::Backend : public QAbstractHttpServer {
 public:
  Backend(HttpServerLimits limits, Handler request_handler)
      : listener(limits), handler(std::move(request_handler)) {}

  LimitedTcpServer listener;

  bool BindTo(const QHostAddress& address, std::uint16_t port) {
    if (!this->listener.listen(address, port)) {
      return false;
    }
    this->bind(&this->listener);
    // bind() makes the server object the owner; the listener is a member.
    this->listener.setParent(nullptr);
    return true;
  }

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override {
    auto state = std::make_shared<HttpResponder::State>(
        HttpResponder::State{socket, makeResponder(request, socket)});
    this->handler(ToRequest(request), HttpResponder(std::move(state)));
    return true;
  }

  void missingHandler(const QHttpServerRequest& /*request*/,
                      QTcpSocket* socket) override {
    socket->disconnectFromHost();
  }

 private:
  Handler handler;
};

HttpServer::HttpServer(std::unique_ptr<Backend> server_backend)
    : backend(std::move(server_backend)) {}

HttpServer::~HttpServer() = default;

core::Expected<std::unique_ptr<HttpServer>> HttpServer::Listen(
    const std::string& address,
    std::uint16_t port,
    HttpServerLimits limits,
    Handler handler) {
  auto backend = std::make_unique<Backend>(limits, std::move(handler));
  const QHostAddress host(QString::fromStdString(address));
  if (!backend->BindTo(host, port)) {
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "cannot listen on " + address + ":" +
                               std::to_string(port) + ": " +
                               backend->listener.errorString().toStdString());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(backend)));
}

std::uint16_t HttpServer::Port() const {
  return this->backend->listener.serverPort();
}

void HttpServer::StopListening() {
  this->backend->listener.close();
}

std::size_t HttpServer::ConnectionCount() const {
  return static_cast<std::size_t>(
      this->backend->listener.findChildren<QTcpSocket*>().size());
}

}  // namespace hemlockdoor::wire
