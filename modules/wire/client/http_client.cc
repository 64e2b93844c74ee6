#include "modules/wire/client/http_client.h"

#include <QHostAddress>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "modules/wire/client/connection_pool.h"
#include "modules/wire/client/network_request.h"

namespace hemlockdoor::wire {

namespace {

/// A sequential request body. Qt cannot rewind it, and so cannot send the
/// request again.
class SingleReadBody : public QIODevice {
 public:
  SingleReadBody(const std::string& content, QObject* parent)
      : QIODevice(parent), bytes(content) {
    this->open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  bool isSequential() const override { return true; }
  qint64 bytesAvailable() const override {
    return static_cast<qint64>(this->bytes.size() - this->offset) +
           QIODevice::bytesAvailable();
  }
  bool atEnd() const override { return this->offset == this->bytes.size(); }

 protected:
  qint64 readData(char* target, qint64 max_bytes) override {
    const std::size_t left = this->bytes.size() - this->offset;
    if (left == 0) {
      return -1;
    }
    const std::size_t count =
        std::min(left, static_cast<std::size_t>(max_bytes));
    std::memcpy(target, this->bytes.data() + this->offset, count);
    this->offset += count;
    return static_cast<qint64>(count);
  }
  qint64 writeData(const char* /*source*/, qint64 /*count*/) override {
    return -1;
  }

 private:
  std::string bytes;
  std::size_t offset = 0;
};

/// State of an exchange that its QNetworkReply does not record.
struct ExchangeState {
  bool timed_out = false;
  bool too_large = false;
  /// Qt has sent the whole request at least once.
  bool sent = false;
  /// Bytes of the response body until the time limit.
  qint64 received_bytes = 0;
};

/// Returns true if the request certainly did not reach the peer.
bool WasNeverSent(QNetworkReply::NetworkError error,
                  const ExchangeState& exchange) {
  const bool not_connected = error == QNetworkReply::ConnectionRefusedError ||
                             error == QNetworkReply::HostNotFoundError;
  // Qt reconnects when the peer closes the connection before answering. If that
  // second connection is refused, the peer may still have the request.
  return not_connected && !exchange.sent;
}

core::Expected<HttpResponse> ToResponse(QNetworkReply* reply,
                                        const ExchangeState& exchange) {
  const QVariant status =
      reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
  const QNetworkReply::NetworkError error = reply->error();
  if (exchange.too_large) {
    return core::MakeError(core::ErrorCode::kTooLarge,
                           "the response from " +
                               reply->url().authority().toStdString() +
                               " is larger than the call accepts");
  }
  if (exchange.timed_out) {
    const std::string peer = reply->url().authority().toStdString();
    return core::MakeError(
        core::ErrorCode::kTimeout,
        (exchange.sent ? "no complete response from " + peer
                       : "no connection to send the request to " + peer) +
            " within the time limit of the call, " +
            std::to_string(exchange.received_bytes) + " bytes received");
  }
  // Qt error codes from ContentAccessDenied (201) up stand for HTTP statuses,
  // which this client reports as responses.
  const bool transport_error = error != QNetworkReply::NoError &&
                               error < QNetworkReply::ContentAccessDenied;
  if (!status.isValid() || transport_error ||
      error == QNetworkReply::ContentReSendError) {
    return core::MakeError(WasNeverSent(error, exchange)
                               ? core::ErrorCode::kUnavailable
                               : core::ErrorCode::kTimeout,
                           reply->errorString().toStdString());
  }
  HttpResponse response;
  response.status = status.toInt();
  response.body = reply->readAll().toStdString();
  response.content_type = reply->header(QNetworkRequest::ContentTypeHeader)
                              .toString()
                              .toStdString();
  for (const auto& [name, value] : reply->rawHeaderPairs()) {
    response.headers.Add(name.toStdString(), value.toStdString());
  }
  return response;
}

}  // namespace

namespace detail {

QByteArray MethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kDelete:
      return "DELETE";
    case HttpMethod::kOther:
      break;
  }
  return "OPTIONS";
}

QNetworkRequest ToNetworkRequest(const HttpCall& call) {
  const std::string text = "http://" + call.endpoint.ToText() + call.target;
  QNetworkRequest request(QUrl(QString::fromStdString(text)));
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setRawHeader("Content-Type", "application/json");
  for (const HttpHeader& field : call.headers.All()) {
    request.setRawHeader(QByteArray::fromStdString(field.name),
                         QByteArray::fromStdString(field.value));
  }
  if (call.single_send) {
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setHeader(QNetworkRequest::ContentLengthHeader,
                      static_cast<qulonglong>(call.body.size()));
  }
  return request;
}

}  // namespace detail

