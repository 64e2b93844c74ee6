#include "modules/wire/server/http_server.h"

#include <QElapsedTimer>
#include <QEventLoop>
#include <QTcpSocket>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "modules/wire/loop/run_later.h"

namespace hemlockdoor::wire {

namespace {

constexpr int kRunUntilTimeoutMilliseconds = 20'000;

bool RunUntil(const std::function<bool()>& condition,
              int limit_ms = kRunUntilTimeoutMilliseconds) {
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > limit_ms) {
      return false;
    }
    QEventLoop loop;
    RunLater(&loop, core::Duration::Milliseconds(1), [&loop] { loop.quit(); });
    loop.exec();
  }
  return true;
}

/// A client that sends raw bytes and collects the bytes it receives.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) {
    QObject::connect(&this->socket, &QTcpSocket::readyRead, [this] {
      this->received += this->socket.readAll().toStdString();
    });
    this->socket.connectToHost("127.0.0.1", port);
    this->socket.waitForConnected();
    this->socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  }

  void Send(const std::string& bytes) {
    this->socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
  bool IsClosed() const {
    return this->socket.state() == QAbstractSocket::UnconnectedState;
  }
  /// Status of the first response, or 0.
  int Status() const {
    return this->received.starts_with("HTTP/1.1 ")
               ? std::atoi(this->received.c_str() + 9)
               : 0;
  }

  QTcpSocket socket;
  std::string received;
};

std::string Post(const std::string& body, const std::string& fields = "") {
  return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A server that echoes request bodies, or stores the requests unanswered while
/// `keep` is true.
class EchoServer {
 public:
  explicit EchoServer(HttpServerLimits limits = {}) {
    auto made = HttpServer::Listen(
        "127.0.0.1", 0, limits,
        [this](HttpRequest request, HttpResponder responder) {
          ++this->requests;
          if (this->keep) {
            this->kept.emplace_back(std::move(request), responder);
            return;
          }
          HttpResponse response;
          response.body = std::move(request.body);
          responder.Respond(std::move(response));
        });
    this->server = std::move(*made);
  }

  void AnswerKept(std::size_t at, const std::string& body) {
    HttpResponse response;
    response.body = body;
    this->kept[at].second.Respond(response);
  }

  std::unique_ptr<HttpServer> server;
  int requests = 0;
  bool keep = false;
  std::vector<std::pair<HttpRequest, HttpResponder>> kept;
};

HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 200'000;
  limits.max_request_bytes = 400'000;
  limits.max_response_bytes = 400'000;
  limits.small_body_bytes = 1000;
  limits.max_header_bytes = 4096;
  limits.idle_timeout = core::Duration::Milliseconds(300);
  limits.body_wait_timeout = core::Duration::Milliseconds(300);
  return limits;
}

/// Input that the server must refuse, and the status of the response.
struct HostileRow {
  const char* name;
  std::string bytes;
  int status;
};

