#include "modules/wire/client/http_client.h"

#include <QDir>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "modules/wire/loop/run_later.h"
#include "modules/wire/server/http_server.h"
#include "modules/wire/testing/wait_for.h"

namespace hemlockdoor::wire {

namespace {

using Answer = core::Expected<HttpResponse>;

Answer SendAndWait(HttpClient& client, const HttpCall& call) {
  QEventLoop loop;
  std::optional<Answer> answer;
  client.Send(call, [&](Answer received) {
    answer = std::move(received);
    loop.quit();
  });
  loop.exec();
  return *answer;
}

constexpr std::size_t kLargeBodyBytes = 500'000;

/// A server that answers each request with a body of `kLargeBodyBytes`.
std::unique_ptr<HttpServer> ServeLargeBody() {
  auto server = HttpServer::Listen(
      "127.0.0.1", 0, {}, [](const HttpRequest&, HttpResponder responder) {
        HttpResponse response;
        response.body = std::string(kLargeBodyBytes, 'x');
        responder.Respond(std::move(response));
      });
  BOOST_REQUIRE(server.has_value());
  return std::move(*server);
}

/// A peer that reads each request and closes the connection without answering.
class ClosingPeer {
 public:
  ClosingPeer() {
    this->server.listen(QHostAddress::LocalHost);
    QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
      QTcpSocket* socket = this->server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
        if (socket->readAll().contains("POST")) {
          ++this->requests;
        }
        socket->disconnectFromHost();
      });
    });
  }

  HttpCall Call() const {
    HttpCall call;
    call.endpoint = {"127.0.0.1", this->server.serverPort()};
    call.method = HttpMethod::kPost;
    call.target = "/tasks";
    call.body = "{}";
    return call;
  }

  int requests = 0;

 private:
  QTcpServer server;
};

/// A peer behind a path that is cut without a sign: attempts to connect hang,
/// since the queue of the listener is full, and the kernel repeats them after
/// 1, 3 and 7 seconds.
class PeerBehindAPartition {
 public:
  PeerBehindAPartition() {
    this->server.setListenBacklogSize(kBacklog);
    this->server.listen(QHostAddress::LocalHost);
    QObject::connect(&this->server, &QTcpServer::newConnection, [this] {
      while (QTcpSocket* socket = this->server.nextPendingConnection()) {
        ++this->connections;
        QObject::connect(socket, &QTcpSocket::readyRead, [socket] {
          socket->readAll();
          socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        });
      }
    });
  }

  void Cut() {
    this->server.pauseAccepting();
    for (int i = 0; i < 2 * kBacklog; ++i) {
      this->fillers.push_back(std::make_unique<QTcpSocket>());
      this->fillers.back()->connectToHost(QHostAddress::LocalHost,
                                          this->server.serverPort());
    }
    // Lets the queue fill up.
    constexpr int kFillMs = 50;
    testing::WaitFor([] { return false; }, kFillMs);
  }
  void Repair() {
    this->fillers.clear();
    this->server.resumeAccepting();
  }
  /// Stops answering on the connections that are open.
  void SilenceConnections() {
    for (QTcpSocket* socket : this->server.findChildren<QTcpSocket*>()) {
      socket->disconnect();
    }
  }
  int ConnectionCount() const { return this->connections; }
  HttpCall Call(core::Duration timeout) const {
    HttpCall call;
    call.endpoint = {"127.0.0.1", this->server.serverPort()};
    call.timeout = timeout;
    return call;
  }

 private:
  static constexpr int kBacklog = 4;

  QTcpServer server;
  int connections = 0;
  std::vector<std::unique_ptr<QTcpSocket>> fillers;
};

/// Less than half of the time after which the kernel repeats an attempt to
/// connect.
constexpr core::Duration kShortTimeout = core::Duration::Milliseconds(450);

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a call that waits for an attempt to connect that a former call
// began while the path was cut.
BOOST_AUTO_TEST_CASE(ACallAfterAPartitionDoesNotWaitForAnEarlierAttempt) {
  PeerBehindAPartition peer;
  HttpClient client;
  for (int partition = 0; partition < 3; ++partition) {
    BOOST_TEST_CONTEXT("partition " << partition) {
      BOOST_TEST(SendAndWait(client, peer.Call(kShortTimeout)).has_value());
      peer.Cut();
      // Also the connections from before the partition are silent.
      peer.SilenceConnections();
      // The first one uses an open connection, and the second one connects.
      for (int call = 0; call < 2; ++call) {
        BOOST_TEST(!SendAndWait(client, peer.Call(kShortTimeout)).has_value());
      }
      peer.Repair();
      BOOST_TEST(SendAndWait(client, peer.Call(kShortTimeout)).has_value());
    }
  }
}

