// Resident memory of a process with the HTTP server under hostile load.
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QProcess>
#include <QTcpSocket>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "modules/model/model.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::wire {

namespace {

constexpr std::int64_t kMaxResidentKilobytes = 64 * 1024;
constexpr std::size_t kLargeBytes = 8U * 1024U * 1024U;
constexpr int kLargeClients = 64;

bool RunUntil(const std::function<bool()>& condition, int limit_ms = 60'000) {
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > limit_ms) {
      return false;
    }
    QEventLoop loop;
    RunLater(&loop, core::Duration::Milliseconds(2), [&loop] { loop.quit(); });
    loop.exec();
  }
  return true;
}

/// Holds each body for a while, as an entry does while it forwards it; then
/// answers with it on /echo, and with its length elsewhere.
void HandleSlowly(HttpRequest request, const HttpResponder& responder) {
  auto held = std::make_shared<HttpRequest>(std::move(request));
  RunLater(qApp, core::Duration::Milliseconds(20), [held, responder] {
    HttpResponse response;
    if (held->path == "/json" && !model::ParseJson(held->body)) {
      response.status = http_status::kBadRequest;
    }
    response.body = held->path == "/echo" ? std::move(held->body)
                                          : std::to_string(held->body.size());
    responder.Respond(std::move(response));
  });
}

/// This program again, as a process that serves only.
class ServerProcess {
 public:
  ServerProcess() {
    this->process.start(QCoreApplication::applicationFilePath(),
                        {"--run_test=HttpMemoryServer/Serve"});
    while (this->port == 0 && this->process.waitForReadyRead(10'000)) {
      while (this->process.canReadLine()) {
        const QByteArray line = this->process.readLine();
        if (line.startsWith("port ")) {
          this->port = line.mid(5).trimmed().toUShort();
        }
      }
    }
  }
  ~ServerProcess() {
    this->process.kill();
    this->process.waitForFinished();
  }

  /// A field of /proc/PID/status, such as VmHWM, in kilobytes.
  std::int64_t Kilobytes(const QByteArray& name) const {
    QFile file("/proc/" + QString::number(this->process.processId()) +
               "/status");
    if (!file.open(QIODevice::ReadOnly)) {
      return -1;
    }
    for (const QByteArray& line : file.readAll().split('\n')) {
      if (line.startsWith(name + ":")) {
        return line.mid(name.size() + 1).trimmed().split(' ').value(0).toLong();
      }
    }
    return -1;
  }

  QProcess process;
  std::uint16_t port = 0;
};

/// Sends one large request and counts what comes back.
class LargeClient {
 public:
  LargeClient(std::uint16_t port, const char* path) {
    QObject::connect(&this->socket, &QTcpSocket::connected, [this, path] {
      this->socket.write("POST " + QByteArray(path) +
                         " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                         QByteArray::number(qulonglong{kLargeBytes}) +
                         "\r\n\r\n");
      this->socket.write(QByteArray(kLargeBytes, 'x'));
    });
    QObject::connect(&this->socket, &QTcpSocket::readyRead, [this] {
      const QByteArray part = this->socket.readAll();
      this->head += this->received < 400 ? part.left(400) : QByteArray();
      this->received += static_cast<std::size_t>(part.size());
    });
    this->socket.connectToHost("127.0.0.1", port);
  }

  int Status() const { return this->head.mid(9, 3).toInt(); }

