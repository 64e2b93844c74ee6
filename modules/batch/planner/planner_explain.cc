// Planner: explanation of what a decision would do with a job.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "modules/batch/planner/candidates.h"
#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

namespace {

using detail::Candidate;
using detail::CandidateRank;

/// Longest wait for which an expected start is computed.
constexpr core::Duration kMaxForecast = core::Duration::Seconds(24 * 60 * 60);

/// An explanation is made on a copy of the planner, which takes 24 MB for
/// 30,000 tasks; an entry has 64 MB.
constexpr std::size_t kMaxCopiedUnits = 30'000;

std::string Text(std::int64_t number) {
  return std::to_string(number);
}
std::string Text(core::Duration duration) {
  return Text(duration.InMilliseconds()) + " ms";
}

void AddReason(StepExplanation& explanation, std::string reason) {
  std::vector<std::string>& reasons = explanation.reasons;
  if (reasons.size() < kMaxReasons &&
      std::find(reasons.begin(), reasons.end(), reason) == reasons.end()) {
    reasons.push_back(std::move(reason));
  }
}

/// Returns how many times `need` is contained in `amount`.
int TasksIn(const Resources& amount, const Resources& need) {
  int tasks = 0;
  Resources sum = need;
  while (need != Resources() && sum.FitsIn(amount)) {
    ++tasks;
    sum = sum + need;
  }
  return tasks;
}

/// Returns how many tasks of the unit an idle worker holds, at most all.
int TasksIfIdle(const AgentView& view, const PlacementRequest& request) {
  Candidate candidate{&view, view.worker->capacity, 0};
  while (candidate.placed_tasks < request.size &&
         detail::HasRoom(candidate, request)) {
    candidate.free = candidate.free - CountedNeed(*request.step);
    ++candidate.placed_tasks;
  }
  return candidate.placed_tasks;
}

/// The workers of a service with the label of a step, by what keeps them from
/// starting tasks.
struct EligibleWorkers {
  int count = 0;
  int evacuated = 0;
  std::set<core::DataCentreId> evacuated_data_centres;
  int suspended = 0;
  /// Draining, stalled, not reachable or without a recent report.
  int unavailable = 0;
  int usable = 0;
  /// Of the usable ones, those that hold a task if they are idle.
  int large_enough = 0;
  /// Number of tasks that all workers hold if they are idle.
  std::int64_t tasks_if_idle = 0;
  std::int64_t most_free_accelerators = 0;

  static EligibleWorkers Count(const Fleet& fleet,
                               const PlacementRequest& request) {
    EligibleWorkers workers;
    for (const auto& [agent, view] : fleet) {
      if (detail::IsEligible(view, request)) {
        workers.Add(view, request);
      }
    }
    return workers;
  }

