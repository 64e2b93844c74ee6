// One thread with a Qt event loop for one duty.
#pragma once

#include <QThread>
#include <functional>
#include <memory>

namespace hemlockdoor::entry {

/// A running thread. Objects of the duty are made and used on it.
class EventLoopThread {
 public:
  explicit EventLoopThread(const char* name);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// Runs `work` on the thread and waits for its end; for start and stop only.
  void RunAndWait(std::function<void()> work);
  /// Ends the event loop and waits for the thread.
  void Stop();

 private:
  class Runner;

  QThread thread;
  std::unique_ptr<Runner> runner;
};

}  // namespace hemlockdoor::entry