std::vector<HostileRow> HostileRows() {
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  std::string many_fields;
  for (int i = 0; i < 1000; ++i) {
    many_fields += "X-" + std::to_string(i) + ": 1\r\n";
  }
  return {
      {"garbage", std::string("\x16\x03\x01\xff\0\0GARBAGE\r\n\r\n", 17), 400},
      {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"target is no path", "GET x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {"space before colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400},
      {"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", 400},
      {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
      {"unknown method", "BREW / HTTP/1.1\r\nHost: h\r\n\r\n", 501},
      {"HEAD", "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", 405},
      {"PATCH", "PATCH / HTTP/1.1\r\nHost: h\r\n\r\n", 405},
      {"length and coding",
       start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"coding and length",
       start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
      {"two lengths",
       start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {"negative length", start + "Content-Length: -1\r\n\r\n", 400},
      {"length overflow",
       start + "Content-Length: 99999999999999999999\r\n\r\n", 400},
      {"gzip coding", start + "Transfer-Encoding: gzip\r\n\r\n", 501},
      {"two codings", start + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
      {"unknown expectation", start + "Expect: gold\r\n\r\n", 417},
      {"long request line", "GET /" + std::string(5000, 'a'), 431},
      {"one long field", start + "X: " + std::string(5000, 'a'), 431},
      {"many fields", start + many_fields, 431},
      {"announced body too large", start + "Content-Length: 200001\r\n\r\n",
       413},
      {"chunk too large", chunked + "ffffffff\r\n", 413},
      {"chunks too large together",
       chunked + "186a0\r\n" + std::string(100'000, 'a') + "\r\n186a1\r\n",
       413},
      {"bad chunk size", chunked + "zz\r\nabcdef", 400},
      {"chunk longer than its size", chunked + "1\r\nabcdef\r\n", 400},
      {"long chunk extension", chunked + "1;" + std::string(9000, 'a'), 431},
      {"long trailers", chunked + "0\r\nX: " + std::string(9000, 'a'), 431},
      {"half a head", "POST /x HTTP/1.1\r\nHo", 408},
      {"half a body", start + "Content-Length: 9\r\n\r\nabc", 408},
      {"half a chunk", chunked + "9\r\nabc", 408},
      {"nothing", "", 408},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against hostile input that reaches the handler, blocks the connection,
// crashes the process, or is cut off without a response.
BOOST_AUTO_TEST_CASE(HostileInputIsRefusedAndClosed) {
  EchoServer echo(SmallLimits());
  for (const HostileRow& row : HostileRows()) {
    BOOST_TEST_CONTEXT(row.name) {
      RawClient client(echo.server->Port());
      client.Send(row.bytes);
      BOOST_TEST(RunUntil([&] { return client.IsClosed(); }));
      BOOST_TEST(client.Status() == row.status);
    }
  }
  BOOST_TEST(echo.requests == 0);
  BOOST_TEST(RunUntil([&] { return echo.server->ConnectionCount() == 0; }));
}

// Guards against a result that depends on how the bytes are split, and against
// failing assertions inside Beast's parser.
BOOST_AUTO_TEST_CASE(AnySplitOfTheBytesGivesTheSameResult) {
  EchoServer echo;
  const std::string bytes =
      "POST /a%20b?q=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n"
      "3\r\nabc\r\n5;x=y\r\ndefgh\r\n0\r\nT: 1\r\n\r\n" +
      Post("second");
  for (std::size_t step = 1; step < bytes.size(); step += 1 + step / 4) {
    BOOST_TEST_CONTEXT("step " << step) {
      RawClient client(echo.server->Port());
      for (std::size_t at = 0; at < bytes.size(); at += step) {
        client.Send(bytes.substr(at, step));
        client.socket.flush();
        QEventLoop().processEvents();
      }
      BOOST_TEST(
          RunUntil([&] { return client.received.ends_with("second"); }, 5000));
      BOOST_TEST(client.received.find("abcdefgh") != std::string::npos);
    }
  }
}

// Guards against a crash on arbitrary bytes; the seed is fixed.
BOOST_AUTO_TEST_CASE(MutatedRequestsNeverStopTheServer) {
  EchoServer echo(SmallLimits());
  std::mt19937 random(20'261'204);
  const std::string valid =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: keep-alive\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int round = 0; round < 40; ++round) {
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 20; ++i) {
      std::string bytes = valid + valid;
      for (unsigned changes = 1 + random() % 4; changes > 0; --changes) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 3) {
          case 0:
            bytes[at] = static_cast<char>(random());
            break;
          case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
          default:
            bytes.insert(at, bytes.substr(random() % bytes.size(), 9));
        }
      }
      clients.push_back(std::make_unique<RawClient>(echo.server->Port()));
      clients.back()->Send(bytes);
    }
    RunUntil([] { return false; }, 5);
  }
  RawClient client(echo.server->Port());
  client.Send(Post("alive"));
  BOOST_TEST(RunUntil([&] { return client.received.ends_with("alive"); }));
}

// Guards against pipelined responses in the wrong order, and against a stack
// overflow through one recursion per pipelined request.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  EchoServer echo;
  RawClient client(echo.server->Port());
  constexpr int kRequests = 20'000;
  std::string all;
  for (int i = 0; i < kRequests; ++i) {
    all += Post("<" + std::to_string(i) + ">");
  }
  client.Send(all);
  const std::string last = "<" + std::to_string(kRequests - 1) + ">";
  BOOST_TEST(RunUntil([&] { return client.received.ends_with(last); }));
  std::size_t at = 0;
  for (int i = 0; i < kRequests && at != std::string::npos; ++i) {
    at = client.received.find("<" + std::to_string(i) + ">", at);
  }
  BOOST_TEST(at != std::string::npos);
}

// Guards against handling a second request before the first is answered, and
// against answering the second request through the first one's responder.
BOOST_AUTO_TEST_CASE(NextRequestWaitsForTheAnswer) {
  EchoServer echo;
  echo.keep = true;
  RawClient client(echo.server->Port());
  client.Send(Post("a") + Post("b"));
  BOOST_TEST(RunUntil([&] { return echo.requests == 1; }));
  RunUntil([] { return false; }, 30);
  BOOST_TEST(echo.requests == 1);
  echo.AnswerKept(0, "first");
  BOOST_TEST(RunUntil([&] { return echo.requests == 2; }));
  echo.AnswerKept(0, "stale");
  echo.AnswerKept(1, "second");
  BOOST_TEST(RunUntil([&] { return client.received.ends_with("second"); }));
  BOOST_TEST(client.received.find("stale") == std::string::npos);
}

// Guards against counting a response as delivered when the client disconnected
// while the request was being handled.
BOOST_AUTO_TEST_CASE(ClosedConnectionIsNoticedWhileHandling) {
  EchoServer echo;
  echo.keep = true;
  {
    RawClient client(echo.server->Port());
    client.Send(Post("a"));
    BOOST_TEST(RunUntil([&] { return echo.requests == 1; }));
    BOOST_TEST(echo.kept[0].second.IsOpen());
  }
  BOOST_TEST(RunUntil([&] { return !echo.kept[0].second.IsOpen(); }));
  echo.AnswerKept(0, "late");
  echo.server.reset();
  echo.AnswerKept(0, "later still");
}

// Guards against an unlimited number of connections, in total and from one IP
// address.
BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitsGet503) {
  for (const bool per_client : {false, true}) {
    HttpServerLimits limits;
    (per_client ? limits.max_connections_per_client : limits.max_connections) =
        10;
    EchoServer echo(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 10; ++i) {
      clients.push_back(std::make_unique<RawClient>(echo.server->Port()));
    }
    BOOST_TEST(RunUntil([&] { return echo.server->ConnectionCount() == 10; }));
    RawClient refused(echo.server->Port());
    BOOST_TEST(RunUntil([&] { return refused.IsClosed(); }));
    BOOST_TEST(refused.Status() == http_status::kUnavailable);
    BOOST_TEST(refused.received.find("Retry-After: ") != std::string::npos);
    clients.clear();
    BOOST_TEST(RunUntil([&] { return echo.server->ConnectionCount() == 0; }));
    RawClient admitted(echo.server->Port());
    admitted.Send(Post("in"));
    BOOST_TEST(RunUntil([&] { return admitted.received.ends_with("in"); }));
  }
}

// Guards against buffering large bodies beyond the byte budget, and against a
// share that is never returned to the budget.
BOOST_AUTO_TEST_CASE(LargeBodiesWaitForTheirShare) {
  HttpServerLimits limits = SmallLimits();
  limits.body_wait_timeout = core::Duration::Seconds(10);
  limits.idle_timeout = core::Duration::Seconds(10);
  EchoServer echo(limits);
  echo.keep = true;
  const std::string body(150'000, 'x');
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<RawClient>(echo.server->Port()));
    clients.back()->Send(Post(body));
  }
  for (int answered = 0; answered < 6; answered += 2) {
    BOOST_TEST(RunUntil([&] { return echo.requests == answered + 2; }));
    RunUntil([] { return false; }, 30);
    BOOST_TEST(echo.requests == answered + 2);
    for (auto& [request, responder] : echo.kept) {
      BOOST_TEST(request.body == body);
      responder.Respond({});
    }
    echo.kept.clear();
  }
}

