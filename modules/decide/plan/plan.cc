#include "modules/decide/plan/plan.h"

#include <map>
#include <sstream>
#include <utility>

#include "modules/decide/plan/plan_files.h"

namespace hemlockdoor::decide {

namespace {

/// Virtual time of the plan. The workers arrive an hour earlier, since the
/// scheduler refuses jobs that fit on no set of workers only some time after
/// the first worker has arrived.
constexpr core::TimePoint kPlanTime =
    core::TimePoint::FromMilliseconds(100LL * 24 * 3600 * 1000);
constexpr core::TimePoint kArrivalTime =
    core::TimePoint::FromMilliseconds(kPlanTime.InMilliseconds() - 3'600'000);

std::string_view VerdictName(PlanVerdict verdict) {
  switch (verdict) {
    case PlanVerdict::kRunning:
      return "running";
    case PlanVerdict::kPlaced:
      return "placed";
    case PlanVerdict::kStopped:
      return "stopped";
    case PlanVerdict::kWaiting:
      return "waiting";
    case PlanVerdict::kRefused:
      return "refused";
  }
  return "";
}

std::string_view ModeName(PreemptMode mode) {
  switch (mode) {
    case PreemptMode::kCheckpoint:
      return "checkpoint, then stop";
    case PreemptMode::kThrottle:
      return "throttle";
    case PreemptMode::kStop:
      return "stop";
  }
  return "";
}

std::vector<int> Numbers(model::AcceleratorSet set) {
  std::vector<int> numbers;
  for (int i = 0; i < model::kMaxAcceleratorsPerWorker; ++i) {
    if (set.Intersects(model::AcceleratorSet(std::uint64_t{1} << i))) {
      numbers.push_back(i);
    }
  }
  return numbers;
}

std::string PlaceText(const Placement& member) {
  std::string text = member.agent.Text();
  const std::vector<int> numbers = Numbers(member.accelerators);
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    text += (i == 0 ? "[" : ",") + std::to_string(numbers[i]);
  }
  return text + (numbers.empty() ? "" : "]");
}

/// Runs the scheduler for one plan and collects its decisions on each job.
class PlanRun {
 public:
  explicit PlanRun(Scheduler given) : scheduler(std::move(given)) {}

  void AddRunning(const PlanJob& job) {
    PlannedJob& planned = this->Add(job);
    planned.verdict = PlanVerdict::kRunning;
    planned.members = job.members;
    this->scheduler.Adopt(
        {job.description, job.members, kPlanTime - job.running_for}, kPlanTime);
  }

  void Submit(const PlanJob& job) {
    PlannedJob& planned = this->Add(job);
    const auto submitted = this->scheduler.Submit(job.description, kPlanTime);
    if (!submitted) {
      planned.verdict = PlanVerdict::kRefused;
      planned.reason = submitted.error().reason;
    }
  }

  PlanReport Finish(const std::vector<PlanJob>& order) {
    for (const Decision& decision : this->scheduler.Plan(kPlanTime)) {
      std::visit([this](const auto& value) { this->Take(value); }, decision);
    }
    PlanReport report;
    for (const PlanJob& job : order) {
      PlannedJob& planned = this->jobs.at(job.description.id);
      planned.within_guarantee =
          this->scheduler.IsWithinGuarantee(job.description.id);
      if (planned.verdict == PlanVerdict::kWaiting) {
        const std::optional<WaitReason> reason =
            this->scheduler.WhyWaiting(job.description.id);
        planned.reason = reason ? reason->text : "";
      }
      report.jobs.push_back(planned);
    }
    report.short_guarantees = this->scheduler.UnmetGuarantees();
    return report;
  }

 private:
  PlannedJob& Add(const PlanJob& job) {
    PlannedJob& planned = this->jobs[job.description.id];
    planned.job = job.description.id;
    return planned;
  }
  void Take(const StartDecision& start) {
    PlannedJob& planned = this->jobs.at(start.job);
    planned.verdict = PlanVerdict::kPlaced;
    planned.members = start.members;
  }
  void Take(const PreemptDecision& preempt) {
    PlannedJob& planned = this->jobs.at(preempt.job);
    planned.verdict = PlanVerdict::kStopped;
    planned.reason = ModeName(preempt.mode);
    if (!preempt.beneficiary.IsEmpty()) {
      planned.reason += " for " + preempt.beneficiary.Text();
      this->jobs.at(preempt.beneficiary).stops.push_back(preempt.job);
    }
  }
  void Take(const RefuseDecision& refusal) {
    PlannedJob& planned = this->jobs.at(refusal.job);
    planned.verdict = PlanVerdict::kRefused;
    planned.reason = refusal.reason;
  }

