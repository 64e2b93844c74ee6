// Sends the state machine's HTTP calls, with a bounded number in flight.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/core/commands.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::entry {

/// Outgoing HTTP calls of one thread; all functions and callbacks run on it.
class PeerCaller {
 public:
  using Message = std::variant<CallPeer, SendWork>;
  using OnEnded = std::function<void(CallEnded)>;

  /// `max_exchanges` bounds the exchanges in flight, and so the copies of
  /// payloads that sending needs. Further calls are queued. A call that has
  /// been queued for its whole timeout ends with kResourceExhausted and is not
  /// sent.
  PeerCaller(std::string key, std::size_t max_exchanges, OnEnded done)
      : internal_key(std::move(key)),
        max_in_flight(max_exchanges),
        on_ended(std::move(done)) {}

  void Send(Message message);

 private:
  struct QueuedMessage {
    Message message;
    core::TimePoint queued_at;
  };
  void StartNext();
  void Start(const Message& message);

  std::string internal_key;
  std::size_t max_in_flight;
  OnEnded on_ended;
  std::deque<QueuedMessage> queue;
  std::size_t in_flight = 0;
  wire::HttpClient client;
};

}  // namespace hemlockdoor::entry
