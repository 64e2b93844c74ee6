#include "modules/wire/client/http_stream.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <utility>

#include "modules/wire/client/network_request.h"

namespace hemlockdoor::wire {

/// Connection of a stream. Close() deletes the object through the event loop,
/// because a callback may destroy the stream.
class HttpStream::Backend : public QObject {
 public:
  Backend(OnData data_callback, OnEnd end_callback)
      : on_data(std::move(data_callback)), on_end(std::move(end_callback)) {
    this->manager.setProxy(QNetworkProxy::NoProxy);
    this->first_data_timer.setSingleShot(true);
    QObject::connect(&this->first_data_timer, &QTimer::timeout, this,
                     [this] { this->OnFirstDataTimeout(); });
  }

  void Open(const HttpCall& call) {
    this->reply = this->manager.sendCustomRequest(
        detail::ToNetworkRequest(call), detail::MethodName(call.method),
        QByteArray::fromStdString(call.body));
    QObject::connect(this->reply, &QNetworkReply::readyRead, this,
                     [this] { this->OnReadable(); });
    QObject::connect(this->reply, &QNetworkReply::finished, this,
                     [this] { this->OnFinished(); });
    this->first_data_timer.start(
        static_cast<int>(call.timeout.InMilliseconds()));
  }

  void Close() {
    this->closed = true;
    this->first_data_timer.stop();
    this->reply->disconnect(this);
    this->reply->abort();
    this->deleteLater();
  }

 private:
  int Status() const {
    return this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute)
        .toInt();
  }

  void OnReadable() {
    this->first_data_timer.stop();
    if (this->Status() == http_status::kOk) {
      this->on_data(this->reply->readAll().toStdString());
    }
  }

  void OnFirstDataTimeout() {
    this->End(core::Error{
        core::ErrorCode::kTimeout,
        "no response data from " +
            this->reply->url().authority().toStdString() + " within " +
            std::to_string(this->first_data_timer.interval()) + " ms",
        ""});
  }

  void OnFinished() {
    this->End(core::Error{
        core::ErrorCode::kUnavailable,
        "stream from " + this->reply->url().authority().toStdString() +
            " ended with status " + std::to_string(this->Status()) + ": " +
            this->reply->errorString().toStdString(),
        ""});
  }

  void End(core::Error reason) {
    if (this->closed || this->ended) {
      return;
    }
    this->ended = true;
    this->first_data_timer.stop();
    this->on_end(std::move(reason));
  }

  QNetworkAccessManager manager;
  QTimer first_data_timer;
  QNetworkReply* reply = nullptr;
  OnData on_data;
  OnEnd on_end;
  bool closed = false;
  bool ended = false;
};

HttpStream::HttpStream(const HttpCall& call, OnData on_data, OnEnd on_end)
    : backend(new Backend(std::move(on_data), std::move(on_end))) {
  this->backend->Open(call);
}

HttpStream::~HttpStream() {
  this->backend->Close();
}

}  // namespace hemlockdoor::wire