 private:
  void Add(const AgentView& view, const PlacementRequest& request) {
    ++this->count;
    const int tasks = TasksIfIdle(view, request);
    this->tasks_if_idle += tasks;
    if (view.is_evacuated) {
      ++this->evacuated;
      this->evacuated_data_centres.insert(view.worker->data_centre);
    } else if (!view.IsUsable(request.now)) {
      ++this->unavailable;
    } else if (view.IsSuspended(request.now)) {
      ++this->suspended;
    } else {
      ++this->usable;
      this->large_enough += tasks > 0 ? 1 : 0;
      this->most_free_accelerators =
          std::max(this->most_free_accelerators,
                   view.FreeResources(request.priority).accelerators);
    }
  }
};

/// Returns which requirement of the unit no worker meets, or an empty text.
std::string MissingRequirement(const EligibleWorkers& workers,
                               const Fleet& fleet,
                               const PlacementRequest& request) {
  if (workers.count == 0) {
    const bool has_service =
        std::any_of(fleet.begin(), fleet.end(), [&request](const auto& entry) {
          return entry.second.worker &&
                 entry.second.worker->service == request.service;
        });
    return has_service ? "no worker of service " + request.service.Text() +
                             " has the label " + request.step->required_label
                       : "no worker offers service " + request.service.Text();
  }
  const Resources need = CountedNeed(*request.step);
  if (workers.tasks_if_idle == 0) {
    return "none of the " + Text(workers.count) +
           " workers has the resources of one task: " + Text(need.millicores) +
           " millicores, " + Text(need.memory_mb) + " MB, " +
           Text(need.accelerators) + " accelerators";
  }
  if (workers.tasks_if_idle < request.size) {
    return "all " + Text(workers.count) + " workers together hold " +
           Text(workers.tasks_if_idle) + " of the " + Text(request.size) +
           " tasks that must run at the same time";
  }
  return {};
}

/// Returns why the first worker is better than the other one.
std::string RankReason(const CandidateRank& first,
                       const CandidateRank& other,
                       const std::string& other_name) {
  if (first.is_late != other.is_late) {
    return "the job is expected to become late on " + other_name;
  }
  if (first.is_remote != other.is_remote) {
    return "the input data is not in the rack of " + other_name;
  }
  if (first.is_suspended != other.is_suspended) {
    return other_name + " is suspended after failed runs";
  }
  if (first.is_avoided != other.is_avoided) {
    return "a run of this task failed or was rejected on " + other_name;
  }
  if (first.failing_jobs != other.failing_jobs) {
    return "fewer jobs have failed there than on " + other_name;
  }
  if (first.is_cold != other.is_cold) {
    return other_name + " is slow because it has started recently";
  }
  if (first.has_no_open_start != other.has_no_open_start) {
    return "a start of an earlier run of this task had no answer there, unlike "
           "on " +
           other_name;
  }
  if (first.is_measured != other.is_measured) {
    return "the speed of the worker is not known yet, unlike that of " +
           other_name;
  }
  if (first.speed != other.speed) {
    return first.speed < 0 ? "the task has time to spare, and " + other_name +
                                 " is faster or would make it late"
                           : other_name + " is slower";
  }
  if (first.free_share != other.free_share) {
    return "a smaller share of the worker stays free than on " + other_name;
  }
  return "equal to " + other_name + " but first by the id of the agent";
}

}  // namespace

class Planner::Trial {
 public:
  Trial(const Planner& source, core::TimePoint time, std::int64_t wall_time_ms)
      : planner(source), now(time), wall_ms(wall_time_ms) {}

  core::Expected<Explanation> Run(const ExplainRequest& request) {
    if (const core::Expected<void> found = this->FindOrAddJob(request);
        !found) {
      return tl::unexpected<core::Error>(found.error());
    }
    this->explanation.epoch = this->planner.epoch;
    this->MeasureReportAge();
    // The estimates of worker speeds share their samples with those of the
    // source, so they are not brought up to date.
    this->planner.DropLostAgents(this->now);
    this->planner.PrepareStarts(this->now, this->wall_ms);
    for (const Unit& unit : this->job->units) {
      if (!unit.members.empty()) {
        this->running.insert(&unit);
      }
    }
    this->DecideStarts();
    return std::move(this->explanation);
  }

 private:
  /// What is collected about the tasks of a step with one outcome.
  struct Group {
    StepExplanation explanation;
    std::map<core::AgentId, int> workers;
  };

  core::Expected<void> FindOrAddJob(const ExplainRequest& request) {
    if (request.job.IsEmpty()) {
      return this->AddJob(request);
    }
    const auto found = this->planner.jobs.find(request.job);
    if (found == this->planner.jobs.end() || !found->second.IsOpen()) {
      return core::MakeError(core::ErrorCode::kNotFound,
                             found == this->planner.jobs.end()
                                 ? "the planner does not know the job"
                                 : "the job has ended",
                             "$.job");
    }
    this->job = &found->second;
    return {};
  }

