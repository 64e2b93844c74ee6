// Test program: an upstream that can be told to misbehave.
#include <sys/socket.h>
#include <unistd.h>

#include <QCommandLineParser>
#include <QCoreApplication>
#include <QSocketNotifier>
#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "standins/upstream/upstream_standin.h"

namespace {

std::array<int, 2> signal_sockets = {-1, -1};

void OnSignal(int /*number*/) {
  const char byte = 1;
  // Nothing can be done in a signal handler when the write fails.
  [[maybe_unused]] const ssize_t written =
      ::write(signal_sockets[0], &byte, sizeof(byte));
}

bool WritePortFile(const QString& path, std::uint16_t port) {
  const std::string temporary = path.toStdString() + ".tmp";
  std::ofstream(temporary) << port << "\n";
  return std::rename(temporary.c_str(), path.toStdString().c_str()) == 0;
}

void AddOptions(QCommandLineParser& parser) {
  parser.addHelpOption();
  const std::array<std::array<const char*, 3>, 12> rows = {{
      {"port", "Port to listen on; 0: any.", "0"},
      {"port-file", "File to write the port to.", ""},
      {"agent", "ADDRESS:PORT of the agent.", ""},
      {"agent-port-file", "File that will hold the port of the agent.", ""},
      {"slots", "Slots to announce.", "8"},
      {"connections", "Connections to announce.", "64"},
      {"accelerators", "Accelerators to announce.", "8"},
      {"accelerators-per-group", "Size of a group of adjacent ones.", "0"},
      {"data-centre", "Data centre to announce.", "dc1"},
      {"rack", "Rack to announce.", "rack1"},
      {"services", "Services to announce, comma-separated.", "echo"},
      {"log", "File that gets a line for each start and end.", ""},
  }};
  for (const auto& [name, description, fallback] : rows) {
    parser.addOption({name, description, name, fallback});
  }
}

hemlockdoor::model::WorkerShape ReadShape(const QCommandLineParser& parser) {
  constexpr int kCores = 64;
  constexpr std::int64_t kMemoryBytes = std::int64_t{256} << 30;
  hemlockdoor::model::WorkerShape shape;
  shape.slots = parser.value("slots").toInt();
  shape.connections = parser.value("connections").toInt();
  shape.accelerators = parser.value("accelerators").toInt();
  shape.accelerators_per_group = parser.value("accelerators-per-group").toInt();
  shape.cores = kCores;
  shape.memory_bytes = kMemoryBytes;
  shape.data_centre = hemlockdoor::core::DataCentreId(
      parser.value("data-centre").toStdString());
  shape.rack = hemlockdoor::core::RackId(parser.value("rack").toStdString());
  for (const QString& service :
       parser.value("services").split(',', Qt::SkipEmptyParts)) {
    shape.services.emplace_back(service.toStdString());
  }
  return shape;
}

}  // namespace

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  AddOptions(parser);
  parser.process(application);
  const std::string agent_port_file =
      parser.value("agent-port-file").toStdString();
  const auto agent = agent_port_file.empty()
                         ? hemlockdoor::wire::Endpoint::Parse(
                               parser.value("agent").toStdString())
                         : hemlockdoor::wire::Endpoint{"127.0.0.1", 0};
  if (!agent) {
    std::fprintf(stderr, "upstream_standin: --agent: %s\n",
                 agent.error().message.c_str());
    return 2;
  }
  hemlockdoor::standin::UpstreamOptions options;
  options.port = static_cast<std::uint16_t>(parser.value("port").toUInt());
  options.agent = *agent;
  options.agent_port_file = agent_port_file;
  options.shape = ReadShape(parser);
  options.log_file = parser.value("log").toStdString();
  auto standin =
      hemlockdoor::standin::UpstreamStandin::Create(std::move(options));
  if (!standin) {
    std::fprintf(stderr, "upstream_standin: %s\n",
                 standin.error().message.c_str());
    return 1;
  }
  if (const QString path = parser.value("port-file");
      !path.isEmpty() && !WritePortFile(path, (*standin)->Port())) {
    std::fprintf(stderr, "upstream_standin: cannot write the port file\n");
    return 1;
  }
  if (::socketpair(AF_UNIX, SOCK_STREAM, 0, signal_sockets.data()) != 0) {
    return 1;
  }
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  QSocketNotifier notifier(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
    notifier.setEnabled(false);
    (*standin)->Withdraw([] { QCoreApplication::quit(); });
  });
  return QCoreApplication::exec();
}
