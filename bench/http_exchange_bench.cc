// Time and CPU of one keep-alive exchange with the HTTP server on loopback.
#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <QCoreApplication>
#include <QTcpSocket>
#include <QThread>
#include <memory>
#include <string>

#include "modules/wire/server/http_server.h"

namespace hemlockdoor::wire {

namespace {

/// A server on a thread of its own, as in the processes.
class ServerThread : public QThread {
 public:
  ServerThread() {
    this->start();
    while (this->port == 0) {
      QThread::msleep(1);
    }
  }
  ~ServerThread() override {
    this->quit();
    this->wait();
  }

  std::atomic<std::uint16_t> port = 0;

 protected:
  void run() override {
    auto server = HttpServer::Listen(
        "127.0.0.1", 0, {}, [](HttpRequest request, HttpResponder responder) {
          HttpResponse response;
          response.body = std::move(request.body);
          responder.Respond(response);
        });
    this->port = (*server)->Port();
    this->exec();
  }
};

/// Sends one request and reads its whole response.
void Exchange(QTcpSocket& socket,
              const QByteArray& request,
              qsizetype body_bytes) {
  constexpr int kWaitMilliseconds = 10'000;
  socket.write(request);
  QByteArray answer;
  qsizetype total = -1;
  while (total < 0 || answer.size() < total) {
    if (!socket.waitForReadyRead(kWaitMilliseconds)) {
      return;
    }
    answer += socket.readAll();
    const qsizetype head_end = answer.indexOf("\r\n\r\n");
    if (head_end >= 0) {
      total = head_end + 4 + body_bytes;
    }
  }
}

void KeepAliveExchange(benchmark::State& state) {
  ServerThread server;
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", server.port);
  socket.waitForConnected();
  socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const auto body_bytes = static_cast<qsizetype>(state.range(0));
  const QByteArray request =
      "POST /v1/jobs HTTP/1.1\r\nHost: 127.0.0.1\r\n"
      "Content-Type: application/json\r\nContent-Length: " +
      QByteArray::number(body_bytes) + "\r\n\r\n" + QByteArray(body_bytes, 'x');
  for ([[maybe_unused]] auto step : state) {
    Exchange(socket, request, body_bytes);
  }
}

BENCHMARK(KeepAliveExchange)
    ->Arg(200)
    ->Arg(8 << 20)
    ->UseRealTime()
    ->MeasureProcessCPUTime()
    ->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace hemlockdoor::wire

int main(int argument_count, char** arguments) {
  QCoreApplication application(argument_count, arguments);
  benchmark::Initialize(&argument_count, arguments);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
