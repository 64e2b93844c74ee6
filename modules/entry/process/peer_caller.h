// Sends the state machine's HTTP calls, with a bounded number in flight.
#pragma once

#include <QObject>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "modules/core/core.h"
#include "modules/entry/core/commands.h"
#include "modules/wire/wire.h"

namespace hemlockdoor::entry {

/// Bodies of at least this size count against the byte budget of the process.
inline constexpr std::size_t kMinLargeBytes = 64U * 1024U;

/// Outgoing HTTP calls of one thread; all functions and callbacks run on it.
class PeerCaller {
 public:
  using Message = std::variant<CallPeer, SendWork>;
  using OnEnded = std::function<void(CallEnded)>;

  /// `max_exchanges` bounds the exchanges in flight, and so the copies of
  /// payloads that sending needs. Further calls are queued. A call that has
  /// been queued for its whole timeout ends with kResourceExhausted and is not
  /// sent.
  /// Large payloads count against `bytes` while they are sent; a call whose
  /// payload does not fit stays queued.
  PeerCaller(std::string key,
             std::size_t max_exchanges,
             std::shared_ptr<wire::ByteBudget> bytes,
             OnEnded done)
      : internal_key(std::move(key)),
        max_in_flight(max_exchanges),
        process_bytes(std::move(bytes)),
        on_ended(std::move(done)) {}

  void Send(Message message);

 private:
  struct QueuedMessage {
    Message message;
    core::TimePoint queued_at;
  };
  void StartNext();
  void RetryLater();
  void Start(const Message& message, wire::ByteShare share);

  std::string internal_key;
  std::size_t max_in_flight;
  std::shared_ptr<wire::ByteBudget> process_bytes;
  OnEnded on_ended;
  std::deque<QueuedMessage> queue;
  std::size_t in_flight = 0;
  wire::HttpClient client;
  /// Context of the timer that retries a call without room in the budget.
  QObject context;
  bool retry_pending = false;
};

}  // namespace hemlockdoor::entry