  /// Adds the described job, as if it had been accepted now.
  core::Expected<void> AddJob(const ExplainRequest& request) {
    const Configuration& configuration = *this->planner.configuration;
    const QueueConfig* queue = configuration.FindQueue(request.queue);
    if (queue == nullptr) {
      return core::MakeError(core::ErrorCode::kNotFound, "unknown queue",
                             "$.queue");
    }
    const bool has_organisation = !request.organisation.IsEmpty();
    if (has_organisation &&
        configuration.FindOrganisation(request.organisation) == nullptr) {
      return core::MakeError(core::ErrorCode::kNotFound, "unknown organisation",
                             "$.organisation");
    }
    JobRecord record;
    record.spec.id = this->UnusedId();
    record.spec.steps = request.steps;
    if (const core::Expected<void> valid = ValidateJobSpec(record.spec);
        !valid) {
      return valid;
    }
    record.queue = queue->name;
    record.service = queue->service;
    record.organisation = request.organisation;
    record.priority = queue->priority;
    record.max_attempts = queue->max_attempts;
    record.slack_factor = queue->slack_factor;
    record.objective = queue->objective;
    record.accepted_wall_ms = this->wall_ms;
    this->explanation.admission = DecideAdmission(this->planner.Room(this->now),
                                                  core::Duration(), record);
    const core::JobId id = record.spec.id;
    this->planner.AddJob(std::move(record), this->now);
    this->job = &this->planner.jobs.at(id);
    return {};
  }

  core::JobId UnusedId() const {
    std::string text = "explained";
    while (this->planner.jobs.contains(core::JobId(text))) {
      text += "-";
    }
    return core::JobId(text);
  }

  void MeasureReportAge() {
    for (const auto& [agent, view] : this->planner.fleet) {
      if (view.worker && !view.is_lost) {
        this->explanation.oldest_report = std::max(
            this->explanation.oldest_report, this->now - view.last_contact);
      }
    }
  }

  void DecideStarts() {
    std::vector<ReadyUnit> ready = this->planner.ReadyInOrder(this->now);
    const auto first =
        std::find_if(ready.begin(), ready.end(),
                     [this](const auto& each) { return this->IsOwn(each); });
    this->RecordOrder(ready.begin(), first);
    auto end = ready.end();
    while (end != first && !this->IsOwn(*std::prev(end))) {
      --end;
    }
    const std::vector<ReadyUnit> behind(end, ready.end());
    ready.erase(end, ready.end());
    const auto attempt = [this](const ReadyUnit& each) {
      return this->Attempt(each);
    };
    if (!this->planner.starts_withheld) {
      StartInOrder(ready, attempt);
    }
    this->RecordOutcomes();
    // A more urgent unit that is behind, because it is late, can take the place
    // of a unit that would start.
    if (!this->planner.starts_withheld) {
      StartInOrder(behind, attempt);
    }
    this->RecordWithdrawals();
    for (auto& [key, group] : this->groups) {
      this->NameWorkers(group);
      this->explanation.steps.push_back(std::move(group.explanation));
    }
  }

  bool IsOwn(const ReadyUnit& ready) const { return ready.job == this->job; }

  template <typename Iterator>
  void RecordOrder(Iterator begin, Iterator own) {
    if (own == begin || !this->HasReadyUnit()) {
      return;
    }
    std::set<const Job*> jobs;
    for (Iterator each = begin; each != own; ++each) {
      ++this->explanation.units_ahead;
      std::vector<JobAhead>& ahead = this->explanation.ahead;
      const JobRecord& record = each->job->record;
      if (jobs.insert(each->job).second && ahead.size() < kMaxJobsAhead) {
        ahead.push_back({record.spec.id, record.organisation, record.priority,
                         0, RuleOf(each->rank, own->rank)});
      }
      const auto found = std::find_if(ahead.begin(), ahead.end(),
                                      [&record](const JobAhead& listed) {
                                        return listed.job == record.spec.id;
                                      });
      if (found != ahead.end()) {
        ++found->units;
      }
    }
    this->explanation.jobs_ahead = static_cast<std::int64_t>(jobs.size());
  }

