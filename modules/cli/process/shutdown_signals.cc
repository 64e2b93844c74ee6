#include "modules/cli/process/shutdown_signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <string>
#include <utility>

namespace hemlockdoor::cli {

core::Expected<std::unique_ptr<ShutdownSignals>> ShutdownSignals::Create(
    std::function<void(int count)> on_signal,
    std::function<void()> on_reload) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (on_reload) {
    sigaddset(&signals, SIGHUP);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A reader of our log that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor < 0) {
    return core::MakeError(
        core::ErrorCode::kInternal,
        std::string("cannot receive signals: ") + std::strerror(errno));
  }
  return std::unique_ptr<ShutdownSignals>(new ShutdownSignals(
      descriptor, std::move(on_signal), std::move(on_reload)));
}

ShutdownSignals::ShutdownSignals(int signal_descriptor,
                                 std::function<void(int)> on_signal,
                                 std::function<void()> on_reload)
    : descriptor(signal_descriptor),
      handler(std::move(on_signal)),
      reload(std::move(on_reload)),
      notifier(signal_descriptor, QSocketNotifier::Read) {
  QObject::connect(&this->notifier, &QSocketNotifier::activated,
                   [this] { this->ReadSignals(); });
}

ShutdownSignals::~ShutdownSignals() {
  this->notifier.setEnabled(false);
  close(this->descriptor);
}

void ShutdownSignals::ReadSignals() {
  signalfd_siginfo info = {};
  while (read(this->descriptor, &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    if (info.ssi_signo == SIGHUP) {
      this->reload();
      continue;
    }
    ++this->received;
    this->handler(this->received);
  }
}

}  // namespace hemlockdoor::cli