// Guards against calls that each use up their time on one of several
// connections that have gone silent together.
BOOST_AUTO_TEST_CASE(OneTimeoutIsEnoughToLeaveSilentConnections) {
  PeerBehindAPartition peer;
  HttpClient client;
  constexpr int kConnections = 5;
  int ended = 0;
  QEventLoop loop;
  for (int i = 0; i < kConnections; ++i) {
    client.Send(peer.Call(kShortTimeout), [&](const Answer& answer) {
      BOOST_TEST(answer.has_value());
      if (++ended == kConnections) {
        loop.quit();
      }
    });
  }
  loop.exec();
  peer.SilenceConnections();
  BOOST_TEST(!SendAndWait(client, peer.Call(kShortTimeout)).has_value());
  BOOST_TEST(SendAndWait(client, peer.Call(kShortTimeout)).has_value());
  BOOST_TEST(SendAndWait(client, peer.Call(kShortTimeout)).has_value());
}

// Guards against connections and threads that pile up while a peer cannot be
// reached.
BOOST_AUTO_TEST_CASE(AnUnreachablePeerUsesFewThreadsAndSockets) {
  const auto count_entries = [](const char* folder) {
    return QDir(folder)
        .entryList(QDir::AllEntries | QDir::System | QDir::NoDotAndDotDot)
        .size();
  };
  PeerBehindAPartition lost;
  HttpClient client;
  BOOST_TEST(SendAndWait(client, lost.Call(kShortTimeout)).has_value());
  lost.Cut();
  lost.SilenceConnections();
  const auto threads = count_entries("/proc/self/task");
  const auto files = count_entries("/proc/self/fd");
  constexpr int kCalls = 20;
  for (int call = 0; call < kCalls; ++call) {
    BOOST_TEST(!SendAndWait(client, lost.Call(core::Duration::Milliseconds(20)))
                    .has_value());
  }
  BOOST_TEST(count_entries("/proc/self/task") <= threads + 3);
  // Each thread has an event loop with up to three descriptors.
  BOOST_TEST(count_entries("/proc/self/fd") <= files + 12);
}

// Guards against a peer that cannot be reached and costs the others their
// connections.
BOOST_AUTO_TEST_CASE(AnUnreachablePeerDoesNotAffectOthers) {
  PeerBehindAPartition lost;
  PeerBehindAPartition sound;
  HttpClient client;
  lost.Cut();
  BOOST_TEST(SendAndWait(client, sound.Call(kShortTimeout)).has_value());
  for (int call = 0; call < 3; ++call) {
    BOOST_TEST(!SendAndWait(client, lost.Call(kShortTimeout)).has_value());
    BOOST_TEST(SendAndWait(client, sound.Call(kShortTimeout)).has_value());
  }
  BOOST_TEST(sound.ConnectionCount() == 1);
}

// Guards against Qt sending a request again after the peer has received it and
// closed the connection. The peer would start the same work several times.
BOOST_AUTO_TEST_CASE(SingleSendPutsTheRequestOnTheWireOnce) {
  ClosingPeer peer;
  HttpClient client;
  HttpCall call = peer.Call();
  call.single_send = true;
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST(peer.requests == 1);
  // The peer may have acted on the request, so the error must not be
  // kUnavailable, which means that the request was not sent.
  BOOST_TEST((answer.error().code == core::ErrorCode::kTimeout));
}

// Documents the behaviour of Qt that makes `single_send` necessary. If Qt stops
// repeating requests, the option can be removed.
BOOST_AUTO_TEST_CASE(QtRepeatsAnOrdinaryPost) {
  ClosingPeer peer;
  HttpClient client;
  const Answer answer = SendAndWait(client, peer.Call());
  BOOST_TEST(!answer.has_value());
  BOOST_TEST(peer.requests > 1);
}

