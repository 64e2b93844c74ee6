#include "modules/wire/server/connected_socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace hemlockdoor::wire {

namespace {

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

ConnectedSocket::ConnectedSocket(int connected_descriptor)
    : descriptor(connected_descriptor),
      reads(new QSocketNotifier(connected_descriptor, QSocketNotifier::Read)),
      writes(
          new QSocketNotifier(connected_descriptor, QSocketNotifier::Write)) {
  this->reads->setEnabled(false);
  this->writes->setEnabled(false);
  ::fcntl(this->descriptor, F_SETFL,
          ::fcntl(this->descriptor, F_GETFL) | O_NONBLOCK);
  const int enabled = 1;
  ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
}

ConnectedSocket::~ConnectedSocket() {
  this->Close();
}

void ConnectedSocket::Start(Signal readable, Signal writable) {
  QSocketNotifier* read_notifier = this->reads.get();
  QObject::connect(read_notifier, &QSocketNotifier::activated, read_notifier,
                   [read_notifier, signal = std::move(readable)] {
                     // The notifier is level-triggered and would fire
                     // continuously until the owner reads. Read() enables it
                     // again.
                     read_notifier->setEnabled(false);
                     signal();
                   });
  QObject::connect(this->writes.get(), &QSocketNotifier::activated,
                   this->writes.get(), [this, signal = std::move(writable)] {
                     this->writes->setEnabled(false);
                     signal();
                   });
  this->reads->setEnabled(true);
}

ConnectedSocket::Transfer ConnectedSocket::Read(char* target,
                                                std::size_t max_bytes) {
  if (this->descriptor < 0) {
    return {0, true};
  }
  const ssize_t count = ::recv(this->descriptor, target, max_bytes, 0);
  if (count > 0) {
    return {static_cast<std::size_t>(count), false};
  }
  if (count < 0 && WouldBlock()) {
    this->reads->setEnabled(true);
    return {0, false};
  }
  return {0, true};
}

ConnectedSocket::Transfer ConnectedSocket::Write(const char* source,
                                                 std::size_t count) {
  if (this->descriptor < 0) {
    return {0, true};
  }
  const ssize_t written =
      ::send(this->descriptor, source, count, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (written < 0 && !WouldBlock()) {
    return {0, true};
  }
  const std::size_t taken = written < 0 ? 0 : static_cast<std::size_t>(written);
  if (taken < count) {
    this->writes->setEnabled(true);
  }
  return {taken, false};
}

void ConnectedSocket::ShutDownWriting() {
  ::shutdown(this->descriptor, SHUT_WR);
}

void ConnectedSocket::Close() {
  if (this->descriptor < 0) {
    return;
  }
  this->reads->setEnabled(false);
  this->writes->setEnabled(false);
  this->reads->disconnect();
  this->writes->disconnect();
  ::close(this->descriptor);
  this->descriptor = -1;
}

std::string ConnectedSocket::PeerAddress() const {
  sockaddr_storage address = {};
  socklen_t length = sizeof(address);
  char text[INET6_ADDRSTRLEN] = "";
  if (::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                    &length) != 0) {
    return text;
  }
  if (address.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    ::inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
  } else if (address.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
  }
  return text;
}

}  // namespace hemlockdoor::wire
