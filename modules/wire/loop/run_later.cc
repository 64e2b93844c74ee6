#include "modules/wire/loop/run_later.h"

#include <QTimer>
#include <utility>

namespace hemlockdoor::wire {

void RunLater(QObject* context,
              core::Duration delay,
              std::function<void()> work) {
  auto* timer = new QTimer(context);
  timer->setSingleShot(true);
  QObject::connect(timer, &QTimer::timeout, context,
                   [timer, run = std::move(work)] {
                     timer->deleteLater();
                     run();
                   });
  timer->start(static_cast<int>(delay.InMilliseconds()));
}

}  // namespace hemlockdoor::wire
