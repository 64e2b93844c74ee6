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
enum class PastKind {
  kCancelled,  ///< Cancelled, released or expired before it started.
  kEnded,      ///< Started here and ended.
};

/// A past attempt of one member.
struct PastAttempt {
  PastKind kind = PastKind::kCancelled;
  core::ReservationId reservation;
};

/// Remembers attempts until their start limit, after which any start is refused
/// as expired, and for `kExtraMemory` beyond it while there is room, so that a
/// late question whether an attempt ever started gets a true answer.
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
  bool HasEnded(const AttemptKey& attempt) const;
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
  static constexpr core::Duration kExtraMemory = core::Duration::Seconds(600);

 private:
  template <typename Key>
  struct Timed {
    core::TimePoint until;
    Key key;
    auto operator<=>(const Timed&) const = default;
  };
  struct Remembered {
    PastAttempt past;
    core::TimePoint until;
  };

  std::map<TaskKey, Remembered> members;
  std::set<Timed<TaskKey>> member_order;
  std::optional<core::TimePoint> forgotten_until;
  std::map<AttemptKey, core::TimePoint> forbidden;
  std::set<Timed<AttemptKey>> forbidden_order;
};

}  // namespace hemlockdoor::agent
