// Results of ended tasks that no entry has acknowledged yet.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// A result to be sent to an entry.
struct DueDelivery {
  std::shared_ptr<const model::ResultNotice> notice;
  /// Endpoint of the entry that asked for the result.
  std::string reply_to;
  /// Deliveries of the result that failed before.
  int failures = 0;
};

/// Keeps results until they are acknowledged, within bounds of bytes and of
/// number. The caller checks `HasRoomFor` before it adds a result from the
/// upstream; a result without room stays at the upstream and is reported again.
class HeldResults {
 public:
  /// Keeps up to `max_bytes` in total.
  explicit HeldResults(std::int64_t max_bytes);

  /// True when a result with a body of this size fits, or nothing is held.
  bool HasRoomFor(std::size_t body_bytes) const;
  /// False when more than three quarters of the byte bound or half of the
  /// number bound is used. The rest is left for the results of running tasks,
  /// each of which may return up to `model::kMaxPayloadBytes`.
  bool AcceptsNewWork() const;
  /// Keeps a result for `reply_to`. A second result of the same task replaces
  /// the first only if the first is `kUnknown` and is not being delivered.
  void Add(model::ResultNotice notice, std::string reply_to);
  /// Removes the results of an attempt (attempt 0: of all attempts of the job);
  /// returns the number removed.
  int Acknowledge(const AttemptKey& attempt);

  /// Returns due results and marks them as being sent. To bound memory, at most
  /// `kMaxDeliveries` are in flight, of which at most one is large.
  std::vector<DueDelivery> TakeDue(core::TimePoint now);
  /// Ends a delivery. An acknowledged result is removed. A failed delivery is
  /// due again at once after the first failure, then with exponential backoff.
  void EndDelivery(const TaskKey& key, bool acknowledged, core::TimePoint now);

  bool Holds(const TaskKey& key) const;
  /// Copies of a job's held results.
  std::vector<model::ResultNotice> OfJob(const core::JobId& job) const;
  /// Jobs with at least one held result, each once.
  std::vector<core::JobId> Jobs() const;
  std::size_t Count() const { return this->held.size(); }
  /// Bytes of the held bodies plus a fixed overhead per result.
  std::int64_t Bytes() const { return this->bytes; }

  static constexpr int kMaxDeliveries = 4;
  /// A body of at least this size counts as large.
  static constexpr std::size_t kLargeBytes = 256U * 1024U;

 private:
  struct HeldResult {
    std::shared_ptr<const model::ResultNotice> notice;
    std::string reply_to;
    int failures = 0;
    bool sending = false;
    /// The next delivery is not made before this time.
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
