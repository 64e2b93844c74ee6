// Waiting on the event loop, for tests.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <functional>

namespace hemlockdoor::wire::testing {

/// Runs the event loop of this thread until `condition` holds. Returns false if
/// it does not within `limit_ms` milliseconds.
inline bool WaitFor(const std::function<bool()>& condition,
                    int limit_ms = 10'000) {
  constexpr int kStepMs = 5;
  QElapsedTimer timer;
  timer.start();
  while (!condition()) {
    if (timer.elapsed() > limit_ms) {
      return false;
    }
    QCoreApplication::processEvents(
        QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, kStepMs);
  }
  return true;
}

}  // namespace hemlockdoor::wire::testing