// Guards against a body, status or header that is lost in either direction.
BOOST_AUTO_TEST_CASE(ExchangesBodyStatusAndHeaders) {
  auto server = HttpServer::Listen(
      "127.0.0.1", 0, {}, [](HttpRequest request, HttpResponder responder) {
        HttpResponse response;
        response.status = http_status::kAccepted;
        response.headers.Add("X-Path", request.path);
        response.body = request.body + "|" +
                        request.headers.Find("x-token").value_or("none");
        responder.Respond(response);
      });
  BOOST_REQUIRE(server.has_value());
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", (*server)->Port()};
  call.method = HttpMethod::kPost;
  call.target = "/v1/jobs?x=1";
  call.headers.Add("X-Token", "secret");
  call.body = "hello";
  for (const bool single_send : {false, true}) {
    call.single_send = single_send;
    const Answer answer = SendAndWait(client, call);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == http_status::kAccepted);
    BOOST_TEST(answer->body == "hello|secret");
    BOOST_TEST(answer->headers.Find("X-Path").value() == "/v1/jobs");
  }
}

// Guards against a refused connection that is reported as kTimeout, as if the
// peer might have received the request. The caller could then not be told that
// its work did not run.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsReportedAsUnsent) {
  HttpClient client;
  HttpCall call;
  {
    QTcpServer ended;
    ended.listen(QHostAddress::LocalHost);
    call.endpoint = {"127.0.0.1", ended.serverPort()};
  }
  for (const bool single_send : {false, true}) {
    call.single_send = single_send;
    const Answer answer = SendAndWait(client, call);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().code == core::ErrorCode::kUnavailable));
  }
}

// Guards against a response that exhausts the memory of this process.
BOOST_AUTO_TEST_CASE(ResponseAboveItsLimitIsCutOff) {
  const auto server = ServeLargeBody();
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", server->Port()};
  call.max_response_bytes = kLargeBodyBytes;
  BOOST_TEST(SendAndWait(client, call).has_value());
  call.max_response_bytes = kLargeBodyBytes - 1;
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().code == core::ErrorCode::kTooLarge));
}

// Guards against a large response that is cut off and asked for again for ever
// because a slow link needs longer for it than the limit on silence.
BOOST_AUTO_TEST_CASE(AResponseThatKeepsArrivingOutlastsTheTimeout) {
  constexpr int kPieces = 10;
  constexpr int kPieceMs = 60;
  QTcpServer slow;
  slow.listen(QHostAddress::LocalHost);
  QObject::connect(&slow, &QTcpServer::newConnection, [&slow] {
    QTcpSocket* socket = slow.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, [socket] {
      socket->readAll();
      socket->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
      for (int piece = 0; piece < kPieces; ++piece) {
        RunLater(socket, core::Duration::Milliseconds(piece * kPieceMs),
                 [socket] { socket->write("x"); });
      }
    });
  });
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", slow.serverPort()};
  call.timeout = core::Duration::Milliseconds(4 * kPieceMs);
  BOOST_TEST(!SendAndWait(client, call).has_value());
  call.max_transfer = core::Duration::Milliseconds(2 * kPieces * kPieceMs);
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body == std::string(kPieces, 'x'));
  call.max_transfer = core::Duration::Milliseconds(kPieces * kPieceMs / 2);
  BOOST_TEST(!SendAndWait(client, call).has_value());
}

// Guards against large responses that fill slow links between entries.
BOOST_AUTO_TEST_CASE(LargeResponsesAreCompressedOnTheWay) {
  const auto server = ServeLargeBody();
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", server->Port()};
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body == std::string(kLargeBodyBytes, 'x'));

  for (const std::string encodings : {"gzip, deflate", "gzip", "identity"}) {
    QTcpSocket plain;
    plain.connectToHost(QHostAddress::LocalHost, server->Port());
    plain.write(("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                 "Accept-Encoding: " +
                 encodings + "\r\n\r\n")
                    .c_str());
    std::string received;
    QObject::connect(&plain, &QTcpSocket::readyRead, [&plain, &received] {
      received += plain.readAll().toStdString();
    });
    BOOST_TEST(testing::WaitFor([&plain] {
      return plain.state() == QAbstractSocket::UnconnectedState;
    }));
    const bool is_compressed = encodings == "gzip, deflate";
    BOOST_TEST((received.find("Content-Encoding: deflate") !=
                std::string::npos) == is_compressed);
    BOOST_TEST((received.size() < kLargeBodyBytes / 10) == is_compressed);
  }
}

// Guards against a call that never ends because the peer accepts the connection
// but sends no response.
BOOST_AUTO_TEST_CASE(SilentPeerEndsInTimeout) {
  QTcpServer silent;
  silent.listen(QHostAddress::LocalHost);
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", silent.serverPort()};
  call.timeout = core::Duration::Milliseconds(100);
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().code == core::ErrorCode::kTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::wire
