// HTTP side of the store stand-in.
#pragma once

#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/store/key_space.h"

namespace hemlockdoor::standin {

/// Faults that tests ask for on `POST /control`.
struct StandinFaults {
  /// Closes the connection of each call, unanswered and without effect.
  bool down = false;
  int delay_ms = 0;
  /// So many transactions take effect and are not answered.
  int lose_next_answers = 0;
  /// So many calls are answered with text that is not JSON.
  int malformed_next_answers = 0;
  /// So many calls take effect and get half of their answer.
  int truncate_next_answers = 0;
};

/// Serves the calls of the etcd v3 JSON gateway that hemlockdoor uses.
class StandinServer {
 public:
  /// Listens on loopback; false when the port is taken.
  bool Listen(std::uint16_t port);
  std::uint16_t Port() const { return this->listener.serverPort(); }

 private:
  struct Request {
    std::string method;
    std::string path;
    std::string body;
  };
  struct Watcher {
    QPointer<QTcpSocket> socket;
    std::string first;
    std::string end;
    std::int64_t next = 0;
  };

  void OnConnection();
  void OnReadable(QTcpSocket* socket);
  void Serve(QTcpSocket* socket, const Request& request);
  void ServeCall(QTcpSocket* socket, const Request& request);
  void ServeControl(QTcpSocket* socket, const Request& request);
  nlohmann::json Call(const Request& request);
  void OpenWatch(QTcpSocket* socket, const nlohmann::json& request);
  void FeedWatchers();
  void CloseWatchers();
  void Answer(QTcpSocket* socket, int status, std::string body);
  void Count(const std::string& path);

  QTcpServer listener;
  QTimer lease_timer;
  KeySpace space;
  StandinFaults faults;
  std::vector<Watcher> watchers;
  nlohmann::json counts = {{"range", 0},
                           {"txn", 0},
                           {"grant", 0},
                           {"keepalive", 0},
                           {"watch", 0}};
};

}  // namespace hemlockdoor::standin
