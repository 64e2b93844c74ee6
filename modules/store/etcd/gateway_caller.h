// HTTP calls to an etcd gateway, with retries and a bound on concurrency.
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

/// Returns whether the JSON of a successful answer can be decoded.
using AnswerCheck = std::function<bool(const nlohmann::json&)>;
/// Receives an answer that passed the check, or an error: kUnavailable (the
/// call provably had no effect, or was a read), kTimeout (the effect is
/// unknown), or another code when the store refused the call or the answer to a
/// read or lease call is too large.
using CallDone = std::function<void(core::Expected<nlohmann::json>)>;

/// One request to the gateway; `target` is its path.
struct GatewayCall {
  CallKind kind = CallKind::kRead;
  std::string target;
  std::string body;
  AnswerCheck is_valid;
};

/// Sends calls with a timeout, retries, a bound on concurrent exchanges and a
/// circuit breaker. Calls beyond the bound wait in a queue.
class GatewayCaller {
 public:
  explicit GatewayCaller(const EtcdOptions& caller_options);

  /// Starts a call. Reads and lease calls are retried after a transient
  /// failure; writes only after a failure that provably had no effect. `done`
  /// runs at most once: never when this object is destroyed first.
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
  /// Context of the timers: its destruction cancels those that have not fired.
  QObject context;
};

}  // namespace hemlockdoor::store::etcd
