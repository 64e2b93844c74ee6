#include "review/support/http.h"

#include <sys/socket.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <cstdlib>
#include <set>
#include <stdexcept>
#include <utility>

namespace hemlockdoor::review {

namespace {

const char* const kHeadEnd = "\r\n\r\n";

/// Makes the next close of the socket a reset.
void ResetOnClose(QTcpSocket* socket) {
  const linger option{1, 0};
  setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
             SO_LINGER, &option, sizeof(option));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(tolower(c)); });
  return text;
}

/// Reads the header fields of a head into `headers`.
void ReadHeaders(const std::string& head,
                 std::map<std::string, std::string>& headers) {
  std::size_t line = head.find("\r\n");
  while (line != std::string::npos) {
    const std::size_t begin = line + 2;
    line = head.find("\r\n", begin);
    const std::string text = head.substr(begin, line - begin);
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = text.find_first_not_of(' ', colon + 1);
    headers[Lower(text.substr(0, colon))] =
        value == std::string::npos ? "" : text.substr(value);
  }
}

std::size_t LengthIn(const std::map<std::string, std::string>& headers) {
  const auto found = headers.find("content-length");
  return found == headers.end() ? 0 : std::stoul(found->second);
}

/// Takes the first complete request from `input`.
bool TakeRequest(std::string& input, Request& request) {
  const std::size_t end = input.find(kHeadEnd);
  if (end == std::string::npos) {
    return false;
  }
  const std::string head = input.substr(0, end);
  request = Request();
  ReadHeaders(head, request.headers);
  const std::size_t total = end + 4 + LengthIn(request.headers);
  if (input.size() < total) {
    return false;
  }
  const std::size_t first = head.find(' ');
  const std::size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  const std::string target = head.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
  request.body = input.substr(end + 4, total - end - 4);
  input.erase(0, total);
  return true;
}

}  // namespace

std::int64_t NowMs() {
  static QElapsedTimer timer = [] {
    QElapsedTimer started;
    started.start();
    return started;
  }();
  return timer.elapsed();
}

void Later(QObject* context, int delay_ms, std::function<void()> work) {
  auto* timer = new QTimer(context);
  timer->setSingleShot(true);
  QObject::connect(timer, &QTimer::timeout, context,
                   [timer, run = std::move(work)] {
                     timer->deleteLater();
                     run();
                   });
  timer->start(delay_ms);
}

bool RunUntil(const std::function<bool()>& condition, std::int64_t limit_ms) {
  constexpr int kStepMs = 5;
  const std::int64_t end = NowMs() + limit_ms;
  while (!condition()) {
    if (NowMs() >= end) {
      return false;
    }
    QCoreApplication::processEvents(
        QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, kStepMs);
  }
  return true;
}

void Run(std::int64_t length_ms) {
  RunUntil([] { return false; }, length_ms);
}

void Reply::Send(int status, const std::string& body) const {
  if (!this->socket) {
    return;
  }
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) +
      " .\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + kHeadEnd + body;
  this->socket->write(text.data(), static_cast<qint64>(text.size()));
  this->socket->setProperty("busy", false);
  // The next request may already have been read.
  QTcpSocket* open = this->socket;
  Later(open, 0, [open] { Q_EMIT open->readyRead(); });
}

void Reply::Reset() const {
  if (this->socket) {
    ResetOnClose(this->socket);
    this->socket->abort();
  }
}

Listener::Listener(std::string listen_address,
                   std::uint16_t listen_port,
                   Handler request_handler)
    : address(std::move(listen_address)),
      port(listen_port),
      handler(std::move(request_handler)) {
  QObject::connect(&this->server, &QTcpServer::newConnection, this, [this] {
    while (QTcpSocket* socket = this->server.nextPendingConnection()) {
      auto input = std::make_shared<std::string>();
      QObject::connect(
          socket, &QTcpSocket::readyRead, this,
          [this, socket, input] { this->OnBytes(socket, *input); });
      QObject::connect(socket, &QTcpSocket::disconnected, socket,
                       &QObject::deleteLater);
    }
  });
  if (!this->server.listen(QHostAddress(QString::fromStdString(this->address)),
                           this->port)) {
    throw std::runtime_error("cannot listen on " + this->address + ":" +
                             std::to_string(this->port));
  }
}

Listener::~Listener() {
  this->Close();
}

void Listener::Close() {
  this->server.close();
  for (QTcpSocket* socket : this->server.findChildren<QTcpSocket*>()) {
    ResetOnClose(socket);
    socket->abort();
  }
}

void Listener::OnBytes(QTcpSocket* socket, std::string& input) {
  input += socket->readAll().toStdString();
  Request request;
  if (!socket->property("busy").toBool() && TakeRequest(input, request)) {
    socket->setProperty("busy", true);
    this->handler(request, Reply(socket));
  }
}

void SendCall(QObject* context,
              const std::string& address,
              std::uint16_t port,
              const Request& request,
              int timeout_ms,
              std::function<void(int status, std::string body)> done) {
  auto* socket = new QTcpSocket(context);
  auto input = std::make_shared<std::string>();
  auto finish = std::make_shared<std::function<void(int, std::string)>>(
      [socket, done = std::move(done), ended = false](
          int status, std::string body) mutable {
        if (!std::exchange(ended, true)) {
          socket->abort();
          socket->deleteLater();
          done(status, std::move(body));
        }
      });
  QObject::connect(socket, &QTcpSocket::connected, socket, [socket, request] {
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!request.headers.contains("Host")) {
      text += "Host: stand-in\r\n";
    }
    for (const auto& [name, value] : request.headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(request.body.size()) + kHeadEnd + request.body;
    socket->write(text.data(), static_cast<qint64>(text.size()));
  });
  QObject::connect(socket, &QTcpSocket::readyRead, socket,
                   [socket, input, finish] {
                     *input += socket->readAll().toStdString();
                     const std::size_t end = input->find(kHeadEnd);
                     if (end == std::string::npos) {
                       return;
                     }
                     std::map<std::string, std::string> headers;
                     ReadHeaders(input->substr(0, end), headers);
                     const std::size_t total = end + 4 + LengthIn(headers);
                     if (input->size() >= total) {
                       constexpr std::size_t kStatusAt = 9;
                       (*finish)(std::stoi(input->substr(kStatusAt, 3)),
                                 input->substr(end + 4));
                     }
                   });
  const auto fail = [finish] { (*finish)(kNoAnswer, ""); };
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket, fail);
  QObject::connect(socket, &QTcpSocket::disconnected, socket, fail);
  Later(socket, timeout_ms, fail);
  socket->connectToHost(QString::fromStdString(address), port);
}

std::uint16_t FreePort() {
  // Below the range of ports that connections use, so that none takes it.
  constexpr int kFirst = 20000;
  constexpr int kCount = 10000;
  static std::set<int> used;
  static bool seeded = false;
  if (!std::exchange(seeded, true)) {
    std::srand(static_cast<unsigned>(QCoreApplication::applicationPid()));
  }
  while (true) {
    const int port = kFirst + std::rand() % kCount;
    QTcpServer probe;
    if (used.insert(port).second &&
        probe.listen(QHostAddress(QHostAddress::AnyIPv4),
                     static_cast<std::uint16_t>(port))) {
      return static_cast<std::uint16_t>(port);
    }
  }
}

}  // namespace hemlockdoor::review
