// One thread with a Qt event loop for one duty.
#pragma once

#include <QObject>
#include <QString>
#include <QThread>
#include <utility>

namespace hemlockdoor::entry {

/// A running thread. Objects of the duty are made and used on it.
class DutyThread {
 public:
  explicit DutyThread(const char* name) {
    this->thread.setObjectName(QString::fromLatin1(name));
    this->anchor.moveToThread(&this->thread);
    this->thread.start();
  }
  ~DutyThread() { this->Stop(); }
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// Runs `work` on the thread and waits for its end; for start and stop only.
  template <typename Work>
  void RunAndWait(Work work) {
    QMetaObject::invokeMethod(&this->anchor, std::move(work),
                              Qt::BlockingQueuedConnection);
  }
  /// Ends the event loop and waits for the thread.
  void Stop() {
    this->thread.quit();
    this->thread.wait();
  }

 private:
  QThread thread;
  QObject anchor;
};

}  // namespace hemlockdoor::entry
