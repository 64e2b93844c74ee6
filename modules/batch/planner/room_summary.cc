#include "modules/batch/planner/room_summary.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

#include "modules/batch/planner/caller_cost.h"
#include "modules/model/model.h"

namespace hemlockdoor::batch {

namespace {

/// Most shapes and labels that are sent. With more of them the summary would
/// take too much of the control traffic of entries.
constexpr std::size_t kMaxShapes = 64;
constexpr std::size_t kMaxLabels = 128;
/// Lower bound of the run time of a task whose queue has no average yet, as a
/// share of the declared estimate. The logarithm of estimates has a standard
/// deviation of up to 0.9.
constexpr double kLowEstimateShare = 0.2;
/// Time constant of the moving average of the drain rate.
constexpr double kDrainAverageMs = 2000;
/// An organisation counts as beyond its guarantee if its needs exceed it this
/// many times, since jobs may end while a summary is in use.
constexpr std::int64_t kGuaranteeMargin = 2;
/// Upper bound of the numbers in a summary; exact in every JSON parser.
constexpr double kMaxNumber = 1e15;
constexpr double kMsPerSecond = 1000.0;

/// Returns the lower bound of the run time of a task, in seconds.
double LowRunSeconds(const RoomInputs& inputs,
                     const Job& job,
                     const Unit& unit) {
  const auto average = inputs.run_times.find(job.record.queue);
  const double low_ms =
      average == inputs.run_times.end()
          ? kLowEstimateShare *
                static_cast<double>(job.StepOf(unit).estimate.InMilliseconds())
          : kLowRunTimeShare *
                static_cast<double>(average->second.InMilliseconds());
  return low_ms / kMsPerSecond;
}

/// Returns true if the job cannot end any more while it is of value. Its
/// waiting work is started after that of all other jobs.
bool IsTooLate(const Job& job, double run_seconds, core::TimePoint now) {
  const core::Duration run = core::Duration::Milliseconds(
      static_cast<std::int64_t>(run_seconds * kMsPerSecond));
  return CallerCost().WorthAt(job, run, now + CriticalPath(job, run)) <= 0;
}

/// Returns the lower bound of the work left in the unit, in core-equivalent
/// seconds.
double WorkLeft(const RoomInputs& inputs,
                const Job& job,
                const Unit& unit,
                core::TimePoint now) {
  const double cores = CoreEquivalents(CountedNeed(job.StepOf(unit)));
  const double run = LowRunSeconds(inputs, job, unit);
  if (unit.members.empty()) {
    return IsTooLate(job, run, now) ? 0 : cores * run * unit.size;
  }
  double left = 0;
  for (const UnitMember& member : unit.members) {
    const double elapsed =
        static_cast<double>((now - member.since).InMilliseconds()) /
        kMsPerSecond;
    left += cores * std::max(0.0, run - elapsed);
  }
  return left;
}

/// Returns true if the work of the job has an end and is due now.
bool IsBacklog(const Job& job) {
  return job.IsOpen() && job.record.spec.occurrences == 0;
}

nlohmann::json ToJson(const WorkerShape& shape) {
  return {{"service", shape.service.Text()},
          {"millicores", shape.capacity.millicores},
          {"memory_mb", shape.capacity.memory_mb},
          {"accelerators", shape.capacity.accelerators},
          {"workers", shape.workers}};
}

core::Duration ReadDuration(model::JsonReader& reader,
                            const std::string& name) {
  constexpr std::int64_t kMaxMs = std::int64_t{1} << 50;
  return core::Duration::Milliseconds(
      reader.RequiredInteger(name, {0, kMaxMs}));
}

double ReadNumber(model::JsonReader& reader, const std::string& name) {
  return reader.OptionalNumber(name, 0, {0, kMaxNumber});
}

core::Expected<std::string> ReadText(const nlohmann::json& element,
                                     const std::string& path) {
  if (!element.is_string()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected a string", path);
  }
  return element.get<std::string>();
}

core::Expected<void> CheckIsObject(const nlohmann::json& element,
                                   const std::string& path) {
  if (!element.is_object()) {
    return core::MakeError(core::ErrorCode::kInvalidArgument,
                           "expected an object", path);
  }
  return {};
}

core::Expected<PriorityRoom> ReadPriority(const nlohmann::json& element,
                                          const std::string& path) {
  if (const auto checked = CheckIsObject(element, path); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  constexpr std::int64_t kMaxPriority = 1000;
  model::JsonReader reader(element, path);
  PriorityRoom room;
  room.priority =
      static_cast<int>(reader.RequiredInteger("priority", {0, kMaxPriority}));
  room.drain_rate = ReadNumber(reader, "drain_rate");
  room.backlog = ReadNumber(reader, "backlog");
  if (const auto end = reader.FinishLenient(); !end) {
    return tl::unexpected<core::Error>(end.error());
  }
  return room;
}

core::Expected<WorkerShape> ReadShape(const nlohmann::json& element,
                                      const std::string& path) {
  if (const auto checked = CheckIsObject(element, path); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  model::JsonReader reader(element, path);
  WorkerShape shape;
  shape.service = core::ServiceName(reader.RequiredString("service"));
  shape.capacity = {reader.RequiredInteger("millicores"),
                    reader.RequiredInteger("memory_mb"),
                    reader.RequiredInteger("accelerators")};
  shape.workers = reader.RequiredInteger("workers");
  if (const auto end = reader.FinishLenient(); !end) {
    return tl::unexpected<core::Error>(end.error());
  }
  return shape;
}

/// Returns a callback for `JsonReader::EachElement` that passes what `read`
/// returns to `add`.
template <typename Read, typename Add>
auto Collect(Read read, Add add) {
  return [read, add](const nlohmann::json& element,
                     const std::string& path) -> core::Expected<void> {
    auto value = read(element, path);
    if (!value) {
      return tl::unexpected<core::Error>(value.error());
    }
    add(std::move(*value));
    return {};
  };
}

}  // namespace

std::string ToText(const RoomSummary& summary) {
  nlohmann::json json = {
      {"capacity", summary.capacity},
      {"capacity_known", summary.capacity_known.InMilliseconds()},
      {"is_complete", summary.is_complete},
      {"whole_fleet_known", summary.whole_fleet_known.InMilliseconds()},
      {"labels", summary.labels},
      {"priorities", nlohmann::json::array()},
      {"shapes", nlohmann::json::array()},
      {"beyond_guarantee", nlohmann::json::array()},
      {"run_times", nlohmann::json::object()}};
  for (const PriorityRoom& room : summary.priorities) {
    json["priorities"].push_back({{"priority", room.priority},
                                  {"drain_rate", room.drain_rate},
                                  {"backlog", room.backlog}});
  }
  for (const WorkerShape& shape : summary.shapes) {
    json["shapes"].push_back(ToJson(shape));
  }
  for (const core::OrganisationId& organisation : summary.beyond_guarantee) {
    json["beyond_guarantee"].push_back(organisation.Text());
  }
  for (const auto& [queue, run_time] : summary.run_times) {
    json["run_times"][queue.Text()] = run_time.InMilliseconds();
  }
  return model::DumpJson(json);
}

core::Expected<RoomSummary> RoomSummaryFromText(const std::string& text) {
  const core::Expected<nlohmann::json> document = model::ParseJson(text);
  if (!document) {
    return tl::unexpected<core::Error>(document.error());
  }
  if (const auto checked = CheckIsObject(*document, "$"); !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  model::JsonReader reader(*document, "$");
  RoomSummary summary;
  summary.capacity = ReadNumber(reader, "capacity");
  summary.capacity_known = ReadDuration(reader, "capacity_known");
  summary.is_complete = reader.OptionalBool("is_complete", false);
  summary.whole_fleet_known = ReadDuration(reader, "whole_fleet_known");
  reader.EachElement("labels", Collect(ReadText, [&summary](std::string label) {
                       summary.labels.insert(std::move(label));
                     }));
  reader.EachElement("priorities",
                     Collect(ReadPriority, [&summary](PriorityRoom room) {
                       summary.priorities.push_back(room);
                     }));
  reader.EachElement("shapes",
                     Collect(ReadShape, [&summary](WorkerShape shape) {
                       summary.shapes.push_back(std::move(shape));
                     }));
  reader.EachElement("beyond_guarantee",
                     Collect(ReadText, [&summary](std::string organisation) {
                       summary.beyond_guarantee.insert(
                           core::OrganisationId(std::move(organisation)));
                     }));
  reader.EachMember(
      "run_times",
      [&summary](const std::string& queue, const nlohmann::json& value,
                 const std::string& path) -> core::Expected<void> {
        if (!value.is_number_unsigned() || value.get<double>() > kMaxNumber) {
          return core::MakeError(core::ErrorCode::kInvalidArgument,
                                 "expected a time in milliseconds", path);
        }
        summary.run_times[QueueName(queue)] =
            core::Duration::Milliseconds(value.get<std::int64_t>());
        return {};
      });
  if (const core::Expected<void> end = reader.FinishLenient(); !end) {
    return tl::unexpected<core::Error>(end.error());
  }
  return summary;
}

bool RoomMeter::IsDue(core::TimePoint now) const {
  return !this->has_measured || now - this->measured_at >= kRoomInterval;
}

void RoomMeter::Measure(const RoomInputs& inputs, core::TimePoint now) {
  this->MeasureFleet(inputs.fleet, now);
  this->MeasureJobs(inputs, now);
  this->summary.run_times = inputs.run_times;
  this->summary.beyond_guarantee.clear();
  for (const auto& [organisation, needed] : inputs.guaranteed_needs) {
    const OrganisationConfig* config =
        inputs.configuration.FindOrganisation(organisation);
    const std::int64_t guaranteed =
        config == nullptr ? 0 : config->guaranteed_accelerators;
    if (needed > guaranteed * kGuaranteeMargin) {
      this->summary.beyond_guarantee.insert(organisation);
    }
  }
  this->measured_at = now;
  this->has_measured = true;
}

void RoomMeter::MeasureFleet(const Fleet& fleet, core::TimePoint now) {
  using ShapeKey =
      std::tuple<core::ServiceName, std::int64_t, std::int64_t, std::int64_t>;
  std::map<ShapeKey, std::int64_t> shapes;
  double capacity = 0;
  std::size_t present = 0;
  bool is_missing = false;
  this->summary.labels.clear();
  for (const auto& [agent, view] : fleet) {
    if (!view.worker || view.is_lost || !view.has_reported) {
      is_missing = true;
    }
    if (!view.worker) {
      continue;
    }
    const Resources& room = view.worker->capacity;
    ++present;
    capacity += CoreEquivalents(room);
    ++shapes[{view.worker->service, room.millicores, room.memory_mb,
              room.accelerators}];
    for (const std::string& label : view.worker->labels) {
      if (this->summary.labels.size() <= kMaxLabels) {
        this->summary.labels.insert(label);
      }
    }
  }
  if (capacity > this->summary.capacity) {
    this->summary.capacity = capacity;
    this->capacity_since = now;
  }
  this->summary.capacity_known = now - this->capacity_since;
  is_missing = is_missing || present < this->most_workers;
  if (is_missing || present != this->workers) {
    this->whole_since = now;
  }
  this->workers = present;
  this->most_workers = std::max(this->most_workers, present);
  this->summary.whole_fleet_known =
      is_missing ? core::Duration() : now - this->whole_since;
  this->summary.is_complete =
      shapes.size() <= kMaxShapes && this->summary.labels.size() <= kMaxLabels;
  this->summary.shapes.clear();
  for (const auto& [key, workers_of_shape] : shapes) {
    if (this->summary.shapes.size() < kMaxShapes) {
      const auto& [service, millicores, memory_mb, accelerators] = key;
      this->summary.shapes.push_back(
          {service, {millicores, memory_mb, accelerators}, workers_of_shape});
    }
  }
}

void RoomMeter::MeasureJobs(const RoomInputs& inputs, core::TimePoint now) {
  struct Load {
    double running = 0;
    double backlog = 0;
  };
  std::map<int, Load> loads;
  for (const auto& [id, job] : inputs.jobs) {
    if (!IsBacklog(job)) {
      continue;
    }
    Load& load = loads[job.record.priority];
    for (const Unit& unit : job.units) {
      const StepSpec& step = job.StepOf(unit);
      if (step.long_running || unit.phase == UnitPhase::kDone ||
          unit.phase == UnitPhase::kFailed) {
        continue;
      }
      load.running += CoreEquivalents(CountedNeed(step)) *
                      static_cast<double>(unit.members.size());
      load.backlog += WorkLeft(inputs, job, unit, now);
    }
  }
  const double weight =
      !this->has_measured
          ? 1.0
          : 1.0 - std::exp(-static_cast<double>(
                               (now - this->measured_at).InMilliseconds()) /
                           kDrainAverageMs);
  for (auto& [priority, rate] : this->drain_rates) {
    rate *= 1.0 - weight;
  }
  this->summary.priorities.clear();
  for (const auto& [priority, load] : loads) {
    double& rate = this->drain_rates[priority];
    rate += weight * load.running;
    this->summary.priorities.push_back({priority, rate, load.backlog});
  }
}

}  // namespace hemlockdoor::batch
