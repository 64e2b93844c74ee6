// SIGTERM, SIGINT and SIGHUP as events of the Qt event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

#include "modules/core/core.h"

namespace hemlockdoor::cli {

/// Turns SIGTERM and SIGINT into calls on this thread's event loop. The
/// signals stay blocked for the whole process, so a further one can neither
/// kill the process nor interrupt a system call; it is one more call.
class ShutdownSignals {
 public:
  /// Blocks the signals and ignores SIGPIPE. Call before any other thread is
  /// started, since threads inherit the mask. `on_signal` gets the number of
  /// signals received so far, from 1. With `on_reload`, SIGHUP is taken as
  /// well and calls it.
  static core::Expected<std::unique_ptr<ShutdownSignals>> Create(
      std::function<void(int count)> on_signal,
      std::function<void()> on_reload = {});

  ~ShutdownSignals();
  ShutdownSignals(const ShutdownSignals&) = delete;
  ShutdownSignals& operator=(const ShutdownSignals&) = delete;

 private:
  ShutdownSignals(int signal_descriptor,
                  std::function<void(int)> on_signal,
                  std::function<void()> on_reload);
  void ReadSignals();

  int descriptor;
  int received = 0;
  std::function<void(int)> handler;
  std::function<void()> reload;
  QSocketNotifier notifier;
};

}  // namespace hemlockdoor::cli
