#include "modules/wire/client/http_client.h"

#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "modules/wire/server/http_server.h"

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

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

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
  auto server = HttpServer::Listen(
      "127.0.0.1", 0, {}, [](const HttpRequest&, HttpResponder responder) {
        HttpResponse response;
        response.body.assign(500'000, 'x');
        responder.Respond(std::move(response));
      });
  BOOST_REQUIRE(server.has_value());
  HttpClient client;
  HttpCall call;
  call.endpoint = {"127.0.0.1", (*server)->Port()};
  call.max_response_bytes = 500'000;
  BOOST_TEST(SendAndWait(client, call).has_value());
  call.max_response_bytes = 499'999;
  const Answer answer = SendAndWait(client, call);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().code == core::ErrorCode::kTooLarge));
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
