// Bounded message queue whose consumer runs on a Qt event loop.
#pragma once

#include <QCoreApplication>
#include <QEvent>
#include <QObject>
#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include "modules/core/core.h"

namespace hemlockdoor::wire {

/// Passes messages from any thread to a handler on the thread that created the
/// inbox. One wake-up event delivers all queued messages.
template <typename Message>
class Inbox {
 public:
  using Handler = std::function<void(Message)>;

  /// Creates an inbox for `capacity` messages. Call this on the consumer's
  /// thread.
  Inbox(std::size_t capacity, Handler message_handler)
      : ring(capacity), handler(std::move(message_handler)) {}

  /// Queues a message. Returns false, and drops the message, if the inbox is
  /// full. Thread-safe.
  [[nodiscard]] bool TryPush(Message message) {
    if (!this->ring.TryPush(std::move(message))) {
      return false;
    }
    if (!this->wake_pending.exchange(true)) {
      // QMetaObject::invokeMethod with a lambda is not used, because the static
      // analyser reports it as a leak in every caller.
      QCoreApplication::postEvent(&this->waker, new QEvent(QEvent::User));
    }
    return true;
  }

 private:
  /// Receives wake-ups on the consumer's thread.
  class Waker : public QObject {
   public:
    explicit Waker(Inbox& inbox) : owner(inbox) {}
    bool event(QEvent* event) override {
      if (event->type() != QEvent::User) {
        return QObject::event(event);
      }
      this->owner.Drain();
      return true;
    }

   private:
    Inbox& owner;
  };

  void Drain() {
    this->wake_pending.store(false);
    while (std::optional<Message> message = this->ring.TryPop()) {
      this->handler(std::move(*message));
    }
  }

  core::BoundedRing<Message> ring;
  Handler handler;
  std::atomic<bool> wake_pending = false;
  Waker waker{*this};
};

}  // namespace hemlockdoor::wire
