// Results that wait for an entry's acknowledgement.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// A result to be sent, and how many deliveries of it failed before.
struct DueDelivery {
  std::shared_ptr<const model::ResultNotice> notice;
  std::string reply_to;
  int failures = 0;
};

/// Keeps results within a byte bound until they are acknowledged. A result
/// that does not fit is not taken: its upstream keeps it and reports it again.
class HeldResults {
 public:
  /// Keeps results of up to `max_bytes` in all.
  explicit HeldResults(std::int64_t max_bytes);

  /// True when a result with a body of this size fits.
  bool HasRoomFor(std::size_t body_bytes) const;
  /// False when so much is held that new work would produce results without
  /// room; a task may return up to `model::kMaxPayloadBytes`.
  bool AcceptsNewWork() const;
  /// Keeps a result for `reply_to`; a second result of the same task replaces
  /// the first only if that was `kUnknown`.
  void Add(model::ResultNotice notice, std::string reply_to);
  /// Drops the results of an attempt (attempt 0: of the job); returns how
  /// many.
  int Acknowledge(const AttemptKey& attempt);

  /// Marks results as being sent and returns them: at most
  /// `kMaxDeliveries` at once and one large one, to bound memory.
  std::vector<DueDelivery> TakeDue(core::TimePoint now);
  /// Ends a delivery; a failed one is due again after a growing delay.
  void EndDelivery(const TaskKey& key, bool acknowledged, core::TimePoint now);

  bool Holds(const TaskKey& key) const;
  std::vector<model::ResultNotice> OfJob(const core::JobId& job) const;
  /// Jobs with at least one held result, each once.
  std::vector<core::JobId> Jobs() const;
  std::size_t Count() const { return this->held.size(); }
  std::int64_t Bytes() const { return this->bytes; }

  static constexpr int kMaxDeliveries = 4;
  static constexpr std::size_t kLargeBytes = 256U * 1024U;

 private:
  struct HeldResult {
    std::shared_ptr<const model::ResultNotice> notice;
    std::string reply_to;
    int failures = 0;
    bool sending = false;
    core::TimePoint due;
  };
  using Iterator = std::map<TaskKey, HeldResult>::iterator;

  Iterator Erase(Iterator position);
  static bool IsLarge(const HeldResult& result);

  std::int64_t max_bytes;
  std::int64_t bytes = 0;
  std::map<TaskKey, HeldResult> held;
  int sending = 0;
  bool sending_large = false;
};

}  // namespace hemlockdoor::agent
