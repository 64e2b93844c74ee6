// Bounded queue that joins two duty threads.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockdoor::core {

/// A fixed-capacity first-in first-out ring for any number of producers and
/// one consumer. A full ring refuses the message; it never blocks a producer.
template <typename Message>
class BoundedRing {
 public:
  /// Makes a ring for `capacity` messages.
  explicit BoundedRing(std::size_t capacity) : buffer(capacity) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Adds a message; false when the ring is full, and then `message` is lost.
  [[nodiscard]] bool TryPush(Message message) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->buffer.full()) {
      return false;
    }
    this->buffer.push_back(std::move(message));
    return true;
  }

  /// Takes the oldest message, or nothing.
  std::optional<Message> TryPop() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->buffer.empty()) {
      return std::nullopt;
    }
    std::optional<Message> message(std::move(this->buffer.front()));
    this->buffer.pop_front();
    return message;
  }

  /// Messages waiting now.
  std::size_t Count() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->buffer.size();
  }

 private:
  mutable std::mutex mutex;
  boost::circular_buffer<Message> buffer;
};

}  // namespace hemlockdoor::core
