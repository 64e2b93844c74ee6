#include "modules/batch/model/job_spec.h"

#include <algorithm>

namespace hemlockdoor::batch {

namespace {

constexpr std::int64_t kMaxSteps = 1000;
constexpr std::int64_t kMaxOccurrences = 10'000;
/// Limit of one resource of one task, in millicores, megabytes or accelerators.
/// Sums over all tasks of a job stay far below the range of the type.
constexpr std::int64_t kMaxResource = 1'000'000'000;
/// Limit of a length of time: one year.
constexpr core::Duration kMaxDuration =
    core::Duration::Seconds(std::int64_t{365} * 24 * 3600);
/// Latest due time, in Unix milliseconds: the year 2286.
constexpr std::int64_t kMaxWallMs = 9'999'999'999'999;

bool IsWithin(std::int64_t number, std::int64_t minimum, std::int64_t maximum) {
  return number >= minimum && number <= maximum;
}

bool IsLength(core::Duration length) {
  return length >= core::Duration() && length <= kMaxDuration;
}

tl::unexpected<core::Error> Invalid(const std::string& message,
                                    const std::string& path) {
  return core::MakeError(core::ErrorCode::kInvalidArgument, message, path);
}

core::Expected<void> ValidateStep(const StepSpec& step,
                                  int number,
                                  const std::string& path) {
  if (!IsWithin(step.count, 1, kMaxTasksPerJob)) {
    return Invalid("expected 1 to " + std::to_string(kMaxTasksPerJob) +
                       " tasks, got " + std::to_string(step.count),
                   path + ".count");
  }
  for (const std::int64_t amount :
       {step.need.millicores, step.need.memory_mb, step.need.accelerators}) {
    if (!IsWithin(amount, 0, kMaxResource)) {
      return Invalid("resource out of range: " + std::to_string(amount),
                     path + ".need");
    }
  }
  const bool lengths_valid =
      IsLength(step.estimate) && IsLength(step.latency_target);
  if (!lengths_valid || step.max_per_worker < 0 || step.max_unavailable < 0) {
    return Invalid("length of time or limit out of range", path);
  }
  const bool order_valid = std::all_of(
      step.after.begin(), step.after.end(),
      [number](int earlier) { return IsWithin(earlier, 0, number - 1); });
  if (!order_valid) {
    return Invalid("expected the numbers of earlier steps", path + ".after");
  }
  return {};
}

}  // namespace

core::Expected<void> ValidateJobSpec(const JobSpec& spec) {
  if (spec.id.IsEmpty()) {
    return Invalid("expected an id", "$.id");
  }
  const auto steps = static_cast<std::int64_t>(spec.steps.size());
  if (!IsWithin(steps, 1, kMaxSteps)) {
    return Invalid("expected 1 to " + std::to_string(kMaxSteps) + " steps",
                   "$.steps");
  }
  const bool schedule_valid = IsWithin(spec.occurrences, 0, kMaxOccurrences) &&
                              IsWithin(spec.first_due_wall_ms, 0, kMaxWallMs) &&
                              IsLength(spec.interval);
  if (!schedule_valid) {
    return Invalid("schedule out of range", "$.occurrences");
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const core::Expected<void> valid =
        ValidateStep(spec.steps[i], static_cast<int>(i),
                     "$.steps[" + std::to_string(i) + "]");
    if (!valid) {
      return valid;
    }
    tasks += spec.steps[i].count;
  }
  if (tasks * std::max(1, spec.occurrences) > kMaxTasksPerJob) {
    return Invalid("expected at most " + std::to_string(kMaxTasksPerJob) +
                       " tasks in all steps and occurrences",
                   "$.steps");
  }
  return {};
}

std::vector<int> ChainLengths(const JobSpec& spec) {
  std::vector<int> lengths(spec.steps.size(), 1);
  // A step depends on earlier steps only, so those that follow are complete
  // when it is their turn.
  for (std::size_t i = spec.steps.size(); i > 0; --i) {
    for (const int earlier : spec.steps[i - 1].after) {
      int& length = lengths[static_cast<std::size_t>(earlier)];
      length = std::max(length, lengths[i - 1] + 1);
    }
  }
  return lengths;
}

}  // namespace hemlockdoor::batch
