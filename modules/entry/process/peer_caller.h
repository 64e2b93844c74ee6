// Sends the state machine's HTTP calls, a bounded number at once.
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

/// Outgoing calls of one duty thread.
class PeerCaller {
 public:
  using Message = std::variant<CallPeer, SendWork>;
  using OnEnded = std::function<void(CallEnded)>;

  /// `max_in_flight` bounds the exchanges at once, and so the copies of
  /// payloads that sending needs. Calls wait for their turn at most as long as
  /// their timeout, and then end as never sent.
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
