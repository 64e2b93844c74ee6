// A thread with an event loop that owns one duty.
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

/// Makes a duty on a thread of its own and runs its event loop there. `Duty`
/// has `void Close()`, which ends its timers, sockets and calls on its thread;
/// the object itself is destroyed once the thread has ended, so that other
/// duties may still push to its inbox until then.
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

  /// Starts the thread and makes the duty there with `make`.
  template <typename Make>
  void Start(const char* name, Make make) {
    this->thread.setObjectName(QString::fromLatin1(name));
    this->runner.moveToThread(&this->thread);
    this->thread.start();
    this->RunAndWait([this, &make] { this->duty = make(); });
  }

  /// Runs `function` on the thread and waits for its end.
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

  /// Ends the duty's activity; the object stays.
  void Close() {
    if (this->thread.isRunning() && this->duty && !this->closed) {
      this->closed = true;
      this->RunAndWait([this] { this->duty->Close(); });
    }
  }

  /// Ends the thread.
  void Join() {
    this->thread.quit();
    this->thread.wait();
  }

  Duty* Get() { return this->duty.get(); }

 private:
  /// A function to be run on the thread.
  class FunctionEvent : public QEvent {
   public:
    explicit FunctionEvent(std::function<void()> event_function)
        : QEvent(QEvent::User), function(std::move(event_function)) {}
    std::function<void()> function;
  };
  /// Runs functions on the thread it lives on.
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
