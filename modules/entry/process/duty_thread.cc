#include "modules/entry/process/duty_thread.h"

#include <QMetaObject>

namespace hemlockdoor::entry {

DutyThread::DutyThread(const char* name) {
  this->thread.setObjectName(QString::fromLatin1(name));
  this->anchor.moveToThread(&this->thread);
  this->thread.start();
}

DutyThread::~DutyThread() {
  this->Stop();
}

void DutyThread::RunAndWait(const std::function<void()>& work) {
  QMetaObject::invokeMethod(&this->anchor, work, Qt::BlockingQueuedConnection);
}

void DutyThread::Stop() {
  this->thread.quit();
  this->thread.wait();
}

}  // namespace hemlockdoor::entry
