// Decides which running units are moved because they progress far too slowly.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "modules/batch/model/ids.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Typical run time of a task on a worker with a time factor of 1.0.
struct TypicalRunTime {
  core::Duration time;
  /// Number of runs that show it.
  int runs = 0;
  /// The runs belong to the same step of the same job. Otherwise they belong to
  /// jobs of the same queue, whose work varies more.
  bool is_of_siblings = false;
};

/// Returns the median of the run times of siblings, each normalised to a time
/// factor of 1.0.
TypicalRunTime MedianOfSiblings(std::vector<core::Duration> run_times);

/// Medians of the latest run times of each queue. Unlike an average, a median
/// is not moved by the few runs that take several times as long.
class QueueRunTimes {
 public:
  /// Adds the run time of a unit, normalised to a time factor of 1.0.
  void Add(const QueueName& queue, core::Duration run_time);
  /// Returns the typical run time of the queue; `runs` is 0 if it is unknown.
  TypicalRunTime MedianOf(const QueueName& queue) const;

 private:
  std::map<QueueName, std::deque<core::Duration>> latest;
};

/// Observed progress of a running unit.
struct ObservedRun {
  /// Time from its start to the latest change of its progress.
  core::Duration elapsed;
  /// Progress at that time, from 0 to 100.
  int percent = 0;
  /// Time since then.
  core::Duration since_progress;
  /// Highest time factor of its workers, as known when it started, so that a
  /// worker that has turned slow since then does not explain its pace.
  double time_factor = 1.0;
  /// Run time that the caller declared.
  core::Duration declared;
};

/// A new run of the unit instead of the present one.
struct NewRun {
  /// Highest time factor of the workers where it would start.
  double time_factor = 1.0;
  /// Progress that it continues from, from 0 to 100.
  int kept_percent = 0;
  /// Time to stop the present run and to restore its checkpoint.
  core::Duration restart;
};

/// Returns whether the run progresses so slowly that neither the speed of its
/// workers nor the usual differences between tasks explain it.
bool IsStraggler(const ObservedRun& run, const TypicalRunTime& typical);

/// Returns whether a new run is expected to end clearly sooner, by more time
/// than the work that the present run loses took.
bool IsWorthMoving(const ObservedRun& run,
                   const TypicalRunTime& typical,
                   const NewRun& new_run);

/// Limits the share of the running tasks that are moved in a short time, so
/// that an hour in which everything is slow does not double the load.
class MoveLimit {
 public:
  /// Returns whether `tasks` of the fleet's `running` tasks may be moved now.
  /// At least one unit may be moved in each period.
  bool Allows(int tasks, int running, core::TimePoint now);
  void OnMoved(int tasks, core::TimePoint now);

 private:
  struct Move {
    core::TimePoint at;
    int tasks = 0;
  };
  /// Moves in the present period.
  std::deque<Move> moves;
};

}  // namespace hemlockdoor::batch