  bool HasReadyUnit() const {
    return std::any_of(
        this->job->units.begin(), this->job->units.end(),
        [this](const Unit& unit) {
          return unit.phase == UnitPhase::kReady && unit.members.empty() &&
                 this->now >= unit.start_not_before &&
                 !this->planner.MayOpenStartsBeginRuns(unit, this->now);
        });
  }

  /// Returns the rule that places a unit with rank `ahead` before one with rank
  /// `own`.
  static std::string RuleOf(const Rank& ahead, const Rank& own) {
    if (std::get<0>(ahead) != std::get<0>(own)) {
      return "priority, after penalties for lateness";
    }
    if (std::get<1>(ahead) != std::get<1>(own)) {
      return "priority";
    }
    return std::get<2>(ahead) != std::get<2>(own) ? "accepted earlier"
                                                  : "accepted at the same time";
  }

  /// Lets the planner try to start a unit, and records what is lost after it.
  bool Attempt(const ReadyUnit& ready) {
    const bool was_reserved = ready.unit->reserved_by_preemption;
    if (this->IsOwn(ready)) {
      if (this->ranked_steps.insert(ready.unit->step).second) {
        this->RankWorkers(*ready.unit);
      }
      if (!this->knows_stopping) {
        this->TakeNewlyStopping();
        this->knows_stopping = true;
      }
    }
    const bool started =
        this->planner.TryStart(*ready.job, *ready.unit, this->now);
    if (this->knows_stopping && !was_reserved &&
        ready.unit->reserved_by_preemption) {
      std::vector<PreemptedWork> stopped = this->TakeNewlyStopping();
      if (this->IsOwn(ready)) {
        this->preempted[ready.unit] = std::move(stopped);
      }
    }
    return started;
  }

  /// Returns the units that are to be stopped since the last call.
  std::vector<PreemptedWork> TakeNewlyStopping() {
    std::vector<PreemptedWork> stopped;
    for (auto& [id, other] : this->planner.jobs) {
      for (const Unit& unit : other.units) {
        if (!unit.IsStopping() || !this->stopping.insert(&unit).second) {
          continue;
        }
        // The count already includes this preemption, which must not add to
        // its own cost.
        Unit before = unit;
        before.preemptions = std::max(0, before.preemptions - 1);
        stopped.push_back(
            {id, other.record.organisation, other.record.priority, unit.size,
             this->planner.PreemptionCost(other, before, this->now)});
      }
    }
    return stopped;
  }

  /// Keeps the ranks of the workers on which a task of the unit fits now.
  void RankWorkers(const Unit& unit) {
    const PlacementRequest request = this->RequestFor(unit);
    std::map<core::AgentId, CandidateRank>& ranks = this->ranks[unit.step];
    for (const Candidate& candidate :
         detail::UsableCandidates(this->planner.fleet, request)) {
      if (detail::HasRoom(candidate, request)) {
        ranks[candidate.view->agent] = detail::RankOf(candidate, request);
      }
    }
  }

  PlacementRequest RequestFor(const Unit& unit) const {
    PlacementRequest request =
        this->planner.RequestFor(*this->job, unit, this->now);
    request.use_suspended = NeedsSuspendedWorkers(this->planner.fleet, request);
    return request;
  }

  /// Returns the group of the unit's step, and counts the unit's tasks in it.
  Group& AddToGroup(const Unit& unit, StepOutcome outcome) {
    Group& group = this->groups[{unit.step, outcome}];
    group.explanation.step = unit.step;
    group.explanation.outcome = outcome;
    group.explanation.tasks += unit.size;
    return group;
  }

  void RecordOutcomes() {
    const std::optional<ExpectedReleases> used = this->planner.releases;
    this->planner.releases.reset();
    // Of a schedule, only the next occurrence is explained.
    const auto open = std::find_if(
        this->job->units.begin(), this->job->units.end(), [](const Unit& unit) {
          return unit.phase == UnitPhase::kBlocked ||
                 unit.phase == UnitPhase::kReady;
        });
    for (const Unit& unit : this->job->units) {
      if (open != this->job->units.end() &&
          unit.occurrence == open->occurrence) {
        this->RecordOutcome(unit);
      }
    }
    // The rest of the decision uses the same releases as one without the
    // explanation.
    this->planner.releases = used;
  }