  QTcpSocket socket;
  QByteArray head;
  std::size_t received = 0;
};

void Report(const char* what, const ServerProcess& server) {
  std::printf("%s: VmRSS %lld kB, VmHWM %lld kB\n", what,
              static_cast<long long>(server.Kilobytes("VmRSS")),
              static_cast<long long>(server.Kilobytes("VmHWM")));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpMemoryServer)

// The serving side of the tests below, which start it by name.
BOOST_AUTO_TEST_CASE(Serve, *boost::unit_test::disabled()) {
  auto server = HttpServer::Listen("127.0.0.1", 0, {}, &HandleSlowly);
  BOOST_REQUIRE(server.has_value());
  std::printf("port %u\n", unsigned{(*server)->Port()});
  std::fflush(stdout);
  QCoreApplication::exec();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpMemoryTest)

// Guards against a process that outgrows its 64 MB while 64 clients send 8 MB
// each at once, and against requests that are dropped without an answer.
BOOST_AUTO_TEST_CASE(ManyLargeBodiesAtOnceStayWithinTheBudget) {
  const ServerProcess server;
  BOOST_REQUIRE(server.port != 0);
  Report("idle", server);
  for (const char* path : {"/count", "/echo"}) {
    std::vector<std::unique_ptr<LargeClient>> clients;
    for (int i = 0; i < kLargeClients; ++i) {
      clients.push_back(std::make_unique<LargeClient>(server.port, path));
    }
    int done = 0;
    int refused = 0;
    BOOST_TEST(RunUntil([&] {
      done = 0;
      refused = 0;
      for (const auto& client : clients) {
        const bool whole =
            std::string(path) != "/echo" || client->received > kLargeBytes;
        done += client->Status() == http_status::kOk && whole;
        refused += client->Status() == http_status::kUnavailable &&
                   client->head.contains("Retry-After");
      }
      return done + refused == kLargeClients;
    }));
    std::printf("%s: %d whole answers, %d refused\n", path, done, refused);
    BOOST_TEST(done > 0);
    Report(path, server);
  }
  BOOST_TEST(server.Kilobytes("VmHWM") < kMaxResidentKilobytes);
}

// Guards against a stack overflow on deeply nested input.
BOOST_AUTO_TEST_CASE(DeeplyNestedBodyIsRefused) {
  const ServerProcess server;
  BOOST_REQUIRE(server.port != 0);
  HttpClient client;
  for (const char* part : {"[", "{\"a\":"}) {
    HttpCall call;
    call.endpoint = {"127.0.0.1", server.port};
    call.method = HttpMethod::kPost;
    call.target = "/json";
    for (int depth = 0; depth < 300'000; ++depth) {
      call.body += part;
    }
    std::optional<core::Expected<HttpResponse>> answer;
    client.Send(call, [&](auto response) { answer = std::move(response); });
    BOOST_TEST(RunUntil([&] { return answer.has_value(); }));
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST((*answer)->status == http_status::kBadRequest);
  }
}

// Guards against memory that grows with idle connections, unfinished headers
// and bodies that never end, and against a server that they keep busy.
BOOST_AUTO_TEST_CASE(IdleAndSlowConnectionsStayWithinTheBudget) {
  const ServerProcess server;
  BOOST_REQUIRE(server.port != 0);
  const std::string starts[] = {
      "", "POST /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(15'000, 'a'),
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\nabc",
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\nabc"};
  std::vector<std::unique_ptr<QTcpSocket>> sockets;
  for (int i = 0; i < 3000; ++i) {
    sockets.push_back(std::make_unique<QTcpSocket>());
    sockets.back()->connectToHost("127.0.0.1", server.port);
    if (sockets.back()->waitForConnected(1000)) {
      sockets.back()->write(starts[i % 4].data(),
                            static_cast<qint64>(starts[i % 4].size()));
      sockets.back()->flush();
    }
  }
  RunUntil([] { return false; }, 500);
  Report("3000 connections", server);
  BOOST_TEST(server.Kilobytes("VmHWM") < kMaxResidentKilobytes);
  sockets.clear();
  QTcpSocket socket;
  BOOST_TEST(RunUntil([&] {
    socket.connectToHost("127.0.0.1", server.port);
    socket.waitForConnected();
    socket.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    socket.waitForReadyRead(1000);
    const bool served = socket.readAll().startsWith("HTTP/1.1 200");
    socket.abort();
    return served;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::wire
