// Summary of the fleet and of its backlog, from which entries decide on the
// admission of jobs.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/batch/model/configuration.h"
#include "modules/batch/model/job_spec.h"
#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"
#include "modules/batch/planner/placement.h"
#include "modules/core/core.h"

namespace hemlockdoor::batch {

/// Load of one priority.
struct PriorityRoom {
  int priority = 0;
  /// Measured rate at which work of this priority is done, in core-equivalents
  /// per second.
  double drain_rate = 0;
  /// Lower bound of the work that is still to be done, in core-equivalent
  /// seconds.
  double backlog = 0;
};

/// Workers of one service and one capacity.
struct WorkerShape {
  core::ServiceName service;
  Resources capacity;
  std::int64_t workers = 0;
};

/// What the planner tells entries about its fleet and its backlog.
struct RoomSummary {
  /// In rising order of the priority number; only priorities with open jobs.
  std::vector<PriorityRoom> priorities;
  /// Largest total of core-equivalents of the workers in this term, and time
  /// for which it has not grown.
  double capacity = 0;
  core::Duration capacity_known;
  /// All workers by shape, and all their labels. Incomplete if there are too
  /// many to be sent.
  std::vector<WorkerShape> shapes;
  std::set<std::string> labels;
  bool is_complete = false;
  /// Time for which all machines have been present and unchanged; zero while
  /// one is missing.
  core::Duration whole_fleet_known;
  /// Organisations whose open jobs of priority 0 need far more accelerators
  /// than their guarantee. All others count as within their guarantee.
  std::set<core::OrganisationId> beyond_guarantee;
  /// Average run times of the tasks of queues, where known.
  std::map<QueueName, core::Duration> run_times;
};

std::string ToText(const RoomSummary& summary);
/// Fails with kInvalidArgument, naming the field.
core::Expected<RoomSummary> RoomSummaryFromText(const std::string& text);

/// State of the planner that a summary is made from.
struct RoomInputs {
  const Fleet& fleet;
  const std::map<core::JobId, Job>& jobs;
  const std::map<QueueName, core::Duration>& run_times;
  /// Accelerators that the open jobs of priority 0 need, by organisation.
  const std::map<core::OrganisationId, std::int64_t>& guaranteed_needs;
  const Configuration& configuration;
};

/// Makes the summaries of one term. The time of `Measure` is linear in the
/// tasks of the known jobs and in the number of workers.
class RoomMeter {
 public:
  /// Returns true if the summary is older than `kRoomInterval`, so that it is
  /// to be measured again.
  bool IsDue(core::TimePoint now) const;
  void Measure(const RoomInputs& inputs, core::TimePoint now);
  const RoomSummary& Summary() const { return this->summary; }

 private:
  void MeasureFleet(const Fleet& fleet, core::TimePoint now);
  void MeasureJobs(const RoomInputs& inputs, core::TimePoint now);

  RoomSummary summary;
  core::TimePoint measured_at;
  bool has_measured = false;
  /// Moving averages of the core-equivalents in use, by priority.
  std::map<int, double> drain_rates;
  core::TimePoint capacity_since;
  /// Number of workers that are present, and the largest one in this term.
  std::size_t workers = 0;
  std::size_t most_workers = 0;
  core::TimePoint whole_since;
};

/// Shortest time between two measurements.
inline constexpr core::Duration kRoomInterval =
    core::Duration::Milliseconds(500);

/// Bounds of the run time of a task, as shares of the average of its queue. The
/// work of tasks of the customers' queues varies with a standard deviation of
/// the logarithm of 0.3 to 0.5.
inline constexpr double kLowRunTimeShare = 0.5;
inline constexpr double kHighRunTimeShare = 2.0;

}  // namespace hemlockdoor::batch
