// Bounded, retried exchanges with an etcd gateway.
#pragma once

#include <QObject>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "modules/core/core.h"
#include "modules/store/etcd/etcd_gateway_store.h"
#include "modules/store/port/key_value_store.h"
#include "modules/store/retry/backoff.h"
#include "modules/store/retry/circuit_breaker.h"
#include "modules/wire/client/http_client.h"

namespace hemlockdoor::store::etcd {

enum class CallKind { kRead, kWrite, kLease };

/// Decodes the JSON of a successful answer; false when it is malformed.
using AnswerCheck = std::function<bool(const nlohmann::json&)>;
/// Receives an answer that passed the check, or an error: kUnavailable
/// (provably without effect), kTimeout (effect not known), or what the store
/// refused the call with.
using CallDone = std::function<void(core::Expected<nlohmann::json>)>;

/// One call on a path of the gateway.
struct GatewayCall {
  CallKind kind = CallKind::kRead;
  std::string target;
  std::string body;
  AnswerCheck is_valid;
};

/// Sends calls with a timeout, a bound on those in progress, retries and a
/// circuit breaker.
class GatewayCaller {
 public:
  explicit GatewayCaller(const EtcdOptions& caller_options);

  /// Reads and lease calls are repeated after any failure; writes only after
  /// one that provably had no effect.
  void Start(GatewayCall call, CallDone done);
  CallCounts counts;

 private:
  struct PendingCall {
    GatewayCall call;
    CallDone done;
    int attempts_left = 0;
    core::TimePoint queue_deadline;
    Backoff backoff;
  };
  using PendingCallPointer = std::shared_ptr<PendingCall>;

  void Enqueue(PendingCallPointer pending);
  void SendQueuedCalls();
  void Send(const PendingCallPointer& pending);
  void OnResponse(const PendingCallPointer& pending,
                  core::Expected<wire::HttpResponse> response);
  void RetryOrFail(const PendingCallPointer& pending, core::Error error);
  void FailLater(const PendingCallPointer& pending, core::Error error);
  void Count(CallKind kind);

  EtcdOptions options;
  CircuitBreaker breaker;
  std::uint64_t next_seed;
  std::deque<PendingCallPointer> queue;
  std::size_t in_progress = 0;
  wire::HttpClient client;
  /// Ends timers that wait when the caller is destroyed.
  QObject context;
};

}  // namespace hemlockdoor::store::etcd
