// Attempts that must not start, or not start again.
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
  kNeverStarted,  ///< Cancelled, released or expired before it started.
  kEnded,         ///< Started here and ended.
};

/// A past attempt of one member.
struct PastAttempt {
  PastAttemptKind kind = PastAttemptKind::kNeverStarted;
  core::ReservationId reservation;
};

/// Remembers attempts until their start limit, after which any start is refused
/// as expired, and for `kExtraRetention` beyond it while there is room, so that
/// a late question whether an attempt ever started gets a true answer.
class AttemptHistory {
 public:
  /// Remembers a member's attempt, whose start limit is `until`.
  void Add(const TaskKey& key, PastAttempt past, core::TimePoint until);
  /// Forbids every member of an attempt until `until`; attempt 0 stands for
  /// every attempt of the job.
  void Forbid(const AttemptKey& attempt, core::TimePoint until);

  /// The past of a member, or nothing.
  std::optional<PastAttempt> Find(const TaskKey& key) const;
  /// True when a member of the attempt (attempt 0: of the job) started here.
  bool HasStarted(const AttemptKey& attempt) const;
  /// True when `Forbid` covers the attempt.
  bool IsForbidden(const AttemptKey& attempt) const;
  /// True when no more can be remembered; new work must then be refused, since
  /// its duplicates could not be.
  bool IsFull() const;
  /// True when an attempt with this start limit may have started here and been
  /// forgotten since.
  bool MayHaveForgotten(core::TimePoint start_limit) const;
  /// Forgets what is past its time.
  void Expire(core::TimePoint now);

  static constexpr std::size_t kMaxEntries = 65'536;
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
  std::optional<core::TimePoint> forgotten_start_limit;
  std::map<AttemptKey, core::TimePoint> forbidden;
  std::set<TimedKey<AttemptKey>> forbidden_by_end;
};

}  // namespace hemlockdoor::agent
