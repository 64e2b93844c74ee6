#include "modules/batch/planner/stragglers.h"

#include <algorithm>
#include <cmath>

namespace hemlockdoor::batch {

namespace {

constexpr int kFullPercent = 100;
/// Number of runs of a queue that its median is based on.
constexpr std::size_t kLatestRuns = 25;
/// Least number of runs that show the typical time, the unit's own included. A
/// single sibling never decides.
constexpr int kMinSiblings = 4;
constexpr int kMinQueueRuns = 5;
/// A straggler is expected to take this many times the typical run time. The
/// work of siblings varies by a standard deviation of the logarithm of up to
/// 0.3, that of the jobs of a queue by up to 0.5, so these are three
/// deviations, for siblings also on a worker that is 1.4 times slower than
/// known.
constexpr double kSiblingFactor = 3.5;
constexpr double kQueueFactor = 4.0;
/// Where only the queue tells the typical run time, the run also takes at least
/// this many times what its caller declared, since a few jobs have much more
/// work than others. Declarations err by a standard deviation of the logarithm
/// of up to 0.9.
constexpr double kDeclaredFactor = 2.0;
/// A run is judged after this time, and after this share of its expected run
/// time: before that, the time that it needs to begin counts too much.
constexpr core::Duration kMinElapsed = core::Duration::Milliseconds(400);
constexpr double kMinElapsedShare = 0.3;
/// The work of a job may be this many times that of its queue's median.
constexpr double kWorkMargin = 1.5;
/// "Clearly sooner": the new run is expected to take at most this share of the
/// time that the present one still needs.
constexpr double kMaxShareOfRemaining = 0.8;
/// Moves in this time may affect this share of the running tasks.
constexpr core::Duration kLimitPeriod = core::Duration::Milliseconds(2000);
constexpr double kMaxMovedShare = 0.05;

double Milliseconds(core::Duration duration) {
  return static_cast<double>(duration.InMilliseconds());
}

/// Returns the expected run time of the whole run, in milliseconds.
double ExpectedTotal(const ObservedRun& run) {
  return Milliseconds(run.elapsed) * kFullPercent / run.percent;
}

core::Duration Median(std::vector<core::Duration> times) {
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace

TypicalRunTime MedianOfSiblings(std::vector<core::Duration> run_times) {
  const int runs = static_cast<int>(run_times.size());
  if (run_times.empty()) {
    return {core::Duration(), runs, true};
  }
  return {Median(std::move(run_times)), runs, true};
}

void QueueRunTimes::Add(const QueueName& queue, core::Duration run_time) {
  std::deque<core::Duration>& times = this->latest[queue];
  times.push_back(run_time);
  if (times.size() > kLatestRuns) {
    times.pop_front();
  }
}

TypicalRunTime QueueRunTimes::MedianOf(const QueueName& queue) const {
  const auto found = this->latest.find(queue);
  if (found == this->latest.end()) {
    return {};
  }
  return {Median({found->second.begin(), found->second.end()}),
          static_cast<int>(found->second.size()), false};
}

bool IsStraggler(const ObservedRun& run, const TypicalRunTime& typical) {
  const int min_runs = typical.is_of_siblings ? kMinSiblings : kMinQueueRuns;
  if (run.percent <= 0 || typical.runs < min_runs) {
    return false;
  }
  const double expected = Milliseconds(typical.time) * run.time_factor;
  const double factor = typical.is_of_siblings ? kSiblingFactor : kQueueFactor;
  const bool is_declared =
      !typical.is_of_siblings &&
      ExpectedTotal(run) <
          kDeclaredFactor * Milliseconds(run.declared) * run.time_factor;
  return !is_declared && run.elapsed >= kMinElapsed &&
         Milliseconds(run.elapsed) >= kMinElapsedShare * expected &&
         ExpectedTotal(run) >= factor * expected;
}

bool IsWorthMoving(const ObservedRun& run,
                   const TypicalRunTime& typical,
                   const NewRun& new_run) {
  const double elapsed =
      Milliseconds(run.elapsed) + Milliseconds(run.since_progress);
  const double remaining = ExpectedTotal(run) - elapsed;
  const double margin = typical.is_of_siblings ? 1.0 : kWorkMargin;
  const double left_share =
      static_cast<double>(kFullPercent - new_run.kept_percent) / kFullPercent;
  const double instead =
      Milliseconds(typical.time) * margin * new_run.time_factor * left_share +
      Milliseconds(new_run.restart);
  const double lost =
      elapsed * std::max(0, run.percent - new_run.kept_percent) / run.percent;
  return instead <= kMaxShareOfRemaining * remaining &&
         remaining - instead >= lost;
}

bool MoveLimit::Allows(int tasks, int running, core::TimePoint now) {
  while (!this->moves.empty() && this->moves.front().at + kLimitPeriod <= now) {
    this->moves.pop_front();
  }
  int moved = 0;
  for (const Move& move : this->moves) {
    moved += move.tasks;
  }
  return moved == 0 || moved + tasks <= kMaxMovedShare * running;
}

void MoveLimit::OnMoved(int tasks, core::TimePoint now) {
  this->moves.push_back({now, tasks});
}

}  // namespace hemlockdoor::batch
