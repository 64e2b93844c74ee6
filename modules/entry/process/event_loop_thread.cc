#include "modules/entry/process/event_loop_thread.h"

#include <QCoreApplication>
#include <QEvent>
#include <future>
#include <utility>

namespace hemlockdoor::entry {

namespace {

/// Carries a function to the thread of the receiving object.
class WorkEvent : public QEvent {
 public:
  WorkEvent(std::function<void()> event_work, std::promise<void> event_done)
      : QEvent(QEvent::User),
        work(std::move(event_work)),
        done(std::move(event_done)) {}

  void Run() {
    this->work();
    this->done.set_value();
  }

 private:
  std::function<void()> work;
  std::promise<void> done;
};

}  // namespace

/// Runs the work of each event that it receives.
class EventLoopThread::Runner : public QObject {
 protected:
  void customEvent(QEvent* event) override {
    static_cast<WorkEvent*>(event)->Run();
  }
};

EventLoopThread::EventLoopThread(const char* name)
    : runner(std::make_unique<Runner>()) {
  this->thread.setObjectName(QString::fromLatin1(name));
  this->runner->moveToThread(&this->thread);
  this->thread.start();
}

EventLoopThread::~EventLoopThread() {
  this->Stop();
}

void EventLoopThread::RunAndWait(std::function<void()> work) {
  std::promise<void> done;
  const std::future<void> ended = done.get_future();
  QCoreApplication::postEvent(this->runner.get(),
                              new WorkEvent(std::move(work), std::move(done)));
  ended.wait();
}

void EventLoopThread::Stop() {
  this->thread.quit();
  this->thread.wait();
}

}  // namespace hemlockdoor::entry
