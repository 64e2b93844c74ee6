// TCP forwarder between two processes under test, which can cut, delay and
// lose what passes.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <string>

#include "modules/core/core.h"

namespace hemlockdoor::test_support {

/// Listens on a port that the kernel chooses and forwards to a target that may
/// change (a restarted process). Lives on the test's event loop.
class Relay {
 public:
  Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// "127.0.0.1:PORT" of this relay.
  std::string Endpoint() const;
  std::uint16_t Port() const { return this->server.serverPort(); }
  /// Port on 127.0.0.1 that new connections go to; 0 refuses them.
  void SetTarget(std::uint16_t port) { this->target_port = port; }
  /// Holds back all bytes towards the target (a cut in one direction only).
  void HoldRequests(bool hold);
  /// Holds back all bytes from the target.
  void HoldAnswers(bool hold);
  /// Closes open connections and refuses new ones while true.
  void Cut(bool cut);
  /// Delays each chunk from the target.
  void SetAnswerDelay(core::Duration delay) { this->answer_delay = delay; }
  /// Drops the next `count` answers after the target has sent them.
  void LoseNextAnswers(int count) { this->answers_to_lose = count; }
  /// Answers lost so far.
  int AnswersLost() const { return this->answers_lost; }
  /// Bytes passed in both directions.
  std::uint64_t BytesPassed() const { return this->bytes_passed; }
  /// Chunks passed from client to target; about one an HTTP request.
  std::uint64_t RequestsPassed() const { return this->requests_passed; }

 private:
  void Accept();
  void ForwardRequests(QTcpSocket* client, QTcpSocket* target);
  void ForwardAnswers(QTcpSocket* client, QTcpSocket* target);
  void PassHeldBytes();

  QTcpServer server;
  std::uint16_t target_port = 0;
  bool hold_requests = false;
  bool hold_answers = false;
  bool is_cut = false;
  core::Duration answer_delay;
  int answers_to_lose = 0;
  int answers_lost = 0;
  std::uint64_t bytes_passed = 0;
  std::uint64_t requests_passed = 0;
};

}  // namespace hemlockdoor::test_support