// Guards against a request that waits without limit for its share of the byte
// budget.
BOOST_AUTO_TEST_CASE(BodyThatWaitsTooLongGets503) {
  EchoServer echo(SmallLimits());
  echo.keep = true;
  const std::string body(150'000, 'x');
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<RawClient>(echo.server->Port()));
    clients.back()->Send(Post(body));
    RunUntil([] { return false; }, 20);
  }
  BOOST_TEST(RunUntil([&] { return clients[2]->IsClosed(); }));
  BOOST_TEST(clients[2]->Status() == http_status::kUnavailable);
  BOOST_TEST(clients[2]->received.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(echo.requests == 2);
}

// Guards against a 503 to a request that has had its effect.
BOOST_AUTO_TEST_CASE(AResponseThatDoesNotFitCanKeepItsStatus) {
  EchoServer echo(SmallLimits());
  echo.keep = true;
  RawClient client(echo.server->Port());
  client.Send(Post("a"));
  BOOST_REQUIRE(RunUntil([&] { return echo.requests == 1; }));
  HttpResponse large;
  large.status = http_status::kAccepted;
  large.body.assign(500'000, 'y');
  echo.kept[0].second.RespondWithStatus(large);
  BOOST_TEST(
      RunUntil([&] { return client.Status() == http_status::kAccepted; }));
  BOOST_TEST(client.received.ends_with("\r\n\r\n"));
}

// Guards against buffering responses without limit for clients that do not read
// them.
BOOST_AUTO_TEST_CASE(LargeResponsesAreBounded) {
  HttpServerLimits limits = SmallLimits();
  limits.idle_timeout = core::Duration::Seconds(10);
  limits.max_body_bytes = 16U << 20U;
  limits.max_response_bytes = 16U << 20U;
  EchoServer echo(limits);
  echo.keep = true;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<RawClient>(echo.server->Port()));
    clients.back()->socket.setReadBufferSize(1000);
    clients.back()->Send(Post("a"));
  }
  BOOST_TEST(RunUntil([&] { return echo.requests == 3; }));
  HttpResponse large;
  large.body.assign(16U << 20U, 'y');
  HttpResponse second = large;
  BOOST_TEST(echo.kept[0].second.TryRespond(large));
  BOOST_TEST(!echo.kept[1].second.TryRespond(second));
  BOOST_TEST(second.body.size() == (16U << 20U));
  BOOST_TEST(echo.kept[1].second.IsOpen());
  echo.kept[1].second.Respond(second);
  BOOST_TEST(RunUntil([&] { return clients[1]->Status() == 503; }));
  clients[0].reset();
  BOOST_TEST(
      RunUntil([&] { return echo.server->ConnectionCount() == 1; }, 5000));
  BOOST_TEST(echo.kept[2].second.TryRespond(second));
}

