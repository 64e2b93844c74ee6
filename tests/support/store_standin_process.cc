#include "tests/support/store_standin_process.h"

#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QThread>
#include <stdexcept>

namespace hemlockdoor::testing {

StoreStandinProcess::StoreStandinProcess(std::uint16_t fixed_port) {
  constexpr int kStartMilliseconds = 10'000;
  constexpr int kPollMilliseconds = 5;
  const QString port_file = this->folder.filePath("port");
  const QString program = qEnvironmentVariable("HEMLOCKDOOR_BIN", "build");
  this->process.setProcessChannelMode(QProcess::ForwardedErrorChannel);
  this->process.start(
      program + "/store_standin",
      {"--port", QString::number(fixed_port), "--port-file", port_file});
  QElapsedTimer timer;
  timer.start();
  while (!QFile::exists(port_file)) {
    const bool ended = this->process.waitForFinished(kPollMilliseconds);
    if (ended || timer.elapsed() > kStartMilliseconds) {
      throw std::runtime_error("store_standin did not start");
    }
  }
  QFile file(port_file);
  if (file.open(QIODevice::ReadOnly)) {
    this->port = file.readAll().trimmed().toUShort();
  }
}

StoreStandinProcess::~StoreStandinProcess() {
  this->process.kill();
  this->process.waitForFinished();
}

std::string StoreStandinProcess::Exchange(const wire::HttpCall& call) {
  QEventLoop loop;
  std::string body;
  this->client.Send(call, [&](core::Expected<wire::HttpResponse> response) {
    body = response ? response->body : std::string();
    loop.quit();
  });
  loop.exec();
  if (body.empty()) {
    throw std::runtime_error("store_standin did not answer");
  }
  return body;
}

void StoreStandinProcess::Control(const nlohmann::json& order) {
  wire::HttpCall call;
  call.endpoint = this->Endpoint();
  call.method = wire::HttpMethod::kPost;
  call.target = "/control";
  call.body = order.dump();
  this->Exchange(call);
}

nlohmann::json StoreStandinProcess::Counts() {
  wire::HttpCall call;
  call.endpoint = this->Endpoint();
  call.target = "/control/counts";
  return nlohmann::json::parse(this->Exchange(call));
}

}  // namespace hemlockdoor::testing
