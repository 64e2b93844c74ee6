// Stand-in for the platform's key-value service, for tests and quick starts.
#include <sys/signalfd.h>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QSocketNotifier>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include "standins/store/standin_server.h"

namespace {

/// Writes the port under a temporary name first, so that a reader never sees
/// an empty file.
bool WritePortFile(const std::string& path, std::uint16_t port) {
  const std::string temporary = path + ".tmp";
  std::ofstream out(temporary);
  out << port << "\n";
  out.close();
  std::error_code failure;
  std::filesystem::rename(temporary, path, failure);
  return out.good() && !failure;
}

/// Blocks SIGTERM and SIGINT; the descriptor becomes readable instead. Called
/// before any thread starts, since threads inherit the mask.
int BlockShutdownSignals() {
  sigset_t shutdown_signals;
  sigemptyset(&shutdown_signals);
  sigaddset(&shutdown_signals, SIGTERM);
  sigaddset(&shutdown_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &shutdown_signals, nullptr);
  return signalfd(-1, &shutdown_signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

}  // namespace

int main(int argument_count, char** arguments) {
  const int shutdown_descriptor = BlockShutdownSignals();
  QCoreApplication application(argument_count, arguments);
  CLI::App options("Stand-in for an etcd v3 JSON gateway");
  std::uint16_t port = 0;
  std::string port_file;
  options.add_option("--port", port, "port on 127.0.0.1; 0: any");
  options.add_option("--port-file", port_file, "file that gets the port");
  CLI11_PARSE(options, argument_count, arguments);
  hemlockdoor::standin::StandinServer server;
  if (!server.Listen(port)) {
    std::fprintf(stderr, "store_standin: cannot listen on port %u\n",
                 unsigned{port});
    return 1;
  }
  if (!port_file.empty() && !WritePortFile(port_file, server.Port())) {
    std::fprintf(stderr, "store_standin: cannot write %s\n", port_file.c_str());
    return 1;
  }
  std::printf("store_standin listens on 127.0.0.1:%u\n",
              unsigned{server.Port()});
  std::fflush(stdout);
  QSocketNotifier shutdown(shutdown_descriptor, QSocketNotifier::Read);
  QObject::connect(&shutdown, &QSocketNotifier::activated, &application,
                   &QCoreApplication::quit);
  return QCoreApplication::exec();
}