  void RecordOutcome(const Unit& unit) {
    if (unit.phase == UnitPhase::kDone || unit.phase == UnitPhase::kFailed) {
      this->AddToGroup(unit, StepOutcome::kDone);
    } else if (this->running.contains(&unit)) {
      this->RecordMembers(unit, StepOutcome::kRunning);
    } else if (!unit.members.empty()) {
      this->RecordStart(unit);
    } else if (unit.reserved_by_preemption) {
      this->RecordPreemption(unit);
    } else {
      this->RecordWait(unit);
    }
  }

  Group& RecordMembers(const Unit& unit, StepOutcome outcome) {
    Group& group = this->AddToGroup(unit, outcome);
    for (const UnitMember& member : unit.members) {
      ++group.workers[member.agent];
    }
    if (!this->job->StepOf(unit).long_running) {
      std::optional<core::Duration>& end = group.explanation.expected_end;
      const core::Duration left =
          outcome == StepOutcome::kStarts
              ? this->planner.PlacedRunTime(*this->job, unit)
              : this->planner.ExpectedWait(*this->job, unit, this->now);
      end = std::max(end.value_or(left), left);
    }
    return group;
  }

  void RecordStart(const Unit& unit) {
    Group& group = this->RecordMembers(unit, StepOutcome::kStarts);
    if (std::exchange(group.explanation.expected_start, core::Duration())) {
      return;
    }
    const std::map<core::AgentId, CandidateRank>& ranks =
        this->ranks[unit.step];
    const auto chosen = ranks.find(unit.members.front().agent);
    const std::pair<const core::AgentId, CandidateRank>* other = nullptr;
    for (const auto& each : ranks) {
      const bool is_member =
          std::any_of(unit.members.begin(), unit.members.end(),
                      [&each](const UnitMember& member) {
                        return member.agent == each.first;
                      });
      if (!is_member && (other == nullptr || each.second < other->second)) {
        other = &each;
      }
    }
    if (other == nullptr || chosen == ranks.end()) {
      AddReason(group.explanation, "no other worker has room");
      return;
    }
    const std::string other_name =
        this->planner.fleet.at(other->first).worker->identity.id.Text();
    AddReason(group.explanation,
              chosen->second < other->second
                  ? RankReason(chosen->second, other->second, other_name)
                  : "the tasks of a gang are placed together, in one rack and "
                    "on workers of about the same speed if possible");
  }

  void RecordPreemption(const Unit& unit) {
    Group& group = this->AddToGroup(unit, StepOutcome::kPreempts);
    StepExplanation& step = group.explanation;
    this->AddReserved(group, unit);
    this->Forecast(step, unit);
    const double bound =
        this->planner.MaxPreemptionCost(*this->job, unit, this->now);
    // With the other policy the loss is bounded by the gain in value.
    const bool has_bound =
        this->planner.options.overload_policy == OverloadPolicy::kPriority;
    if (has_bound && std::isfinite(bound)) {
      step.loss_bound = bound;
    }
    const auto found = this->preempted.find(&unit);
    if (found == this->preempted.end()) {
      AddReason(step, "an earlier decision has stopped work for it");
      return;
    }
    AddReason(step, std::isfinite(bound)
                        ? "the work that is lost is within the bound"
                        : "the job is within the guarantee of its "
                          "organisation");
    for (const PreemptedWork& work : found->second) {
      ++step.preempted_count;
      step.loss += work.loss;
      if (step.preempted.size() < kMaxNamedWorkers) {
        step.preempted.push_back(work);
      }
    }
  }

  void AddReserved(Group& group, const Unit& unit) {
    const Resources need = CountedNeed(this->job->StepOf(unit));
    for (const auto& [agent, amount] : unit.reserved) {
      group.workers[agent] += TasksIn(amount, need);
    }
  }

