// Deferred work on a Qt event loop.
#pragma once

#include <QObject>
#include <functional>

#include "modules/core/core.h"

namespace hemlockdoor::wire {

/// Runs `work` on this thread's event loop after `delay`, unless `context` is
/// destroyed first. Used instead of QTimer::singleShot, which the static
/// analyser reports as a leak.
void RunLater(QObject* context,
              core::Duration delay,
              std::function<void()> work);

}  // namespace hemlockdoor::wire
