// Past attempts, which must not start, or not start again.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "modules/agent/core/task_key.h"
#include "modules/model/model.h"

namespace hemlockdoor::agent {

/// Why an attempt must not start.
enum class PastAttemptKind {
  /// Cancelled, released, expired or refused by the upstream before it started.
  kNeverStarted,
  /// Started here and ended.
  kEnded,
};

/// A past attempt of one member, and the reservation that it had; empty for an
/// adopted task.
struct PastAttempt {
  PastAttemptKind kind = PastAttemptKind::kNeverStarted;
  core::ReservationId reservation;
};

/// Remembers past attempts, so that a repeated or delayed request does not
/// start one of them. After its start limit an attempt would be refused as
/// expired anyway. It is kept for `kExtraRetention` beyond the limit, unless
/// the history is more than half full, so that a late query whether the attempt
/// has started still gets the correct answer.
class AttemptHistory {
 public:
  /// Adds or replaces a member's attempt, whose start limit is `until`.
  void Add(const TaskKey& key, PastAttempt past, core::TimePoint until);
  /// Forbids the start of every member of an attempt until `until`, or longer
  /// when forbidden for longer already. Attempt 0 stands for every attempt of
  /// the job.
  void Forbid(const AttemptKey& attempt, core::TimePoint until);

  /// Returns the past attempt of a member; nothing when none is remembered.
  std::optional<PastAttempt> Find(const TaskKey& key) const;
  /// True when a member of the attempt (attempt 0: of any attempt of the job)
  /// is remembered as started here.
  bool HasStarted(const AttemptKey& attempt) const;
  /// True when `Forbid` covers the attempt.
  bool IsForbidden(const AttemptKey& attempt) const;
  /// True when `kMaxEntries` are remembered. New work must then be refused,
  /// since its attempts could not be remembered and repeated requests could
  /// start them again.
  bool IsFull() const;
  /// True when an attempt with this start limit may have started here and may
  /// have been removed from the history since.
  bool MayHaveForgotten(core::TimePoint start_limit) const;
  /// Removes the attempts whose retention is over.
  void Expire(core::TimePoint now);

  /// Bound on the remembered and forbidden attempts together.
  static constexpr std::size_t kMaxEntries = 65'536;
  /// How long an attempt is kept beyond its start limit.
  static constexpr core::Duration kExtraRetention =
      core::Duration::Seconds(600);

 private:
  template <typename Key>
  struct TimedKey {
    core::TimePoint until;
    Key key;
    auto operator<=>(const TimedKey&) const = default;
  };
  struct Record {
    PastAttempt past;
    core::TimePoint until;
  };

  std::map<TaskKey, Record> members;
  std::set<TimedKey<TaskKey>> members_by_start_limit;
  /// Start limit of the started attempt that was removed last.
  std::optional<core::TimePoint> forgotten_start_limit;
  std::map<AttemptKey, core::TimePoint> forbidden;
  std::set<TimedKey<AttemptKey>> forbidden_by_end;
};

}  // namespace hemlockdoor::agent
