#include "tests/soak/lasting_caller.h"

#include <utility>

namespace hemlockdoor::soak {

namespace {

constexpr int kAnswerLimitMs = 3000;
constexpr const char* kHeadEnd = "\r\n\r\n";
constexpr const char* kLengthField = "ontent-Length: ";

}  // namespace

LastingCaller::LastingCaller(std::string caller_address,
                             std::uint16_t caller_port)
    : address(std::move(caller_address)), port(caller_port) {
  QObject::connect(&this->socket, &QTcpSocket::readyRead, this,
                   [this] { this->OnBytes(); });
  const auto lose = [this] { this->End(review::kNoAnswer, ""); };
  QObject::connect(&this->socket, &QTcpSocket::errorOccurred, this, lose);
  QObject::connect(&this->socket, &QTcpSocket::disconnected, this, lose);
}

LastingCaller::~LastingCaller() {
  // The socket reports its end when it is destroyed, after `pending`.
  this->socket.disconnect(this);
}

void LastingCaller::Send(const review::Request& request, Done done) {
  if (this->pending) {
    return;
  }
  this->pending = std::move(done);
  if (this->socket.state() == QAbstractSocket::UnconnectedState) {
    this->input.clear();
    this->socket.connectToHost(QString::fromStdString(this->address),
                               this->port);
  }
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  text += std::string("Content-Length: 0") + kHeadEnd;
  // Qt keeps what is written before the connection is open.
  this->socket.write(text.data(), static_cast<qint64>(text.size()));
  const std::uint64_t number = ++this->sent;
  review::Later(this, kAnswerLimitMs, [this, number] {
    if (this->pending && this->sent == number) {
      this->socket.abort();
      this->End(review::kNoAnswer, "");
    }
  });
}

void LastingCaller::OnBytes() {
  this->input += this->socket.readAll().toStdString();
  const std::size_t end = this->input.find(kHeadEnd);
  const std::size_t field = this->input.find(kLengthField);
  if (end == std::string::npos || field == std::string::npos || field > end) {
    return;
  }
  const std::size_t length =
      std::stoul(this->input.substr(field + std::string(kLengthField).size()));
  const std::size_t body = end + std::string(kHeadEnd).size();
  if (this->input.size() < body + length) {
    return;
  }
  constexpr std::size_t kStatusAt = 9;
  const int status = std::stoi(this->input.substr(kStatusAt, 3));
  const std::string text = this->input.substr(body, length);
  this->input.erase(0, body + length);
  this->End(status, text);
}

void LastingCaller::End(int status, const std::string& body) {
  if (Done done = std::exchange(this->pending, nullptr)) {
    done(status, body);
  }
}

}  // namespace hemlockdoor::soak
