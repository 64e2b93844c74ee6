// A thread with a Qt event loop for one duty.
#pragma once

#include <QCoreApplication>
#include <QEvent>
#include <QObject>
#include <QSemaphore>
#include <QString>
#include <QThread>
#include <functional>
#include <memory>
#include <utility>

namespace hemlockdoor::agent {

/// Runs one duty on a thread of its own with a Qt event loop. `Duty` must have
/// `void Close()`, which ends its timers, sockets and calls and runs on that
/// thread. The duty object is destroyed with the `DutyThread`, after its thread
/// has ended, so that other duties may push to its inbox until then.
template <typename Duty>
class DutyThread {
 public:
  DutyThread() = default;
  ~DutyThread() {
    this->Close();
    this->Join();
  }
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// Starts the thread, creates the duty on it with `make`, and waits until
  /// `make` has returned. `make` may return null when it fails.
  template <typename Make>
  void Start(const char* name, Make make) {
    this->thread.setObjectName(QString::fromLatin1(name));
    this->runner.moveToThread(&this->thread);
    this->thread.start();
    this->RunAndWait([this, &make] { this->duty = make(); });
  }

  /// Runs `function` on the thread and waits until it returns. Must not be
  /// called on that thread.
  template <typename Function>
  void RunAndWait(Function function) {
    QSemaphore finished;
    QCoreApplication::postEvent(&this->runner,
                                new FunctionEvent([&function, &finished] {
                                  function();
                                  finished.release();
                                }));
    finished.acquire();
  }

  /// Closes the duty and waits until that is done; the duty object remains.
  /// Later calls have no effect.
  void Close() {
    if (this->thread.isRunning() && this->duty && !this->closed) {
      this->closed = true;
      this->RunAndWait([this] { this->duty->Close(); });
    }
  }

  /// Ends the event loop and waits for the thread to end.
  void Join() {
    this->thread.quit();
    this->thread.wait();
  }

  /// Returns the duty; null before `Start` or when `make` failed.
  Duty* Get() { return this->duty.get(); }

 private:
  /// Carries a function to run on the thread.
  class FunctionEvent : public QEvent {
   public:
    explicit FunctionEvent(std::function<void()> event_function)
        : QEvent(QEvent::User), function(std::move(event_function)) {}
    std::function<void()> function;
  };
  /// Runs the functions of `FunctionEvent`s on the thread that it belongs to.
  class Runner : public QObject {
   public:
    bool event(QEvent* event) override {
      if (event->type() != QEvent::User) {
        return QObject::event(event);
      }
      static_cast<FunctionEvent*>(event)->function();
      return true;
    }
  };

  QThread thread;
  Runner runner;
  std::unique_ptr<Duty> duty;
  bool closed = false;
};

}  // namespace hemlockdoor::agent