  void RecordWait(const Unit& unit) {
    // All units of a step need the same resources, so the first one is examined
    // for all of them.
    if (const auto known = this->waiting.find(unit.step);
        known != this->waiting.end()) {
      this->AddReserved(this->AddToGroup(unit, known->second), unit);
      return;
    }
    const PlacementRequest request = this->RequestFor(unit);
    const EligibleWorkers workers =
        EligibleWorkers::Count(this->planner.fleet, request);
    const std::string missing =
        MissingRequirement(workers, this->planner.fleet, request);
    const StepOutcome outcome =
        missing.empty() ? StepOutcome::kWaits : StepOutcome::kNever;
    this->waiting[unit.step] = outcome;
    Group& group = this->AddToGroup(unit, outcome);
    StepExplanation& step = group.explanation;
    this->AddReserved(group, unit);
    if (!missing.empty()) {
      AddReason(step, missing);
    } else if (unit.phase == UnitPhase::kBlocked) {
      this->ExplainBlocked(step, unit);
    } else {
      this->Forecast(step, unit);
      this->ExplainReady(step, unit, request, workers);
    }
  }

  void ExplainBlocked(StepExplanation& step, const Unit& unit) const {
    const JobSpec& spec = this->job->record.spec;
    const core::Duration due = core::Duration::Milliseconds(
        spec.first_due_wall_ms +
        unit.occurrence * spec.interval.InMilliseconds() - this->wall_ms);
    if (spec.occurrences > 0 && due > core::Duration()) {
      AddReason(step, "it is due in " + Text(due));
    }
    for (const int earlier : this->job->StepOf(unit).after) {
      if (!this->job->IsStepDone(unit.occurrence, earlier)) {
        AddReason(step, "step " + Text(earlier) + " is not done");
      }
    }
  }

  /// Explains why a unit that is due and whose earlier steps are done waits.
  void ExplainReady(StepExplanation& step,
                    const Unit& unit,
                    const PlacementRequest& request,
                    const EligibleWorkers& workers) {
    if (this->planner.starts_withheld) {
      AddReason(step,
                "starts are withheld until it is known which data centres are "
                "evacuated");
    }
    if (this->now < unit.start_not_before) {
      AddReason(step, "a start was rejected; the next one is in " +
                          Text(unit.start_not_before - this->now));
    }
    if (!this->planner.IsWithinBackfillLimit(*this->job, unit, this->now)) {
      AddReason(step,
                "limit on backfill work without checkpoints, lowered after "
                "such work was preempted");
    }
    if (this->planner.MayOpenStartsBeginRuns(unit, this->now)) {
      AddReason(step,
                "a start of an earlier run had no answer, and the worker may "
                "have restarted and carry it out");
    }
    const bool fits = FindPlacement(this->planner.fleet, request).has_value();
    if (!unit.reserved.empty()) {
      AddReason(step, fits ? "faster workers are reserved, on which it is "
                             "expected to end sooner"
                           : "workers are reserved on which running work is "
                             "expected to end soon");
    } else if (!fits) {
      AddReason(step, "no free capacity on the " + Text(workers.usable) +
                          " usable workers, of which " +
                          Text(workers.large_enough) +
                          " hold a task when idle; at most " +
                          Text(workers.most_free_accelerators) +
                          " accelerators are free on one");
    }
    ExplainExcluded(step, request, workers);
  }

  /// Names the workers that may not be used.
  static void ExplainExcluded(StepExplanation& step,
                              const PlacementRequest& request,
                              const EligibleWorkers& workers) {
    if (workers.evacuated > 0) {
      std::string names;
      for (const core::DataCentreId& each : workers.evacuated_data_centres) {
        names += (names.empty() ? "" : ", ") + each.Text();
      }
      AddReason(step, Text(workers.evacuated) + " of " + Text(workers.count) +
                          " workers are in evacuated data centres: " + names);
    }
    if (workers.suspended > 0 && !request.use_suspended) {
      AddReason(step, Text(workers.suspended) + " of " + Text(workers.count) +
                          " workers are suspended after failed runs");
    }
    if (workers.unavailable > 0) {
      AddReason(step, Text(workers.unavailable) + " of " + Text(workers.count) +
                          " workers are draining, stalled or without a recent "
                          "report");
    }
    if (!request.allow_remote) {
      AddReason(step, request.step->preferred_rack.empty()
                          ? "it waits for room in a single rack"
                          : "it waits for room in rack " +
                                request.step->preferred_rack +
                                ", which holds its input data");
    }
  }

