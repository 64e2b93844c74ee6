// Planner: evacuated data centres.
#include <algorithm>

#include "modules/batch/planner/candidates.h"
#include "modules/batch/planner/planner.h"

namespace hemlockdoor::batch {

void Planner::SetEvacuations(const EvacuationState& state,
                             core::TimePoint now) {
  for (const EvacuationChange& change : this->evacuations.Apply(state, now)) {
    this->jobs_logged_as_waiting.clear();
    this->LogDecision(
        "evacuation_changed", {},
        "data_centre=" + change.data_centre.Text() +
            " evacuated=" + (change.is_evacuated ? "true" : "false") +
            " revision=" + std::to_string(state.revision.Number()) +
            " age_ms=" + std::to_string(change.age.InMilliseconds()));
  }
}

EvacuationLoad Planner::EvacuatedLoad() const {
  return this->evacuations.Load();
}

bool Planner::IsInEvacuatedDataCentre(const core::AgentId& agent) const {
  const auto found = this->fleet.find(agent);
  return found != this->fleet.end() && found->second.is_evacuated;
}

void Planner::ApplyEvacuations(core::TimePoint now) {
  for (auto& [agent, view] : this->fleet) {
    view.is_evacuated =
        view.worker && this->evacuations.IsEvacuated(view.worker->data_centre);
    view.ranks_as_cold =
        now < view.cold_until && view.worker &&
        this->evacuations.HasReturned(view.worker->data_centre, now);
  }
  if (this->evacuations.State().data_centres.empty()) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    for (Unit& unit : job.units) {
      const bool has_unsent_start_there = std::any_of(
          unit.members.begin(), unit.members.end(),
          [this](const UnitMember& member) {
            return !member.sent && this->IsInEvacuatedDataCentre(member.agent);
          });
      if (has_unsent_start_there) {
        this->WithdrawUnsentStarts(job, unit, "evacuated");
      }
      const bool has_reservation_there = std::any_of(
          unit.reserved.begin(), unit.reserved.end(), [this](const auto& part) {
            return this->IsInEvacuatedDataCentre(part.first);
          });
      if (has_reservation_there) {
        this->ClearReservation(unit);
      }
    }
  }
}

void Planner::WithdrawUnsentStarts(const Job& job,
                                   Unit& unit,
                                   const std::string& reason) {
  this->LogDecision(
      "unit_withdrawn", job.record.spec.id,
      "task=" + job.NameOf(unit, unit.first).ToText() + " reason=" + reason);
  std::erase_if(unit.members,
                [](const UnitMember& member) { return !member.sent; });
  // A gang of which some starts have been sent is incomplete now.
  this->StopUnit(unit);
}

void Planner::CountEvacuatedLoad(core::TimePoint now) {
  if (this->evacuations.State().data_centres.empty()) {
    return;
  }
  std::map<core::DataCentreId, EvacuationLoad> loads;
  for (const auto& [id, job] : this->jobs) {
    for (const Unit& unit : job.units) {
      std::set<core::DataCentreId> occupied;
      for (const UnitMember& member : unit.members) {
        if (this->IsInEvacuatedDataCentre(member.agent)) {
          occupied.insert(this->fleet.at(member.agent).worker->data_centre);
        }
      }
      for (const core::DataCentreId& data_centre : occupied) {
        EvacuationLoad& load = loads[data_centre];
        ++load.units;
        if (!job.StepOf(unit).long_running) {
          load.remaining =
              std::max(load.remaining, this->RemainingRunTime(job, unit, now));
        }
      }
    }
  }
  if (this->IsRecovering(now)) {
    // Runs of earlier terms may not have been reported yet.
    return;
  }
  for (const EmptiedDataCentre& each :
       this->evacuations.OnCounted(std::move(loads), now)) {
    constexpr double kMsPerSecond = 1000.0;
    this->LogDecision(
        "evacuation_empty", {},
        "data_centre=" + each.data_centre.Text() + " took_s=" +
            std::to_string(static_cast<double>(each.took.InMilliseconds()) /
                           kMsPerSecond));
  }
}

void Planner::MigrateLongRunningUnits(core::TimePoint now) {
  if (this->evacuations.State().data_centres.empty() || this->starts_withheld ||
      this->IsRecovering(now)) {
    return;
  }
  for (auto& [id, job] : this->jobs) {
    // Steps, by occurrence, of which some unit does not run now.
    std::set<std::pair<int, int>> interrupted;
    for (const Unit& unit : job.units) {
      const bool runs = !unit.members.empty() && !unit.IsStopping() &&
                        std::all_of(unit.members.begin(), unit.members.end(),
                                    [](const UnitMember& member) {
                                      return member.confirmed;
                                    });
      if (!runs) {
        interrupted.emplace(unit.occurrence, unit.step);
      }
    }
    for (Unit& unit : job.units) {
      const bool is_there =
          std::any_of(unit.members.begin(), unit.members.end(),
                      [this](const UnitMember& member) {
                        return this->IsInEvacuatedDataCentre(member.agent);
                      });
      const std::pair<int, int> step(unit.occurrence, unit.step);
      const bool may_move =
          is_there && job.IsOpen() && job.StepOf(unit).long_running &&
          !interrupted.contains(step) &&
          FindPlacement(this->fleet, this->RequestFor(job, unit, now));
      if (!may_move) {
        continue;
      }
      this->StopUnit(unit);
      interrupted.insert(step);
      this->LogDecision("unit_migrated", id,
                        "task=" + job.NameOf(unit, unit.first).ToText() +
                            " reason=evacuated");
    }
  }
}

void Planner::LogUnitsWithoutDataCentre() {
  if (this->evacuations.State().data_centres.empty()) {
    return;
  }
  // Steps that need the same service and label have the same workers.
  std::map<std::pair<core::ServiceName, std::string>, bool> has_no_place;
  for (const auto& [id, job] : this->jobs) {
    const bool may_wait =
        job.IsOpen() && !this->jobs_logged_as_waiting.contains(id);
    for (const Unit& unit : job.units) {
      if (!may_wait || unit.phase != UnitPhase::kReady ||
          !unit.members.empty()) {
        continue;
      }
      PlacementRequest request;
      request.step = &job.StepOf(unit);
      request.service = this->ServiceOf(job);
      const auto [entry, is_new] = has_no_place.try_emplace(
          {request.service, request.step->required_label}, false);
      if (is_new) {
        entry->second = this->OnlyEvacuatedWorkersFit(request);
      }
      if (entry->second) {
        this->jobs_logged_as_waiting.insert(id);
        this->LogDecision(
            "job_waits", id,
            "reason=all-suitable-workers-are-in-evacuated-data-centres"
            " label=" +
                request.step->required_label);
        break;
      }
    }
  }
}

bool Planner::OnlyEvacuatedWorkersFit(const PlacementRequest& request) const {
  bool some_fit = false;
  for (const auto& [agent, view] : this->fleet) {
    if (view.is_lost || !detail::IsEligible(view, request)) {
      continue;
    }
    if (!view.is_evacuated) {
      return false;
    }
    some_fit = true;
  }
  return some_fit;
}

}  // namespace hemlockdoor::batch