  Scheduler scheduler;
  std::map<core::JobId, PlannedJob> jobs;
};

/// Checks that each member of a running job is on a known worker and has the
/// right number of accelerators, which exist and are used by no other job.
core::Expected<void> CheckRunning(const std::vector<WorkerView>& workers,
                                  const std::vector<PlanJob>& jobs,
                                  const std::string& file) {
  std::map<core::AgentId, model::AcceleratorSet> free;
  for (const WorkerView& worker : workers) {
    free[worker.agent] =
        model::AcceleratorSet::First(worker.shape.accelerators);
  }
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const int size = jobs[i].description.shape.accelerators_per_member;
    for (const Placement& member : jobs[i].members) {
      const auto found = free.find(member.agent);
      const bool valid = found != free.end() &&
                         found->second.Contains(member.accelerators) &&
                         member.accelerators.Count() == size;
      if (!valid) {
        return core::MakeError(
            core::ErrorCode::kInvalidArgument,
            "job \"" + jobs[i].description.id.Text() + "\" cannot run on " +
                PlaceText(member) + ": expected a known worker and " +
                std::to_string(size) +
                " of its accelerators that no other job uses, got " +
                std::to_string(member.accelerators.Count()) + " accelerators",
            file + ": $.jobs[" + std::to_string(i) + "].running_on");
      }
      found->second = found->second.Without(member.accelerators);
    }
  }
  return {};
}

}  // namespace

core::Expected<PlanReport> RunPlan(const PlanInputs& inputs) {
  const auto workers = ReadPlanWorkers(inputs.workers);
  if (!workers) {
    return tl::unexpected<core::Error>(workers.error());
  }
  auto catalogue = model::CatalogueFromText(inputs.catalogue.text);
  if (!catalogue) {
    core::Error error = catalogue.error();
    error.path =
        inputs.catalogue.name + (error.path.empty() ? "" : ": " + error.path);
    return tl::unexpected<core::Error>(std::move(error));
  }
  const auto jobs = ReadPlanJobs(inputs.jobs);
  if (!jobs) {
    return tl::unexpected<core::Error>(jobs.error());
  }
  if (auto checked = CheckRunning(*workers, *jobs, inputs.jobs.name);
      !checked) {
    return tl::unexpected<core::Error>(checked.error());
  }
  SchedulerOptions options;
  options.seed = inputs.seed;
  core::Expected<Scheduler> scheduler = Scheduler::Create(options);
  if (!scheduler) {
    return tl::unexpected<core::Error>(scheduler.error());
  }
  for (const WorkerView& worker : *workers) {
    scheduler->UpsertWorker(worker, kArrivalTime);
  }
  scheduler->ApplyCatalogue(*catalogue, kArrivalTime);
  PlanRun run(std::move(*scheduler));
  for (const PlanJob& job : *jobs) {
    if (!job.members.empty()) {
      run.AddRunning(job);
    }
  }
  for (const PlanJob& job : *jobs) {
    if (job.members.empty()) {
      run.Submit(job);
    }
  }
  return run.Finish(*jobs);
}

std::string PlanReport::ToText() const {
  std::ostringstream text;
  for (const PlannedJob& job : this->jobs) {
    text << job.job.Text() << ": " << VerdictName(job.verdict);
    for (std::size_t i = 0; i < job.members.size(); ++i) {
      text << (i == 0 ? " on " : ", ") << PlaceText(job.members[i]);
    }
    text << (job.within_guarantee ? " (within its guarantee)" : "");
    if (!job.reason.empty()) {
      text << ": " << job.reason;
    }
    for (std::size_t i = 0; i < job.stops.size(); ++i) {
      text << (i == 0 ? "; stops " : ", ") << job.stops[i].Text();
    }
    text << "\n";
  }
  for (const UnmetGuarantee& row : this->short_guarantees) {
    text << "entry " << row.entry.Text() << ": " << row.text << "\n";
  }
  return text.str();
}

std::string PlanReport::ToJson() const {
  nlohmann::ordered_json document;
  document["jobs"] = nlohmann::ordered_json::array();
  for (const PlannedJob& job : this->jobs) {
    nlohmann::ordered_json row;
    row["job"] = job.job.Text();
    row["verdict"] = VerdictName(job.verdict);
    row["members"] = nlohmann::ordered_json::array();
    for (const Placement& member : job.members) {
      row["members"].push_back(
          {{"agent", member.agent.Text()},
           {"accelerators", Numbers(member.accelerators)}});
    }
    row["within_guarantee"] = job.within_guarantee;
    row["reason"] = job.reason;
    row["stops"] = nlohmann::ordered_json::array();
    for (const core::JobId& stopped : job.stops) {
      row["stops"].push_back(stopped.Text());
    }
    document["jobs"].push_back(std::move(row));
  }
  document["short_guarantees"] = nlohmann::ordered_json::array();
  for (const UnmetGuarantee& row : this->short_guarantees) {
    document["short_guarantees"].push_back(
        {{"entry", row.entry.Text()},
         {"missing_gangs", row.missing_gangs},
         {"reason", row.text}});
  }
  return document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hemlockdoor::decide