  /// Sets the expected start and end, if running work ends as expected.
  void Forecast(StepExplanation& step, const Unit& unit) {
    if (step.expected_start) {
      return;
    }
    const std::optional<Reservation> found = FindReservation(
        this->planner.fleet, this->RequestFor(unit),
        this->planner.Releases(this->now), this->now + kMaxForecast);
    if (!found) {
      return;
    }
    step.expected_start = found->start - this->now;
    if (!this->job->StepOf(unit).long_running) {
      step.expected_end = found->end - this->now;
    }
  }

  /// Moves units that would start, but are stopped for others in the same
  /// decision, to those that wait.
  void RecordWithdrawals() {
    for (const Unit& unit : this->job->units) {
      const bool is_withdrawn = unit.IsStopping() && !unit.members.empty() &&
                                !this->running.contains(&unit);
      if (!is_withdrawn) {
        continue;
      }
      const auto started = this->groups.find({unit.step, StepOutcome::kStarts});
      if (started == this->groups.end()) {
        continue;
      }
      for (const UnitMember& member : unit.members) {
        if (--started->second.workers[member.agent] == 0) {
          started->second.workers.erase(member.agent);
        }
      }
      started->second.explanation.tasks -= unit.size;
      if (started->second.explanation.tasks == 0) {
        this->groups.erase(started);
      }
      AddReason(this->AddToGroup(unit, StepOutcome::kWaits).explanation,
                "a more urgent job takes its place");
    }
  }

  void NameWorkers(Group& group) const {
    StepExplanation& step = group.explanation;
    step.worker_count = group.workers.size();
    for (const auto& [agent, tasks] : group.workers) {
      const auto found = this->planner.fleet.find(agent);
      if (step.workers.size() < kMaxNamedWorkers &&
          found != this->planner.fleet.end() && found->second.worker) {
        const WorkerDescription& worker = *found->second.worker;
        step.workers.push_back(
            {worker.identity.id, worker.data_centre, worker.rack, tasks});
      }
    }
  }

  Planner planner;
  core::TimePoint now;
  std::int64_t wall_ms = 0;
  Explanation explanation;
  Job* job = nullptr;
  /// Units of the job that had runs before the decision.
  std::set<const Unit*> running;
  /// Steps whose workers have been ranked, and the ranks by step.
  std::set<int> ranked_steps;
  std::map<int, std::map<core::AgentId, CandidateRank>> ranks;
  /// Units that are to be stopped, known from the first attempt to start a unit
  /// of the job.
  std::set<const Unit*> stopping;
  bool knows_stopping = false;
  std::map<const Unit*, std::vector<PreemptedWork>> preempted;
  std::map<std::pair<int, StepOutcome>, Group> groups;
  /// Outcome of the waiting units, by step.
  std::map<int, StepOutcome> waiting;
};

core::Expected<Explanation> Planner::Explain(const ExplainRequest& request,
                                             core::TimePoint now,
                                             std::int64_t wall_ms) const {
  if (this->IsRecovering(now)) {
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "the planner has not heard from all agents yet");
  }
  std::size_t units = 0;
  for (const auto& [id, job] : this->jobs) {
    units += job.units.size();
  }
  if (units > kMaxCopiedUnits) {
    return core::MakeError(core::ErrorCode::kUnavailable,
                           "the planner has too many tasks to explain a "
                           "decision within its memory");
  }
  return Trial(*this, now, wall_ms).Run(request);
}

}  // namespace hemlockdoor::batch
