#include "modules/batch/planner/job_state.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::batch {

bool CheckpointState::OnActive(const ActiveRun& active) {
  const bool is_newer_run = active.key.run > this->run;
  const bool is_newer =
      is_newer_run || (active.key.run == this->run && !this->is_final &&
                       active.percent >= this->percent);
  if (active.checkpoint.empty() || !is_newer) {
    return false;
  }
  this->run = active.key.run;
  this->percent = active.percent;
  this->is_final = false;
  const bool changed = this->text != active.checkpoint;
  this->text = active.checkpoint;
  return changed;
}

void CheckpointState::OnEnd(const RunEnd& end) {
  const bool is_final = end.kind == RunEndKind::kStopped;
  const bool is_older =
      end.key.run < this->run ||
      (end.key.run == this->run && this->is_final && !is_final);
  if (end.checkpoint.empty() || is_older) {
    return;
  }
  this->run = end.key.run;
  this->is_final = is_final;
  this->text = end.checkpoint;
}

Job Job::Create(JobRecord job_record, const ProgressRecord* progress) {
  Job job;
  job.record = std::move(job_record);
  job.chain_lengths = ChainLengths(job.record.spec);
  const int occurrences = std::max(1, job.record.spec.occurrences);
  const auto steps = static_cast<int>(job.record.spec.steps.size());
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (int step = 0; step < steps; ++step) {
      const StepSpec& spec =
          job.record.spec.steps[static_cast<std::size_t>(step)];
      job.first_units[{occurrence, step}] = job.units.size();
      const int size = spec.gang ? spec.count : 1;
      for (int first = 0; first < spec.count; first += size) {
        Unit unit;
        unit.occurrence = occurrence;
        unit.step = step;
        unit.first = first;
        unit.size = size;
        job.units.push_back(unit);
      }
    }
  }
  if (progress == nullptr) {
    return job;
  }
  job.outcome = progress->outcome;
  job.started = progress->highest_run > 0;
  for (Unit& unit : job.units) {
    unit.highest_run = progress->highest_run;
  }
  for (const TaskName& task : progress->done) {
    if (Unit* unit = job.FindUnit(task)) {
      unit->phase = UnitPhase::kDone;
    }
  }
  for (const FailedRuns& failed : progress->failed) {
    if (Unit* unit = job.FindUnit(failed.task)) {
      unit->failed_runs.insert(failed.runs.begin(), failed.runs.end());
    }
  }
  for (const SavedCheckpoint& saved : progress->checkpoints) {
    if (Unit* unit = job.FindUnit(saved.task)) {
      unit->checkpoint = CheckpointState(saved.checkpoint);
    }
  }
  return job;
}

Unit* Job::FindUnit(const TaskName& task) {
  const auto found = this->first_units.find({task.occurrence, task.step});
  if (found == this->first_units.end()) {
    return nullptr;
  }
  const StepSpec& step =
      this->record.spec.steps[static_cast<std::size_t>(task.step)];
  if (task.index < 0 || task.index >= step.count) {
    return nullptr;
  }
  const std::size_t offset =
      step.gang ? 0 : static_cast<std::size_t>(task.index);
  return &this->units[found->second + offset];
}

ProgressRecord Job::Progress(std::int64_t wall_ms) const {
  ProgressRecord progress;
  progress.job = this->record.spec.id;
  progress.outcome = this->outcome;
  progress.ended_wall_ms = this->outcome == JobOutcome::kOpen ? 0 : wall_ms;
  for (const Unit& unit : this->units) {
    const TaskName task = this->NameOf(unit, unit.first);
    progress.highest_run = std::max(progress.highest_run, unit.highest_run);
    if (unit.phase == UnitPhase::kDone) {
      progress.done.push_back(task);
      continue;
    }
    if (!unit.failed_runs.empty()) {
      progress.failed.push_back(
          {task, {unit.failed_runs.begin(), unit.failed_runs.end()}});
    }
    if (!unit.checkpoint.Text().empty()) {
      progress.checkpoints.push_back({task, unit.checkpoint.Text()});
    }
  }
  return progress;
}

bool Job::HasRuns() const {
  return std::any_of(this->units.begin(), this->units.end(),
                     [](const Unit& unit) { return !unit.members.empty(); });
}

const Unit* Job::FirstWaitingUnit() const {
  if (!this->IsOpen() || this->HasRuns()) {
    return nullptr;
  }
  const auto waiting = std::find_if(
      this->units.begin(), this->units.end(),
      [](const Unit& unit) { return unit.phase == UnitPhase::kReady; });
  return waiting == this->units.end() ? nullptr : &*waiting;
}

bool Job::IsStepDone(int occurrence, int step) const {
  const auto found = this->first_units.find({occurrence, step});
  if (found == this->first_units.end()) {
    return false;
  }
  for (std::size_t i = found->second; i < this->units.size(); ++i) {
    const Unit& unit = this->units[i];
    if (unit.occurrence != occurrence || unit.step != step) {
      break;
    }
    if (unit.phase != UnitPhase::kDone) {
      return false;
    }
  }
  return true;
}

}  // namespace hemlockdoor::batch