core::Expected<Endpoint> Endpoint::Parse(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    endpoint.address = text.substr(0, colon);
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(first, last, endpoint.port);
    const QHostAddress host(QString::fromStdString(endpoint.address));
    const bool port_is_valid =
        failure == std::errc() && end == last && endpoint.port != 0;
    if (port_is_valid && !host.isNull()) {
      return endpoint;
    }
  }
  return core::MakeError(
      core::ErrorCode::kInvalidArgument,
      "expected ADDRESS:PORT with an IP address and a port from 1 to 65535, "
      "got \"" +
          text + "\"");
}

std::string Endpoint::ToText() const {
  return this->address + ":" + std::to_string(this->port);
}

class HttpClient::Backend : public QObject {
 public:
  detail::ConnectionPool pool;
  std::uint64_t bytes_moved = 0;
};

HttpClient::HttpClient() : backend(std::make_unique<Backend>()) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::BytesMoved() const {
  return this->backend->bytes_moved;
}

void HttpClient::Send(const HttpCall& call, Done done) {
  Backend* owner = this->backend.get();
  QNetworkRequest request = detail::ToNetworkRequest(call);
  const detail::ConnectionPool::Connections connections =
      owner->pool.Acquire(call.endpoint);
  if (connections.group != 0) {
    // Without TLS, Qt uses this name only to tell connections apart.
    request.setPeerVerifyName(QString::number(connections.group));
  }
  QNetworkReply* reply = nullptr;
  if (call.single_send) {
    auto* body = new SingleReadBody(call.body, owner);
    reply = connections.manager->sendCustomRequest(
        request, detail::MethodName(call.method), body);
    body->setParent(reply);
  } else {
    reply = connections.manager->sendCustomRequest(
        request, detail::MethodName(call.method),
        QByteArray::fromStdString(call.body));
  }
  owner->bytes_moved += call.target.size() + call.body.size();
  auto* timer = new QTimer(reply);
  timer->setSingleShot(true);
  auto exchange = std::make_shared<ExchangeState>();
  QObject::connect(reply, &QNetworkReply::requestSent, owner,
                   [exchange] { exchange->sent = true; });
  const auto max_bytes = static_cast<qint64>(call.max_response_bytes);
  const core::TimePoint transfer_end = core::Clock::Now() + call.max_transfer;
  QObject::connect(
      reply, &QNetworkReply::readyRead, owner,
      [reply, exchange, max_bytes, timer, transfer_end,
       timeout = call.timeout] {
        if (reply->bytesAvailable() > max_bytes) {
          exchange->too_large = true;
          reply->abort();
          return;
        }
        const core::Duration left = transfer_end - core::Clock::Now();
        if (left.InMilliseconds() > timer->remainingTime()) {
          timer->start(
              static_cast<int>(std::min(timeout, left).InMilliseconds()));
        }
      });
  QObject::connect(timer, &QTimer::timeout, reply, [reply, exchange] {
    exchange->timed_out = true;
    exchange->received_bytes = reply->bytesAvailable();
    reply->abort();
  });
  QObject::connect(
      reply, &QNetworkReply::finished, owner,
      [owner, reply, exchange, connections, max_bytes, endpoint = call.endpoint,
       callback = std::move(done)] {
        owner->pool.Release(endpoint, connections,
                            exchange->timed_out
                                ? detail::ConnectionPool::CallEnd::kTimedOut
                                : detail::ConnectionPool::CallEnd::kAnswered);
        // The size of a compressed body is known once it is decoded.
        exchange->too_large =
            exchange->too_large || reply->bytesAvailable() > max_bytes;
        core::Expected<HttpResponse> response = ToResponse(reply, *exchange);
        owner->bytes_moved += response ? response->body.size() : 0;
        reply->deleteLater();
        callback(std::move(response));
      });
  timer->start(static_cast<int>(call.timeout.InMilliseconds()));
}

}  // namespace hemlockdoor::wire