// Guards against a client that waits for 100 Continue, which the server never
// sends.
BOOST_AUTO_TEST_CASE(ContinueIsSentBeforeTheBody) {
  EchoServer echo;
  RawClient client(echo.server->Port());
  const std::string request = Post("body", "Expect: 100-continue\r\n");
  client.Send(request.substr(0, request.size() - 4));
  BOOST_TEST(RunUntil([&] { return client.Status() == 100; }));
  client.Send("body");
  BOOST_TEST(RunUntil([&] { return client.received.ends_with("body"); }));
}

// Guards against a graceful shutdown that interrupts a request in progress, or
// that waits for idle connections.
BOOST_AUTO_TEST_CASE(DrainFinishesOpenRequestsAndClosesIdleConnections) {
  EchoServer echo;
  RawClient idle(echo.server->Port());
  RawClient served(echo.server->Port());
  served.Send(Post("one"));
  BOOST_TEST(RunUntil([&] { return served.received.ends_with("one"); }));
  echo.keep = true;
  RawClient waiting(echo.server->Port());
  waiting.Send(Post("a"));
  RawClient sending(echo.server->Port());
  const std::string split = Post("late body");
  sending.Send(split.substr(0, split.size() - 4));
  BOOST_TEST(RunUntil([&] {
    return echo.requests == 2 && echo.server->ConnectionCount() == 4;
  }));
  RunUntil([] { return false; }, 20);
  bool drained = false;
  echo.server->Drain([&] { drained = true; });
  BOOST_TEST(
      RunUntil([&] { return idle.IsClosed() && served.IsClosed(); }, 1000));
  RawClient refused(echo.server->Port());
  sending.Send(split.substr(split.size() - 4));
  BOOST_TEST(RunUntil([&] { return echo.requests == 3; }));
  BOOST_TEST(!drained);
  echo.AnswerKept(0, "answer");
  echo.AnswerKept(1, "answer");
  BOOST_TEST(RunUntil([&] { return drained; }));
  BOOST_TEST(RunUntil([&] { return sending.IsClosed(); }));
  for (const RawClient* client : {&waiting, &sending}) {
    BOOST_TEST(client->received.ends_with("answer"));
    BOOST_TEST(client->received.find("Connection: close") != std::string::npos);
  }
  BOOST_TEST(refused.received.empty());
}

// Guards against response splitting: a header value with a line break must not
// add a header of its own.
BOOST_AUTO_TEST_CASE(LineBreakInAHeaderValueIsDropped) {
  EchoServer echo;
  echo.keep = true;
  RawClient client(echo.server->Port());
  client.Send(Post("a"));
  BOOST_TEST(RunUntil([&] { return echo.requests == 1; }));
  HttpResponse response;
  response.headers.Add("Location", "/a\r\nX-Forged: 1");
  response.body = "end";
  echo.kept[0].second.Respond(response);
  BOOST_TEST(RunUntil([&] { return client.received.ends_with("end"); }));
  BOOST_TEST(client.received.find("X-Forged") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::wire
