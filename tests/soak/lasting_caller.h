// A caller that keeps its connection open.
#pragma once

#include <QObject>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <string>

#include "review/support/http.h"

namespace hemlockdoor::soak {

/// Sends requests one after the other on one connection, which it uses until
/// the other end closes it.
class LastingCaller : public QObject {
 public:
  using Done = std::function<void(int status, std::string body)>;

  LastingCaller(std::string address, std::uint16_t port);
  /// Does not call the `done` of a request that is awaited.
  ~LastingCaller() override;
  LastingCaller(const LastingCaller&) = delete;
  LastingCaller& operator=(const LastingCaller&) = delete;

  /// Sends a request, unless the answer to the former one is awaited. `done`
  /// gets the status, or `review::kNoAnswer`.
  void Send(const review::Request& request, Done done);

 private:
  void OnBytes();
  void End(int status, const std::string& body);

  std::string address;
  std::uint16_t port;
  QTcpSocket socket;
  std::string input;
  Done pending;
  std::uint64_t sent = 0;
};

}  // namespace hemlockdoor::soak
