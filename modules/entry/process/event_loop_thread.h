// A thread with a Qt event loop.
#pragma once

#include <QThread>
#include <functional>
#include <memory>

namespace hemlockdoor::entry {

/// A thread that runs a Qt event loop from construction until `Stop`. Objects
/// that belong to the loop are created, used and destroyed through
/// `RunAndWait`.
class EventLoopThread {
 public:
  explicit EventLoopThread(const char* name);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// Runs `work` on the thread and blocks until it ends. Only for starting and
  /// stopping the process; hangs when the event loop has ended.
  void RunAndWait(std::function<void()> work);
  /// Ends the event loop and waits until the thread has ended. May be called
  /// again.
  void Stop();

 private:
  class Runner;

  QThread thread;
  std::unique_ptr<Runner> runner;
};

}  // namespace hemlockdoor::entry
