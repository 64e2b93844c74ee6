// Small HTTP server and client of the review's stand-ins. They can end a
// connection without an answer, which a sound library does not offer.
#pragma once

#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hemlockdoor::review {

/// Milliseconds on the steady clock since the start of this process.
std::int64_t NowMs();

/// Runs `work` once after `delay_ms`, unless `context` is destroyed first.
void Later(QObject* context, int delay_ms, std::function<void()> work);

/// Runs the event loop for `length_ms`.
void Run(std::int64_t length_ms);

/// Runs the event loop until `condition` holds; false if it does not in time.
bool RunUntil(const std::function<bool()>& condition, std::int64_t limit_ms);

/// A received request.
struct Request {
  std::string method;
  std::string path;
  std::string query;
  /// By name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Where a request is answered. Copies answer the same request.
class Reply {
 public:
  explicit Reply(QTcpSocket* connection) : socket(connection) {}
  void Send(int status, const std::string& body) const;
  /// Resets the connection without an answer.
  void Reset() const;

 private:
  QPointer<QTcpSocket> socket;
};

/// Serves HTTP/1.1 on one address. Requests on a connection are handled one
/// after the other.
class Listener : public QObject {
 public:
  using Handler = std::function<void(const Request&, const Reply&)>;
  Listener(std::string listen_address,
           std::uint16_t listen_port,
           Handler request_handler);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Stops listening and resets all connections, as at the end of a process.
  void Close();

 private:
  void OnBytes(QTcpSocket* socket, std::string& input);

  std::string address;
  std::uint16_t port;
  Handler handler;
  QTcpServer server;
};

/// Returned in place of a status when there was no answer.
constexpr int kNoAnswer = 0;

/// Sends one request on a connection of its own; `done` gets the status.
void SendCall(QObject* context,
              const std::string& address,
              std::uint16_t port,
              const Request& request,
              int timeout_ms,
              std::function<void(int status, std::string body)> done);

/// Returns a port that is free on all of loopback at the moment.
std::uint16_t FreePort();

}  // namespace hemlockdoor::review
