// Deferred function calls on a Qt event loop.
#pragma once

#include <QObject>
#include <functional>

#include "modules/core/core.h"

namespace hemlockdoor::wire {

/// Runs `work` once on the event loop of `context` after `delay`, unless
/// `context` is destroyed first. Call this on the thread of `context`. Used
/// instead of QTimer::singleShot, which the static analyser reports as a leak.
void RunLater(QObject* context,
              core::Duration delay,
              std::function<void()> work);

}  // namespace hemlockdoor::wire
