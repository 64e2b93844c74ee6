// Bounded queue that passes messages between threads.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockdoor::core {

/// A fixed-capacity FIFO queue for any number of producer threads and one
/// consumer thread. A push to a full queue fails instead of blocking the
/// producer. All functions are thread-safe; a mutex guards the buffer.
template <typename Message>
class BoundedRing {
 public:
  /// Creates an empty queue that holds at most `capacity` messages.
  explicit BoundedRing(std::size_t capacity) : buffer(capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Appends `message` and returns true. Returns false and discards `message`
  /// when the queue is full.
  [[nodiscard]] bool TryPush(Message message) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->buffer.full()) {
      return false;
    }
    this->buffer.push_back(std::move(message));
    return true;
  }

  /// Removes and returns the oldest message; returns nothing when the queue is
  /// empty.
  std::optional<Message> TryPop() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->buffer.empty()) {
      return std::nullopt;
    }
    std::optional<Message> message(std::move(this->buffer.front()));
    this->buffer.pop_front();
    return message;
  }

  /// Returns the number of queued messages.
  std::size_t Count() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->buffer.size();
  }

 private:
  mutable std::mutex mutex;
  boost::circular_buffer<Message> buffer;
};

}  // namespace hemlockdoor::core
